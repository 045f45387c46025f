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
		k.add(a.Record(now))
	}
}

// add adds a record and reports whether the other side did not know all of its crashes.
func (k *knownCrashes) add(r fulmarcrash.Record) (isNew bool) {
	if k.records == nil {
		k.records = make(map[uint64]fulmarcrash.Record)
	}
	old := k.records[r.Work]
	next := r.Merge(old)
	k.records[r.Work] = next
	return !next.SameCrashes(old)
}

// unknown returns the records of the board that the other side does not know, and notes that it will.
func (k *knownCrashes) unknown(now time.Time, board *fulmarcrash.Board) []fulmarcrash.Aged {
	generation := board.Generation()
	if generation == k.generation {
		return nil
	}
	k.generation = generation
	var out []fulmarcrash.Record
	for _, r := range board.Records() {
		if k.add(r) {
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
