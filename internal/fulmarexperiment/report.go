package fulmarexperiment

import (
	"fmt"
	"io"
	"slices"
	"sync"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarqueue"
)

// parallel is the number of runs at a time.
const parallel = 4

// Report is the figures of all experiments for one seed.
type Report struct {
	Seed    uint64
	Payouts []PayoutComparison
	Tables  []Table
}

// Beside is the figures of one payout run for each of Disciplines.
type PayoutComparison struct {
	Stragglers   int
	Load         float64
	ByDiscipline []Payout
}

// New runs all experiments with the seed, and those whose figures vary most
// with the given number of seeds from that one on.
func NewReport(seed uint64, seeds int) Report {
	r := Report{Seed: seed, Payouts: payouts(seed)}
	r.Tables = []Table{
		surges(seed), payoutTable(r.Payouts), payoutSeeds(seed, seeds),
		balances(seed), churns(seed), churnSeeds(seed, seeds),
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

// each returns f of all values, some at a time.
func each[T, R any](values []T, f func(T) R) []R {
	results := make([]R, len(values))
	var wait sync.WaitGroup
	places := make(chan struct{}, parallel)
	for i, v := range values {
		places <- struct{}{}
		wait.Go(func() {
			results[i] = f(v)
			<-places
		})
	}
	wait.Wait()
	return results
}

// disciplines appends the names of all disciplines.
func disciplines(head []string, suffix string) []string {
	for _, d := range Disciplines {
		head = append(head, d.Name+suffix)
	}
	return head
}

func surges(seed uint64) Table {
	t := Table{
		Name: "surge", Title: "Least share of entitlement in a 20-fold surge of one group; goodput at a tenfold demand",
		Head: disciplines([]string{"measure"}, ""),
	}
	type result struct {
		surge Surge
		good  float64
	}
	var all []fulmarqueue.Discipline
	for _, d := range Disciplines {
		all = append(all, d.Discipline)
	}
	results := each(all, func(d fulmarqueue.Discipline) result {
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

func payouts(seed uint64) []PayoutComparison {
	var cases []PayoutComparison
	for _, stragglers := range []int{1, 2} {
		for _, load := range Loads {
			cases = append(cases, PayoutComparison{Stragglers: stragglers, Load: load})
		}
	}
	return each(cases, func(b PayoutComparison) PayoutComparison {
		for _, d := range Disciplines {
			b.ByDiscipline = append(b.ByDiscipline, MeasurePayout(d.Discipline, b.Load, b.Stragglers, seed))
		}
		return b
	})
}

func payoutTable(rows []PayoutComparison) Table {
	t := Table{
		Name:  "payout",
		Title: "Short work beside a payout run: p99 / p99 without the run, and time of the run / time alone",
		Head:  disciplines(disciplines([]string{"stragglers", "load", "ideal"}, ""), ".run"),
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

// goalShort is the bound of the p99 of short work beside a payout run.
const goalShort = 1.5

// payoutSeeds returns the worst figures of Fair over some seeds.
func payoutSeeds(first uint64, seeds int) Table {
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
	results := each(runs, func(r run) Payout { return MeasurePayout(fulmarqueue.Fair, r.load, r.stragglers, r.seed) })
	for i := 0; i < len(runs); i += seeds {
		var most Payout
		quotient := 0.0
		above, ideal := 0, 0
		for _, p := range results[i : i+seeds] {
			most = Payout{ShortRatio: max(most.ShortRatio, p.ShortRatio), IdealRatio: max(most.IdealRatio, p.IdealRatio), RunRatio: max(most.RunRatio, p.RunRatio)}
			quotient = max(quotient, p.ShortRatio/p.IdealRatio)
			if p.ShortRatio > goalShort {
				above++
			}
			if p.IdealRatio > goalShort {
				ideal++
			}
		}
		t.add(runs[i].stragglers, fmt.Sprintf("%.2f", runs[i].load), most.ShortRatio, most.IdealRatio, quotient, most.RunRatio, above, ideal)
	}
	return t
}

// churnSeeds returns the ratios of moved keys to the minimum for some seeds.
func churnSeeds(first uint64, seeds int) Table {
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
	results := each(runs, func(r run) Churn { return MeasureChurn(Planned, r.event, exponents[1], r.seed) })
	for i := 0; i < len(runs); i += 3 {
		t.add(runs[i].seed, results[i].Ratio, results[i+1].Ratio, results[i+2].Ratio)
	}
	return t
}

// exponents of the Zipf distribution of load over keys.
var exponents = []float64{0, 0.8, 1}

func balances(seed uint64) Table {
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
		reports   ReportFaults
	}
	var runs []run
	for _, e := range exponents {
		for _, r := range []ReportFaults{{}, {LagSeconds: 5}, {LagSeconds: 5, FalseLoads: true}} {
			runs = append(runs, run{Planned, e, r})
		}
		runs = append(runs, run{Modulo, e, ReportFaults{}}, run{Rendezvous, e, ReportFaults{}})
	}
	results := each(runs, func(r run) Balance { return MeasureBalance(r.placement, r.exponent, r.reports, seed) })
	for i, b := range results {
		r := runs[i]
		t.add(r.placement, r.exponent, r.reports.LagSeconds, r.reports.FalseLoads,
			b.Floor, b.Median, b.P95, b.Max, b.AboveShare, b.LongestAbove, b.Moved, b.Returned)
	}
	return t
}

func churns(seed uint64) Table {
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
	for _, exponent := range exponents[:2] {
		for _, e := range []Event{Loss, Drain, Join} {
			for _, p := range []Placement{Planned, Modulo, Rendezvous} {
				runs = append(runs, run{p, e, exponent})
			}
		}
	}
	results := each(runs, func(r run) Churn { return MeasureChurn(r.placement, r.event, r.exponent, seed) })
	for i, c := range results {
		r := runs[i]
		t.add(r.event, r.exponent, r.placement, c.Moved, c.Minimum, c.Ratio, c.ImbalanceAfter)
	}
	return t
}
