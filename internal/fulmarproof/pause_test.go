package fulmarproof

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarfleet"
	"github.com/fulmarbend/fulmarbend/internal/fulmarload"
)

// startBacklog starts a load of long requests to the at-most-once service, and waits
// until the target runs at full concurrency and requests are queued at its dispatcher.
func (t *testDeployment) startBacklog(ctx context.Context, g *fulmarfleet.Target) {
	GinkgoHelper()
	t.startBacklogWithTimeout(ctx, g, 5*time.Second)
}

// startBacklogWithTimeout is startBacklog with the given request timeout.
func (t *testDeployment) startBacklogWithTimeout(ctx context.Context, g *fulmarfleet.Target, timeout time.Duration) {
	GinkgoHelper()
	settings := t.defaultLoad()
	settings.Groups = []fulmarload.Group{{Name: groups[0], Service: atMostOnceService, AtMostOnce: true, Rate: 300, LongShare: 1}}
	settings.LongWork, settings.Timeout, settings.MaxAttempts = 100*time.Millisecond, timeout, 2
	settings.Duration, settings.EvenIntervals = time.Second, false
	t.startLoad(settings)
	Eventually(func() int { return t.grantState(ctx, g).Running }, recoveryTimeout, 10*time.Millisecond).Should(Equal(3))
	// The rate is three times the capacity of the targets, so that requests queue up.
	count := len(t.recorder.allCalls())
	Eventually(func() int { return len(t.recorder.allCalls()) }, recoveryTimeout, 10*time.Millisecond).Should(BeNumerically(">=", count+30))
}

var _ = Describe("pause", func() {
	// Guards I4 and I5 against a daemon that refuses requests and sends orders based on
	// its state from before the pause, and the 2 s bound against a frozen dispatcher
	// that is taken for alive.
	It("of a daemon with queued requests", func(ctx SpecContext) {
		t := startUnderLoad(ctx)
		g, d := t.victim(ctx, atMostOnceService)
		t.startBacklog(ctx, g)
		faultTime := time.Now()
		d.Freeze()
		sleep(ctx, freezeDuration)
		d.Resume()
		t.awaitAllKeysServed(time.Now())
		t.finishAndCheck(faultTime, unavailabilityBound)
	})

	// Guards I1 and I5 against renewals and orders that a frozen target finds in its
	// socket buffers when it resumes.
	It("of a target", func(ctx SpecContext) {
		t := startUnderLoad(ctx)
		g, _ := t.victim(ctx, atMostOnceService)
		faultTime := time.Now()
		g.Freeze()
		sleep(ctx, freezeDuration)
		g.Resume()
		t.awaitAllKeysServed(time.Now())
		t.finishAndCheck(faultTime, unavailabilityBound)
	})

	// Guards I1 and I2 against a planner that continues to write its table after its lease has expired.
	It("of the planner while a target is lost", func(ctx SpecContext) {
		t := startUnderLoad(ctx)
		d := t.planner(ctx)
		g, _ := t.victim(ctx, idempotentService)
		faultTime := time.Now()
		g.Kill()
		d.Freeze()
		sleep(ctx, freezeDuration)
		d.Resume()
		t.awaitAllKeysServed(time.Now())
		t.finishAndCheck(faultTime, unavailabilityBound)
	})
})
