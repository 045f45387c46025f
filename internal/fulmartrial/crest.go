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
	crestDaemons = 3
	crestTargets = 9
	targetSlots  = 3
	crestWork    = 40 * time.Millisecond
	crestLoad    = 10 * time.Second
	crestAt      = 4 * time.Second
	crestSteps   = 9 // of equal size, within the first second
	crestFlight  = 20000
	calm, high   = 0.25, 2.5 // of the capacity

	surgeTimes = 20

	hotWork   = 10 * time.Millisecond
	hotLoad   = 30 * time.Second
	hotDemand = 0.5
	hotWindow = 10 * time.Second
)

// surgeDemands are demands of each of 4 groups, of the capacity; the share of a
// group is 0.25 while all have work waiting.
var surgeDemands = []float64{0.1, 0.2}

// crest measures a tenfold demand, a surge of one group, and hot keys.
func (t *Trial) crest(ctx context.Context) error {
	if err := t.rise(ctx); err != nil {
		return err
	}
	if err := t.surge(ctx); err != nil {
		return err
	}
	return t.hot(ctx)
}

func crestPlan(groups ...string) plan {
	return plan{
		daemons: crestDaemons, groups: groups, queue: 200,
		services: []service{{name: "rota-board", targets: crestTargets, slots: 90, idempotent: true}},
	}
}

// nominal is the capacity in requests a second if each takes exactly work.
func nominal(work time.Duration) float64 { return crestTargets * targetSlots / work.Seconds() }

// wave is a load that starts at a time of a run.
type wave struct {
	at       time.Duration
	settings fulmarload.Settings
}

// wave returns a load of one group that lasts until the end of a run. Callers
// do not repeat a refused request, so that the demand is what the plan says.
func (f *fleet) wave(seed uint64, at, until time.Duration, rate float64, group string) wave {
	s := f.load(seed, until-at)
	s.MaxAttempts, s.MaxInFlight, s.HotKeysPerService, s.HotShare, s.ShortWork = 1, crestFlight, 0, 0, crestWork
	s.Groups = []fulmarload.Group{{Name: group, Service: "rota-board", Rate: rate}}
	return wave{at, s}
}

// waves runs loads and returns their calls and the number of requests that were not sent.
func (f *fleet) waves(ctx context.Context, waves []wave) (calls []fulmarhistory.Call, dropped int, err error) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, w := range waves {
		group.Go(func() {
			e := pause(ctx, w.at)
			var r fulmarload.Result
			if e == nil {
				r, e = f.run(ctx, w.settings)
			}
			mu.Lock()
			defer mu.Unlock()
			calls, dropped = append(calls, r.Calls...), dropped+r.Dropped
			if e != nil {
				err = e
			}
		})
	}
	group.Wait()
	return calls, dropped, err
}

// rise raises the demand tenfold within a second.
func (t *Trial) rise(ctx context.Context) error {
	table := newTable("rise", "timeout ms", "part", "offered/s", "served/s", "capacity/s", "goodput %", "p50 ms", "p99 ms", "not served, by reason", "not sent")
	for _, timeout := range []time.Duration{2 * time.Second, 300 * time.Millisecond} {
		err := t.fleet(ctx, crestPlan("ferries"), func(f *fleet) error {
			capacity := nominal(crestWork)
			waves := []wave{f.wave(t.settings.Seed, 0, crestLoad, calm*capacity, "ferries")}
			for i := range crestSteps {
				at := crestAt + time.Duration(i)*time.Second/crestSteps
				waves = append(waves, f.wave(t.settings.Seed+uint64(i)+1, at, crestLoad, (high-calm)/crestSteps*capacity, "ferries"))
			}
			for i := range waves {
				waves[i].settings.Timeout = timeout
			}
			start := time.Now()
			calls, dropped, err := f.waves(ctx, waves)
			if err != nil {
				return err
			}
			took, err := f.workTime()
			if err != nil {
				return err
			}
			capacity = nominal(took)
			for _, part := range []struct {
				name     string
				from, to time.Duration
			}{
				{"before", time.Second, crestAt},
				{"first second", crestAt, crestAt + time.Second},
				{"later", crestAt + time.Second, crestLoad},
			} {
				s := summarise(calls, start, part.from, part.to)
				table.add(timeout, part.name, s.offered, s.served, capacity, 100*s.served/min(capacity, s.offered), s.p50, s.p99, s.reasons, dropped)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return t.print(table)
}

// workTime returns the mean time that a request had a slot of its target.
func (f *fleet) workTime() (time.Duration, error) {
	var sum time.Duration
	n := 0
	for _, t := range f.targets {
		events, err := fulmarhistory.ReadFiles[fulmarhistory.Event](t.history)
		if err != nil {
			return 0, errors.Wrap(err, "fulmartrial")
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

// summary is what became of the calls of a window.
type summary struct {
	offered, served float64 // a second; served counts answers that ended in the window
	p50, p99        time.Duration
	reasons         string
}

func summarise(calls []fulmarhistory.Call, start time.Time, from, to time.Duration) summary {
	latency := hdrhistogram.New(1, maxMicros, digits)
	reasons := map[string]int{}
	var s summary
	within := func(at int64) bool {
		d := time.Duration(at - start.UnixNano())
		return d >= from && d < to
	}
	for _, c := range calls {
		if within(c.Start) {
			s.offered++
			if c.Outcome == served {
				_ = latency.RecordValue(min((c.End-c.Start)/int64(time.Microsecond), maxMicros))
			} else {
				reasons[c.Outcome+" "+c.Reason]++
			}
		}
		if c.Outcome == served && within(c.End) {
			s.served++
		}
	}
	seconds := (to - from).Seconds()
	s.offered, s.served = s.offered/seconds, s.served/seconds
	s.p50 = time.Duration(latency.ValueAtQuantile(50)) * time.Microsecond
	s.p99 = time.Duration(latency.ValueAtQuantile(99)) * time.Microsecond
	var list []string
	for _, name := range slices.Sorted(maps.Keys(reasons)) {
		list = append(list, fmt.Sprintf("%s=%d", name, reasons[name]))
	}
	s.reasons = strings.Join(list, ", ")
	return s
}

// surge raises the demand of one of four groups by 20 times.
func (t *Trial) surge(ctx context.Context) error {
	table := newTable("surge", "demand of a group", "groups", "part", "offered/s", "served/s", "served of offered %", "p50 ms", "p99 ms", "not served, by reason")
	for _, demand := range surgeDemands {
		if err := t.surgeOnce(ctx, table, demand); err != nil {
			return err
		}
	}
	return t.print(table)
}

func (t *Trial) surgeOnce(ctx context.Context, table *table, demand float64) error {
	groups := []string{"ferries", "clinics", "harbours", "schools"}
	return t.fleet(ctx, crestPlan(groups...), func(f *fleet) error {
		rate := demand * nominal(crestWork)
		var waves []wave
		for i, g := range groups {
			waves = append(waves, f.wave(t.settings.Seed+uint64(i), 0, crestLoad, rate, g))
		}
		waves = append(waves, f.wave(t.settings.Seed+uint64(len(groups)), crestAt, crestLoad, (surgeTimes-1)*rate, groups[0]))
		start := time.Now()
		calls, _, err := f.waves(ctx, waves)
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
			{"before", time.Second, crestAt},
			{"first second", crestAt, crestAt + time.Second},
			{"later", crestAt + time.Second, crestLoad},
		} {
			for _, g := range []struct {
				name  string
				calls []fulmarhistory.Call
			}{{"surging", surging}, {"3 others", others}} {
				s := summarise(g.calls, start, part.from, part.to)
				table.add(demand, g.name, part.name, s.offered, s.served, 100*s.served/s.offered, s.p50, s.p99, s.reasons)
			}
		}
		return nil
	})
}

// hot sends half of the requests for a few keys.
func (t *Trial) hot(ctx context.Context) error {
	table := newTable("hot", "hot keys", "share %", "from s", "imbalance by requests", "served of sent %", "violations")
	err := t.fleet(ctx, crestPlan("ferries"), func(f *fleet) error {
		w := f.wave(t.settings.Seed, 0, hotLoad, hotDemand*nominal(hotWork), "ferries")
		w.settings.HotKeysPerService, w.settings.HotShare, w.settings.ShortWork = 8, 0.5, hotWork
		start := time.Now()
		calls, _, err := f.waves(ctx, []wave{w})
		if err != nil {
			return err
		}
		violations, err := f.violations(calls)
		if err != nil {
			return err
		}
		for from := time.Duration(0); from < hotLoad; from += hotWindow {
			imbalance, err := f.imbalance(start, from, from+hotWindow)
			if err != nil {
				return err
			}
			s := summarise(calls, start, from, from+hotWindow)
			table.add(w.settings.HotKeysPerService, 100*w.settings.HotShare, from.Seconds(), imbalance, 100*s.served/s.offered, violations)
		}
		return nil
	})
	if err != nil {
		return err
	}
	return t.print(table)
}

// imbalance is the ratio of the largest to the mean number of requests that a
// target committed in a window; all requests take equally long.
func (f *fleet) imbalance(start time.Time, from, to time.Duration) (float64, error) {
	most, sum := 0, 0
	for _, t := range f.targets {
		events, err := fulmarhistory.ReadFiles[fulmarhistory.Event](t.history)
		if err != nil {
			return 0, errors.Wrap(err, "fulmartrial")
		}
		n := 0
		for _, e := range events {
			if d := time.Duration(e.UnixNanos - start.UnixNano()); e.Kind == fulmarhistory.KindCommit && d >= from && d < to {
				n++
			}
		}
		most, sum = max(most, n), sum+n
	}
	return float64(most) * float64(len(f.targets)) / float64(max(sum, 1)), nil
}
