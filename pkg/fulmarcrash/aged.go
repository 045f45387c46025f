package fulmarcrash

import (
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// Aged is a record for messages and for the store. Clocks of daemons differ, so it has ages in place of times.
type Aged struct {
	Work     uint64        `cbor:"work"`
	Crashes  []AgedCrash   `cbor:"crashes,omitempty"`
	Answered bool          `cbor:"answered,omitempty"`
	Age      time.Duration `cbor:"age,omitempty"` // since the answer, if Answered
}

// AgedCrash is a crash in an Aged.
type AgedCrash struct {
	Target string        `cbor:"target"`
	Born   int64         `cbor:"born"`
	Age    time.Duration `cbor:"age"`
}

// NewAged returns the records with the ages that they have at now.
func NewAged(now time.Time, records []Record) []Aged {
	out := make([]Aged, 0, len(records))
	for _, r := range records {
		a := Aged{Work: r.Work, Answered: !r.AnsweredAt.IsZero(), Crashes: make([]AgedCrash, 0, len(r.Crashes))}
		if a.Answered {
			a.Age = now.Sub(r.AnsweredAt)
		}
		for _, c := range r.Crashes {
			a.Crashes = append(a.Crashes, AgedCrash{Target: c.Target.ID, Born: c.Target.Born, Age: now.Sub(c.At)})
		}
		out = append(out, a)
	}
	return out
}

// Record returns the record that was received at now. Ages below zero, which damage may cause, count as zero.
func (a Aged) Record(now time.Time) Record {
	r := Record{Work: a.Work}
	if a.Answered {
		r.AnsweredAt = now.Add(-max(a.Age, 0))
	}
	for _, c := range a.Crashes[:min(len(a.Crashes), CondemnedFrom)] {
		r = r.WithCrash(Crash{fulmarrange.Incarnation{ID: c.Target, Born: c.Born}, now.Add(-max(c.Age, 0))})
	}
	return r
}
