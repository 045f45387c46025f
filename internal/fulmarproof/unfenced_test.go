package fulmarproof

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarfleet"
)

var _ = Describe("targets that check no fence", func() {
	open := func(s *fulmarfleet.Settings) {
		s.Services = []fulmarfleet.Service{{Name: once, Targets: 3, Slots: 12}, {Name: reads, Targets: 2, Slots: 12, Idempotent: true}}
	}

	// Guards I1 and I5 against a second dispatcher before the orders of the first have ended.
	It("whose dispatcher is lost", func(ctx SpecContext) {
		t := begin(ctx, open)
		_, d := t.victim(ctx, once)
		fault := time.Now()
		d.Kill()
		t.finish(fault, 0) // the design's 2 s do not cover the longest order
	})

	// Guards I1 and I5 against orders that a paused dispatcher sends after its successor began.
	It("whose dispatcher is paused", func(ctx SpecContext) {
		t := begin(ctx, open)
		g, d := t.victim(ctx, once)
		t.backlog(ctx, g)
		fault := time.Now()
		d.Freeze()
		hold(ctx, frozen)
		d.Resume()
		t.awaitAll(time.Now())
		t.finish(fault, 0)
	})

	// Guards I1 against orders that a paused dispatcher sends to a target whose
	// slots have moved meanwhile. The pause is longer than W + the longest order
	// deadline, after which they move, and shorter than the deadlines of what waits.
	It("that leave while their dispatcher is paused", func(ctx SpecContext) {
		const pause = 5 * time.Second
		t := begin(ctx, open)
		g, d := t.victim(ctx, once)
		t.backlogFor(ctx, g, 2*pause)
		fault := time.Now()
		d.Freeze()
		Expect(t.ListTarget(ctx, g, "leaving")).To(Succeed())
		hold(ctx, pause)
		d.Resume()
		t.awaitAll(time.Now())
		t.finish(fault, 0)
	})
})
