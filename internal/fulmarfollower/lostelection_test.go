package fulmarfollower_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarmemory"
	"github.com/fulmarbend/fulmarbend/internal/fulmarsnapshot"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarera"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
)

// lossyStore applies the first write of the leader record without an answer. The reads after it fail if unreadable is set, up to
// the next write.
type lossyStore struct {
	fulmarkv.Store
	unreadable bool
	writes     atomic.Int64 // of the leader record
}

func (s *lossyStore) Commit(ctx context.Context, c fulmarkv.Txn) (fulmarera.Revision, error) {
	revision, err := s.Store.Commit(ctx, c)
	if len(c.Writes) == 0 || c.Writes[0].Key != fulmarsnapshot.LeaderKey || s.writes.Add(1) > 1 {
		return revision, err
	}
	<-ctx.Done()
	return 0, fulmarkv.ErrAmbiguous
}

func (s *lossyStore) Scan(ctx context.Context, prefix string) ([]fulmarkv.Item, error) {
	if s.unreadable && s.writes.Load() == 1 && prefix == fulmarsnapshot.LeaderKey {
		s.unreadable = false
		return nil, fulmarkv.ErrUnavailable
	}
	if ctx.Err() != nil {
		return nil, fulmarkv.ErrUnavailable
	}
	return s.Store.Scan(ctx, prefix)
}

// Guards against an election whose write has taken effect but was not answered: nobody led until the lease of the record ended.
func TestLostAnswerOfElection(t *testing.T) {
	for name, c := range map[string]struct {
		unreadable bool
		writes     int64
	}{
		"the record can be read back":    {false, 1},
		"the record cannot be read back": {true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(ctx context.Context, t *testing.T, g *WithT, store *fulmarmemory.Store) {
				lossy := &lossyStore{Store: fulmarmemory.NewClient(store), unreadable: c.unreadable}
				(&fleet{}).startWithCPUShare(ctx, "a", 0.5, lossy)
				time.Sleep(1900 * time.Millisecond)
				g.Expect(leader(t, store)).To(Equal("a"))
				g.Expect(lossy.writes.Load()).To(Equal(c.writes))
				time.Sleep(5 * time.Second)
				g.Expect(lossy.writes.Load()).To(Equal(c.writes), "the leader keeps its lease")
			})
		})
	}
}
