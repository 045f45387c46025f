package fulmarfollower_test

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarmemory"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarlimit"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarorder"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// failingTargets models targets of which some are out of reach, or leave orders unanswered.
type failingTargets struct {
	mu     sync.Mutex
	failed map[string]error                   // by id or data centre: what its orders meet in place of an answer
	dcs    map[string]string                  // by id
	held   map[string]map[[2]int]time.Time    // by id: until when it holds ranges of keys
	grants map[string]int                     // by id: grants to targets that hold nothing
	asked  map[string]int                     // by id and start: probes
	broken []string                           // probes of keys that their target holds
	lives  map[string]fulmarrange.Incarnation // by id: the process that runs
}

func newFailingTargets() *failingTargets {
	return &failingTargets{
		failed: make(map[string]error), dcs: make(map[string]string), held: make(map[string]map[[2]int]time.Time), grants: make(map[string]int),
		asked: make(map[string]int), lives: make(map[string]fulmarrange.Incarnation),
	}
}

// fail lets the orders to a target or to a data centre meet err, or an answer if it is nil.
func (f *failingTargets) fail(name string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed[name] = err
}

// add stores the entry of a target whose process has started.
func (f *failingTargets) add(t *testing.T, store *fulmarmemory.Store, x fulmarcatalog.Target) {
	t.Helper()
	f.mu.Lock()
	f.dcs[x.ID], f.lives[x.ID] = x.DC, x.Incarnation()
	delete(f.held, x.ID)
	f.mu.Unlock()
	store.Set("targets/"+x.ID, encode(t, x))
}

// outcome returns what an order meets, and takes the time that this needs.
func (f *failingTargets) outcome(ctx context.Context, o fulmarorder.Order) error {
	f.mu.Lock()
	err := f.failed[o.Incarnation.ID]
	if err == nil {
		err = f.failed[f.dcs[o.Incarnation.ID]]
	}
	if err == nil && f.lives[o.Incarnation.ID] != o.Incarnation {
		err = fulmarorder.ErrUnsent
	}
	f.mu.Unlock()
	switch {
	case err == nil:
		time.Sleep(2 * zoneDelay)
	case errors.Is(err, fulmarorder.ErrUnsent) && !o.RequireKnownConnection:
		time.Sleep(dialTimeout)
	default:
		<-ctx.Done()
		err = fulmarorder.ErrUnanswered
	}
	return err
}

func (f *failingTargets) Send(ctx context.Context, _ string, o fulmarorder.Order) (fulmarorder.Reply, error) {
	id, keys := o.Incarnation.ID, [2]int{o.From, o.To}
	f.mu.Lock()
	if o.Probe {
		f.asked[fmt.Sprint(id, " ", o.Incarnation.Born)]++
		for r, until := range f.held[id] {
			if o.From <= r[1] && o.To >= r[0] && time.Now().Before(until) {
				f.broken = append(f.broken, fmt.Sprint(id, keys))
			}
		}
	}
	f.mu.Unlock()
	if err := f.outcome(ctx, o); err != nil {
		return fulmarorder.Reply{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if o.Kind == fulmarorder.Grant {
		maps.DeleteFunc(f.held[id], func(_ [2]int, until time.Time) bool { return !time.Now().Before(until) })
		if len(f.held[id]) == 0 {
			f.grants[id]++
			f.held[id] = make(map[[2]int]time.Time)
		}
		f.held[id][keys] = time.Now().Add(o.TTL)
		return fulmarorder.Reply{Connection: 1, Certain: true}, nil
	}
	for r := range f.held[id] {
		if o.From <= r[0] && o.To >= r[1] {
			delete(f.held[id], r)
		}
	}
	return fulmarorder.Reply{Handover: "x", Connection: 1, Certain: true}, nil
}

// count returns an entry of one of the maps.
func (f *failingTargets) count(of map[string]int, id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return of[id]
}

// owners returns the targets that own keys which callers can use.
func owners(v *fulmarview.Holder) (out []string) {
	seen := make(map[string]bool)
	for _, s := range v.Get().Owners["board"] {
		if s.Ready && !seen[s.Target] {
			seen[s.Target] = true
			out = append(out, s.Target)
		}
	}
	return out
}

// returnOf runs a test with targets in three data centres, and checks that no probe names keys of its target.
func returnOf(t *testing.T, targets int, test func(t *testing.T, g *WithT, f *failingTargets, store *fulmarmemory.Store, v *fulmarview.Holder)) {
	t.Helper()
	simulate(t, func(ctx context.Context, t *testing.T, g *WithT, store *fulmarmemory.Store) {
		f := newFailingTargets()
		store.Remove("targets/x")
		for i := range targets {
			f.add(t, store, inDC(i, 1))
		}
		v := (&fleet{orders: f}).start(ctx, "a", fulmarmemory.NewClient(store))
		time.Sleep(8 * time.Second)
		g.Expect(owners(v)).To(HaveLen(targets))
		test(t, g, f, store, v)
		g.Expect(f.broken).To(BeEmpty(), "probes of held keys")
	})
}

// inDC returns a target of the data centre i % 3.
func inDC(i int, born int64) fulmarcatalog.Target {
	x := target(fmt.Sprint("t", i), false)
	x.DC, x.Born = fmt.Sprint("dc", i%3), born
	return x
}

// trialBound allows for the interval between probes, the trial, a plan, and the move of keys.
const trialBound = 5 * time.Second

// Guards against targets that get no keys as long as the same daemon leads, as they once left orders unanswered: without keys they
// are sent no order whose answer could show that they are back.
func TestReturnedTargets(t *testing.T) {
	for name, err := range map[string]error{"unreachable": fulmarorder.ErrUnsent, "not answering orders": fulmarorder.ErrUnanswered} {
		t.Run("each target in turn, "+name, func(t *testing.T) {
			returnOf(t, 9, func(_ *testing.T, g *WithT, f *failingTargets, _ *fulmarmemory.Store, v *fulmarview.Holder) {
				for i := range 9 {
					id := fmt.Sprint("t", i)
					f.fail(id, err)
					time.Sleep(6 * time.Second)
					g.Expect(owners(v)).NotTo(ContainElement(id))
					f.fail(id, nil)
					time.Sleep(trialBound)
				}
				g.Expect(owners(v)).To(HaveLen(9))
			})
		})
	}
	t.Run("each data centre in turn", func(t *testing.T) {
		returnOf(t, 9, func(_ *testing.T, g *WithT, f *failingTargets, _ *fulmarmemory.Store, v *fulmarview.Holder) {
			for _, dc := range []string{"dc0", "dc1", "dc2"} {
				f.fail(dc, fulmarorder.ErrUnsent)
				time.Sleep(6 * time.Second)
				g.Expect(owners(v)).To(HaveLen(6))
				f.fail(dc, nil)
				time.Sleep(trialBound)
			}
			g.Expect(owners(v)).To(HaveLen(9))
		})
	})
	t.Run("started again under the same id", func(t *testing.T) {
		returnOf(t, 9, func(t *testing.T, g *WithT, f *failingTargets, store *fulmarmemory.Store, v *fulmarview.Holder) {
			for i := range 9 {
				f.fail(fmt.Sprint("t", i), fulmarorder.ErrUnsent)
				time.Sleep(4 * time.Second)
				f.fail(fmt.Sprint("t", i), nil)
				f.add(t, store, inDC(i, 2))
				time.Sleep(trialBound)
			}
			g.Expect(owners(v)).To(HaveLen(9))
			for i := range 9 {
				g.Expect(f.asked).NotTo(HaveKey(fmt.Sprint("t", i, " 2")), "nothing is known of the new processes")
			}
		})
	})
	t.Run("all targets at once", func(t *testing.T) {
		returnOf(t, 9, func(_ *testing.T, g *WithT, f *failingTargets, _ *fulmarmemory.Store, v *fulmarview.Holder) {
			for _, dc := range []string{"dc0", "dc1", "dc2"} {
				f.fail(dc, fulmarorder.ErrUnsent)
			}
			time.Sleep(12 * time.Second)
			for _, dc := range []string{"dc0", "dc1", "dc2"} {
				f.fail(dc, nil)
			}
			time.Sleep(trialBound)
			g.Expect(owners(v)).To(HaveLen(9))
		})
	})
}

// Guards against new targets that get no keys as long as the same daemon leads, as the former ones of their data centre fell silent: a
// data centre that owns no keys is sent no order whose answer could end its silence.
func TestNewTargetsOfSilentDataCentre(t *testing.T) {
	const targets = 27 // enough for a data centre to count as silent
	for name, dcs := range map[string][]string{"one": {"dc0"}, "in turn": {"dc0", "dc1", "dc2"}} {
		t.Run(name, func(t *testing.T) {
			returnOf(t, targets, func(t *testing.T, g *WithT, f *failingTargets, store *fulmarmemory.Store, v *fulmarview.Holder) {
				for _, dc := range dcs {
					f.fail(dc, fulmarorder.ErrUnanswered)
					time.Sleep(entryLifetime)
					for i := range targets {
						if x := inDC(i, 1); x.DC == dc {
							store.Remove("targets/" + x.ID)
						}
					}
					time.Sleep(2 * time.Second)
					f.fail(dc, nil)
					for i := range targets {
						if x := inDC(targets+i, 1); x.DC == dc {
							f.add(t, store, x)
						}
					}
					time.Sleep(trialBound)
				}
				g.Expect(owners(v)).To(HaveLen(targets))
			})
		})
	}
	// Guards against keys that are given to targets of a data centre whose power comes back for a moment.
	t.Run("back for a moment", func(t *testing.T) {
		returnOf(t, targets, func(t *testing.T, g *WithT, f *failingTargets, store *fulmarmemory.Store, v *fulmarview.Holder) {
			f.fail("dc0", fulmarorder.ErrUnanswered)
			time.Sleep(4 * time.Second)
			f.add(t, store, inDC(targets, 1))
			for range 5 {
				time.Sleep(2 * time.Second)
				f.fail("dc0", nil)
				time.Sleep(900 * time.Millisecond)
				f.fail("dc0", fulmarorder.ErrUnanswered)
			}
			g.Expect(f.count(f.grants, fmt.Sprint("t", targets))).To(BeZero())
			g.Expect(owners(v)).To(HaveLen(targets * 2 / 3))
		})
	})
}

// Guards against keys that move to a target and away again each time that it comes back for a moment, and are not served meanwhile.
func TestBriefReturns(t *testing.T) {
	returnOf(t, 9, func(_ *testing.T, g *WithT, f *failingTargets, _ *fulmarmemory.Store, _ *fulmarview.Holder) {
		grants := f.count(f.grants, "t0")
		for range 10 {
			f.fail("t0", fulmarorder.ErrUnsent)
			time.Sleep(3 * time.Second)
			f.fail("t0", nil)
			time.Sleep(time.Second)
		}
		g.Expect(f.count(f.grants, "t0")).To(Equal(grants))
		g.Expect(f.count(f.asked, "t0 1")).To(BeNumerically(">", 10))
	})
}

// Guards against a data centre that is given up, with its last target, as the probes of the lost ones fail: renewals of a weak leader
// are rare, so that hardly any answer comes in between.
func TestProbesSayNothingOfDataCentre(t *testing.T) {
	simulate(t, func(ctx context.Context, t *testing.T, g *WithT, store *fulmarmemory.Store) {
		const targets = 60
		f := newFailingTargets()
		store.Remove("targets/x")
		for i := range targets {
			f.add(t, store, inDC(i, 1))
		}
		v := (&fleet{orders: f}).startWithCPUShare(ctx, "a", 0.01, fulmarmemory.NewClient(store))
		time.Sleep(12 * time.Second)
		g.Expect(owners(v)).To(HaveLen(targets))
		for i := 3; i < targets; i += 3 { // all of dc0 but t0, one after another
			f.fail(fmt.Sprint("t", i), fulmarorder.ErrUnsent)
			time.Sleep(3 * time.Second)
		}
		time.Sleep(20 * time.Second)
		g.Expect(owners(v)).To(ContainElement("t0"))
		g.Expect(f.count(f.grants, "t0")).To(Equal(1), "it has never lost its keys")
	})
}

// Guards against probes of a target that is gone for good, or that serves its keys.
func TestProbedTargets(t *testing.T) {
	returnOf(t, 9, func(_ *testing.T, g *WithT, f *failingTargets, store *fulmarmemory.Store, _ *fulmarview.Holder) {
		f.fail("t0", fulmarorder.ErrUnsent)
		time.Sleep(6 * time.Second)
		g.Expect(f.count(f.asked, "t0 1")).To(BeNumerically("~", 6, 3), "one that lasts 0.3 s after a pause of 0.5 s")
		store.Remove("targets/t0")
		time.Sleep(time.Second)
		asked := f.count(f.asked, "t0 1")
		time.Sleep(10 * time.Second)
		g.Expect(f.count(f.asked, "t0 1")).To(Equal(asked))
		g.Expect(f.asked).To(HaveLen(1))
	})
}

// Guards against a target that has stated a limit and gets no keys for good once others own all of its keys: only an answer to a request
// ends the limit, and it is sent none.
func TestLimitedTargetOwnsKeysAgain(t *testing.T) {
	for _, rate := range []float64{0, 5} {
		for name, restarted := range map[string]bool{"cut off": false, "started again under its id": true} {
			t.Run(fmt.Sprint(name, ", limit of ", rate), func(t *testing.T) {
				simulate(t, func(ctx context.Context, t *testing.T, g *WithT, store *fulmarmemory.Store) {
					f := newFailingTargets()
					store.Remove("targets/x")
					for i := range 9 {
						f.add(t, store, inDC(i, 1))
					}
					v, limits := (&fleet{orders: f, loads: newEvenLoad()}).startWithLimits(ctx, "a", 0.5, fulmarmemory.NewClient(store))
					time.Sleep(8 * time.Second)
					g.Expect(owners(v)).To(HaveLen(9))
					limits.Record(fulmarlimit.Statement{Target: "t0", Limited: true, Rate: rate, SentAt: time.Now(), ReceivedAt: time.Now()})
					f.fail("t0", fulmarorder.ErrUnsent)
					time.Sleep(6 * time.Second)
					g.Expect(owners(v)).NotTo(ContainElement("t0"))
					f.fail("t0", nil)
					if restarted {
						f.add(t, store, inDC(0, 2))
					}
					time.Sleep(20 * time.Second)
					g.Expect(owners(v)).To(ContainElement("t0"))
				})
			})
		}
	}
}
