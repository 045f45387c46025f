package fulmarfollower_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func knowsTarget(id string) func(d *simulatedDaemon) bool {
	return func(d *simulatedDaemon) bool {
		_, ok := d.views.Get().Catalog.Target(id)
		return ok
	}
}

func isGone(id string) func(d *simulatedDaemon) bool {
	return func(d *simulatedDaemon) bool { return !knowsTarget(id)(d) }
}

// Guards against a leader that takes the failure of its own reads, through other daemons, for an outage of the store: it kept
// targets whose entries were removed for 2 s more, so that they got requests more than 3 s after they had left.
func TestRemovalWhileReadsOfLeaderFail(t *testing.T) {
	simulateLargeFleet(t, smallestWithRelays, func(_ context.Context, t *testing.T, g *WithT, f *largeFleet) {
		leader := f.leader(t)
		f.daemon(leader).storeCut.Store(true)
		time.Sleep(2 * time.Second)
		f.forwardedScansFail.Store(true)
		time.AfterFunc(1200*time.Millisecond, func() { f.forwardedScansFail.Store(false) })
		time.Sleep(100 * time.Millisecond)
		f.store.Remove("targets/t1")
		f.expectWithin(g, leavingBound, "the removal of a target", isGone("t1"))
		g.Expect(f.leader(t)).To(Equal(leader), "the leader keeps its lease meanwhile")
	})
}

// Guards against daemons that drop targets whose entries have expired in an outage of the store.
func TestRemovalInOutage(t *testing.T) {
	simulateLargeFleet(t, smallestWithRelays, func(_ context.Context, t *testing.T, g *WithT, f *largeFleet) {
		f.setStoreCut(true)
		time.Sleep(time.Second)
		f.store.Remove("targets/t1")
		time.Sleep(3500 * time.Millisecond)
		f.setStoreCut(false)
		for ended := time.Now(); time.Since(ended) < 1500*time.Millisecond; time.Sleep(50 * time.Millisecond) {
			g.Expect(f.missing(knowsTarget("t1"))).To(BeZero(), "daemons that have dropped the target, %v after the outage", time.Since(ended))
		}
		f.expectWithin(g, 3*time.Second, "the removal of a target", isGone("t1"))
	})
}
