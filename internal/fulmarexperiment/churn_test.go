package fulmarexperiment_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarexperiment"
)

// Bounds from section 1.6 of the design.
const (
	mostImbalance = 1.25
	mostMoved     = 1.1 // as a multiple of the minimum
)

// mostReturned is the share of the moves that may lead back to the former owner.
const mostReturned = 0.01

const (
	fleetSeeds = 3
	zipf       = 0.8 // at this exponent no key exceeds the mean load of 20 targets
)

var _ = Describe("Planner", func() {
	// Guards against load that stays uneven after the hottest keys have changed, and
	// against keys that move back and forth between targets.
	DescribeTable("balances keys whose hottest ones change", func(r fulmarexperiment.ReportFaults) {
		for seed := range uint64(fleetSeeds) {
			b := fulmarexperiment.MeasureBalance(fulmarexperiment.Planned, zipf, r, seed)
			fmt.Fprintf(GinkgoWriter, "reports %+v, seed %d: %+v\n", r, seed, b)
			Expect(b.Median).To(BeNumerically("<=", mostImbalance), "seed %d", seed)
			Expect(float64(b.Returned)).To(BeNumerically("<=", mostReturned*float64(b.Moved)), "seed %d", seed)
			for _, baseline := range []fulmarexperiment.Placement{fulmarexperiment.Modulo, fulmarexperiment.Rendezvous} {
				o := fulmarexperiment.MeasureBalance(baseline, zipf, r, seed)
				Expect(b.Median).To(BeNumerically("<", o.Median), "%v, seed %d", baseline, seed)
			}
		}
	},
		Entry("true reports", fulmarexperiment.ReportFaults{}),
		Entry("reports that lag 5 s", fulmarexperiment.ReportFaults{LagSeconds: 5}),
		Entry("reports that lag and are false", fulmarexperiment.ReportFaults{LagSeconds: 5, FalseLoads: true}),
	)

	// Guards against moves of keys that a loss, drain or join does not require.
	DescribeTable("moves few keys when targets change", func(e fulmarexperiment.Event, exponent float64) {
		for seed := range uint64(fleetSeeds) {
			c := fulmarexperiment.MeasureChurn(fulmarexperiment.Planned, e, exponent, seed)
			fmt.Fprintf(GinkgoWriter, "%v, exponent %.1f, seed %d: %+v\n", e, exponent, seed, c)
			Expect(c.Ratio).To(BeNumerically("<=", mostMoved), "seed %d", seed)
		}
	},
		Entry("loss, even load", fulmarexperiment.Loss, 0.0),
		Entry("drain, even load", fulmarexperiment.Drain, 0.0),
		Entry("join, even load", fulmarexperiment.Join, 0.0),
		Entry("loss, Zipf load", fulmarexperiment.Loss, zipf),
		Entry("drain, Zipf load", fulmarexperiment.Drain, zipf),
		Entry("join, Zipf load", fulmarexperiment.Join, zipf),
	)
})
