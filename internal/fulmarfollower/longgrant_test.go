package fulmarfollower_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarmemory"
)

// Guards against two targets that hold a key at once: a grant that was extended while the store was away, and whose answer was lost,
// outlasts the shorter grants that follow it. The leader that sent it knows its end, and tells the next one.
func TestLongGrantOutlastsLaterOnes(t *testing.T) {
	for name, changeLeader := range map[string]bool{"same leader": false, "next leader": true} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(ctx context.Context, t *testing.T, g *WithT, store *fulmarmemory.Store) {
				targets := &holders{held: make(map[string]map[int]holding), unowned: make(map[int]time.Time), answers: 5 * time.Second}
				f := &fleet{orders: targets}
				leaderCtx, stopLeader := context.WithCancel(ctx)
				defer stopLeader()
				client := fulmarmemory.NewClient(store)
				f.startWithCPUShare(leaderCtx, "a", 0.5, client)
				time.Sleep(2 * time.Second)
				f.start(ctx, "b", fulmarmemory.NewClient(store))
				time.Sleep(2 * time.Second)
				g.Expect(leader(t, store)).To(Equal("a"))

				client.SetFault(fulmarmemory.Rejected)
				time.Sleep(700 * time.Millisecond)
				client.SetFault(fulmarmemory.NoFault)
				time.Sleep(time.Second)
				g.Expect(leader(t, store)).To(Equal("a"))
				left := targets.heldFor("x")
				g.Expect(left).To(BeNumerically(">", 7*time.Second), "the grant was not extended")

				store.Set("targets/y", encode(t, target("y", false)))
				targets.cut("x")
				if changeLeader {
					stopLeader()
				}
				time.Sleep(left + 5*time.Second)
				faults, _ := targets.result()
				g.Expect(faults).To(BeEmpty())
				g.Expect(targets.heldFor("y")).To(BeNumerically(">", 0), "the keys have no holder")
			})
		})
	}
}
