package fulmarfollower_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarmemory"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
)

// lateAnswers is a store whose answers to reads of all keys arrive when their callers give up, while late is set.
type lateAnswers struct {
	*fulmarmemory.Client
	late atomic.Bool
}

func (s *lateAnswers) Scan(ctx context.Context, prefix string) ([]fulmarkv.Item, error) {
	items, err := s.Client.Scan(ctx, prefix)
	if prefix == "" && s.late.Load() {
		<-ctx.Done()
	}
	return items, err
}

// Guards against a leader that starts to send orders to a new target when its term has ended, and never ends the term: the
// daemon followed no other leader, and stood for no election, as long as it ran.
func TestReadAfterEndOfTerm(t *testing.T) {
	simulate(t, func(ctx context.Context, t *testing.T, g *WithT, memory *fulmarmemory.Store) {
		f, store := &fleet{}, &lateAnswers{Client: fulmarmemory.NewClient(memory)}
		f.start(ctx, "a", store)
		time.Sleep(3 * time.Second)
		g.Expect(leader(t, memory)).To(Equal("a"))
		memory.Set("targets/y", encode(t, target("y", false)))
		store.late.Store(true)
		time.Sleep(600 * time.Millisecond) // a read that has the new target is under way
		memory.ExpireLeases()
		time.Sleep(300 * time.Millisecond)
		store.late.Store(false)
		time.Sleep(5 * time.Second)
		g.Expect(leader(t, memory)).To(Equal("a"))
	})
}
