package fulmarreplay

import "sort"

// Ideal knows all targets and ignores who owns a key: a bound that no policy with owners can be expected to beat.
// Requests wait in one queue and go to the fastest target with a free slot, those first that still can be
// answered within the goal.
type Ideal struct {
	queue   []*Request
	running []int
}

// NewIdeal returns the bound.
func NewIdeal() *Ideal { return &Ideal{} }

// Offer queues a request.
func (d *Ideal) Offer(s *Sim, r *Request) {
	if d.running == nil {
		d.running = make([]int, len(s.targets))
	}
	d.queue = append(d.queue, r)
	d.next(s)
}

// Ended frees a slot.
func (d *Ideal) Ended(s *Sim, r *Request) {
	d.running[r.Target]--
	d.next(s)
}

func (d *Ideal) next(s *Sim) {
	for len(d.queue) > 0 {
		best := -1
		for i, t := range s.targets {
			if d.running[i] < s.pattern.Slots && (best < 0 || t.factor() < s.targets[best].factor()) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		// Requests past their goal go last.
		late := func(r *Request) bool { return s.Now()-r.Arrived > s.pattern.Goal*2/3 }
		sort.SliceStable(d.queue, func(i, j int) bool { return !late(d.queue[i]) && late(d.queue[j]) })
		r := d.queue[0]
		d.queue = d.queue[1:]
		if s.Now()+s.pattern.ServiceTime.Mean > r.Deadline {
			s.Refuse(r)
			continue
		}
		r.Target = best
		d.running[best]++
		s.Send(r)
	}
}
