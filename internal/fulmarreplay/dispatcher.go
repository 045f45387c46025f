package fulmarreplay

import (
	"sort"
	"time"
)

// Dispatcher models one dispatching daemon for each target, which knows all requests
// that run or wait at its target.
type Dispatcher struct {
	MaxInFlight  int     // maximum requests in flight at a target
	MaxWaitShare float64 // longest expected wait of a queued request, as a share of the latency goal
	Order        string  // of the queue: "slack", "newest" or "goal"; see sortQueue
	queues       map[int][]*Request
	inFlight     map[int]int
	meanTimes    map[int]float64 // moving average of the time of a request, in seconds
	sentAt       map[*Request]time.Duration
}

// NewDispatcher returns dispatchers for all targets.
func NewDispatcher(maxInFlight int, maxWaitShare float64, order string) *Dispatcher {
	return &Dispatcher{MaxInFlight: maxInFlight, MaxWaitShare: maxWaitShare, Order: order, queues: map[int][]*Request{}, inFlight: map[int]int{}, meanTimes: map[int]float64{}, sentAt: map[*Request]time.Duration{}}
}

// meanSeconds returns the average time of a request at the target, or the mean of the
// pattern before the first request has ended.
func (d *Dispatcher) meanSeconds(s *Sim, target int) float64 {
	if m, ok := d.meanTimes[target]; ok {
		return m
	}
	return s.pattern.ServiceTime.Mean.Seconds()
}

// Offer queues a request and sends what the target can take. If the queue is then too
// long, it refuses the requests that sort last, which may include this one.
func (d *Dispatcher) Offer(s *Sim, r *Request) {
	d.queues[r.Target] = append(d.queues[r.Target], r)
	d.dispatch(s, r.Target)
	d.refuseExcess(s, r.Target)
}

// Ended updates the average time of requests and sends the next one.
func (d *Dispatcher) Ended(s *Sim, r *Request) {
	d.inFlight[r.Target]--
	if at, ok := d.sentAt[r]; ok {
		took := (s.Now() - at).Seconds()
		m := d.meanSeconds(s, r.Target)
		d.meanTimes[r.Target] = m + 0.1*(took-m)
		delete(d.sentAt, r)
	}
	d.dispatch(s, r.Target)
}

// sortQueue sorts the queue of the target by Order: "slack" puts the oldest request first,
// "newest" the newest, and "goal" the requests that can still meet the latency goal.
func (d *Dispatcher) sortQueue(s *Sim, target int) {
	q := d.queues[target]
	switch d.Order {
	case "slack":
		sort.SliceStable(q, func(i, j int) bool { return q[i].Arrived < q[j].Arrived })
	case "newest":
		sort.SliceStable(q, func(i, j int) bool { return q[i].Arrived > q[j].Arrived })
	case "goal": // requests that can still meet the goal come first, the oldest of them in front
		latestArrival := s.Now() - time.Duration(float64(s.pattern.Goal)-d.meanSeconds(s, target)*1e9)
		sort.SliceStable(q, func(i, j int) bool {
			a, b := q[i].Arrived < latestArrival, q[j].Arrived < latestArrival
			if a != b {
				return !a
			}
			return q[i].Arrived < q[j].Arrived
		})
	}
}

// dispatch sends queued requests up to MaxInFlight. It refuses those whose deadline is
// less than 10 ms away.
func (d *Dispatcher) dispatch(s *Sim, target int) {
	for d.inFlight[target] < d.MaxInFlight && len(d.queues[target]) > 0 {
		d.sortQueue(s, target)
		r := d.queues[target][0]
		d.queues[target] = d.queues[target][1:]
		if r.Deadline-s.Now() < 10*time.Millisecond {
			s.Refuse(r)
			continue
		}
		d.inFlight[target]++
		d.sentAt[r] = s.Now()
		s.Send(r)
	}
}

// refuseExcess refuses the requests at the end of the queue whose expected wait exceeds MaxWaitShare of the goal.
func (d *Dispatcher) refuseExcess(s *Sim, target int) {
	q := d.queues[target]
	rate := float64(s.pattern.Slots) / d.meanSeconds(s, target)
	maxQueue := int(d.MaxWaitShare * s.pattern.Goal.Seconds() * rate)
	if len(q) <= maxQueue {
		return
	}
	d.sortQueue(s, target)
	for len(d.queues[target]) > maxQueue {
		q := d.queues[target]
		last := q[len(q)-1]
		d.queues[target] = q[:len(q)-1]
		s.Refuse(last)
	}
}
