package fulmarcatalog_test

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
)

// evacuating are entries of targets with the ids, all of them in one data centre, whose evacuation is asked for or not.
func evacuating(evacuated bool, ids ...string) fulmarcatalog.Entries {
	out := fulmarcatalog.Entries{Evacuated: map[string]bool{"dc": evacuated}}
	for _, id := range ids {
		t := target(id, false)
		t.DC = "dc"
		out.Targets = append(out.Targets, t)
	}
	return out
}

// evacuatedFor returns the upper bound of the time for which a target has been evacuated at now, and whether it is.
func evacuatedFor(c *fulmarcatalog.Catalog, now time.Time) (time.Duration, bool) {
	GinkgoHelper()
	t, ok := c.Target("a")
	Expect(ok).To(BeTrue())
	return t.AsOf(now).EvacuatedFor, t.Evacuated
}

// Guards against requests to evacuated targets after the time that operators allow, and against an evacuation that is forgotten.
var _ = Describe("Evacuation", func() {
	var first *fulmarcatalog.Catalog
	BeforeEach(func() {
		first, _ = fulmarcatalog.Read(start, evacuating(false, "a"), nil, time.Time{}, time.Time{})
	})

	It("begins at the last read without it, at the earliest", func() {
		c, _ := fulmarcatalog.Read(at(time.Second), evacuating(true, "a"), first, start, time.Time{})
		c, _ = fulmarcatalog.Read(at(2*time.Second), evacuating(true, "a"), c, at(time.Second), time.Time{})
		left, evacuated := evacuatedFor(c, at(3*time.Second))
		Expect(evacuated).To(BeTrue())
		Expect(left).To(Equal(3 * time.Second))
		t, _ := c.Target("a")
		Expect(t.AcceptsDuringEvacuation(at(3*time.Second), 3001*time.Millisecond)).To(BeTrue())
		Expect(t.AcceptsDuringEvacuation(at(3*time.Second), 3*time.Second)).To(BeFalse())
	})
	It("has lasted for an unknown time for a daemon that starts, and for a target that starts", func() {
		for _, former := range []*fulmarcatalog.Catalog{nil, fulmarcatalog.New(nil)} {
			c, _ := fulmarcatalog.Read(at(time.Second), evacuating(true, "a"), former, start, time.Time{})
			left, _ := evacuatedFor(c, at(time.Second))
			Expect(left).To(BeNumerically(">=", time.Minute))
		}
	})
	It("ends with its entry", func() {
		c, _ := fulmarcatalog.Read(at(time.Second), evacuating(true, "a"), first, start, time.Time{})
		Expect(c.Equivalent(first)).To(BeFalse())
		c, _ = fulmarcatalog.Read(at(2*time.Second), evacuating(false, "a"), c, at(time.Second), time.Time{})
		Expect(c.Equivalent(first)).To(BeTrue())
		left, evacuated := evacuatedFor(c, at(3*time.Second))
		Expect(evacuated).To(BeFalse())
		Expect(left).To(BeZero())
	})
	// What operators have written may be missing for a moment after an outage, as the entries of targets.
	It("is retained after an outage, also of a target whose entry is missing", func() {
		c, _ := fulmarcatalog.Read(at(time.Second), evacuating(true, "a"), first, start, time.Time{})
		end := at(5 * time.Second)
		for _, ids := range [][]string{{"a"}, nil} {
			after, _ := fulmarcatalog.Read(end, evacuating(false, ids...), c, at(time.Second), end)
			left, evacuated := evacuatedFor(after, end)
			Expect(evacuated).To(BeTrue())
			Expect(left).To(Equal(5 * time.Second))
		}
		after, _ := fulmarcatalog.Read(end.Add(fulmarcatalog.ReturnWindow), evacuating(false, "a"), c, at(time.Second), end)
		_, evacuated := evacuatedFor(after, end)
		Expect(evacuated).To(BeFalse())
	})

	// Guards against a daemon of the former build that rejects the list of targets, and against one that takes it for one with
	// evacuations.
	It("is left out for daemons of the former build", func() {
		type formerTarget struct {
			ID string `cbor:"id"`
			DC string `cbor:"dc"`
		}
		b, err := cbor.Marshal(fulmarcatalog.Target{ID: "a", DC: "dc", Evacuated: true, EvacuatedFor: time.Second})
		Expect(err).NotTo(HaveOccurred())
		var former formerTarget
		Expect(cbor.Unmarshal(b, &former)).To(Succeed())
		Expect(former).To(Equal(formerTarget{"a", "dc"}))
		b, err = cbor.Marshal(former)
		Expect(err).NotTo(HaveOccurred())
		var t fulmarcatalog.Target
		Expect(cbor.Unmarshal(b, &t)).To(Succeed())
		Expect(t.Evacuated).To(BeFalse())
	})
})
