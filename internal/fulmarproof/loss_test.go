package fulmarproof

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarplatform"
)

var _ = Describe("loss", func() {
	// Guards I1, I3, I4, I5 and the 2 s against the loss of a dispatcher.
	It("of a daemon", func(ctx SpecContext) {
		t := begin(ctx)
		_, d := t.victim(ctx, once)
		fault := time.Now()
		d.Kill()
		t.finish(fault, unavailable)
	})

	// Guards I1, I3, I4, I5 and the 2 s against the loss of a target.
	It("of a target", func(ctx SpecContext) {
		t := begin(ctx)
		g, _ := t.victim(ctx, once)
		fault := time.Now()
		g.Kill()
		t.finish(fault, unavailable)
	})

	// Guards I1, I2, I5 and the 2 s against the loss of a target together with
	// the only daemon that knows until when its grant may last.
	It("of a daemon and its target", func(ctx SpecContext) {
		t := begin(ctx)
		g, d := t.victim(ctx, once)
		fault := time.Now()
		d.Kill()
		g.Kill()
		t.finish(fault, unavailable)
	})

	// Guards I1, I2 and the 2 s against a move that has no planner.
	It("of the planner and a target", func(ctx SpecContext) {
		t := begin(ctx)
		d := t.planner(ctx)
		g, _ := t.victim(ctx, reads)
		fault := time.Now()
		d.Kill()
		g.Kill()
		t.finish(fault, unavailable)
	})

	// Guards I2 and the 2 s against a takeover that needs the key-value service,
	// and against a planner that does not come back after an outage.
	It("of a daemon while the platform is down for 8 s", func(ctx SpecContext) {
		t := begin(ctx)
		_, d := t.victim(ctx, once)
		t.fault(ctx, fulmarplatform.Fault{Down: "hang"})
		fault := time.Now()
		d.Kill()
		hold(ctx, 8*time.Second)
		t.fault(ctx, fulmarplatform.Fault{})
		Eventually(func() []string {
			table, _ := t.Operator(t.others(d)[0]).Table(ctx)
			return table.Roster
		}, recoverWithin, pollEvery).Should(And(HaveLen(4), Not(ContainElement(d.ID))))
		t.finish(fault, unavailable)
	})

	// Guards I1, I5 and the 2 s against a platform whose calls outlast the planner's lease.
	It("of a daemon while the platform is slow", func(ctx SpecContext) {
		t := begin(ctx)
		_, d := t.victim(ctx, reads)
		t.fault(ctx, fulmarplatform.Fault{Slow: 700 * time.Millisecond})
		fault := time.Now()
		d.Kill()
		hold(ctx, 3*time.Second)
		t.fault(ctx, fulmarplatform.Fault{})
		t.finish(fault, unavailable)
	})

	// Guards I1, I2 and I5 against moves that a slow platform draws out.
	It("of a target while the platform is slow", func(ctx SpecContext) {
		t := begin(ctx)
		g, _ := t.victim(ctx, once)
		t.fault(ctx, fulmarplatform.Fault{Slow: 200 * time.Millisecond})
		fault := time.Now()
		g.Kill()
		t.awaitAll(fault)
		t.fault(ctx, fulmarplatform.Fault{})
		t.finish(fault, 0) // the design gives no bound for the loss of a target then
	})
})
