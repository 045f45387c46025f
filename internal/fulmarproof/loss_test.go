package fulmarproof

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarplatform"
)

var _ = Describe("loss", func() {
	// Guards I1, I3, I4, I5 and the 2 s bound against the loss of a dispatcher.
	It("of a daemon", func(ctx SpecContext) {
		t := startUnderLoad(ctx)
		_, d := t.victim(ctx, atMostOnceService)
		faultTime := time.Now()
		d.Kill()
		t.finishAndCheck(faultTime, unavailabilityBound)
	})

	// Guards I1, I3, I4, I5 and the 2 s bound against the loss of a target.
	It("of a target", func(ctx SpecContext) {
		t := startUnderLoad(ctx)
		g, _ := t.victim(ctx, atMostOnceService)
		faultTime := time.Now()
		g.Kill()
		t.finishAndCheck(faultTime, unavailabilityBound)
	})

	// Guards I1, I2, I5 and the 2 s bound against the loss of a target together with
	// its dispatcher, the only daemon that knows when the target's grant expires.
	It("of a daemon and its target", func(ctx SpecContext) {
		t := startUnderLoad(ctx)
		g, d := t.victim(ctx, atMostOnceService)
		faultTime := time.Now()
		d.Kill()
		g.Kill()
		t.finishAndCheck(faultTime, unavailabilityBound)
	})

	// Guards I1, I2 and the 2 s bound against a lost target whose slots must move while
	// there is no planner.
	It("of the planner and a target", func(ctx SpecContext) {
		t := startUnderLoad(ctx)
		d := t.planner(ctx)
		g, _ := t.victim(ctx, idempotentService)
		faultTime := time.Now()
		d.Kill()
		g.Kill()
		t.finishAndCheck(faultTime, unavailabilityBound)
	})

	// Guards I2 and the 2 s bound against a takeover that depends on the key-value
	// service, and against a planner that does not resume after an outage.
	It("of a daemon while the platform is down for 8 s", func(ctx SpecContext) {
		t := startUnderLoad(ctx)
		_, d := t.victim(ctx, atMostOnceService)
		t.setPlatformFault(ctx, fulmarplatform.Fault{Down: "hang"})
		faultTime := time.Now()
		d.Kill()
		sleep(ctx, 8*time.Second)
		t.setPlatformFault(ctx, fulmarplatform.Fault{})
		Eventually(func() []string {
			table, _ := t.OperatorClient(t.daemonsExcept(d)[0]).Table(ctx)
			return table.Roster
		}, recoveryTimeout, pollInterval).Should(And(HaveLen(4), Not(ContainElement(d.ID))))
		t.finishAndCheck(faultTime, unavailabilityBound)
	})

	// Guards I1, I5 and the 2 s bound against platform calls that take longer than the planner's lease.
	It("of a daemon while the platform is slow", func(ctx SpecContext) {
		t := startUnderLoad(ctx)
		_, d := t.victim(ctx, idempotentService)
		t.setPlatformFault(ctx, fulmarplatform.Fault{Slow: 700 * time.Millisecond})
		faultTime := time.Now()
		d.Kill()
		sleep(ctx, 3*time.Second)
		t.setPlatformFault(ctx, fulmarplatform.Fault{})
		t.finishAndCheck(faultTime, unavailabilityBound)
	})

	// Guards I1, I2 and I5 against moves that take long because the platform is slow.
	It("of a target while the platform is slow", func(ctx SpecContext) {
		t := startUnderLoad(ctx)
		g, _ := t.victim(ctx, atMostOnceService)
		t.setPlatformFault(ctx, fulmarplatform.Fault{Slow: 200 * time.Millisecond})
		faultTime := time.Now()
		g.Kill()
		t.awaitAllKeysServed(faultTime)
		t.setPlatformFault(ctx, fulmarplatform.Fault{})
		t.finishAndCheck(faultTime, 0) // the design gives no bound for the loss of a target while the platform is slow
	})
})
