package fulmarfollower_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarorder"
)

// The operators' bound is 5 s after they have asked for an evacuation; daemons stop their requests a second earlier.
const evacuationBound = 4 * time.Second

func evacuationTime() time.Duration { return evacuationBound }

const (
	// runningWork is the time that a target takes to end the work on keys that it releases.
	runningWork = 150 * time.Millisecond
	// maxWaitingShare is the share of the keys that may wait for a new owner at a time, while a quarter of them changes hands.
	maxWaitingShare = 0.1
)

// evacuate asks for the evacuation of a data centre.
func (f *largeFleet) evacuate(dc string) { f.store.Set(evacuations+dc, []byte("{}")) }

// takeBack ends the evacuation of a data centre.
func (f *largeFleet) takeBack(dc string) { f.store.Remove(evacuations + dc) }

// simulateEvacuation runs a test with targets in four data centres, whose keys have settled.
func simulateEvacuation(t *testing.T, name string, test func(ctx context.Context, t *testing.T, g *WithT, f *largeFleet)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		simulateLargeFleet(t, smallestWithRelays, func(ctx context.Context, t *testing.T, g *WithT, f *largeFleet) {
			for i := range f.entries {
				x := target(fmt.Sprint("t", i), false)
				x.DC = fmt.Sprint("z", i%4)
				f.store.Set("targets/"+x.ID, encode(t, x))
			}
			f.mu.Lock()
			for _, d := range f.daemons {
				d.release = func(fulmarorder.Order) error { time.Sleep(runningWork); return nil }
			}
			f.mu.Unlock()
			time.Sleep(5 * time.Second)
			test(ctx, t, g, f)
		})
	})
}

// knowsEvacuation returns whether all targets of a data centre, and no others of it, are evacuated for a daemon.
func knowsEvacuation(dc string, evacuated bool) func(d *simulatedDaemon) bool {
	return func(d *simulatedDaemon) bool {
		for _, t := range d.views.Get().Catalog.Targets() {
			if t.DC == dc && t.Evacuated != evacuated {
				return false
			}
		}
		return true
	}
}

// countKeys returns the number of keys of which ok holds.
func countKeys(v *fulmarview.View, ok func(s fulmarview.Span, t fulmarcatalog.Target) bool) (n int) {
	for _, s := range v.Owners["board"] {
		if t, _ := v.Catalog.Target(s.Target); ok(s, t) {
			n += s.To - s.From + 1
		}
	}
	return n
}

// servesOutside returns whether all keys are served by targets in other data centres, as far as a daemon knows.
func servesOutside(dcs ...string) func(d *simulatedDaemon) bool {
	return func(d *simulatedDaemon) bool {
		return countKeys(d.views.Get(), func(s fulmarview.Span, t fulmarcatalog.Target) bool {
			for _, dc := range dcs {
				if t.DC == dc {
					return true
				}
			}
			return !s.Ready
		}) == 0
	}
}

// Guards against requests to the targets of a data centre that operators have evacuated: 2,294 of them reached such targets on a
// day with an evacuation, as no daemon read what operators had asked for.
func TestEvacuation(t *testing.T) {
	// Guards against all keys of a data centre that wait for new owners at the same time, and against keys that its targets get
	// from each other.
	simulateEvacuation(t, "pace", func(_ context.Context, t *testing.T, g *WithT, f *largeFleet) {
		began := time.Now()
		f.evacuate("z1")
		most, owners := 0, make(map[int]string)
		for time.Since(began) < evacuationBound && f.missing(servesOutside("z1")) > 0 {
			v := f.daemon(f.leader(t)).views.Get()
			for key := 0; key < 65536; key += 64 {
				span, _ := v.Owners["board"].Find(key)
				if x, _ := v.Catalog.Target(span.Target); owners[key] != "" && x.DC == "z1" {
					g.Expect(span.Target).To(Equal(owners[key]))
				}
				owners[key] = span.Target
			}
			most = max(most, countKeys(v, func(s fulmarview.Span, _ fulmarcatalog.Target) bool { return !s.Ready }))
			time.Sleep(10 * time.Millisecond)
		}
		t.Log("keys elsewhere after", time.Since(began), "waiting at most", most)
		g.Expect(f.missing(servesOutside("z1"))).To(BeZero())
		g.Expect(f.missing(knowsEvacuation("z1", true))).To(BeZero())
		g.Expect(most).To(BeNumerically("<", maxWaitingShare*65536))
	})
	simulateEvacuation(t, "taken back", func(_ context.Context, _ *testing.T, g *WithT, f *largeFleet) {
		f.evacuate("z1")
		f.expectWithin(g, evacuationBound, "keys elsewhere", servesOutside("z1"))
		f.takeBack("z1")
		f.expectWithin(g, leavingBound, "the end of the evacuation", knowsEvacuation("z1", false))
	})
	simulateEvacuation(t, "loss of the leader in the middle", func(_ context.Context, t *testing.T, g *WithT, f *largeFleet) {
		f.evacuate("z1")
		time.Sleep(1200 * time.Millisecond)
		f.kill(f.leader(t))
		f.expectWithin(g, evacuationBound-1200*time.Millisecond, "keys elsewhere", servesOutside("z1"))
	})
	// The keys of a target that does not answer the release wait until its grant lapses.
	simulateEvacuation(t, "releases are not answered", func(_ context.Context, _ *testing.T, g *WithT, f *largeFleet) {
		f.mu.Lock()
		for _, d := range f.daemons {
			d.release = func(fulmarorder.Order) error { time.Sleep(4 * time.Second); return context.DeadlineExceeded }
		}
		f.mu.Unlock()
		f.evacuate("z1")
		f.expectWithin(g, evacuationBound+time.Second, "keys elsewhere", servesOutside("z1"))
	})
	simulateEvacuation(t, "a second data centre meanwhile", func(_ context.Context, _ *testing.T, g *WithT, f *largeFleet) {
		f.evacuate("z1")
		time.Sleep(1500 * time.Millisecond)
		f.evacuate("z2")
		took := f.expectWithin(g, evacuationBound-1500*time.Millisecond, "keys outside of the first one", servesOutside("z1"))
		f.expectWithin(g, evacuationBound-took, "keys outside of both", servesOutside("z1", "z2"))
	})
	// Guards against an evacuation that is forgotten when the store cannot be read, or when it is back without the entry for a
	// moment: what operators wrote is written again then.
	simulateEvacuation(t, "outage of the store", func(_ context.Context, _ *testing.T, g *WithT, f *largeFleet) {
		f.evacuate("z1")
		f.expectWithin(g, 1500*time.Millisecond, "the evacuation", knowsEvacuation("z1", true))
		f.setStoreCut(true)
		f.takeBack("z1")
		for range 80 {
			time.Sleep(50 * time.Millisecond)
			g.Expect(f.missing(knowsEvacuation("z1", true))).To(BeZero())
		}
		f.setStoreCut(false)
		for range 30 {
			time.Sleep(50 * time.Millisecond)
			g.Expect(f.missing(knowsEvacuation("z1", true))).To(BeZero())
		}
		f.expectWithin(g, 3*time.Second, "the end of the evacuation", knowsEvacuation("z1", false))
	})
	// Guards against keys without an owner, which would need new grants when the operators take a data centre back.
	simulateEvacuation(t, "all targets", func(_ context.Context, t *testing.T, g *WithT, f *largeFleet) {
		for i := range 4 {
			f.evacuate(fmt.Sprint("z", i))
		}
		time.Sleep(evacuationBound)
		g.Expect(f.missing(hasOwners)).To(BeZero())
		g.Expect(f.missing(knowsEvacuation("z1", true))).To(BeZero())
		f.takeBack("z1")
		f.expectWithin(g, leavingBound, "keys in the only data centre", servesOutside("z0", "z2", "z3"))
	})
	simulateEvacuation(t, "a target starts in the data centre", func(_ context.Context, t *testing.T, g *WithT, f *largeFleet) {
		f.evacuate("z1")
		f.expectWithin(g, evacuationBound, "keys elsewhere", servesOutside("z1"))
		x := target("new", false)
		x.DC = "z1"
		f.store.Set("targets/new", encode(t, x))
		for range 60 {
			time.Sleep(50 * time.Millisecond)
			g.Expect(f.missing(servesOutside("z1"))).To(BeZero())
		}
		f.expectWithin(g, 0, "a target that gets no requests", func(d *simulatedDaemon) bool {
			x, ok := d.views.Get().Catalog.Target("new")
			return ok && !x.AcceptsDuringEvacuation(time.Now(), evacuationBound)
		})
	})
	// A damaged entry asks for the evacuation that its key names.
	simulateEvacuation(t, "damaged entry, unknown data centre", func(_ context.Context, _ *testing.T, g *WithT, f *largeFleet) {
		f.store.Set(evacuations+"z1", []byte("\x00{"))
		f.store.Set(evacuations+"nowhere", []byte("{}"))
		f.expectWithin(g, evacuationBound, "keys elsewhere", servesOutside("z1"))
	})
	// A daemon that was out of touch must not take the begin of the evacuation for the moment at which it learns of it.
	simulateEvacuation(t, "a daemon out of touch", func(_ context.Context, _ *testing.T, g *WithT, f *largeFleet) {
		lost := f.daemon("d30")
		lost.peersCut.Store(true)
		lost.storeCut.Store(true)
		f.evacuate("z1")
		time.Sleep(evacuationBound)
		lost.peersCut.Store(false)
		lost.storeCut.Store(false)
		f.expectWithin(g, leavingBound, "the evacuation", knowsEvacuation("z1", true))
		for _, x := range lost.views.Get().Catalog.Targets() {
			g.Expect(x.AcceptsDuringEvacuation(time.Now(), evacuationBound)).To(Equal(x.DC != "z1"))
		}
	})
}
