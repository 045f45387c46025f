package fulmarforwarder_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
)

// evacuate marks targets as evacuated for a time; none means that they have been taken back.
func (f *fixture) evacuate(t *testing.T, since time.Duration, ids ...string) {
	t.Helper()
	f.views.Update(func(v *fulmarview.View) {
		var changed []fulmarcatalog.Target
		for _, id := range ids {
			x := mustTarget(t, v.Catalog, id)
			x.Evacuated, x.EvacuatedFor, x.SeenAt = since > 0, since, time.Now()
			changed = append(changed, x)
		}
		v.Catalog = v.Catalog.With(changed, nil)
	})
}

// expectRefusedAtOnce expects that a request is refused without a wait for another target, with a time that leaves one.
func (f *fixture) expectRefusedAtOnce(t *testing.T, path string) {
	t.Helper()
	g := NewWithT(t)
	began := time.Now()
	status, retryAfter := f.serveAt(t, path)
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(retryAfter).To(BeNumerically(">=", 1))
	g.Expect(time.Since(began)).To(BeNumerically("<", 200*time.Millisecond/3), "shorter than the wait for an owner")
}

// Guards against requests to the targets of a data centre that operators have evacuated. The evacuation time of the fixture is 1 s.
func TestEvacuation(t *testing.T) {
	t.Run("without a key, elsewhere at once", func(t *testing.T) {
		g := NewWithT(t)
		a, b := newTarget(t, "a"), newTarget(t, "b")
		f := start(t, false, a, b)
		f.evacuate(t, time.Millisecond, "a")
		for range 8 {
			status, _ := f.serveAt(t, "/f/")
			g.Expect(status).To(Equal(http.StatusOK))
		}
		g.Expect(sends(a)).To(BeZero())
	})
	for _, c := range []struct{ name, path, target string }{
		{"without a key, no other target", "/f/", "a"},
		{"with a key, until the evacuation time has passed", "/k/", "owner"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			a := newTarget(t, "a")
			f := start(t, false, a)
			f.evacuate(t, 500*time.Millisecond, c.target)
			status, _ := f.serveAt(t, c.path)
			g.Expect(status).To(Equal(http.StatusOK))
			f.later(500 * time.Millisecond)
			f.expectRefusedAtOnce(t, c.path)
			g.Expect(sends(a)).To(Equal(1))
		})
	}
	t.Run("without a key, the other target fails", func(t *testing.T) {
		g := NewWithT(t)
		a, b := newTarget(t, "a"), newTarget(t, "b", closeConnection)
		f := start(t, true, a, b)
		f.evacuate(t, time.Second, "a")
		status, _ := f.serveAt(t, "/f/")
		g.Expect(status).To(Equal(http.StatusBadGateway))
		g.Expect(sends(a)).To(BeZero())
	})
	t.Run("with a key, the leader moves it", func(t *testing.T) {
		g := NewWithT(t)
		a := newTarget(t, "a")
		f := start(t, false, a)
		f.evacuate(t, time.Hour, "owner")
		next := mustTarget(t, f.views.Get().Catalog, "owner")
		next.ID, next.Evacuated = "next", false
		f.views.Update(func(v *fulmarview.View) {
			v.Leader, v.Catalog = "leader", v.Catalog.With([]fulmarcatalog.Target{next}, nil)
		})
		began := time.Now()
		status, _ := f.serveAt(t, "/k/")
		g.Expect(status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(time.Since(began)).To(BeNumerically(">", 200*time.Millisecond/3-time.Millisecond), "the wait for an owner")
		g.Expect(sends(a)).To(BeZero())
	})
	t.Run("taken back", func(t *testing.T) {
		g := NewWithT(t)
		f := start(t, false, newTarget(t, "a"))
		f.evacuate(t, time.Hour, "a", "owner")
		f.evacuate(t, 0, "a", "owner")
		for _, path := range []string{"/f/", "/k/"} {
			status, _ := f.serveAt(t, path)
			g.Expect(status).To(Equal(http.StatusOK))
		}
	})
}
