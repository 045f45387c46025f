package fulmarpublisher_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
)

// largeCatalog returns a catalog of n targets, of which one in eight was started anew in each of the given versions.
func largeCatalog(n, version int) *fulmarcatalog.Catalog {
	list := make([]fulmarcatalog.Target, n)
	for i := range list {
		list[i] = fulmarcatalog.Target{ID: fmt.Sprint("t", i), Born: int64((version + i) / 8), Service: "board", Address: "10.0.0.1:1", DC: "dc1", Slots: 3, SeenAt: time.Now()}
	}
	return fulmarcatalog.New(list)
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

// Guards against past catalogues that are kept whole: those of 3,000 targets took a third of the memory of a daemon.
func TestMemoryOfPastVersions(t *testing.T) {
	const budget = 9 << 20 // a tenth of what the busiest daemon of a fleet may take
	g := NewWithT(t)
	s := newSource()
	s.setCatalog(largeCatalog(3000, 0))
	expectUpdate(t, s, fulmarleaderrpc.Versions{}, true)
	held := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	before := held()
	for version := range 40 {
		s.setCatalog(largeCatalog(3000, version))
	}
	g.Expect(held() - before).To(BeNumerically("<", budget))
	runtime.KeepAlive(s)
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
