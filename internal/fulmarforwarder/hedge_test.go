package fulmarforwarder_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarcoldness"
	"github.com/fulmarbend/fulmarbend/internal/fulmarforwarder"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarallowance"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarhedge"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarlimit"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarwarmup"
)

// counts counts events by name.
type counts struct {
	noMetrics
	mu     sync.Mutex
	events map[string]int
}

func (c *counts) Count(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.events == nil {
		c.events = make(map[string]int)
	}
	c.events[name]++
}

func (c *counts) of(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.events[name]
}

// usualTime is the time within which the answers are that a hedger of a test has learnt.
const usualTime = 30 * time.Millisecond

// hedging returns a fixture whose forwarder hedges up to a tenth of the requests and knows how long answers take.
func hedging(t *testing.T, idempotent bool, targets ...*target) (*fixture, *counts) {
	t.Helper()
	f, c := start(t, idempotent, targets...), &counts{}
	h := fulmarhedge.New(fulmarhedge.NewPolicy(0.1))
	for range 100 {
		for _, route := range []string{"f", "k"} {
			h.RecordAnswer(route, usualTime)
		}
		h.RecordRequest()
	}
	f.deps.Hedger, f.deps.Metrics = h, c
	f.forwarder = fulmarforwarder.New(f.deps)
	return f, c
}

// expectNoHedge serves a request that its target leaves unanswered, and expects that it was sent only once.
func expectNoHedge(t *testing.T, f *fixture, c *counts, path string, targets ...*target) {
	t.Helper()
	g := NewWithT(t)
	f.forwarder.Serve(t.Context(), request(t, path, "", "Key", "7"))
	g.Expect(c.of("hedge.sent")).To(BeZero())
	g.Expect(sends(targets...)).To(Equal(1))
}

// Guards against callers that wait until their deadline because one answer is lost or late, although another send would be
// answered at once.
func TestHedge(t *testing.T) {
	t.Run("second target answers first", func(t *testing.T) {
		g := NewWithT(t)
		x, y := newTarget(t, "x", noAnswer), newTarget(t, "y")
		f, c := hedging(t, true, x, y)
		f.deps.Balancer.RecordServed("x", time.Microsecond) // x is chosen first
		began := time.Now()
		a := f.forwarder.Serve(t.Context(), request(t, "/f/1", ""))
		expectStatus(g, a, http.StatusOK)
		g.Expect(time.Since(began)).To(BeNumerically("<", 300*time.Millisecond), "the deadline is 400 ms")
		g.Expect(c.of("hedge.won")).To(Equal(1))
		g.Expect(c.of("hedge.cancelled")).To(Equal(1))
		// Guards against a target that goes on working for a caller that has its answer.
		g.Eventually(func() int { return f.deps.Pool.Open(x.listener.Addr().String()) }).Should(BeZero())
		g.Eventually(func() bool { return f.deps.Balancer.Acquire("x", 1) }).Should(BeTrue(), "nothing is in flight at the first target")
	})

	t.Run("owner of a key whose answer was lost", func(t *testing.T) {
		g := NewWithT(t)
		x := newTarget(t, "x", noAnswer, ordinary)
		f, c := hedging(t, true, x)
		expectStatus(g, f.forwarder.Serve(t.Context(), request(t, "/k/1", "", "Key", "7")), http.StatusOK)
		g.Expect(c.of("hedge.won")).To(Equal(1))
		g.Expect(sends(x)).To(Equal(2))
	})

	// Guards against a failure of the second target that takes the place of the first one's answer, and against a request that
	// is sent to more targets than its route permits.
	t.Run("both targets fail", func(t *testing.T) {
		g := NewWithT(t)
		x, y := newTarget(t, "x", noAnswer), newTarget(t, "y", failed)
		f, _ := hedging(t, true, x, y)
		f.deps.Balancer.RecordServed("x", time.Microsecond)
		a := f.forwarder.Serve(t.Context(), request(t, "/f/1", ""))
		expectStatus(g, a, http.StatusInternalServerError)
		g.Expect(a.Header.Get("Sign")).To(Equal("s"))
		g.Expect(sends(x, y)).To(Equal(2))
	})

	t.Run("a caller that leaves ends both sends", func(t *testing.T) {
		g := NewWithT(t)
		x, y := newTarget(t, "x", noAnswer), newTarget(t, "y", noAnswer)
		f, c := hedging(t, true, x, y)
		ctx, cancel := context.WithTimeout(t.Context(), 150*time.Millisecond)
		defer cancel()
		f.forwarder.Serve(ctx, request(t, "/f/1", ""))
		g.Expect(c.of("hedge.sent")).To(Equal(1))
		for _, s := range []*target{x, y} {
			g.Eventually(func() int { return f.deps.Pool.Open(s.listener.Addr().String()) }).Should(BeZero())
		}
	})
}

// Guards against second sends where the rules, the targets or the operator do not permit them.
func TestNoHedge(t *testing.T) {
	t.Run("request that must not run twice", func(t *testing.T) {
		x, y := newTarget(t, "x", noAnswer), newTarget(t, "y", noAnswer)
		f, c := hedging(t, false, x, y)
		expectNoHedge(t, f, c, "/f/1", x, y)
	})
	t.Run("off", func(t *testing.T) {
		x := newTarget(t, "x", noAnswer)
		f, c := hedging(t, true, x)
		f.deps.Hedger = fulmarhedge.New(fulmarhedge.Policy{})
		f.forwarder = fulmarforwarder.New(f.deps)
		expectNoHedge(t, f, c, "/k/1", x)
	})
	t.Run("no other target", func(t *testing.T) {
		x := newTarget(t, "x", noAnswer)
		f, c := hedging(t, true, x)
		expectNoHedge(t, f, c, "/f/1", x)
		NewWithT(t).Expect(c.of("hedge.withheld_target")).To(Equal(1))
	})
	t.Run("targets without room", func(t *testing.T) {
		x, y := newTarget(t, "x", noAnswer), newTarget(t, "y", noAnswer)
		f, c := hedging(t, true, x, y)
		f.deps.Hedger.RecordShortage(time.Now(), "free")
		expectNoHedge(t, f, c, "/f/1", x, y)
		NewWithT(t).Expect(c.of("hedge.withheld_no_room")).To(Equal(1))
	})
	t.Run("target with a limit", func(t *testing.T) {
		x := newTarget(t, "x", noAnswer)
		f, c := hedging(t, true, x)
		f.deps.Limits.Record(fulmarlimit.Statement{Target: "owner", Limited: true, Rate: 5, ReceivedAt: time.Now()})
		expectNoHedge(t, f, c, "/k/1", x)
	})
	// Guards against an answer that waits for the permit of a second send, and against a permit that a hedge takes from another request.
	t.Run("cold target", func(t *testing.T) {
		x := newTarget(t, "x", noAnswer)
		f, c := hedging(t, true, x)
		f.views.Update(func(v *fulmarview.View) {
			config := v.Routes.Config()
			config.Version++
			config.Services = []fulmarroute.Service{{Name: "free"}, {Name: "keyed", Keyed: true, ColdRate: 5.4}}
			v.Routes, _ = fulmarroute.New(config)
		})
		f.deps.Coldness = fulmarcoldness.New(fulmarwarmup.Rule{Over: 1.5, Slack: 8}, f.views, time.Now)
		owner, _ := f.views.Get().Catalog.Target("owner") // by its entry, it is warm
		f.deps.Coldness.Record(owner.Incarnation(), time.Now(), time.Minute)
		f.forwarder = fulmarforwarder.New(f.deps)
		expectNoHedge(t, f, c, "/k/1", x)
		NewWithT(t).Expect(c.of("hedge.withheld_target")).To(Equal(1))
	})
	t.Run("retry limit of the fleet", func(t *testing.T) {
		x := newTarget(t, "x", noAnswer)
		f, c := hedging(t, true, x)
		f.deps.RetryBudget.SetRule(fulmarallowance.Rule{Window: f.rule.Window})
		expectNoHedge(t, f, c, "/k/1", x)
		NewWithT(t).Expect(c.of("hedge.withheld_budget")).To(Equal(1))
	})
}
