package fulmarsilence

import "time"

const (
	// minFailures is the number of failed calls in a row from which a data centre can be silent. A single target that has ended, with
	// the calls that were under way to it, does not make one silent.
	minFailures = 8
	// minSilence is the least time since the last answer: many targets answer a call in any such time.
	minSilence = 500 * time.Millisecond
	// minRepetition is the time after the first failure at which a call must have been made that failed as well, before a data centre
	// counts as lost. The calls of a caller that was frozen fail all at once.
	minRepetition = 250 * time.Millisecond
	// probeInterval is the time between two calls to a silent data centre. It bounds the time until the end of a silence is noticed.
	probeInterval = 100 * time.Millisecond
)

// dataCentre is what is known of the calls to one data centre.
type dataCentre struct {
	answeredAt   time.Time
	failures     int       // since the last answer
	firstFailure time.Time // of these
	repeated     bool      // a call made minRepetition after the first failure has failed as well
	nextProbe    time.Time
}

// Board holds the outcome of the calls to the data centres; it is not safe for concurrent use.
type Board struct {
	dcs        map[string]*dataCentre
	answeredAt time.Time // by any data centre
}

// New returns an empty board.
func New() *Board { return &Board{dcs: make(map[string]*dataCentre)} }

func (b *Board) dc(name string) *dataCentre {
	d := b.dcs[name]
	if d == nil {
		d = &dataCentre{}
		b.dcs[name] = d
	}
	return d
}

// RecordAnswer records that a call to a data centre was answered at now. It reports whether the data centre was silent.
func (b *Board) RecordAnswer(now time.Time, name string) (wasSilent bool) {
	wasSilent = b.IsSilent(now, name)
	*b.dc(name) = dataCentre{answeredAt: now}
	b.answeredAt = now
	return wasSilent
}

// RecordFailure records that a call to a data centre that was made at the given time has met only silence up to now.
func (b *Board) RecordFailure(made, now time.Time, name string) {
	d := b.dc(name)
	if made.Before(d.answeredAt) {
		return // another call has been answered since
	}
	if d.failures == 0 {
		d.firstFailure = now
	}
	d.failures++
	d.repeated = d.repeated || made.Sub(d.firstFailure) >= minRepetition
}

// IsSilent reports whether a data centre answers no calls at now. Only calls that MayProbe permits need be made to it.
func (b *Board) IsSilent(now time.Time, name string) bool {
	d := b.dcs[name]
	return d != nil && d.failures >= minFailures && now.Sub(d.answeredAt) >= minSilence
}

// IsLost reports whether a data centre is silent for long enough to be given up, while another one answers.
func (b *Board) IsLost(now time.Time, name string) bool {
	return b.IsSilent(now, name) && b.dcs[name].repeated && b.answeredAt.After(b.dcs[name].firstFailure)
}

// MayProbe reports whether a call to a silent data centre may be made at now, and counts it as made.
func (b *Board) MayProbe(now time.Time, name string) bool {
	d := b.dc(name)
	if now.Before(d.nextProbe) {
		return false
	}
	d.nextProbe = now.Add(probeInterval)
	return true
}
