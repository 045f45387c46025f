package fulmarexperiment

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarcost"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarqueue"
)

// longRatio is the multiple of the median cost from which work is classified as long.
const longRatio = 8

// Source is a stream of requests of one group and kind.
type Source struct {
	Group   string
	Kind    string
	Mean    time.Duration // mean service time of a request
	Timeout time.Duration // 0 for none

	// Open arrivals: Rate a second, multiplied by RateFactor from Onset on.
	Rate       float64
	RateFactor float64
	Onset      time.Duration

	// Closed arrivals if Count is positive: Count requests of exactly Mean
	// from Onset on, Concurrency at a time.
	Count       int
	Concurrency int
}

// Workload describes the requests of one run and the slots of the target.
type Workload struct {
	Slots    int
	Duration time.Duration // of the open arrivals
	Sources  []Source
	Seed     uint64
}

// Request is the record of one request.
type Request struct {
	Source  int
	Arrived time.Duration
	Ended   time.Duration // 0 if it was refused or expired
	Used    time.Duration // service time that it used or would have used
	InTime  bool          // ended before its deadline
}

// Started returns when the request got its slot.
func (r Request) Started() time.Duration { return r.Ended - r.Used }

// event is the arrival of a request (ticket 0) or the end of its service.
type event struct {
	due     time.Duration
	seq     int // orders events that are due at the same time
	request int
	ticket  fulmarqueue.Ticket
}

// events is a heap of events, ordered by due time.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].due < e[j].due || e[i].due == e[j].due && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation is the state of one run.
type simulation struct {
	workload  Workload
	queue     *fulmarqueue.Queue[int]
	costs     *fulmarcost.Estimator
	random    *rand.Rand
	events    events
	seq       int
	requests  []Request
	remaining []int // requests that each closed source has yet to send
}

// origin is the start of virtual time.
var origin = time.Unix(0, 0)

// Run simulates the workload under the discipline and returns the record of every
// request.
func Run(d fulmarqueue.Discipline, w Workload) []Request {
	s := &simulation{
		workload:  w,
		queue:     fulmarqueue.New[int](d, w.Slots),
		costs:     fulmarcost.New(longRatio),
		random:    rand.New(rand.NewPCG(w.Seed, 1)),
		remaining: make([]int, len(w.Sources)),
	}
	for i, source := range w.Sources {
		// Train the estimator as earlier requests would have.
		for range 20 {
			s.costs.Observe("", source.Kind, source.Mean)
		}
		s.queue.SetLimits(source.Group, fulmarqueue.Limits{Weight: 1})
		if source.Count > 0 {
			s.remaining[i] = source.Count
			for range source.Concurrency {
				s.scheduleClosedArrival(i, source.Onset)
			}
			continue
		}
		s.scheduleOpenArrivals(i)
	}
	for len(s.events) > 0 {
		s.step(heap.Pop(&s.events).(event))
	}
	return s.requests
}

// scheduleOpenArrivals schedules all arrivals of an open source.
func (s *simulation) scheduleOpenArrivals(i int) {
	source := s.workload.Sources[i]
	factor := max(source.RateFactor, 1)
	for at := time.Duration(0); ; {
		// Arrivals are drawn at the higher rate and thinned before the onset.
		at += time.Duration(s.random.ExpFloat64() / (source.Rate * factor) * float64(time.Second))
		if at >= s.workload.Duration {
			return
		}
		if at >= source.Onset || s.random.Float64()*factor < 1 {
			s.addRequest(i, at, time.Duration(s.random.ExpFloat64()*float64(source.Mean)))
		}
	}
}

// scheduleClosedArrival schedules the next request of a closed source, if any remain.
func (s *simulation) scheduleClosedArrival(i int, at time.Duration) {
	if s.remaining[i] > 0 {
		s.remaining[i]--
		s.addRequest(i, at, s.workload.Sources[i].Mean)
	}
}

// addRequest records a request and schedules its arrival.
func (s *simulation) addRequest(source int, at, used time.Duration) {
	s.requests = append(s.requests, Request{Source: source, Arrived: at, Used: max(used, 1)})
	s.schedule(event{due: at, request: len(s.requests) - 1})
}

func (s *simulation) schedule(e event) {
	s.seq++
	e.seq = s.seq
	heap.Push(&s.events, e)
}

// step handles an event, expires queued requests, and starts those that get a slot.
func (s *simulation) step(e event) {
	r := &s.requests[e.request]
	source := s.workload.Sources[r.Source]
	now := origin.Add(e.due)
	if e.ticket == 0 {
		s.enqueue(now, e.request)
	} else {
		s.queue.Done(e.ticket, r.Used)
		s.costs.Observe("", source.Kind, r.Used)
		r.Ended = e.due
		r.InTime = source.Timeout == 0 || e.due <= r.Arrived+source.Timeout
		if source.Count > 0 {
			s.scheduleClosedArrival(r.Source, e.due)
		}
	}
	s.queue.Expire(nil, now)
	for {
		ticket, it, ok := s.queue.Pop(now)
		if !ok {
			return
		}
		s.schedule(event{due: e.due + s.requests[it.Value].Used, request: it.Value, ticket: ticket})
	}
}

// enqueue queues a request with its estimated cost.
func (s *simulation) enqueue(now time.Time, request int) {
	source := s.workload.Sources[s.requests[request].Source]
	it := fulmarqueue.Item[int]{Group: source.Group, Value: request}
	cost, long := s.costs.Estimate("", source.Kind)
	it.Cost = cost
	if long {
		it.Class = fulmarqueue.Long
	}
	if source.Timeout > 0 {
		it.Deadline = now.Add(source.Timeout)
	}
	// If the queue refuses the request, its Ended stays zero.
	_, _ = s.queue.Push(now, it)
}

// usedBetween returns the service time that a request used between two times.
func (r Request) usedBetween(from, to time.Duration) time.Duration {
	if r.Ended == 0 {
		return 0
	}
	return max(min(r.Ended, to)-max(r.Started(), from), 0)
}

// percentile returns the value that the given share of the sorted times doesn't exceed.
func percentile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	i := int(math.Ceil(share*float64(len(sorted)))) - 1
	return sorted[min(max(i, 0), len(sorted)-1)]
}
