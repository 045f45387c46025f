package fulmarchooser_test

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarchooser"
	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarbalancer"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarlimit"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarnotice"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarplacement"
)

type noMetrics struct{}

func (noMetrics) Count(string) {}

// fleet is a set of choosers, of which one may lead.
type fleet struct {
	mu       sync.Mutex
	leader   string
	delay    time.Duration // of the calls
	broken   bool          // calls fail
	calls    []*fulmarleaderrpc.PlacementRequest
	choosers map[string]*fulmarchooser.Chooser
	balancer map[string]*fulmarbalancer.Balancer
}

func newFleet(t *testing.T, ids ...string) *fleet {
	t.Helper()
	f := &fleet{leader: ids[0], choosers: make(map[string]*fulmarchooser.Chooser), balancer: make(map[string]*fulmarbalancer.Balancer)}
	views := fulmarview.New()
	views.Update(func(v *fulmarview.View) {
		v.Daemons = len(ids)
		v.Catalog = fulmarcatalog.New([]fulmarcatalog.Target{
			{ID: "x", Born: 1, Service: "s", Slots: 3, DC: "a"},
			{ID: "y", Born: 1, Service: "s", Slots: 3, DC: "a"},
			{ID: "gone", Born: 1, Service: "s", Slots: 3, DC: "a", Leaving: true},
			{ID: "evacuated", Born: 1, Service: "s", Slots: 3, DC: "a", Evacuated: true},

			{ID: "z", Born: 1, Service: "plain", Slots: 3, DC: "a"},
		})
	})
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	t.Cleanup(func() { cancel(); group.Wait() })
	for _, id := range ids {
		f.balancer[id] = fulmarbalancer.New(2, rand.NewPCG(1, 2))
		f.choosers[id] = fulmarchooser.New(fulmarchooser.Deps{
			ID: id, DC: "a", Views: views, Balancer: f.balancer[id], Placer: fulmarplacement.New(rand.NewPCG(1, 2)), Limits: fulmarlimit.New(), Notices: fulmarnotice.New(),
			Leader:  func() (string, bool) { f.mu.Lock(); defer f.mu.Unlock(); return f.leader, f.leader == id },
			Dial:    func(_ context.Context, address string) (fulmarchooser.Leader, error) { return link{f, address}, nil },
			Metrics: noMetrics{}, Log: slog.New(slog.DiscardHandler), Now: time.Now, Clock: time.Now,
		})
		f.choosers[id].RecordSharing("s")
		group.Go(func() { f.choosers[id].Run(ctx) })
	}
	return f
}

// link is a connection to a daemon of the fleet.
type link struct {
	fleet   *fleet
	address string
}

func (l link) Place(ctx context.Context, r *fulmarleaderrpc.PlacementRequest) (*fulmarleaderrpc.PlacementAnswer, error) {
	l.fleet.mu.Lock()
	broken, delay := l.fleet.broken, l.fleet.delay
	l.fleet.calls = append(l.fleet.calls, r)
	l.fleet.mu.Unlock()
	time.Sleep(delay)
	if broken {
		return nil, errors.New("connection reset")
	}
	return l.fleet.choosers[l.address].Place(ctx, r)
}

func (link) Close() {}

// lastCall returns the latest call of a daemon.
func (f *fleet) lastCall() *fulmarleaderrpc.PlacementRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[len(f.calls)-1]
}

// set changes the fleet.
func (f *fleet) set(change func(f *fleet)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// Guards against a panic of a daemon that leads before it knows any targets, when another one asks it to choose.
func TestPlaceBeforeFirstView(t *testing.T) {
	g := NewWithT(t)
	c := fulmarchooser.New(fulmarchooser.Deps{
		ID: "a", Views: fulmarview.New(), Placer: fulmarplacement.New(rand.NewPCG(1, 2)), Leader: func() (string, bool) { return "a", true },
		Now: time.Now, Clock: time.Now,
	})
	answer, err := c.Place(t.Context(), &fulmarleaderrpc.PlacementRequest{Daemon: "b", Services: []string{"s"}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Targets).To(Equal([]string{""}))
}

func TestChooser(t *testing.T) {
	run := func(name string, test func(g Gomega, f *fleet)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(NewWithT(t), newFleet(t, "a", "b", "c")) })
		})
	}
	choose := func(g Gomega, f *fleet, id string) string {
		target, ok := f.choosers[id].Choose(context.Background(), "s")
		g.Expect(ok).To(Equal(target != ""))
		return target
	}

	// Guards against daemons that don't know of each other's requests, and against targets that leave or are evacuated.
	run("spreads the requests of all daemons", func(g Gomega, f *fleet) {
		got := map[string]int{}
		for range 2 {
			for _, id := range []string{"a", "b", "c"} {
				target := choose(g, f, id)
				g.Expect(f.balancer[id].Acquire(target, 9)).To(BeTrue())
				got[target]++
			}
		}
		g.Expect(got).To(Equal(map[string]int{"x": 3, "y": 3}))
	})

	// Guards against a target that the leader counts as busy although the daemon has sent the request elsewhere.
	run("states the ends of requests, and those that were sent elsewhere", func(g Gomega, f *fleet) {
		target := choose(g, f, "b")
		time.Sleep(200 * time.Millisecond)
		g.Expect(f.lastCall().Uses).To(ConsistOf(HaveField("Target", target)))
		g.Expect(f.lastCall().Uses[0].InFlight).To(BeZero())
	})

	// Guards against traffic for services whose targets don't share their machines.
	run("asks only for services whose targets share their machines", func(g Gomega, f *fleet) {
		_, ok := f.choosers["b"].Choose(context.Background(), "plain")
		g.Expect(ok).To(BeFalse())
		f.balancer["b"].Acquire("z", 9)
		time.Sleep(200 * time.Millisecond)
		g.Expect(f.calls).To(BeEmpty())
	})

	// Guards against requests that wait for a leader that is frozen, cut off or gone.
	run("answers in time without a leader", func(g Gomega, f *fleet) {
		for _, change := range []func(*fleet){
			func(f *fleet) { f.delay = time.Second },
			func(f *fleet) { f.delay, f.broken = 0, true },
			func(f *fleet) { f.broken, f.leader = false, "" },
		} {
			f.set(change)
			for range 3 {
				began := time.Now()
				g.Expect(choose(g, f, "b")).To(BeEmpty())
				g.Expect(time.Since(began)).To(BeNumerically("<=", 30*time.Millisecond))
			}
			time.Sleep(2 * time.Second)
		}
		f.set(func(f *fleet) { f.leader = "a" })
		g.Expect(choose(g, f, "b")).NotTo(BeEmpty())
	})

	// Guards against a new leader that does not know of the requests that were in flight before it led.
	run("states all requests in flight to a new leader", func(g Gomega, f *fleet) {
		f.balancer["b"].Acquire("x", 9)
		time.Sleep(200 * time.Millisecond)
		f.set(func(f *fleet) { f.leader, f.calls = "c", nil })
		choose(g, f, "b")
		g.Expect(f.lastCall().Services).To(HaveLen(1))
		g.Expect(f.calls[0].Whole).To(BeTrue())
		g.Expect(f.calls[0].Uses).To(ContainElement(And(HaveField("Target", "x"), HaveField("InFlight", 1))))
	})
}
