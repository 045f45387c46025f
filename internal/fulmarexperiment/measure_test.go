package fulmarexperiment_test

import (
	"io"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarexperiment"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarqueue"
)

// Bounds from section 1.6 of the design.
const (
	leastShare   = 0.95
	mostShort    = 1.5
	mostRun      = 1.25
	leastGoodput = 0.95
)

const seeds = 10

var _ = Describe("Fair", func() {
	// Guards against a group that takes the entitlement of others.
	It("contains a 20-fold surge of one group", func() {
		for seed := range uint64(seeds) {
			s := fulmarexperiment.MeasureSurge(fulmarqueue.Fair, seed)
			Expect(s.First).To(BeNumerically(">=", leastShare), "seed %d", seed)
			Expect(s.Later).To(BeNumerically(">=", leastShare), "seed %d", seed)
		}
	})

	// Guards against short work that is blocked by long work, and against long
	// work that starves. The loads are those at which 3 slots have the room: a
	// straggler leaves 2 slots to short work and two leave 1, where the p99 of a
	// queue with random arrivals exceeds the bound at a load of about 0.1.
	DescribeTable("runs short work beside a payout run", func(load float64, width int) {
		for seed := range uint64(seeds) {
			p := fulmarexperiment.MeasurePayout(fulmarqueue.Fair, load, width, seed)
			Expect(p.Short).To(BeNumerically("<=", mostShort), "seed %d", seed)
			Expect(p.Run).To(BeNumerically("<=", mostRun), "seed %d", seed)
		}
	},
		Entry("one straggler, load 0.1", 0.1, 1),
		Entry("one straggler, load 0.2", 0.2, 1),
		Entry("one straggler, load 0.3", 0.3, 1),
		Entry("two stragglers, load 0.05", 0.05, 2),
	)

	// Guards against capacity spent on work that ends after its deadline.
	It("keeps goodput when demand rises tenfold", func() {
		for seed := range uint64(seeds) {
			Expect(fulmarexperiment.MeasureRise(fulmarqueue.Fair, seed)).To(BeNumerically(">=", leastGoodput), "seed %d", seed)
		}
	})

	// Guards against a table that lacks a measure; -ginkgo.v shows the table.
	It("prints the figures of all disciplines", func() {
		var table strings.Builder
		Expect(fulmarexperiment.Print(io.MultiWriter(&table, GinkgoWriter), 1)).To(Succeed())
		Expect(strings.Count(table.String(), "\n")).To(Equal(1 + 2 + 2*len(fulmarexperiment.Loads) + 1))
	})
})
