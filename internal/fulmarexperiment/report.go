package fulmarexperiment

import (
	"fmt"
	"io"
	"slices"
	"sync"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarqueue"
)

// maxParallelRuns is the maximum number of concurrent simulations.
const maxParallelRuns = 4

// Report holds the results of all experiments for one seed.
type Report struct {
	Seed    uint64
	Payouts []PayoutComparison
	Tables  []Table
}

// PayoutComparison holds the results of one payout run under each of Disciplines.
type PayoutComparison struct {
	Stragglers   int
	Load         float64
	ByDiscipline []Payout
}

// NewReport runs all experiments with the seed. Those whose results vary most with
// the seed run for the given number of successive seeds too.
func NewReport(seed uint64, seeds int) Report {
	r := Report{Seed: seed, Payouts: measurePayouts(seed)}
	r.Tables = []Table{
		surgeTable(seed), payoutTable(r.Payouts), payoutSeedsTable(seed, seeds),
		balanceTable(seed), churnTable(seed), churnSeedsTable(seed, seeds),
	}
	return r
}

// Print writes all tables.
func (r Report) Print(w io.Writer) error {
	for i, t := range r.Tables {
		if i > 0 {
			if _, err := io.WriteString(w, "\n"); err != nil {
				return err
			}
		}
		if err := t.Print(w); err != nil {
			return err
		}
	}
	return nil
}

// mapParallel returns the results of f for all values, in order.
func mapParallel[T, R any](values []T, f func(T) R) []R {
	results := make([]R, len(values))
	var wait sync.WaitGroup
	semaphore := make(chan struct{}, maxParallelRuns)
	for i, v := range values {
		semaphore <- struct{}{}
		wait.Go(func() {
			results[i] = f(v)
			<-semaphore
		})
	}
	wait.Wait()
	return results
}

// appendDisciplines appends the names of all disciplines, each with the suffix, to head.
func appendDisciplines(head []string, suffix string) []string {
	for _, d := range Disciplines {
		head = append(head, d.Name+suffix)
	}
	return head
}

// surgeTable measures the surge of one group and the rise of demand.
func surgeTable(seed uint64) Table {
	t := Table{
		Name: "surge", Title: "Least share of entitlement in a 20-fold surge of one group; goodput at a tenfold demand",
		Head: appendDisciplines([]string{"measure"}, ""),
	}
	type result struct {
		surge Surge
		good  float64
	}
	var all []fulmarqueue.Discipline
	for _, d := range Disciplines {
		all = append(all, d.Discipline)
	}
	results := mapParallel(all, func(d fulmarqueue.Discipline) result {
		return result{MeasureSurge(d, seed), MeasureGoodput(d, seed)}
	})
	rows := [][]any{{"share, first second"}, {"share, later"}, {"goodput"}}
	for _, r := range results {
		rows[0] = append(rows[0], r.surge.FirstSecond)
		rows[1] = append(rows[1], r.surge.Later)
		rows[2] = append(rows[2], r.good)
	}
	for _, row := range rows {
		t.add(row...)
	}
	return t
}

// measurePayouts measures payout runs of one and two stragglers at all Loads.
func measurePayouts(seed uint64) []PayoutComparison {
	var cases []PayoutComparison
	for _, stragglers := range []int{1, 2} {
		for _, load := range Loads {
			cases = append(cases, PayoutComparison{Stragglers: stragglers, Load: load})
		}
	}
	return mapParallel(cases, func(b PayoutComparison) PayoutComparison {
		for _, d := range Disciplines {
			b.ByDiscipline = append(b.ByDiscipline, MeasurePayout(d.Discipline, b.Load, b.Stragglers, seed))
		}
		return b
	})
}

// payoutTable returns the table of the measured payout runs.
func payoutTable(rows []PayoutComparison) Table {
	t := Table{
		Name:  "payout",
		Title: "Short work beside a payout run: p99 / p99 without the run, and time of the run / time alone",
		Head:  appendDisciplines(appendDisciplines([]string{"stragglers", "load", "ideal"}, ""), ".run"),
	}
	for _, b := range rows {
		row := []any{b.Stragglers, b.Load, b.ByDiscipline[0].IdealRatio}
		for _, p := range b.ByDiscipline {
			row = append(row, p.ShortRatio)
		}
		for _, p := range b.ByDiscipline {
			row = append(row, p.RunRatio)
		}
		t.add(row...)
	}
	return t
}

// maxShortRatio is the bound on ShortRatio of short work beside a payout run.
const maxShortRatio = 1.5

// payoutSeedsTable returns the highest ratios of payout runs under Fair over several
// seeds, and the number of seeds whose ratios exceed maxShortRatio.
func payoutSeedsTable(first uint64, seeds int) Table {
	t := Table{
		Name: "payout-seeds", Title: fmt.Sprintf("Short work beside a payout run under Fair: the highest of %d seeds", seeds),
		Head: []string{"stragglers", "load", "short", "ideal", "short/ideal", "run", "above", "ideal.above"},
	}
	type run struct {
		stragglers int
		load       float64
		seed       uint64
	}
	var runs []run
	for _, stragglers := range []int{1, 2} {
		for _, load := range slices.Concat([]float64{0.05}, Loads) {
			for i := range uint64(seeds) {
				runs = append(runs, run{stragglers, load, first + i})
			}
		}
	}
	results := mapParallel(runs, func(r run) Payout { return MeasurePayout(fulmarqueue.Fair, r.load, r.stragglers, r.seed) })
	for i := 0; i < len(runs); i += seeds {
		var highest Payout
		quotient := 0.0
		above, ideal := 0, 0
		for _, p := range results[i : i+seeds] {
			highest = Payout{ShortRatio: max(highest.ShortRatio, p.ShortRatio), IdealRatio: max(highest.IdealRatio, p.IdealRatio), RunRatio: max(highest.RunRatio, p.RunRatio)}
			quotient = max(quotient, p.ShortRatio/p.IdealRatio)
			if p.ShortRatio > maxShortRatio {
				above++
			}
			if p.IdealRatio > maxShortRatio {
				ideal++
			}
		}
		t.add(runs[i].stragglers, fmt.Sprintf("%.2f", runs[i].load), highest.ShortRatio, highest.IdealRatio, quotient, highest.RunRatio, above, ideal)
	}
	return t
}

// churnSeedsTable returns the ratios of moved keys to the minimum for several seeds.
func churnSeedsTable(first uint64, seeds int) Table {
	t := Table{
		Name: "churn-seeds", Title: "Keys that move under the planner / minimum, load of exponent 0.8",
		Head: []string{"seed", Loss.String(), Drain.String(), Join.String()},
	}
	type run struct {
		event Event
		seed  uint64
	}
	var runs []run
	for i := range uint64(seeds) {
		for _, e := range []Event{Loss, Drain, Join} {
			runs = append(runs, run{e, first + i})
		}
	}
	results := mapParallel(runs, func(r run) Churn { return MeasureChurn(Planned, r.event, zipfExponents[1], r.seed) })
	for i := 0; i < len(runs); i += 3 {
		t.add(runs[i].seed, results[i].Ratio, results[i+1].Ratio, results[i+2].Ratio)
	}
	return t
}

// zipfExponents are the exponents of the Zipf distribution of load over keys.
var zipfExponents = []float64{0, 0.8, 1}

// balanceTable measures the balance of all placements, and of the planner with wrong
// load reports.
func balanceTable(seed uint64) Table {
	t := Table{
		Name:  "balance",
		Title: "Maximum / mean load over 20 targets; the 130 hottest keys change each 60 s of 300 s",
		Head: []string{
			"placement", "exponent", "lag", "false", "floor", "median", "p95", "most", "above", "longest", "moved", "returned",
		},
	}
	type run struct {
		placement Placement
		exponent  float64
		faults    ReportFaults
	}
	var runs []run
	for _, e := range zipfExponents {
		for _, r := range []ReportFaults{{}, {LagSeconds: 5}, {LagSeconds: 5, FalseLoads: true}} {
			runs = append(runs, run{Planned, e, r})
		}
		runs = append(runs, run{Modulo, e, ReportFaults{}}, run{Rendezvous, e, ReportFaults{}})
	}
	results := mapParallel(runs, func(r run) Balance { return MeasureBalance(r.placement, r.exponent, r.faults, seed) })
	for i, b := range results {
		r := runs[i]
		t.add(r.placement, r.exponent, r.faults.LagSeconds, r.faults.FalseLoads,
			b.Floor, b.Median, b.P95, b.Max, b.AboveShare, b.LongestAbove, b.Moved, b.Returned)
	}
	return t
}

// churnTable measures the churn of all placements.
func churnTable(seed uint64) Table {
	t := Table{
		Name:  "churn",
		Title: "Keys of 20,000 that move when one of 20 targets leaves or one joins",
		Head:  []string{"event", "exponent", "placement", "moved", "minimum", "ratio", "after"},
	}
	type run struct {
		placement Placement
		event     Event
		exponent  float64
	}
	var runs []run
	for _, exponent := range zipfExponents[:2] {
		for _, e := range []Event{Loss, Drain, Join} {
			for _, p := range []Placement{Planned, Modulo, Rendezvous} {
				runs = append(runs, run{p, e, exponent})
			}
		}
	}
	results := mapParallel(runs, func(r run) Churn { return MeasureChurn(r.placement, r.event, r.exponent, seed) })
	for i, c := range results {
		r := runs[i]
		t.add(r.event, r.exponent, r.placement, c.Moved, c.Minimum, c.Ratio, c.ImbalanceAfter)
	}
	return t
}
