package fulmarexperiment

import (
	"math"
	"slices"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarqueue"
)

const (
	slots   = 3
	mean    = 6 * time.Millisecond // server time of short work
	timeout = 500 * time.Millisecond
	onset   = 5 * time.Second
	settle  = time.Second // within which a surge must be contained
	after   = 10 * time.Second

	runLength = 400 // requests of a payout run; a p99 needs some thousand short ones beside it
	straggler = 300 * time.Millisecond
)

// capacity is the number of short requests a second that the target can serve.
var capacity = slots * float64(time.Second) / float64(mean)

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
// offer 0.8, 1 and 1.5 times their entitlement, a quarter of the target.
type Surge struct {
	FirstSecond float64 // least share of entitlement of another group in the first second
	Later       float64 // the same over the nine seconds that follow
}

// MeasureSurge returns the least shares of the entitlement that the groups
// without a surge received.
func MeasureSurge(d fulmarqueue.Discipline, seed uint64) Surge {
	requests := Run(d, surge(seed))
	return Surge{
		FirstSecond: leastShare(requests, onset, onset+settle),
		Later:       leastShare(requests, onset+settle, onset+after),
	}
}

func surge(seed uint64) Workload {
	w := Workload{Slots: slots, Duration: onset + after, Seed: seed}
	for i, load := range []float64{0.7, 0.8, 1, 1.5} {
		w.Sources = append(w.Sources, Source{
			Group: string(rune('a' + i)), Kind: "get", Mean: mean, Timeout: timeout,
			Rate: load * capacity / 4, Onset: onset,
		})
	}
	w.Sources[0].RateFactor = 20
	return w
}

// Shares returns, for each interval of the given length in the surge of
// MeasureSurge from a second before its onset on, the share of the target that
// each group received.
func Shares(d fulmarqueue.Discipline, interval time.Duration, seed uint64) [][4]float64 {
	requests := Run(d, surge(seed))
	var shares [][4]float64
	for from := onset - settle; from+interval <= onset+3*settle; from += interval {
		var s [4]float64
		for _, r := range requests {
			s[r.Source] += r.overlap(from, from+interval).Seconds() / (slots * interval.Seconds())
		}
		shares = append(shares, s)
	}
	return shares
}

// leastShare returns the least of received / entitled server time of the
// sources other than the first.
func leastShare(requests []Request, from, to time.Duration) float64 {
	least := 1.0
	for source := 1; source < 4; source++ {
		received := time.Duration(0)
		for _, r := range requests {
			if r.Source == source {
				received += r.overlap(from, to)
			}
		}
		least = min(least, received.Seconds()/entitled(requests, source, from, to).Seconds())
	}
	return least
}

// entitled returns the server time that a source would receive in an interval
// if, from its start on, a quarter of the target served it alone. Work beyond a
// backlog of timeout is refused there as well.
func entitled(requests []Request, source int, from, to time.Duration) time.Duration {
	const share = slots / 4.0
	served, backlog, last := 0.0, 0.0, from
	pass := func(at time.Duration) {
		work := min(share*(at-last).Seconds(), backlog)
		served, backlog, last = served+work, backlog-work, at
	}
	for _, r := range requests { // an open source is recorded in the order of arrival
		switch {
		case r.Source != source || r.Arrived >= to:
		case r.Arrived < from:
			backlog += r.overlap(from, math.MaxInt64).Seconds()
		default:
			pass(r.Arrived)
			backlog = min(backlog+r.Used.Seconds(), share*timeout.Seconds())
		}
	}
	pass(to)
	return time.Duration(served * float64(time.Second))
}

// Payout compares short work and a payout run side by side with each alone.
type Payout struct {
	ShortRatio float64 // p99 of short work beside the run / without it
	IdealRatio float64 // p99 of short work on the slots that the run leaves / without the run
	RunRatio   float64 // time of the run beside short work / on an empty target

	P99Beside, P99Ideal, P99Alone time.Duration // the three p99 of short work: beside the run, ideal, without it
}

// Within reports whether short work is served as well as the slots that the run
// leaves permit: its ratio is at most most or, where the ideal itself exceeds
// that, at most slack times the ideal.
func (p Payout) Within(most, slack float64) bool {
	if p.IdealRatio > most {
		return p.ShortRatio <= slack*p.IdealRatio
	}
	return p.ShortRatio <= most
}

// MeasurePayout runs a payout run of the given width beside short work of three
// groups that takes the given share of the target.
//
// The ideal serves the same arrivals of short work on a target without the width
// slots that the run holds, and has no long work: an order of service that
// neither cuts off a straggler nor refuses short work has no more slots for
// short work while the run goes on. A discipline falls below the ideal only
// where it delays the run.
func MeasurePayout(d fulmarqueue.Discipline, load float64, width int, seed uint64) Payout {
	run := Source{Group: "pay", Kind: "payout", Mean: straggler, Count: runLength, Concurrency: width, Onset: onset}
	length := straggler * time.Duration(runLength/width)
	w := Workload{Slots: slots, Duration: onset + 2*length, Seed: seed}
	for i := range 3 {
		w.Sources = append(w.Sources, Source{
			Group: string(rune('a' + i)), Kind: "get", Mean: mean, Timeout: timeout, Rate: load * capacity / 3,
		})
	}
	without := Run(d, w)
	ideal := w
	ideal.Slots = slots - width
	left := Run(d, ideal)
	w.Sources = append(w.Sources, run)
	with := Run(d, w)
	end := lastEnd(with, 3)
	p := Payout{
		P99Beside: p99(with, onset, end), P99Ideal: p99(left, onset, end), P99Alone: p99(without, onset, end),
		RunRatio: float64(end-onset) / float64(length),
	}
	p.ShortRatio = float64(p.P99Beside) / float64(p.P99Alone)
	p.IdealRatio = float64(p.P99Ideal) / float64(p.P99Alone)
	return p
}

// p99 returns the 99th percentile of the time from arrival to end of the short
// work that arrived in an interval; refused work counts as its timeout.
func p99(requests []Request, from, to time.Duration) time.Duration {
	var times []time.Duration
	for _, r := range requests {
		switch {
		case r.Source > 2 || r.Arrived < from || r.Arrived >= to:
		case r.Ended == 0:
			times = append(times, timeout)
		default:
			times = append(times, r.Ended-r.Arrived)
		}
	}
	slices.Sort(times)
	return percentile(times, 0.99)
}

func lastEnd(requests []Request, source int) time.Duration {
	last := time.Duration(0)
	for _, r := range requests {
		if r.Source == source {
			last = max(last, r.Ended)
		}
	}
	return last
}

// MeasureRise returns the goodput, as a share of capacity, after the demand of
// four groups rose tenfold from half of the capacity. Work that ends after its
// deadline is no goodput.
func MeasureGoodput(d fulmarqueue.Discipline, seed uint64) float64 {
	w := Workload{Slots: slots, Duration: onset + after, Seed: seed}
	for i := range 4 {
		w.Sources = append(w.Sources, Source{
			Group: string(rune('a' + i)), Kind: "get", Mean: mean, Timeout: timeout,
			Rate: capacity / 8, RateFactor: 10, Onset: onset,
		})
	}
	good := time.Duration(0)
	for _, r := range Run(d, w) {
		if r.InTime {
			good += r.overlap(onset+settle, onset+after)
		}
	}
	return good.Seconds() / (slots * (after - settle).Seconds())
}

// Loads are the shares of the target that short work takes beside a payout run.
var Loads = []float64{0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7}
