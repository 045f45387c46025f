package fulmarcrash

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// CondemnedFrom is the number of targets that must have ended under the work before it is refused. Requests that are at a
// target together with one that crashes it are often sent again to the same next target, so that two are not enough.
const CondemnedFrom = 3

// Crash is the end of a target during a request.
type Crash struct {
	Target fulmarrange.Incarnation
	At     time.Time
}

// Record is what is known of the work with a fingerprint; it is immutable.
type Record struct {
	Work       uint64
	Crashes    []Crash   // after AnsweredAt, by time, the latest CondemnedFrom
	AnsweredAt time.Time // when a target last answered the work after a crash; zero if none has
}

// WithCrash returns the record with one more crash. A target that is known to have ended counts once.
func (r Record) WithCrash(c Crash) Record {
	return r.Merge(Record{Work: r.Work, Crashes: []Crash{c}})
}

// WithAnswer returns the record after an answer, which ends the suspicion that earlier crashes have raised.
func (r Record) WithAnswer(at time.Time) Record {
	return r.Merge(Record{Work: r.Work, AnsweredAt: at})
}

// Merge returns what both records know.
func (r Record) Merge(o Record) Record {
	out := Record{Work: r.Work, AnsweredAt: r.AnsweredAt}
	if o.AnsweredAt.After(out.AnsweredAt) {
		out.AnsweredAt = o.AnsweredAt
	}
	all := slices.Concat(r.Crashes, o.Crashes)
	// Daemons learn of the same crash at different times, of which the earliest counts.
	slices.SortStableFunc(all, func(a, b Crash) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Target.ID, b.Target.ID), cmp.Compare(a.Target.Born, b.Target.Born))
	})
	for _, c := range all {
		if c.At.After(out.AnsweredAt) && !out.has(c.Target) {
			out.Crashes = append(out.Crashes, c)
		}
	}
	// Dropping the earliest ones, which an answer would drop first, keeps the result independent of the order.
	out.Crashes = out.Crashes[max(len(out.Crashes)-CondemnedFrom, 0):]
	return out
}

func (r Record) has(target fulmarrange.Incarnation) bool {
	return slices.ContainsFunc(r.Crashes, func(c Crash) bool { return c.Target == target })
}

// hasCrashUpTo reports whether one of the crashes was not after t.
func (r Record) hasCrashUpTo(t time.Time) bool {
	return slices.ContainsFunc(r.Crashes, func(c Crash) bool { return !c.At.After(t) })
}

// SameCrashes reports whether both records have crashes of the same targets.
func (r Record) SameCrashes(o Record) bool {
	return len(r.Crashes) == len(o.Crashes) && !slices.ContainsFunc(r.Crashes, func(c Crash) bool { return !o.has(c.Target) })
}

// IsCondemned reports whether the work is to be refused.
func (r Record) IsCondemned() bool { return len(r.Crashes) >= CondemnedFrom }

// latest returns the time of the latest event.
func (r Record) latest() time.Time {
	if n := len(r.Crashes); n > 0 {
		return r.Crashes[n-1].At
	}
	return r.AnsweredAt
}
