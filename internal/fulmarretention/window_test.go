package fulmarretention_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarretention"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
)

func listed(ids ...string) *fulmarcatalog.Catalog {
	targets := make([]fulmarcatalog.Target, len(ids))
	for i, id := range ids {
		targets[i] = fulmarcatalog.Target{ID: id, Born: 1, Service: "s"}
	}
	return fulmarcatalog.New(targets)
}

func TestWindow(t *testing.T) {
	const span = 30 * time.Second
	start := time.Unix(1000, 0)

	// Guards against estimates that are lost because records of targets expire during an outage of the store.
	t.Run("keeps a target that is absent for less than a span", func(t *testing.T) {
		g := NewWithT(t)
		w := fulmarretention.New(start, span)
		w.Advance(start.Add(29*time.Second), listed("a", "b"))
		g.Expect(w.Advance(start.Add(31*time.Second), listed("b"))).To(BeTrue())
		g.Expect(w.Has("a")).To(BeTrue())
		g.Expect(w.Advance(start.Add(50*time.Second), listed("a", "b"))).To(BeFalse())
		w.Advance(start.Add(61*time.Second), listed("b"))
		g.Expect(w.Has("a")).To(BeTrue())
	})

	// Guards against memory that grows with every target that has ever been listed.
	t.Run("drops a target that is gone", func(t *testing.T) {
		g := NewWithT(t)
		w := fulmarretention.New(start, span)
		w.Advance(start, listed("a", "b"))
		for s := 1; s <= 61; s++ {
			w.Advance(start.Add(time.Duration(s)*time.Second), listed("b"))
		}
		g.Expect(w.Has("a")).To(BeFalse())
		g.Expect(w.Has("b")).To(BeTrue())
	})
}
