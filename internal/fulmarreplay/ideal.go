package fulmarreplay

import "sort"

// Ideal is an upper bound for comparison: it knows the state of all targets and ignores the ownership of keys,
// so that no policy with owners can be expected to beat it. Requests wait in one queue and go to the fastest
// target with a free slot. Those that can still be answered within the goal go first.
type Ideal struct {
	queue   []*Request
	running []int // requests in flight at each target
}

// NewIdeal returns an ideal admission.
func NewIdeal() *Ideal { return &Ideal{} }

// Offer queues a request and sends what the targets can take.
func (d *Ideal) Offer(s *Sim, r *Request) {
	if d.running == nil {
		d.running = make([]int, len(s.targets))
	}
	d.queue = append(d.queue, r)
	d.dispatch(s)
}

// Ended frees the slot of the request and sends the next one.
func (d *Ideal) Ended(s *Sim, r *Request) {
	d.running[r.Target]--
	d.dispatch(s)
}

// dispatch sends queued requests while any target has a free slot. It refuses those that
// cannot be answered by their deadline.
func (d *Ideal) dispatch(s *Sim) {
	for len(d.queue) > 0 {
		best := -1
		for i, t := range s.targets {
			if d.running[i] < s.pattern.Slots && (best < 0 || t.slowdown() < s.targets[best].slowdown()) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		// Requests older than two thirds of the goal are not expected to meet it and go last.
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
