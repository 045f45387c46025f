package fulmarfollower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarera"
)

const (
	// inquiryTimeout is longer than a leader's lease can outlast its last read of the store.
	inquiryTimeout   = 2 * time.Second
	findLapseTimeout = 5 * time.Second // long enough for other daemons to report to a new leader
	maxTermAge       = 1000            // in revisions of the store; lapse times of older terms are dropped
)

// knownLapse returns when all grants of a term have lapsed; ok is false if this daemon does not know it.
func (f *Follower) knownLapse(term fulmarera.Revision) (lapse time.Time, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	lapse, ok = f.grantLapse[term]
	return lapse, ok
}

// recordEndedTerm records a daemon's statement about its last term.
func (f *Follower) recordEndedTerm(ended fulmarleaderrpc.EndedTerm) {
	// Add 2% for clocks that run at different rates.
	lapse := f.deps.Now().Add(ended.GrantsLapseIn + ended.GrantsLapseIn/50)
	f.log.Info("learned when grants of an ended term lapse", "term", ended.Term, "left", ended.GrantsLapseIn)
	f.mu.Lock()
	defer f.mu.Unlock()
	for term := range f.grantLapse {
		if term < ended.Term-maxTermAge {
			delete(f.grantLapse, term)
		}
	}
	if known, ok := f.grantLapse[ended.Term]; !ok || lapse.Before(known) {
		f.grantLapse[ended.Term] = lapse
	}
}

// findGrantLapse returns when all grants of a term have lapsed. It uses the record of this daemon, or asks the daemon
// at address, which led in that term, and then other daemons, which may have learned it before the former leader was
// restarted.
func (f *Follower) findGrantLapse(ctx context.Context, term fulmarera.Revision, address string) (time.Time, bool) {
	ctx, cancel := context.WithTimeout(ctx, findLapseTimeout)
	defer cancel()
	for {
		if lapse, ok := f.knownLapse(term); ok || term == 0 {
			return lapse, ok
		}
		if address != "" && address != f.deps.Address {
			f.askFormerLeader(ctx, address, fulmarleaderrpc.Versions{Term: term})
		}
		if !fulmarclock.Sleep(ctx, leaderCheckInterval) {
			return time.Time{}, false
		}
		address = ""
		if contacts := f.views.Get().Contacts; len(contacts) > 0 {
			address = contacts[rand.IntN(len(contacts))]
		}
	}
}

// askFormerLeader asks a daemon when the grants of versions.Term lapse. A daemon that still leads is asked again until
// its term has ended. The other versions keep its answers small.
func (f *Follower) askFormerLeader(ctx context.Context, address string, versions fulmarleaderrpc.Versions) {
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	defer cancel()
	leader, err := f.dial(ctx, address)
	if err != nil {
		f.log.Debug("connection to former leader failed", "address", address, "error", err)
		return
	}
	defer leader.Close()
	for ctx.Err() == nil {
		u, err := leader.Sync(ctx, &fulmarleaderrpc.Report{ID: f.deps.ID, Address: f.deps.Address, CPUShare: f.deps.CPUShare, Versions: versions})
		if err != nil {
			f.log.Debug("inquiry to former leader failed", "address", address, "error", err)
			return
		}
		if u.EndedTerm != nil {
			f.recordEndedTerm(*u.EndedTerm)
			return
		}
		fulmarclock.Sleep(ctx, leaderCheckInterval)
	}
}
