package fulmarproof

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarfleet"
	"github.com/fulmarbend/fulmarbend/internal/fulmarload"
)

// backlog starts a load of long work at the once service, and waits until the
// target runs as much as it can and work waits for it at its dispatcher.
func (t *trial) backlog(ctx context.Context, g *fulmarfleet.Target) {
	GinkgoHelper()
	t.backlogFor(ctx, g, 5*time.Second)
}

// backlogFor is backlog with requests of the timeout.
func (t *trial) backlogFor(ctx context.Context, g *fulmarfleet.Target, timeout time.Duration) {
	GinkgoHelper()
	settings := t.usual()
	settings.Groups = []fulmarload.Group{{Name: groups[0], Service: once, AtMostOnce: true, Rate: 300, LongShare: 1}}
	settings.LongWork, settings.Timeout, settings.MaxAttempts = 100*time.Millisecond, timeout, 2
	settings.Duration, settings.EvenIntervals = time.Second, false
	t.load(settings)
	Eventually(func() int { return t.state(ctx, g).Running }, recoverWithin, 10*time.Millisecond).Should(Equal(3))
	// The rate is three times what the targets can do, so that the excess waits.
	have := len(t.calls.all())
	Eventually(func() int { return len(t.calls.all()) }, recoverWithin, 10*time.Millisecond).Should(BeNumerically(">=", have+30))
}

var _ = Describe("pause", func() {
	// Guards I4 and I5 against refusals and orders of a daemon that acts on what it
	// knew before its pause, and the 2 s against a holder that only seems to live.
	It("of a daemon with queued requests", func(ctx SpecContext) {
		t := begin(ctx)
		g, d := t.victim(ctx, once)
		t.backlog(ctx, g)
		fault := time.Now()
		d.Freeze()
		hold(ctx, frozen)
		d.Resume()
		t.awaitAll(time.Now())
		t.finish(fault, unavailable)
	})

	// Guards I1 and I5 against renewals and orders in the socket buffers of a frozen target.
	It("of a target", func(ctx SpecContext) {
		t := begin(ctx)
		g, _ := t.victim(ctx, once)
		fault := time.Now()
		g.Freeze()
		hold(ctx, frozen)
		g.Resume()
		t.awaitAll(time.Now())
		t.finish(fault, unavailable)
	})

	// Guards I1 and I2 against a planner that goes on with its table after its lease has lapsed.
	It("of the planner while a target is lost", func(ctx SpecContext) {
		t := begin(ctx)
		d := t.planner(ctx)
		g, _ := t.victim(ctx, reads)
		fault := time.Now()
		g.Kill()
		d.Freeze()
		hold(ctx, frozen)
		d.Resume()
		t.awaitAll(time.Now())
		t.finish(fault, unavailable)
	})
})
