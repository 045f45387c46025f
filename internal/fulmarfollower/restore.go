package fulmarfollower

import (
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarsnapshot"
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

// lastSnapshot returns what the view holds of the store. A term reads the store itself; a read before the election would only delay it.
func (f *Follower) lastSnapshot() *fulmarsnapshot.Snapshot {
	view := f.views.Get()
	return &fulmarsnapshot.Snapshot{ReadAt: view.AsOf, Routes: view.Routes, Catalog: view.Catalog}
}
