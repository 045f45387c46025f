package fulmarproof

import (
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/fulmarbend/fulmarbend/internal/fulmarfleet"
	"github.com/fulmarbend/fulmarbend/internal/fulmarnetwork"
)

var _ = Describe("partition", func() {
	// Guards I1, I5 and the 2 s bound against two daemons that both act as dispatcher
	// of a target while both can reach the key-value service.
	It("of a daemon from its peers only", func(ctx SpecContext) {
		t := startUnderLoad(ctx)
		_, d := t.victim(ctx, atMostOnceService)
		except := []string{fulmarfleet.PlatformName}
		for _, g := range t.Targets {
			except = append(except, g.ID)
		}
		faultTime := time.Now()
		t.SetLinkMode(fulmarnetwork.Stall, d.ID, except...)
		sleep(ctx, freezeDuration)
		t.Network.Restore()
		t.awaitAllKeysServed(time.Now())
		t.finishAndCheck(faultTime, unavailabilityBound)
	})

	// Guards I2 and the 2 s bound against a planner that keeps renewing its lease while
	// it receives no acknowledgements from its peers.
	It("of the planner from its peers only, with the loss of a target", func(ctx SpecContext) {
		t := startUnderLoad(ctx)
		d := t.planner(ctx)
		g, _ := t.victim(ctx, idempotentService)
		except := []string{fulmarfleet.PlatformName}
		for _, other := range t.Targets {
			except = append(except, other.ID)
		}
		faultTime := time.Now()
		t.SetLinkMode(fulmarnetwork.Refuse, d.ID, except...)
		g.Kill()
		t.awaitAllKeysServed(faultTime)
		t.Network.Restore()
		t.finishAndCheck(faultTime, unavailabilityBound)
	})

	// Guards I1, I5 and the 2 s bound against a daemon that continues to renew grants
	// without a majority.
	It("of a daemon from its peers and the platform", func(ctx SpecContext) {
		t := startUnderLoad(ctx)
		_, d := t.victim(ctx, atMostOnceService)
		var except []string
		for _, g := range t.Targets {
			except = append(except, g.ID)
		}
		faultTime := time.Now()
		t.SetLinkMode(fulmarnetwork.Refuse, d.ID, except...)
		sleep(ctx, freezeDuration)
		t.Network.Restore()
		t.awaitAllKeysServed(time.Now())
		t.finishAndCheck(faultTime, unavailabilityBound)
	})

	// Guards I1, I2 and I5 against a daemon and a target that continue to work while
	// isolated together, and the 2 s bound against a forced move that waits for an
	// answer from either of them.
	It("of a daemon and its target from the rest", func(ctx SpecContext) {
		t := startUnderLoad(ctx)
		g, d := t.victim(ctx, atMostOnceService)
		faultTime := time.Now()
		t.SetLinkMode(fulmarnetwork.Stall, d.ID, g.ID)
		t.SetLinkMode(fulmarnetwork.Stall, g.ID, d.ID)
		sleep(ctx, freezeDuration)
		t.Network.Restore()
		t.awaitAllKeysServed(time.Now())
		t.finishAndCheck(faultTime, unavailabilityBound)
	})

	// Guards I1, I5 and the 2 s bound against a live dispatcher that cannot reach its
	// target while all other daemons can.
	It("of a dispatcher from its target only", func(ctx SpecContext) {
		t := startUnderLoad(ctx)
		g, d := t.victim(ctx, atMostOnceService)
		faultTime := time.Now()
		t.Network.SetMode(fulmarnetwork.Stall, d.ID, g.ID)
		sleep(ctx, freezeDuration)
		t.Network.Restore()
		t.awaitAllKeysServed(time.Now())
		t.finishAndCheck(faultTime, unavailabilityBound)
	})
})
