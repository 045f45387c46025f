package fulmarfollower_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarmemory"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
)

// Guards against daemons that take a larger share of a bound of the whole fleet, such as that of retries, as they count too
// few daemons: a new leader had yet to hear of the others, and daemons that had just started knew of nobody.
func TestFleetSize(t *testing.T) {
	const daemons = 8
	startAll := func(ctx context.Context, f *fleet, store *fulmarmemory.Store) (views []*fulmarview.Holder) {
		for i := range daemons {
			share := 0.2
			if i < 2 {
				share = 0.5
			}
			views = append(views, f.startWithCPUShare(ctx, fmt.Sprint(i), share, fulmarmemory.NewClient(store)))
		}
		return views
	}
	// least returns the least number of daemons in the views in the next 5 s, of those that are in use.
	least := func(views []*fulmarview.Holder) int {
		n := daemons
		for range 500 {
			time.Sleep(10 * time.Millisecond)
			for _, v := range views {
				if view := v.Get(); view.Ready() {
					n = min(n, view.Daemons)
				}
			}
		}
		return n
	}
	t.Run("after a change of leader", func(t *testing.T) {
		simulate(t, func(ctx context.Context, _ *testing.T, g *WithT, store *fulmarmemory.Store) {
			f := &fleet{}
			leaderCtx, stopLeader := context.WithCancel(ctx)
			f.startWithCPUShare(leaderCtx, "leader", 0.5, fulmarmemory.NewClient(store))
			time.Sleep(2 * time.Second)
			views := startAll(ctx, f, store)
			time.Sleep(4 * time.Second)
			stopLeader()
			g.Expect(least(views)).To(Equal(daemons))
		})
	})
	t.Run("after a restart of all", func(t *testing.T) {
		simulate(t, func(ctx context.Context, _ *testing.T, g *WithT, store *fulmarmemory.Store) {
			first, stopAll := context.WithCancel(ctx)
			startAll(first, &fleet{}, store)
			time.Sleep(4 * time.Second)
			stopAll()
			time.Sleep(time.Second)
			g.Expect(least(startAll(ctx, &fleet{}, store))).To(Equal(daemons))
		})
	})
}
