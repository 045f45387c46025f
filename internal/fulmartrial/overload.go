package fulmartrial

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarhistory"
	"github.com/fulmarbend/fulmarbend/internal/fulmarload"
)

const (
	overloadDaemons        = 3
	overloadTargets        = 9
	targetConcurrency      = 3
	requestWork            = 40 * time.Millisecond
	overloadDuration       = 10 * time.Second
	riseAt                 = 4 * time.Second // after the beginning of the run
	riseSteps              = 9               // of equal size, within one second
	maxInFlight            = 20000           // requests of one load
	baseDemand, peakDemand = 0.25, 2.5       // as a fraction of the capacity

	surgeFactor = 20

	hotRequestWork = 10 * time.Millisecond
	hotDuration    = 30 * time.Second
	hotDemand      = 0.5
	hotWindow      = 10 * time.Second
)

// surgeDemands are the demands of each of 4 groups, as fractions of the capacity.
// While all groups have requests waiting, the share of each group is 0.25.
var surgeDemands = []float64{0.1, 0.2}

// measureOverload measures a tenfold rise of the demand, a surge of one group,
// and hot keys.
func (t *Trial) measureOverload(ctx context.Context) error {
	if err := t.measureRise(ctx); err != nil {
		return err
	}
	if err := t.measureSurges(ctx); err != nil {
		return err
	}
	return t.measureHotKeys(ctx)
}

func overloadSpec(groups ...string) fleetSpec {
	return fleetSpec{
		daemonCount: overloadDaemons, groups: groups, queueLength: 200,
		services: []service{{name: "rota-board", targetCount: overloadTargets, slotCount: 90, idempotent: true}},
	}
}

// nominalCapacity returns the capacity of all targets in requests per second if
// each request takes exactly work.
func nominalCapacity(work time.Duration) float64 {
	return overloadTargets * targetConcurrency / work.Seconds()
}

// timedLoad is a load that starts some time after the beginning of a run.
type timedLoad struct {
	startAfter time.Duration
	settings   fulmarload.Settings
}

// newTimedLoad returns a load of one group from start to end, which both count
// from the beginning of the run.
// Callers do not retry refused requests, so that the demand equals the given rate.
func (f *fleet) newTimedLoad(seed uint64, start, end time.Duration, rate float64, group string) timedLoad {
	s := f.loadSettings(seed, end-start)
	s.MaxAttempts, s.MaxInFlight, s.HotKeysPerService, s.HotShare, s.ShortWork = 1, maxInFlight, 0, 0, requestWork
	s.Groups = []fulmarload.Group{{Name: group, Service: "rota-board", Rate: rate}}
	return timedLoad{start, s}
}

// runTimedLoads runs loads concurrently. It returns their calls and the number
// of requests that were not sent.
func (f *fleet) runTimedLoads(ctx context.Context, loads []timedLoad) (calls []fulmarhistory.Call, dropped int, err error) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, load := range loads {
		group.Go(func() {
			loadErr := sleep(ctx, load.startAfter)
			var r fulmarload.Result
			if loadErr == nil {
				r, loadErr = f.runLoad(ctx, load.settings)
			}
			mu.Lock()
			defer mu.Unlock()
			calls, dropped = append(calls, r.Calls...), dropped+r.Dropped
			if loadErr != nil {
				err = loadErr
			}
		})
	}
	group.Wait()
	return calls, dropped, err
}

// measureRise measures a demand that rises tenfold within a second.
func (t *Trial) measureRise(ctx context.Context) error {
	table := newResultTable("rise", "timeout ms", "part", "offered/s", "served/s", "capacity/s", "goodput %", "p50 ms", "p99 ms", "not served, by reason", "not sent")
	for _, timeout := range []time.Duration{2 * time.Second, 300 * time.Millisecond} {
		err := t.withFleet(ctx, overloadSpec("ferries"), func(f *fleet) error {
			capacity := nominalCapacity(requestWork)
			loads := []timedLoad{f.newTimedLoad(t.settings.Seed, 0, overloadDuration, baseDemand*capacity, "ferries")}
			for i := range riseSteps {
				at := riseAt + time.Duration(i)*time.Second/riseSteps
				loads = append(loads, f.newTimedLoad(t.settings.Seed+uint64(i)+1, at, overloadDuration, (peakDemand-baseDemand)/riseSteps*capacity, "ferries"))
			}
			for i := range loads {
				loads[i].settings.Timeout = timeout
			}
			start := time.Now()
			calls, dropped, err := f.runTimedLoads(ctx, loads)
			if err != nil {
				return err
			}
			workTime, err := f.meanWorkTime()
			if err != nil {
				return err
			}
			capacity = nominalCapacity(workTime)
			for _, part := range []struct {
				name     string
				from, to time.Duration
			}{
				{"before", time.Second, riseAt},
				{"first second", riseAt, riseAt + time.Second},
				{"later", riseAt + time.Second, overloadDuration},
			} {
				s := summarise(calls, start, part.from, part.to)
				table.addRow(timeout, part.name, s.offeredRate, s.servedRate, capacity, 100*s.servedRate/min(capacity, s.offeredRate), s.p50, s.p99, s.reasons, dropped)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return t.writeTable(table)
}

// meanWorkTime returns the mean time for which a request occupied one of the
// concurrent execution slots of its target.
func (f *fleet) meanWorkTime() (time.Duration, error) {
	var sum time.Duration
	n := 0
	for _, t := range f.targets {
		events, err := fulmarhistory.ReadFiles[fulmarhistory.Event](t.historyPath)
		if err != nil {
			return 0, errors.Wrap(err, "fulmartrial: read target history")
		}
		started := map[uint64]int64{}
		for _, e := range events {
			switch e.Kind {
			case fulmarhistory.KindStart:
				started[e.Serial] = e.UnixNanos
			case fulmarhistory.KindCommit:
				sum += time.Duration(e.UnixNanos - started[e.Serial])
				n++
			}
		}
	}
	if n == 0 {
		return 0, errors.New("fulmartrial: no request was served")
	}
	return sum / time.Duration(n), nil
}

// windowSummary summarises the calls in a time window of a run.
type windowSummary struct {
	offeredRate, servedRate float64 // per second; servedRate counts answers that arrived in the window
	p50, p99                time.Duration
	reasons                 string // counts of calls that were not served, by outcome and reason
}

// summarise summarises the calls in the window from start+from to start+to.
func summarise(calls []fulmarhistory.Call, start time.Time, from, to time.Duration) windowSummary {
	latency := hdrhistogram.New(1, maxLatencyMicros, histogramDigits)
	reasons := map[string]int{}
	var s windowSummary
	inWindow := func(at int64) bool {
		d := time.Duration(at - start.UnixNano())
		return d >= from && d < to
	}
	for _, c := range calls {
		if inWindow(c.Start) {
			s.offeredRate++
			if c.Outcome == outcomeServed {
				_ = latency.RecordValue(min((c.End-c.Start)/int64(time.Microsecond), maxLatencyMicros))
			} else {
				reasons[c.Outcome+" "+c.Reason]++
			}
		}
		if c.Outcome == outcomeServed && inWindow(c.End) {
			s.servedRate++
		}
	}
	seconds := (to - from).Seconds()
	s.offeredRate, s.servedRate = s.offeredRate/seconds, s.servedRate/seconds
	s.p50 = time.Duration(latency.ValueAtQuantile(50)) * time.Microsecond
	s.p99 = time.Duration(latency.ValueAtQuantile(99)) * time.Microsecond
	var list []string
	for _, name := range slices.Sorted(maps.Keys(reasons)) {
		list = append(list, fmt.Sprintf("%s=%d", name, reasons[name]))
	}
	s.reasons = strings.Join(list, ", ")
	return s
}

// measureSurges measures a demand of one of four groups that rises by a factor of
// surgeFactor, for each of surgeDemands.
func (t *Trial) measureSurges(ctx context.Context) error {
	table := newResultTable("surge", "demand of a group", "groups", "part", "offered/s", "served/s", "served of offered %", "p50 ms", "p99 ms", "not served, by reason")
	for _, demand := range surgeDemands {
		if err := t.measureSurge(ctx, table, demand); err != nil {
			return err
		}
	}
	return t.writeTable(table)
}

// measureSurge adds rows for one demand to the table.
func (t *Trial) measureSurge(ctx context.Context, table *resultTable, demand float64) error {
	groups := []string{"ferries", "clinics", "harbours", "schools"}
	return t.withFleet(ctx, overloadSpec(groups...), func(f *fleet) error {
		rate := demand * nominalCapacity(requestWork)
		var loads []timedLoad
		for i, g := range groups {
			loads = append(loads, f.newTimedLoad(t.settings.Seed+uint64(i), 0, overloadDuration, rate, g))
		}
		loads = append(loads, f.newTimedLoad(t.settings.Seed+uint64(len(groups)), riseAt, overloadDuration, (surgeFactor-1)*rate, groups[0]))
		start := time.Now()
		calls, _, err := f.runTimedLoads(ctx, loads)
		if err != nil {
			return err
		}
		var surging, others []fulmarhistory.Call
		for _, c := range calls {
			if c.Group == groups[0] {
				surging = append(surging, c)
			} else {
				others = append(others, c)
			}
		}
		for _, part := range []struct {
			name     string
			from, to time.Duration
		}{
			{"before", time.Second, riseAt},
			{"first second", riseAt, riseAt + time.Second},
			{"later", riseAt + time.Second, overloadDuration},
		} {
			for _, g := range []struct {
				name  string
				calls []fulmarhistory.Call
			}{{"surging", surging}, {"3 others", others}} {
				s := summarise(g.calls, start, part.from, part.to)
				table.addRow(demand, g.name, part.name, s.offeredRate, s.servedRate, 100*s.servedRate/s.offeredRate, s.p50, s.p99, s.reasons)
			}
		}
		return nil
	})
}

// measureHotKeys measures a load that sends half of its requests to 8 keys.
func (t *Trial) measureHotKeys(ctx context.Context) error {
	table := newResultTable("hot", "hot keys", "share %", "from s", "imbalance by requests", "served of sent %", "violations")
	err := t.withFleet(ctx, overloadSpec("ferries"), func(f *fleet) error {
		load := f.newTimedLoad(t.settings.Seed, 0, hotDuration, hotDemand*nominalCapacity(hotRequestWork), "ferries")
		load.settings.HotKeysPerService, load.settings.HotShare, load.settings.ShortWork = 8, 0.5, hotRequestWork
		start := time.Now()
		calls, _, err := f.runTimedLoads(ctx, []timedLoad{load})
		if err != nil {
			return err
		}
		violations, err := f.countViolations(calls)
		if err != nil {
			return err
		}
		for from := time.Duration(0); from < hotDuration; from += hotWindow {
			imbalance, err := f.imbalance(start, from, from+hotWindow)
			if err != nil {
				return err
			}
			s := summarise(calls, start, from, from+hotWindow)
			table.addRow(load.settings.HotKeysPerService, 100*load.settings.HotShare, from.Seconds(), imbalance, 100*s.servedRate/s.offeredRate, violations)
		}
		return nil
	})
	if err != nil {
		return err
	}
	return t.writeTable(table)
}

// imbalance returns the ratio of the largest to the mean number of requests that
// the targets committed in a window. Since all requests take equally long, it is
// also the imbalance of the work.
func (f *fleet) imbalance(start time.Time, from, to time.Duration) (float64, error) {
	largest, sum := 0, 0
	for _, t := range f.targets {
		events, err := fulmarhistory.ReadFiles[fulmarhistory.Event](t.historyPath)
		if err != nil {
			return 0, errors.Wrap(err, "fulmartrial: read target history")
		}
		n := 0
		for _, e := range events {
			if d := time.Duration(e.UnixNanos - start.UnixNano()); e.Kind == fulmarhistory.KindCommit && d >= from && d < to {
				n++
			}
		}
		largest, sum = max(largest, n), sum+n
	}
	return float64(largest) * float64(len(f.targets)) / float64(max(sum, 1)), nil
}
