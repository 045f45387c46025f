package fulmarfollower

import (
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarleader"
	"github.com/fulmarbend/fulmarbend/internal/fulmarsnapshot"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarera"
)

// formerLeaderTime is the time after a restore of the store in which only the daemon that led before it stands for election. It
// allows for a lease of the former leader that the copy holds. Another daemon, which does not know the grants, would have to wait
// until they have lapsed, which takes several times as long.
const formerLeaderTime = 1500 * time.Millisecond

// awaitsFormerLeader reports whether another daemon should stand for election first, as it may have led before a restore of the store.
func (f *Follower) awaitsFormerLeader(now time.Time) bool {
	era := f.deps.Eras.Current()
	return era.Former != 0 && now.Sub(era.Since) < formerLeaderTime && !f.memory.IsOf(era.Era)
}

// ledEra is the newest era of which the daemon knows a term.
type ledEra struct {
	era   fulmarera.Era
	since time.Time // when it first knew one
}

// noteTerm notes that there is a term, or has been. Only the goroutine of Run calls it.
func (f *Follower) noteTerm(term fulmarera.Revision) {
	if e := term.Era(); e > f.led.era {
		f.led = ledEra{e, f.deps.Now()}
	}
}

// past returns what the daemon knows of earlier terms.
func (f *Follower) past() fulmarleader.Past {
	p := fulmarleader.Past{Memory: f.memory}
	if era := f.deps.Eras.Current().Era; era != 0 && f.led.era == era {
		p.Led = f.led.since
	}
	return p
}

// lastSnapshot returns what the view holds of the store. A term reads the store itself; a read before the election would only delay it.
func (f *Follower) lastSnapshot() *fulmarsnapshot.Snapshot {
	view := f.views.Get()
	return &fulmarsnapshot.Snapshot{ReadAt: view.AsOf, Routes: view.Routes, Catalog: view.Catalog}
}
