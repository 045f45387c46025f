package fulmarpublisher_test

import (
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/internal/fulmarpublisher"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcrash"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarera"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarlimit"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
)

// source is a daemon that passes its view on.
type source struct {
	*fulmarpublisher.Publisher
	views   *fulmarview.Holder
	crashes *fulmarcrash.Board
}

func newSource(targets ...string) source {
	s := source{views: fulmarview.New(), crashes: fulmarcrash.New()}
	s.Publisher = fulmarpublisher.New(s.views, fulmarlimit.New(), s.crashes, slog.New(slog.DiscardHandler), time.Now)
	s.set(1, targets...)
	return s
}

// set replaces the view by one of a term and publishes it.
func (s source) set(term fulmarera.Revision, targets ...string) {
	var list []fulmarcatalog.Target
	for _, id := range targets {
		list = append(list, fulmarcatalog.Target{ID: id, Service: "board", SeenAt: time.Now()})
	}
	s.views.Update(func(v *fulmarview.View) {
		if v.Routes == nil {
			routes, err := fulmarroute.New(fulmarroute.Config{Version: 3})
			if err != nil {
				panic(err)
			}
			v.Routes = routes
		}
		v.Term, v.Catalog, v.AsOf = term, fulmarcatalog.New(list), time.Now()
	})
	s.Publish()
}

// expectUpdate reports the versions have and returns the answer.
func expectUpdate(t *testing.T, s source, have fulmarleaderrpc.Versions, knowsRelays bool) *fulmarleaderrpc.Update {
	t.Helper()
	u, err := s.Wait(t.Context(), &fulmarleaderrpc.Report{Versions: have, KnowsRelays: knowsRelays})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return u
}

func expectTargets(g Gomega, u *fulmarleaderrpc.Update, complete bool, ids ...string) {
	g.Expect(u.Complete).To(Equal(complete))
	var got []string
	for _, t := range u.Targets {
		got = append(got, t.ID)
	}
	g.Expect(got).To(ConsistOf(ids))
}

// Guards against complete states for daemons that need only a change: those of a whole fleet saturated the leader's link.
func TestWait(t *testing.T) {
	t.Run("only changes", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			s := newSource("a", "b")
			u := expectUpdate(t, s, fulmarleaderrpc.Versions{}, true)
			expectTargets(g, u, true, "a", "b")
			s.set(1, "a", "b", "c")
			u = expectUpdate(t, s, u.Versions, true)
			expectTargets(g, u, false, "c")
			s.set(2, "a", "b", "c") // another leader, the same state
			expectTargets(g, expectUpdate(t, s, u.Versions, true), false)
		})
	})
	t.Run("age", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			s := newSource("a")
			have := expectUpdate(t, s, fulmarleaderrpc.Versions{}, true).Versions
			time.Sleep(time.Second)
			u := expectUpdate(t, s, have, true)
			g.Expect(u.Waited).To(Equal(fulmarpublisher.LongPollTimeout))
			g.Expect(u.Age).To(Equal(time.Second + fulmarpublisher.LongPollTimeout))
		})
	})
	t.Run("state of another source", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s, other := newSource("a"), newSource("b")
			have := expectUpdate(t, other, fulmarleaderrpc.Versions{}, true).Versions
			expectTargets(NewWithT(t), expectUpdate(t, s, have, true), true, "a")
		})
	})
	// Guards against daemons of an earlier build, which do not return all versions and would be answered again and again.
	t.Run("earlier build", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			s := newSource("a")
			have := expectUpdate(t, s, fulmarleaderrpc.Versions{}, false).Versions
			have.Source, have.Relays = 0, 0
			began := time.Now()
			expectTargets(g, expectUpdate(t, s, have, false), false)
			g.Expect(time.Since(began)).To(Equal(fulmarpublisher.LongPollTimeout))
		})
	})
	// Guards against the same for a build that follows relays and does not know of crashing requests.
	t.Run("earlier build with relays", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			s := newSource("a")
			for n := range 2 {
				s.crashes.RecordCrash(1, fulmarcrash.Crash{Target: fulmarrange.Incarnation{ID: fmt.Sprint(n)}, At: time.Now()})
			}
			s.Publish()
			have := expectUpdate(t, s, fulmarleaderrpc.Versions{}, true).Versions
			have.Crashes = 0
			began := time.Now()
			expectTargets(g, expectUpdate(t, s, have, true), false)
			g.Expect(time.Since(began)).To(Equal(fulmarpublisher.LongPollTimeout))
			u, err := s.Wait(t.Context(), &fulmarleaderrpc.Report{Versions: have, KnowsRelays: true, KnowsCrashes: true})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(u.Crashes).To(HaveLen(1))
		})
	})
	// Guards against a daemon that takes a new state for the one that it has, after nobody asked for some time.
	t.Run("after an idle time", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			s := newSource("a")
			have := expectUpdate(t, s, fulmarleaderrpc.Versions{}, true).Versions
			time.Sleep(time.Minute)
			s.set(1, "b")
			expectTargets(g, expectUpdate(t, s, have, true), true, "b")
		})
	})
	// Guards against a daemon that was the first to follow a new leader, which knew no others yet, and then could not call
	// the store through them.
	t.Run("contacts that become known", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newSource("a")
			have := expectUpdate(t, s, fulmarleaderrpc.Versions{}, true).Versions
			s.views.Update(func(v *fulmarview.View) { v.Contacts = []string{"b"} })
			s.Publish()
			NewWithT(t).Expect(expectUpdate(t, s, have, true).Contacts).To(Equal([]string{"b"}))
		})
	})
	t.Run("too many changes", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			s := newSource("a")
			have := expectUpdate(t, s, fulmarleaderrpc.Versions{}, true).Versions
			for i := range 40 {
				s.set(1, fmt.Sprint(i))
			}
			expectTargets(g, expectUpdate(t, s, have, true), true, "39")
		})
	})
	t.Run("no view", func(t *testing.T) {
		views := fulmarview.New()
		p := fulmarpublisher.New(views, fulmarlimit.New(), fulmarcrash.New(), slog.New(slog.DiscardHandler), time.Now)
		_, err := p.Wait(t.Context(), &fulmarleaderrpc.Report{})
		NewWithT(t).Expect(err).To(MatchError(fulmarpublisher.ErrNotReady))
	})
}
