package fulmarproof

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarfleet"
)

var _ = Describe("targets that check no fence", func() {
	unfenced := func(s *fulmarfleet.Settings) {
		s.Services = []fulmarfleet.Service{{Name: atMostOnceService, TargetCount: 3, SlotCount: 12}, {Name: idempotentService, TargetCount: 2, SlotCount: 12, Idempotent: true}}
	}

	// Guards I1 and I5 against a second dispatcher that starts before the orders of the first have ended.
	It("whose dispatcher is lost", func(ctx SpecContext) {
		t := startUnderLoad(ctx, unfenced)
		_, d := t.victim(ctx, atMostOnceService)
		faultTime := time.Now()
		d.Kill()
		t.finishAndCheck(faultTime, 0) // the 2 s bound of the design does not include the longest order
	})

	// Guards I1 and I5 against orders that a paused dispatcher sends after its successor has started.
	It("whose dispatcher is paused", func(ctx SpecContext) {
		t := startUnderLoad(ctx, unfenced)
		g, d := t.victim(ctx, atMostOnceService)
		t.startBacklog(ctx, g)
		faultTime := time.Now()
		d.Freeze()
		sleep(ctx, freezeDuration)
		d.Resume()
		t.awaitAllKeysServed(time.Now())
		t.finishAndCheck(faultTime, 0)
	})

	// Guards I1 against orders that a paused dispatcher sends to a target whose slots
	// have moved during the pause. The slots move after W + the longest order deadline.
	// The pause is longer than that, and shorter than the deadlines of the queued
	// requests.
	It("that leave while their dispatcher is paused", func(ctx SpecContext) {
		const pause = 5 * time.Second
		t := startUnderLoad(ctx, unfenced)
		g, d := t.victim(ctx, atMostOnceService)
		t.startBacklogWithTimeout(ctx, g, 2*pause)
		faultTime := time.Now()
		d.Freeze()
		Expect(t.RegisterTarget(ctx, g, "leaving")).To(Succeed())
		sleep(ctx, pause)
		d.Resume()
		t.awaitAllKeysServed(time.Now())
		t.finishAndCheck(faultTime, 0)
	})
})
