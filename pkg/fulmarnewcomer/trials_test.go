package fulmarnewcomer_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarnewcomer"
)

func target(i int) fulmarcatalog.Target {
	return fulmarcatalog.Target{ID: fmt.Sprintf("i-%04x", i), Born: 1, Service: "desk"}
}

// Guards against newcomers that nobody tries, and against a newcomer that gets a request from each daemon of a large fleet.
func TestTriers(t *testing.T) {
	for _, daemons := range []int{1, 27, 144, 300, 1500} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			g := NewWithT(t)
			const newcomers = 200
			first := fulmarcatalog.New([]fulmarcatalog.Target{target(0)})
			var joined []fulmarcatalog.Target
			for i := range newcomers {
				joined = append(joined, target(i+1))
			}
			next := first.With(joined, nil)
			triers := make(map[string]int)
			for i := range daemons {
				trials := fulmarnewcomer.New(fmt.Sprint("front-", i))
				trials.Update(first, daemons)
				g.Expect(trials.Pending("desk")).To(BeFalse(), "targets that were there before")
				trials.Update(next, daemons)
				for _, x := range next.Service("desk") {
					if trials.Take(x) {
						triers[x.ID]++
						g.Expect(trials.Take(x)).To(BeFalse(), "tried once")
					}
				}
				g.Expect(trials.Pending("desk")).To(BeFalse())
			}
			g.Expect(len(triers)).To(BeNumerically(">", newcomers*0.98))
			for id, n := range triers {
				g.Expect(n).To(BeNumerically("<=", 4*fulmarnewcomer.Triers), id)
			}
		})
	}
}

func TestUpdate(t *testing.T) {
	// A fleet of one daemon, which tries all newcomers.
	start := func() (*fulmarnewcomer.Trials, *fulmarcatalog.Catalog) {
		trials, c := fulmarnewcomer.New("d"), fulmarcatalog.New([]fulmarcatalog.Target{target(0)})
		trials.Update(c, 1)
		next := c.With([]fulmarcatalog.Target{target(1)}, nil)
		trials.Update(next, 1)
		return trials, next
	}
	// Guards against requests to a target that has left again, and against memory that grows with each newcomer.
	t.Run("a newcomer leaves", func(t *testing.T) {
		g := NewWithT(t)
		trials, c := start()
		g.Expect(trials.Pending("desk")).To(BeTrue())
		trials.Update(c.With(nil, []string{target(1).ID}), 1)
		g.Expect(trials.Pending("desk")).To(BeFalse())
	})
	// Guards against a target that has started again and counts as one that was there before.
	t.Run("a target starts again", func(t *testing.T) {
		g := NewWithT(t)
		trials, c := start()
		again := target(0)
		again.Born++
		trials.Update(c.With([]fulmarcatalog.Target{again}, nil), 1)
		g.Expect(trials.Take(target(0))).To(BeFalse())
		g.Expect(trials.Take(again)).To(BeTrue())
	})
	// Guards against a target whose entry has changed and that counts as new.
	t.Run("an entry changes", func(t *testing.T) {
		g := NewWithT(t)
		trials, c := start()
		leaving := target(0)
		leaving.Leaving = true
		trials.Update(c.With([]fulmarcatalog.Target{leaving}, nil), 1)
		g.Expect(trials.Take(leaving)).To(BeFalse())
		g.Expect(trials.Take(target(1))).To(BeTrue())
	})
}
