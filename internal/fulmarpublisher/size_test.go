package fulmarpublisher_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// largeCatalog returns a catalog of n targets, of which one in eight was started anew in each of the given versions.
func largeCatalog(n, version int) *fulmarcatalog.Catalog {
	list := make([]fulmarcatalog.Target, n)
	for i := range list {
		list[i] = fulmarcatalog.Target{ID: fmt.Sprint("t", i), Born: int64((version + i) / 8), Service: "board", Address: "10.0.0.1:1", DC: "dc1", Slots: 3, SeenAt: time.Now()}
	}
	return fulmarcatalog.New(list)
}

// randomOwners returns spans over all keys with random targets.
func randomOwners(random *rand.Rand) (spans fulmarview.Spans) {
	for from := 0; from <= fulmarrange.MaxKey; {
		to := min(from+random.IntN(20000), fulmarrange.MaxKey)
		spans = spans.Append(fulmarview.Span{From: from, To: to, Target: fmt.Sprint("t", random.IntN(3)), Ready: random.IntN(2) > 0})
		from = to + 1
	}
	return spans
}

func (s source) setOwners(spans fulmarview.Spans) {
	s.views.Update(func(v *fulmarview.View) { v.Owners = map[string]fulmarview.Spans{"board": spans} })
	s.Publish()
}

func (s source) setCatalog(c *fulmarcatalog.Catalog) {
	s.views.Update(func(v *fulmarview.View) { v.Catalog, v.AsOf = c, time.Now() })
	s.Publish()
}

// Guards against differences that lose a change of a version in between.
func TestDifferences(t *testing.T) {
	g := NewWithT(t)
	s := newSource()
	s.setCatalog(largeCatalog(30, 0))
	u := expectUpdate(t, s, fulmarleaderrpc.Versions{}, true)
	known := fulmarcatalog.New(u.Targets)
	for version := 1; version < 60; version++ {
		latest := largeCatalog(30-version%7, version)
		s.setCatalog(latest)
		if version%5 > 0 {
			continue
		}
		u = expectUpdate(t, s, u.Versions, true)
		g.Expect(u.Complete).To(BeFalse())
		known = known.With(u.Targets, u.RemovedTargets)
		g.Expect(known.Equivalent(latest)).To(BeTrue())
	}
}

// Guards against owners that differ from those of the source after some differences.
func TestDifferencesOfOwners(t *testing.T) {
	g, random := NewWithT(t), rand.New(rand.NewPCG(1, 2))
	s := newSource("a")
	u := expectUpdate(t, s, fulmarleaderrpc.Versions{}, true)
	known := u.Owners["board"]
	for version := range 500 {
		latest := randomOwners(random)
		s.setOwners(latest)
		if version%3 > 0 {
			continue
		}
		u = expectUpdate(t, s, u.Versions, true)
		g.Expect(u.Complete).To(BeFalse())
		known = known.Apply(u.Owners["board"])
		g.Expect(known).To(Equal(latest))
	}
}

// expectHeld expects a source to hold less than most bytes more after some changes.
func expectHeld(t *testing.T, s source, most int64, change func(version int)) {
	t.Helper()
	expectUpdate(t, s, fulmarleaderrpc.Versions{}, true)
	held := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	before := held()
	for version := range 40 {
		change(version)
	}
	NewWithT(t).Expect(held()-before).To(BeNumerically("<", most), "bytes")
	runtime.KeepAlive(s)
}

// Guards against past states that are kept whole: those of 3,000 targets took a third of the memory of a daemon.
func TestMemoryOfPastVersions(t *testing.T) {
	const mostTargets = 9 << 20 // a tenth of what the busiest daemon of a fleet may take
	const mostOwners = 1 << 20  // eight whole states
	t.Run("targets", func(t *testing.T) {
		s := newSource()
		s.setCatalog(largeCatalog(3000, 0))
		expectHeld(t, s, mostTargets, func(version int) { s.setCatalog(largeCatalog(3000, version)) })
	})
	t.Run("owners", func(t *testing.T) {
		s := newSource()
		expectHeld(t, s, mostOwners, func(version int) {
			var spans fulmarview.Spans
			for i := range 3000 {
				spans = append(spans, fulmarview.Span{From: 20 * i, To: 20*i + 19, Target: "t", Ready: (i+version)%40 > 0})
			}
			s.setOwners(spans)
		})
	})
}

// BenchmarkPublication measures a changed state of 3,000 targets and the answer to a daemon that has the former one.
func BenchmarkPublication(b *testing.B) {
	s := newSource()
	states := []*fulmarcatalog.Catalog{largeCatalog(3000, 0), largeCatalog(3000, 1)}
	s.setCatalog(states[0])
	r := &fulmarleaderrpc.Report{KnowsRelays: true, KnowsCrashes: true}
	b.ReportAllocs()
	for i := 1; b.Loop(); i++ {
		u, err := s.Wait(b.Context(), r)
		if err != nil {
			b.Fatal(err)
		}
		r.Versions = u.Versions
		s.setCatalog(states[i%2])
	}
}
