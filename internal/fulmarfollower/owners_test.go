package fulmarfollower_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/internal/fulmarmemory"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// startingLeader is a leader that has no owners of keys in its first state, and sends some afterwards.
type startingLeader struct {
	*staleLeader
}

func (l startingLeader) Sync(ctx context.Context, r *fulmarleaderrpc.Report) (*fulmarleaderrpc.Update, error) {
	u, err := l.staleLeader.Sync(ctx, r)
	if err == nil && !u.Complete {
		u.Owners = map[string]fulmarview.Spans{"board": {{From: 0, To: fulmarrange.MaxKey, Target: "x", Ready: true}}}
	}
	return u, err
}

// Guards against daemons that end when the first state that they receive has no owners, as at the first start of a fleet.
func TestOwnersAfterStateWithoutOwners(t *testing.T) {
	simulate(t, func(ctx context.Context, t *testing.T, g *WithT, store *fulmarmemory.Store) {
		storeLeader(t, store, "a")
		f := &fleet{}
		f.setLeader("a", startingLeader{&staleLeader{lastRead: time.Now().Add(time.Hour), config: config(1)}})
		view := f.start(ctx, "b", fulmarmemory.NewClient(store))
		time.Sleep(time.Second)
		span, ok := view.Get().Owners["board"].Find(7)
		g.Expect(ok && span.Ready).To(BeTrue())
	})
}
