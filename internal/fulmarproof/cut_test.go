package fulmarproof

import (
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/fulmarbend/fulmarbend/internal/fulmarfleet"
	"github.com/fulmarbend/fulmarbend/internal/fulmarnetwork"
)

var _ = Describe("partition", func() {
	// Guards I1, I5 and the 2 s against two daemons that both believe that they
	// are the dispatcher, while the key-value service confirms both.
	It("of a daemon from its peers only", func(ctx SpecContext) {
		t := begin(ctx)
		_, d := t.victim(ctx, once)
		except := []string{fulmarfleet.PlatformName}
		for _, g := range t.Targets {
			except = append(except, g.ID)
		}
		fault := time.Now()
		t.Cut(fulmarnetwork.Stall, d.ID, except...)
		hold(ctx, frozen)
		t.Network.Restore()
		t.awaitAll(time.Now())
		t.finish(fault, unavailable)
	})

	// Guards I2 and the 2 s against a planner that keeps its lease while it gets no acknowledgements.
	It("of the planner from its peers only, with the loss of a target", func(ctx SpecContext) {
		t := begin(ctx)
		d := t.planner(ctx)
		g, _ := t.victim(ctx, reads)
		except := []string{fulmarfleet.PlatformName}
		for _, other := range t.Targets {
			except = append(except, other.ID)
		}
		fault := time.Now()
		t.Cut(fulmarnetwork.Refuse, d.ID, except...)
		g.Kill()
		t.awaitAll(fault)
		t.Network.Restore()
		t.finish(fault, unavailable)
	})

	// Guards I1, I5 and the 2 s against a daemon without a majority that goes on renewing.
	It("of a daemon from its peers and the platform", func(ctx SpecContext) {
		t := begin(ctx)
		_, d := t.victim(ctx, once)
		var except []string
		for _, g := range t.Targets {
			except = append(except, g.ID)
		}
		fault := time.Now()
		t.Cut(fulmarnetwork.Refuse, d.ID, except...)
		hold(ctx, frozen)
		t.Network.Restore()
		t.awaitAll(time.Now())
		t.finish(fault, unavailable)
	})

	// Guards I1, I2 and I5 against a pair that goes on by itself, and the 2 s
	// against a forced move that waits for its answer.
	It("of a daemon and its target from the rest", func(ctx SpecContext) {
		t := begin(ctx)
		g, d := t.victim(ctx, once)
		fault := time.Now()
		t.Cut(fulmarnetwork.Stall, d.ID, g.ID)
		t.Cut(fulmarnetwork.Stall, g.ID, d.ID)
		hold(ctx, frozen)
		t.Network.Restore()
		t.awaitAll(time.Now())
		t.finish(fault, unavailable)
	})

	// Guards I1, I5 and the 2 s against a live dispatcher whose target answers everyone else.
	It("of a dispatcher from its target only", func(ctx SpecContext) {
		t := begin(ctx)
		g, d := t.victim(ctx, once)
		fault := time.Now()
		t.Network.SetMode(fulmarnetwork.Stall, d.ID, g.ID)
		hold(ctx, frozen)
		t.Network.Restore()
		t.awaitAll(time.Now())
		t.finish(fault, unavailable)
	})
})
