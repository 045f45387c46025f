package fulmarcatalog_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

func target(id string, leaving bool) fulmarcatalog.Target {
	return fulmarcatalog.Target{ID: id, Born: 1, Service: "board", Slots: 3, Leaving: leaving}
}

func expectIDs(c *fulmarcatalog.Catalog, ids ...string) {
	GinkgoHelper()
	var got []string
	for _, t := range c.Service("board") {
		got = append(got, t.ID)
	}
	Expect(got).To(Equal(ids))
}

// read returns the catalog of a read, of a store that had no outage.
func read(now time.Time, targets []fulmarcatalog.Target, former *fulmarcatalog.Catalog, formerTime time.Time) *fulmarcatalog.Catalog {
	c, _ := fulmarcatalog.Read(now, fulmarcatalog.Entries{Targets: targets}, former, formerTime, time.Time{})
	return c
}

// Guards against panics of daemons that are asked for targets before they know any.
var _ = Describe("nil Catalog", func() {
	var unknown *fulmarcatalog.Catalog
	known := fulmarcatalog.New([]fulmarcatalog.Target{target("a", false)})

	It("has no targets", func() {
		_, ok := unknown.Target("a")
		Expect(ok).To(BeFalse())
		Expect(unknown.Service("board")).To(BeEmpty())
		Expect(unknown.Targets()).To(BeEmpty())
		Expect(slices.Collect(unknown.All())).To(BeEmpty())
		Expect(unknown.Len()).To(BeZero())
	})

	It("is compared as an empty one", func() {
		Expect(unknown.Equivalent(fulmarcatalog.New(nil))).To(BeTrue())
		Expect(known.Equivalent(unknown)).To(BeFalse())
		changed, gone := known.Diff(unknown)
		Expect(changed).To(HaveLen(1))
		Expect(gone).To(BeEmpty())
		Expect(known.Joined(unknown)).To(HaveLen(1))
		Expect(unknown.ChangedIDs(known)).To(Equal([]string{"a"}))
	})

	It("is changed as an empty one", func() {
		leaving := map[fulmarrange.Incarnation]time.Time{target("a", false).Incarnation(): start}
		Expect(unknown.WithLeaving(start, start, leaving).Len()).To(BeZero())
		expectIDs(unknown.With([]fulmarcatalog.Target{target("a", false)}, []string{"b"}), "a")
	})
})

var _ = Describe("Read", func() {
	var first *fulmarcatalog.Catalog
	BeforeEach(func() {
		first = read(start, []fulmarcatalog.Target{target("a", false), target("b", false)}, nil, time.Time{})
		expectIDs(first, "a", "b")
	})

	// Guards against requests to targets that left long ago: a daemon that follows a leader does not read for long,
	// and must not treat this pause as an outage of the store.
	It("drops a target that is missing after a pause without failures", func() {
		expectIDs(read(at(time.Minute), []fulmarcatalog.Target{target("a", false)}, first, start), "a")
	})

	// Guards against moved keys and refused requests when entries expired while the store was unavailable.
	It("retains missing targets for a while after an outage", func() {
		one, end := fulmarcatalog.Entries{Targets: []fulmarcatalog.Target{target("a", false)}}, at(5*time.Second)
		c, retained := fulmarcatalog.Read(end, one, first, start, end)
		expectIDs(c, "a", "b")
		Expect(retained).To(Equal(1))
		c, retained = fulmarcatalog.Read(end.Add(fulmarcatalog.ReturnWindow-time.Millisecond), one, c, end, end)
		expectIDs(c, "a", "b")
		Expect(retained).To(Equal(1))
		c, retained = fulmarcatalog.Read(end.Add(fulmarcatalog.ReturnWindow), one, c, at(6*time.Second), end)
		expectIDs(c, "a")
		Expect(retained).To(BeZero())
	})

	// Guards against requests that reach a leaving target after the time for which it still accepts them.
	DescribeTable("bounds the time for which a target may have been leaving",
		func(read func() *fulmarcatalog.Catalog, accepts bool) {
			t, ok := read().Target("b")
			Expect(ok).To(BeTrue())
			Expect(t.Leaving).To(BeTrue())
			Expect(t.AcceptsRequests(at(2*time.Second), 2*time.Second)).To(Equal(accepts))
		},
		Entry("by the last read at which it was not leaving", func() *fulmarcatalog.Catalog {
			return read(at(time.Second), []fulmarcatalog.Target{target("b", true)}, first, at(100*time.Millisecond))
		}, true),
		Entry("over several reads", func() *fulmarcatalog.Catalog {
			c := read(at(time.Second), []fulmarcatalog.Target{target("b", true)}, first, start)
			return read(at(1500*time.Millisecond), []fulmarcatalog.Target{target("b", true)}, c, at(time.Second))
		}, false),
		// Guards against a time that counts from the target's own word, which may come long after its entry has changed.
		Entry("by the last read at which it was not leaving, although it has said so itself since", func() *fulmarcatalog.Catalog {
			own := map[fulmarrange.Incarnation]time.Time{target("b", false).Incarnation(): at(1500 * time.Millisecond)}
			c := first.WithLeaving(at(1500*time.Millisecond), start, own)
			return read(at(1600*time.Millisecond), []fulmarcatalog.Target{target("b", true)}, c, start)
		}, false),
		Entry("without bound if it was leaving when it was first seen", func() *fulmarcatalog.Catalog {
			return read(at(time.Second), []fulmarcatalog.Target{target("b", true)}, nil, time.Time{})
		}, false),
	)

	// Guards against daemons that are not told of a target that has become cold again in the same incarnation.
	DescribeTable("differs by the warm-up of a target",
		func(before, after time.Duration, equivalent bool) {
			old, next := target("a", false), target("a", false)
			old.WarmupLeft, next.WarmupLeft = before, after
			c := read(start, []fulmarcatalog.Target{old}, nil, time.Time{})
			d := read(at(time.Second), []fulmarcatalog.Target{next}, c, start)
			Expect(d.Equivalent(c)).To(Equal(equivalent))
			changed, _ := d.Diff(c)
			Expect(len(changed) == 0).To(Equal(equivalent))
		},
		Entry("cold again", time.Duration(0), 3*time.Second, false),
		Entry("cold again, after a warm-up", 500*time.Millisecond, 3*time.Second, false),
		Entry("warm before it was expected", 10*time.Second, time.Duration(0), false),
		Entry("as expected", 3*time.Second, 2*time.Second, true),
		Entry("about as expected", 3*time.Second, 2300*time.Millisecond, true),
		Entry("warm as expected", 900*time.Millisecond, time.Duration(0), true),
	)

	It("advances times since the read", func() {
		cold := target("a", false)
		cold.WarmupLeft = time.Second
		c := read(start, []fulmarcatalog.Target{cold}, nil, time.Time{})
		t, _ := c.Target("a")
		Expect(t.AsOf(at(300 * time.Millisecond)).WarmupLeft).To(Equal(700 * time.Millisecond))
		Expect(c.Equivalent(fulmarcatalog.New([]fulmarcatalog.Target{t.AsOf(at(time.Second))}))).To(BeTrue())
	})
})
