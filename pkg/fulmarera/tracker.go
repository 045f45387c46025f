package fulmarera

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ErrNotBelieved means that the era that an answer states is not the one in force, so that the answer must not be used.
var ErrNotBelieved = errors.New("fulmarera: era of the answer not believed")

const (
	// confirmations is the number of answers that must state another era than the one in force until it is believed: a single
	// damaged answer must not make all later ones count as those of a former era.
	confirmations = 2
	// candidateLife is the number of answers of the era in force after which an unconfirmed one is dropped.
	candidateLife = 16
)

// Reasons for which an answer is not believed, and the events that an Observer is told.
const (
	Missing     = "missing"     // the answer states no era, but earlier ones did
	Damaged     = "damaged"     // it states no valid number
	Former      = "former"      // it states an earlier era, as an answer that arrives late
	Unconfirmed = "unconfirmed" // it is the first one that states a later era
)

// Observer is told what a Tracker finds.
type Observer interface {
	// EraRejected is called for each answer that is not believed, with one of the reasons above.
	EraRejected(reason string)
	// EraBegan is called when a later era comes into force: the store was restored.
	EraBegan(from, to Era)
}

// State is the knowledge of the era in force.
type State struct {
	Era    Era
	Former Era       // the era before, as far as this process has seen one, else 0
	Since  time.Time // when this process learned of the era, which had begun by then
	ended  chan struct{}
}

// Ended returns a channel that is closed when the era has ended.
func (s *State) Ended() <-chan struct{} { return s.ended }

// HasEnded reports whether the era has ended.
func (s *State) HasEnded() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// Tracker keeps the era in force; it is safe for concurrent use. A nil Tracker is that of a store without eras.
type Tracker struct {
	observer Observer
	now      func() time.Time
	state    atomic.Pointer[State]

	mu        sync.Mutex
	known     bool // an answer has been believed
	confirmed bool // the era in force has been stated by several answers
	candidate Era
	stated    int // answers that stated the candidate
	since     int // answers of the era in force since the last of these
}

// New returns a tracker of a store that has not answered yet.
func New(observer Observer, now func() time.Time) *Tracker {
	t := &Tracker{observer: observer, now: now}
	t.state.Store(&State{Since: now(), ended: make(chan struct{})})
	return t
}

// Current returns the era in force.
func (t *Tracker) Current() *State {
	if t == nil {
		return &noEra
	}
	return t.state.Load()
}

// noEra never ends.
var noEra State

// Observe takes over what an answer states of its era, a decimal number from 0 on, and returns the era if the answer can be used. present
// is false if the answer states none. The error is ErrNotBelieved.
func (t *Tracker) Observe(text string, present bool) (Era, error) {
	if t == nil {
		return 0, nil
	}
	stated := Era(0)
	if present {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 0 || n >= int64(MaxEra) {
			return 0, t.reject(Damaged)
		}
		stated = Era(n) + 1 // the first one may be 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.Current().Era
	if !t.known {
		t.known = true
		if stated != current {
			t.begin(stated, 0)
		}
		return stated, nil
	}
	if stated == current {
		t.confirmed = true
		if t.since++; t.since > candidateLife {
			t.stated = 0
		}
		return current, nil
	}
	if stated < current && t.confirmed {
		if !present {
			return 0, t.reject(Missing)
		}
		return 0, t.reject(Former)
	}
	if stated != t.candidate || t.stated == 0 {
		t.candidate, t.stated = stated, 0
	}
	t.since = 0
	if t.stated++; t.stated < confirmations {
		return 0, t.reject(Unconfirmed)
	}
	former := current
	if stated < current { // the first answer of this process was damaged
		former = 0
	}
	t.begin(stated, former)
	t.confirmed = true
	return stated, nil
}

// Adopt takes over the era of an answer that another daemon has received and believed. The error is ErrNotBelieved if the answer
// must not be used.
func (t *Tracker) Adopt(e Era) error {
	if t == nil {
		return nil
	}
	if e < 0 || e > MaxEra {
		return t.reject(Damaged)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.Current().Era
	switch {
	case !t.known || e > current:
		t.known, t.confirmed = true, true
		if e != current {
			t.begin(e, current)
		}
		return nil
	case e == current:
		return nil
	}
	return t.reject(Former)
}

// begin makes an era the current one. The caller holds mu.
func (t *Tracker) begin(e, former Era) {
	t.stated, t.since = 0, 0
	old := t.state.Swap(&State{Era: e, Former: former, Since: t.now(), ended: make(chan struct{})})
	close(old.ended)
	if former != 0 {
		t.observer.EraBegan(former, e)
	}
}

func (t *Tracker) reject(reason string) error {
	t.observer.EraRejected(reason)
	return errors.Wrap(ErrNotBelieved, reason)
}
