package fulmarexperiment

import (
	"math"
	"slices"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarqueue"
)

const (
	targetSlots  = 3
	shortMean    = 6 * time.Millisecond // mean service time of short work
	shortTimeout = 500 * time.Millisecond
	onset        = 5 * time.Second  // of a surge, a rise of demand or a payout run
	settleTime   = time.Second      // after the onset, within which a surge must be contained
	measuredTime = 10 * time.Second // after the onset

	runRequests   = 400                    // requests of a payout run; the p99 needs thousands of short requests in the same time
	stragglerTime = 300 * time.Millisecond // service time of each request of a payout run
)

// capacity is the number of short requests a second that the target can serve.
var capacity = targetSlots * float64(time.Second) / float64(shortMean)

// Disciplines lists all disciplines with their names, Fair first.
var Disciplines = []struct {
	Name       string
	Discipline fulmarqueue.Discipline
}{
	{"fair", fulmarqueue.Fair},
	{"fifo", fulmarqueue.FIFO},
	{"static", fulmarqueue.Static},
	{"roundrobin", fulmarqueue.RoundRobin},
}

// Surge is the result of a 20-fold surge of one of four groups. The others
// offer 0.8, 1 and 1.5 times their entitlement, which is a quarter of the target.
type Surge struct {
	FirstSecond float64 // lowest share of its entitlement that another group received in the first second
	Later       float64 // the same over the nine seconds that follow
}

// MeasureSurge returns the lowest shares of their entitlement that the groups
// without a surge received.
func MeasureSurge(d fulmarqueue.Discipline, seed uint64) Surge {
	requests := Run(d, surgeWorkload(seed))
	return Surge{
		FirstSecond: leastShare(requests, onset, onset+settleTime),
		Later:       leastShare(requests, onset+settleTime, onset+measuredTime),
	}
}

// surgeWorkload returns the load of four groups of which the first rises 20-fold at the onset.
func surgeWorkload(seed uint64) Workload {
	w := Workload{Slots: targetSlots, Duration: onset + measuredTime, Seed: seed}
	for i, load := range []float64{0.7, 0.8, 1, 1.5} {
		w.Sources = append(w.Sources, Source{
			Group: string(rune('a' + i)), Kind: "get", Mean: shortMean, Timeout: shortTimeout,
			Rate: load * capacity / 4, Onset: onset,
		})
	}
	w.Sources[0].RateFactor = 20
	return w
}

// Shares simulates the surge of MeasureSurge and returns the share of the target
// that each group received in each interval of the given length, from one second
// before the onset to three seconds after it.
func Shares(d fulmarqueue.Discipline, interval time.Duration, seed uint64) [][4]float64 {
	requests := Run(d, surgeWorkload(seed))
	var shares [][4]float64
	for from := onset - settleTime; from+interval <= onset+3*settleTime; from += interval {
		var s [4]float64
		for _, r := range requests {
			s[r.Source] += r.usedBetween(from, from+interval).Seconds() / (targetSlots * interval.Seconds())
		}
		shares = append(shares, s)
	}
	return shares
}

// leastShare returns the lowest ratio of received to entitled service time of the
// sources other than the first.
func leastShare(requests []Request, from, to time.Duration) float64 {
	least := 1.0
	for source := 1; source < 4; source++ {
		received := time.Duration(0)
		for _, r := range requests {
			if r.Source == source {
				received += r.usedBetween(from, to)
			}
		}
		least = min(least, received.Seconds()/entitledTime(requests, source, from, to).Seconds())
	}
	return least
}

// entitledTime returns the service time that a source would receive in an interval
// if, from the start of the interval on, a quarter of the target served that source
// alone. Such a target too refuses work beyond a backlog of shortTimeout.
func entitledTime(requests []Request, source int, from, to time.Duration) time.Duration {
	const share = targetSlots / 4.0
	served, backlog, now := 0.0, 0.0, from
	serveUntil := func(at time.Duration) {
		work := min(share*(at-now).Seconds(), backlog)
		served, backlog, now = served+work, backlog-work, at
	}
	for _, r := range requests { // requests of an open source are in the order of arrival
		switch {
		case r.Source != source || r.Arrived >= to:
		case r.Arrived < from:
			backlog += r.usedBetween(from, math.MaxInt64).Seconds()
		default:
			serveUntil(r.Arrived)
			backlog = min(backlog+r.Used.Seconds(), share*shortTimeout.Seconds())
		}
	}
	serveUntil(to)
	return time.Duration(served * float64(time.Second))
}

// Payout compares short work and a payout run that share a target with each of them alone.
type Payout struct {
	ShortRatio float64 // p99 latency of short work: beside the run / without it
	IdealRatio float64 // p99 latency of short work: on the slots that the run leaves / without the run
	RunRatio   float64 // duration of the run: beside short work / on an empty target

	P99Beside, P99Ideal, P99Alone time.Duration // p99 latency of short work beside the run, on the slots that it leaves, and without it
}

// Within reports whether short work is served as well as the slots that the run
// leaves permit: ShortRatio is at most maxRatio or, where IdealRatio itself exceeds
// maxRatio, at most idealFactor times IdealRatio.
func (p Payout) Within(maxRatio, idealFactor float64) bool {
	if p.IdealRatio > maxRatio {
		return p.ShortRatio <= idealFactor*p.IdealRatio
	}
	return p.ShortRatio <= maxRatio
}

// MeasurePayout simulates a payout run that keeps the given number of stragglers in
// service beside short work of three groups, whose load is the given share of the
// target.
//
// The ideal serves the same arrivals of short work on a target without the slots
// that the stragglers hold, and has no long work: an order of service that neither
// cuts off a straggler nor refuses short work has no more slots for short work while
// the run lasts. A discipline has a lower p99 than the ideal only where it delays
// the run.
func MeasurePayout(d fulmarqueue.Discipline, load float64, stragglers int, seed uint64) Payout {
	run := Source{Group: "pay", Kind: "payout", Mean: stragglerTime, Count: runRequests, Concurrency: stragglers, Onset: onset}
	length := stragglerTime * time.Duration(runRequests/stragglers)
	w := Workload{Slots: targetSlots, Duration: onset + 2*length, Seed: seed}
	for i := range 3 {
		w.Sources = append(w.Sources, Source{
			Group: string(rune('a' + i)), Kind: "get", Mean: shortMean, Timeout: shortTimeout, Rate: load * capacity / 3,
		})
	}
	alone := Run(d, w)
	ideal := w
	ideal.Slots = targetSlots - stragglers
	idealRequests := Run(d, ideal)
	w.Sources = append(w.Sources, run)
	beside := Run(d, w)
	end := lastEnd(beside, 3)
	p := Payout{
		P99Beside: p99Latency(beside, onset, end), P99Ideal: p99Latency(idealRequests, onset, end), P99Alone: p99Latency(alone, onset, end),
		RunRatio: float64(end-onset) / float64(length),
	}
	p.ShortRatio = float64(p.P99Beside) / float64(p.P99Alone)
	p.IdealRatio = float64(p.P99Ideal) / float64(p.P99Alone)
	return p
}

// p99Latency returns the 99th percentile of the time from arrival to end of the
// short requests that arrived in an interval. Requests that were refused or expired
// count with their timeout.
func p99Latency(requests []Request, from, to time.Duration) time.Duration {
	var times []time.Duration
	for _, r := range requests {
		switch {
		case r.Source > 2 || r.Arrived < from || r.Arrived >= to:
		case r.Ended == 0:
			times = append(times, shortTimeout)
		default:
			times = append(times, r.Ended-r.Arrived)
		}
	}
	slices.Sort(times)
	return percentile(times, 0.99)
}

// lastEnd returns the end of the last request of a source.
func lastEnd(requests []Request, source int) time.Duration {
	last := time.Duration(0)
	for _, r := range requests {
		if r.Source == source {
			last = max(last, r.Ended)
		}
	}
	return last
}

// MeasureGoodput returns the goodput, as a share of capacity, after the demand of
// four groups rose tenfold from half of the capacity. Work that ends after its
// deadline does not count as goodput.
func MeasureGoodput(d fulmarqueue.Discipline, seed uint64) float64 {
	w := Workload{Slots: targetSlots, Duration: onset + measuredTime, Seed: seed}
	for i := range 4 {
		w.Sources = append(w.Sources, Source{
			Group: string(rune('a' + i)), Kind: "get", Mean: shortMean, Timeout: shortTimeout,
			Rate: capacity / 8, RateFactor: 10, Onset: onset,
		})
	}
	good := time.Duration(0)
	for _, r := range Run(d, w) {
		if r.InTime {
			good += r.usedBetween(onset+settleTime, onset+measuredTime)
		}
	}
	return good.Seconds() / (targetSlots * (measuredTime - settleTime).Seconds())
}

// Loads are the loads of short work beside a payout run, as shares of the target.
var Loads = []float64{0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7}
