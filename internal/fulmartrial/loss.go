package fulmartrial

import (
	"context"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmardemo"
	"github.com/fulmarbend/fulmarbend/internal/fulmarhistory"
	"github.com/fulmarbend/fulmarbend/internal/fulmarload"
	"github.com/fulmarbend/fulmarbend/internal/fulmarplatform"
	"github.com/pkg/errors"
)

const (
	lossDaemons    = 5
	lossDuration   = 10 * time.Second
	lossDelay      = 3 * time.Second
	restartDelay   = 3 * time.Second // until a supervisor restarts a lost daemon
	keysPerService = 30              // few, so that each key is requested often
	groupRate      = 200.0           // requests per second of each group to each service
	outcomeServed  = "served"
)

// smallServices returns the services of the deployment Hardanger with 9 targets
// in total.
func smallServices() []service {
	return []service{
		{name: "rota-board", targetCount: 4, slotCount: 64, idempotent: true},
		{name: "shift-desk", targetCount: 3, slotCount: 32},
		{name: "pay-desk", targetCount: 2, slotCount: 16},
	}
}

// faultCase is a fault that the part loss injects into a fleet.
type faultCase struct {
	name           string
	timingSettings string // as in fleetSpec
	inject         func(ctx context.Context, f *fleet, random *rand.Rand) error
}

func faultCases() []faultCase {
	return []faultCase{
		{"none", "", func(context.Context, *fleet, *rand.Rand) error { return nil }},
		{"daemon", "", func(ctx context.Context, f *fleet, random *rand.Rand) error {
			d, err := f.pickNonPlanner(ctx, random)
			if err == nil {
				d.process.Kill()
			}
			return err
		}},
		{"target", "", func(_ context.Context, f *fleet, random *rand.Rand) error {
			f.targets[random.IntN(len(f.targets))].process.Kill()
			return nil
		}},
		{"daemon and a target that it holds", "", func(ctx context.Context, f *fleet, random *rand.Rand) error {
			t := f.targets[random.IntN(len(f.targets))]
			d, err := f.holder(ctx, t)
			if err == nil {
				d.process.Kill()
				t.process.Kill()
			}
			return err
		}},
		{"planner and a target", "", func(ctx context.Context, f *fleet, random *rand.Rand) error {
			d, err := f.planner(ctx)
			if err == nil {
				d.process.Kill()
				f.targets[random.IntN(len(f.targets))].process.Kill()
			}
			return err
		}},
		{"daemon, key-value service down", "", func(ctx context.Context, f *fleet, random *rand.Rand) error {
			d, err := f.pickNonPlanner(ctx, random)
			if err != nil {
				return err
			}
			if err := f.setFault(ctx, fulmarplatform.Fault{Down: "refuse"}); err != nil {
				return err
			}
			err = sleep(ctx, time.Second)
			d.process.Kill()
			return err
		}},
		{"daemon without standby, restarted after 3 s", "down = \"60s\"", func(ctx context.Context, f *fleet, random *rand.Rand) error {
			d, err := f.pickNonPlanner(ctx, random)
			if err != nil {
				return err
			}
			d.process.Kill()
			if err := sleep(ctx, restartDelay); err != nil {
				return err
			}
			return f.startDaemon(d)
		}},
	}
}

// pickNonPlanner returns a random daemon that holds a target's grant and is not
// the planner.
func (f *fleet) pickNonPlanner(ctx context.Context, random *rand.Rand) (*daemon, error) {
	planner, err := f.planner(ctx)
	if err != nil {
		return nil, err
	}
	for _, i := range random.Perm(len(f.targets)) {
		d, err := f.holder(ctx, f.targets[i])
		if err != nil {
			return nil, err
		}
		if d != planner {
			return d, nil
		}
	}
	return nil, errors.New("fulmartrial: the planner holds the grants of all targets")
}

// measureLosses measures the longest time for which a key is unavailable, for
// each fault and seed.
func (t *Trial) measureLosses(ctx context.Context) error {
	table := newResultTable("loss", "lost", "seed", "reads: longest ms", "at most once: longest ms", "without unknown: longest ms",
		"served again", "attempts", "not served", "unknown", "violations")
	for _, fault := range faultCases() {
		for i := range t.settings.SeedsPerFault {
			seed := t.settings.Seed + uint64(i)
			if err := t.measureLoss(ctx, table, fault, seed); err != nil {
				table.addRow(fault.name, seed, "failed: "+err.Error())
			}
		}
	}
	return t.writeTable(table)
}

// measureLoss runs a load on a new fleet, injects the fault after lossDelay and
// adds a row to the table.
func (t *Trial) measureLoss(ctx context.Context, table *resultTable, fault faultCase, seed uint64) error {
	spec := fleetSpec{daemonCount: lossDaemons, services: smallServices(), groups: []string{"ferries", "clinics"}, queueLength: 200, timingSettings: fault.timingSettings}
	return t.withFleet(ctx, spec, func(f *fleet) error {
		injected := make(chan error, 1)
		timer := time.AfterFunc(lossDelay, func() { injected <- fault.inject(ctx, f, rand.New(rand.NewPCG(seed, 0))) })
		defer timer.Stop()
		settings := f.loadSettings(seed, lossDuration)
		settings.KeysPerService, settings.HotKeysPerService, settings.HotShare = keysPerService, 0, 0
		for _, g := range spec.groups {
			for _, s := range spec.services {
				settings.Groups = append(settings.Groups, fulmarload.Group{Name: g, Service: s.name, AtMostOnce: !s.idempotent, Rate: groupRate})
			}
		}
		result, err := f.runLoad(ctx, settings)
		if err != nil {
			return err
		}
		if err := <-injected; err != nil {
			return err
		}
		u := measureOutages(result.Calls)
		violations, err := f.countViolations(result.Calls)
		if err != nil {
			return err
		}
		table.addRow(fault.name, seed, u.longestRead, u.longestAtMostOnce, u.longestWithoutUnknown, !u.unserved, result.Attempts, u.notServed, u.unknown, violations)
		return nil
	})
}

// loadSettings returns the settings of a load on all daemons, without groups.
func (f *fleet) loadSettings(seed uint64, duration time.Duration) fulmarload.Settings {
	var callers []string
	for _, d := range f.daemons {
		callers = append(callers, d.callerAddress)
	}
	return fulmardemo.LoadSettings(seed, duration, callers)
}

// runLoad sends a load and writes the history of its calls into the fleet's folder.
func (f *fleet) runLoad(ctx context.Context, settings fulmarload.Settings) (fulmarload.Result, error) {
	log, file, err := fulmarhistory.Open(filepath.Join(f.folder, "callers.jsonl"))
	if err != nil {
		return fulmarload.Result{}, errors.Wrap(err, "fulmartrial: open call history")
	}
	defer func() { _ = file.Close() }()
	result := fulmarload.New(settings, log).Run(ctx)
	return result, errors.Wrap(ctx.Err(), "fulmartrial: load was interrupted")
}

// countViolations returns the number of violations of invariants in the
// histories of all targets and callers.
func (f *fleet) countViolations(calls []fulmarhistory.Call) (int, error) {
	var paths []string
	for _, t := range f.targets {
		paths = append(paths, t.historyPath)
	}
	events, err := fulmarhistory.ReadFiles[fulmarhistory.Event](paths...)
	if err != nil {
		return 0, errors.Wrap(err, "fulmartrial: read target histories")
	}
	c := fulmarhistory.Check(events, calls)
	return len(c.SlotOwnerConflicts) + len(c.DuplicateExecutions) + len(c.RefusedExecutions) + len(c.InvalidAnswers), nil
}

// outages holds the longest times for which a key was unavailable in a run.
type outages struct {
	longestRead, longestAtMostOnce time.Duration
	// longestWithoutUnknown leaves out requests with the outcome unknown: a request
	// whose id is older than the horizon stays unknown even when its key is served.
	longestWithoutUnknown time.Duration
	unserved              bool // whether some key was not served again
	notServed, unknown    int  // numbers of calls
}

func measureOutages(calls []fulmarhistory.Call) outages {
	var u outages
	var reads, once, withoutUnknown []fulmarhistory.Call
	for _, c := range calls {
		if c.Outcome != outcomeServed {
			u.notServed++
		}
		if c.Outcome == "unknown" {
			u.unknown++
		} else {
			withoutUnknown = append(withoutUnknown, c)
		}
		if c.AtMostOnce {
			once = append(once, c)
		} else {
			reads = append(reads, c)
		}
	}
	var readsUnserved, onceUnserved bool
	u.longestRead, readsUnserved = longestOutage(reads)
	u.longestAtMostOnce, onceUnserved = longestOutage(once)
	u.longestWithoutUnknown, _ = longestOutage(withoutUnknown)
	u.unserved = readsUnserved || onceUnserved
	return u
}

// longestOutage returns the longest time from the sending of a request, whatever
// its outcome, to the next served answer for the request's key. It thus includes
// requests that wait in a daemon while no target serves their key, not only those
// that are refused. unserved reports whether some key was not served again before
// the last call ended.
func longestOutage(calls []fulmarhistory.Call) (longest time.Duration, unserved bool) {
	type key struct{ service, name string }
	servedEnds := map[key][]int64{}
	var last int64
	for _, c := range calls {
		last = max(last, c.End)
		if c.Outcome == outcomeServed {
			k := key{c.Service, c.Key}
			servedEnds[k] = append(servedEnds[k], c.End)
		}
	}
	for _, list := range servedEnds {
		slices.Sort(list)
	}
	for _, c := range calls {
		list := servedEnds[key{c.Service, c.Key}]
		i, _ := slices.BinarySearch(list, c.Start)
		if i == len(list) {
			longest, unserved = max(longest, time.Duration(last-c.Start)), true
			continue
		}
		longest = max(longest, time.Duration(list[i]-c.Start))
	}
	return longest, unserved
}
