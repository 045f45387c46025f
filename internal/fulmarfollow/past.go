package fulmarfollow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/internal/fulmarsync"
)

const (
	// inquireTime is above the time that the lease of a leader lasts after its last read of the store.
	inquireTime = 2 * time.Second
	askTime     = 5 * time.Second // in which others have reported to a new leader
	endsKept    = 1000            // revisions of the store, for which the ends of terms are remembered
)

// end returns the time after which the grants of a term have lapsed; ok is false if this daemon has not heard of it.
func (f *Follower) end(term int64) (at time.Time, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok = f.ends[term]
	return at, ok
}

// heard records what a daemon says of its last term.
func (f *Follower) heard(p fulmarsync.EndedTerm) {
	// Clocks may differ by 2% in their rates.
	until := f.lead.Now().Add(p.GrantsLapseIn + p.GrantsLapseIn/50)
	f.log.Info("term has ended", "term", p.Term, "left", p.GrantsLapseIn)
	f.mu.Lock()
	defer f.mu.Unlock()
	for term := range f.ends {
		if term < p.Term-endsKept {
			delete(f.ends, term)
		}
	}
	if at, ok := f.ends[p.Term]; !ok || until.Before(at) {
		f.ends[p.Term] = until
	}
}

// latest returns the time after which the grants of a term have lapsed, from what this daemon has heard, from the
// daemon at address, which led then, or from others, which may have heard it before that one was started again.
func (f *Follower) latest(ctx context.Context, term int64, address string) (time.Time, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	for {
		if at, ok := f.end(term); ok || term == 0 {
			return at, ok
		}
		if address != "" && address != f.lead.Address {
			f.inquire(ctx, address, fulmarsync.Versions{Term: term})
		}
		if !fulmarclock.Sleep(ctx, lookEvery) {
			return time.Time{}, false
		}
		address = ""
		if contacts := f.views.Get().Contacts; len(contacts) > 0 {
			address = contacts[rand.IntN(len(contacts))]
		}
	}
}

// inquire asks a daemon when the grants of a term have lapsed. If it leads still, it is asked until its term has ended;
// have is what need not be sent again.
func (f *Follower) inquire(ctx context.Context, address string, have fulmarsync.Versions) {
	ctx, cancel := context.WithTimeout(ctx, inquireTime)
	defer cancel()
	leader, err := f.dial(ctx, address)
	if err != nil {
		f.log.Debug("former leader not reached", "address", address, "error", err)
		return
	}
	defer leader.Close()
	for ctx.Err() == nil {
		u, err := leader.Sync(ctx, &fulmarsync.Report{ID: f.lead.ID, Address: f.lead.Address, CPUShare: f.lead.CPUShare, Versions: have})
		if err != nil {
			f.log.Debug("former leader does not answer", "address", address, "error", err)
			return
		}
		if u.EndedTerm != nil {
			f.heard(*u.EndedTerm)
			return
		}
		fulmarclock.Sleep(ctx, lookEvery)
	}
}
