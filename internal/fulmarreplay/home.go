package fulmarreplay

import (
	"sort"
	"time"
)

// Home lets one daemon dispatch for each target, which knows all that run and wait there.
type Dispatcher struct {
	MaxInFlight  int     // most requests in flight at a target
	MaxWaitShare float64 // share of the goal within which a waiting request must be expected to start
	Order        string
	queues       map[int][]*Request
	flight       map[int]int
	mean         map[int]float64 // seconds of a request
	sent         map[*Request]time.Duration
}

// NewHome returns such dispatchers.
func NewDispatcher(flight int, horizon float64, order string) *Dispatcher {
	return &Dispatcher{MaxInFlight: flight, MaxWaitShare: horizon, Order: order, queues: map[int][]*Request{}, flight: map[int]int{}, mean: map[int]float64{}, sent: map[*Request]time.Duration{}}
}

func (h *Dispatcher) time(s *Sim, target int) float64 {
	if m, ok := h.mean[target]; ok {
		return m
	}
	return s.pattern.ServiceTime.Mean.Seconds()
}

// Offer queues a request, or refuses it or another one that cannot be served in time.
func (h *Dispatcher) Offer(s *Sim, r *Request) {
	h.queues[r.Target] = append(h.queues[r.Target], r)
	h.next(s, r.Target)
	h.trim(s, r.Target)
}

// Ended takes the next request.
func (h *Dispatcher) Ended(s *Sim, r *Request) {
	h.flight[r.Target]--
	if at, ok := h.sent[r]; ok {
		took := (s.Now() - at).Seconds()
		m := h.time(s, r.Target)
		h.mean[r.Target] = m + 0.1*(took-m)
		delete(h.sent, r)
	}
	h.next(s, r.Target)
}

func (h *Dispatcher) sort(s *Sim, target int) {
	q := h.queues[target]
	switch h.Order {
	case "slack":
		sort.SliceStable(q, func(i, j int) bool { return q[i].Arrived < q[j].Arrived })
	case "newest":
		sort.SliceStable(q, func(i, j int) bool { return q[i].Arrived > q[j].Arrived })
	case "goal": // those that can make the goal first, least slack among them
		cut := s.Now() - time.Duration(float64(s.pattern.Goal)-h.time(s, target)*1e9)
		sort.SliceStable(q, func(i, j int) bool {
			a, b := q[i].Arrived < cut, q[j].Arrived < cut
			if a != b {
				return !a
			}
			return q[i].Arrived < q[j].Arrived
		})
	}
}

func (h *Dispatcher) next(s *Sim, target int) {
	for h.flight[target] < h.MaxInFlight && len(h.queues[target]) > 0 {
		h.sort(s, target)
		r := h.queues[target][0]
		h.queues[target] = h.queues[target][1:]
		if r.Deadline-s.Now() < 10*time.Millisecond {
			s.Refuse(r)
			continue
		}
		h.flight[target]++
		h.sent[r] = s.Now()
		s.Send(r)
	}
}

// trim refuses the last ones that would wait too long.
func (h *Dispatcher) trim(s *Sim, target int) {
	q := h.queues[target]
	rate := float64(s.pattern.Slots) / h.time(s, target)
	most := int(h.MaxWaitShare * s.pattern.Goal.Seconds() * rate)
	if len(q) <= most {
		return
	}
	h.sort(s, target)
	for len(h.queues[target]) > most {
		q := h.queues[target]
		last := q[len(q)-1]
		h.queues[target] = q[:len(q)-1]
		s.Refuse(last)
	}
}
