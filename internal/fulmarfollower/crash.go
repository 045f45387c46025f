package fulmarfollower

import (
	"context"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarcrash"
)

// knownCrashes are the records of crashing requests that the receiver of the reports knows: those that it has sent and those
// that it was told.
type knownCrashes struct {
	records    map[uint64]fulmarcrash.Record // by work
	generation int64                         // of the board when it was last compared
}

// note records that the other side knows the given records.
func (k *knownCrashes) note(now time.Time, crashes []fulmarcrash.Aged) {
	for _, a := range crashes {
		r := a.Record(now)
		k.set(r.Merge(k.records[r.Work]))
	}
}

func (k *knownCrashes) set(r fulmarcrash.Record) {
	if k.records == nil {
		k.records = make(map[uint64]fulmarcrash.Record)
	}
	k.records[r.Work] = r
}

// unknown returns the records of the board that tell the other side of crashes or clear some of which it knows, and notes that
// it will know them. An answer that isn't sent isn't noted, as it may clear a crash of which the other side learns later.
func (k *knownCrashes) unknown(now time.Time, board *fulmarcrash.Board) []fulmarcrash.Aged {
	generation := board.Generation()
	if generation == k.generation {
		return nil
	}
	k.generation = generation
	var out []fulmarcrash.Record
	for _, r := range board.Records() {
		old := k.records[r.Work]
		if next := r.Merge(old); !next.SameCrashes(old) {
			k.set(next)
			out = append(out, r)
		}
	}
	return fulmarcrash.NewAged(now, out)
}

// publishCrashes passes crashes on to the daemons that follow this one as soon as they are known, until ctx ends. What a leader
// has seen itself would be lost with it otherwise, until its next publication.
func (f *Follower) publishCrashes(ctx context.Context) {
	for {
		select {
		case <-f.deps.Crashes.Changed():
			f.publisher.Publish()
		case <-ctx.Done():
			return
		}
	}
}
