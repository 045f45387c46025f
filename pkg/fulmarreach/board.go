package fulmarreach

import (
	"maps"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

const (
	// unreachableTimeout is the time of failing orders after which a target is lost.
	unreachableTimeout = 250 * time.Millisecond
	// unansweredTimeout replaces it for a target that can be reached but does not answer orders. It may have accepted them, so its
	// keys could not be granted to another target earlier anyway.
	unansweredTimeout = 1500 * time.Millisecond
	// minFailures is the number of orders in a row that must have failed.
	minFailures = 2
	// minTrial and maxTrial bound the time for which a lost target must answer before it is given keys again. Keys that a target
	// loses are not served for about 2 s, so that one which comes back for a moment costs more than one that waits for a second.
	minTrial = time.Second
	maxTrial = 8 * time.Second
	// relapseWindow is the time after its return in which the next loss of a target doubles its trial.
	relapseWindow = 20 * time.Second
	// trialInterval and lostInterval are the times between two probes of a target that has answered the last one, or has not.
	trialInterval = 250 * time.Millisecond
	lostInterval  = 500 * time.Millisecond
	// probeShare is the time between two probes of any targets: 400 a second are a seventh of what a leader can send.
	probeShare = 2500 * time.Microsecond
)

// record is what is known of one incarnation. The zero value is that of a target that answers.
type record struct {
	failures     int       // in a row, up to now
	failingSince time.Time // time of the first of them
	unsent       bool      // the last order could not be sent

	lost           bool
	trial          time.Duration // for which it must answer
	answeringSince time.Time     // time of the first answer after the last failure; zero without one
	askAt          time.Time     // when it is to be asked, unless another order to it ends before
	returnedAt     time.Time     // end of the last trial
}

// fails reports whether the orders up to now have failed for long enough for the target to be lost.
func (r record) fails(now time.Time) bool {
	limit := unansweredTimeout
	if r.unsent {
		limit = unreachableTimeout
	}
	return r.failures >= minFailures && now.Sub(r.failingSince) >= limit
}

// asLost returns the record of a target that has been lost by now.
func (r record) asLost(now time.Time) record {
	if r.lost {
		return r
	}
	trial := minTrial
	if !r.returnedAt.IsZero() && now.Sub(r.returnedAt) < relapseWindow {
		trial = min(2*r.trial, maxTrial)
	}
	r.lost, r.trial, r.answeringSince = true, trial, time.Time{}
	return r
}

// interval returns the time between two probes of a lost target.
func (r record) interval() time.Duration {
	if r.answeringSince.IsZero() {
		return lostInterval
	}
	return trialInterval
}

// State is what a board knows of a target.
type State struct {
	Reachable bool
	Failures  int           // orders in a row that have failed
	Failing   time.Duration // time since the first of them
	Unsent    bool          // the last one could not be sent
	Trial     time.Duration // time for which a lost target must answer, or has answered last; zero if it was never lost
}

// Board holds the outcome of the orders to targets; it is not safe for concurrent use.
type Board struct {
	records map[fulmarrange.Incarnation]record
	lost    int // number of lost targets
}

// New returns an empty board.
func New() *Board { return &Board{records: make(map[fulmarrange.Incarnation]record)} }

// put replaces the record of a target to which an order has ended at now. The delays of targets that are lost together differ, as
// each adds to the number of them, so they are not asked all at once.
func (b *Board) put(now time.Time, target fulmarrange.Incarnation, r record) {
	if b.records[target].lost {
		b.lost--
	}
	if r.lost {
		b.lost++
	}
	r.askAt = now.Add(max(r.interval(), time.Duration(b.lost)*probeShare))
	b.records[target] = r
}

// RecordFailure records that an order to a target has failed at now; unsent tells that it could not be sent.
func (b *Board) RecordFailure(now time.Time, target fulmarrange.Incarnation, unsent bool) {
	r := b.records[target]
	if r.failures == 0 {
		r.failingSince = now
	}
	r.failures++
	r.unsent, r.answeringSince = unsent, time.Time{}
	if r.fails(now) {
		r = r.asLost(now)
	}
	b.put(now, target, r)
}

// RecordAnswer records that a target has answered an order at now.
func (b *Board) RecordAnswer(now time.Time, target fulmarrange.Incarnation) {
	r, ok := b.records[target]
	if !ok {
		return
	}
	if r.fails(now) {
		r = r.asLost(now)
	}
	r.failures = 0
	switch {
	case !r.lost:
	case r.answeringSince.IsZero():
		r.answeringSince = now
	case now.Sub(r.answeringSince) >= r.trial:
		r.lost, r.returnedAt = false, now
	}
	b.put(now, target, r)
}

// RecordLoss records that a target is lost at now for another reason than its own orders, such as the loss of its data centre.
func (b *Board) RecordLoss(now time.Time, target fulmarrange.Incarnation) {
	if r := b.records[target]; !r.lost {
		b.put(now, target, r.asLost(now))
	}
}

// RecordGrant records that a target has taken keys at now. A target that holds keys is not lost, whatever it did before.
func (b *Board) RecordGrant(now time.Time, target fulmarrange.Incarnation) {
	r, ok := b.records[target]
	if !ok {
		return
	}
	if r.lost {
		r.lost, r.returnedAt = false, now
	}
	r.failures = 0
	b.put(now, target, r)
}

// State returns what is known of a target at now.
func (b *Board) State(now time.Time, target fulmarrange.Incarnation) State {
	r := b.records[target]
	s := State{Reachable: !r.lost && !r.fails(now), Failures: r.failures, Unsent: r.unsent && r.failures > 0, Trial: r.trial}
	if r.failures > 0 {
		s.Failing = now.Sub(r.failingSince)
	}
	return s
}

// UntilProbe returns the time until a target is to be asked with a probe, unless another order to it ends before; ok is false if it
// need not be asked.
func (b *Board) UntilProbe(now time.Time, target fulmarrange.Incarnation) (wait time.Duration, ok bool) {
	r := b.records[target]
	if !r.lost && !r.fails(now) {
		return 0, false
	}
	return r.askAt.Sub(now), true
}

// Retain drops what is known of the targets for which has returns false.
func (b *Board) Retain(has func(id string) bool) {
	maps.DeleteFunc(b.records, func(target fulmarrange.Incarnation, r record) bool {
		gone := !has(target.ID)
		if gone && r.lost {
			b.lost--
		}
		return gone
	})
}
