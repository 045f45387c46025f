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
	lossDaemons = 5
	lossLoad    = 10 * time.Second
	lossAt      = 3 * time.Second
	restartIn   = 3 * time.Second // time of a supervisor to start a lost daemon again
	keys        = 30              // of each service; few, so that each is asked for often
	keyRate     = 200.0           // requests a second of each group on each service
	served      = "served"
)

// small returns the services of Hardanger with 9 targets.
func small() []service {
	return []service{
		{name: "rota-board", targets: 4, slots: 64, idempotent: true},
		{name: "shift-desk", targets: 3, slots: 32},
		{name: "pay-desk", targets: 2, slots: 16},
	}
}

// fault is a loss and how it is brought about.
type fault struct {
	name   string
	timing string
	strike func(ctx context.Context, f *fleet, source *rand.Rand) error
}

func faults() []fault {
	return []fault{
		{"none", "", func(context.Context, *fleet, *rand.Rand) error { return nil }},
		{"daemon", "", func(ctx context.Context, f *fleet, source *rand.Rand) error {
			m, err := f.worker(ctx, source)
			if err == nil {
				m.process.Kill()
			}
			return err
		}},
		{"target", "", func(_ context.Context, f *fleet, source *rand.Rand) error {
			f.targets[source.IntN(len(f.targets))].process.Kill()
			return nil
		}},
		{"daemon and a target that it holds", "", func(ctx context.Context, f *fleet, source *rand.Rand) error {
			t := f.targets[source.IntN(len(f.targets))]
			m, err := f.holder(ctx, t)
			if err == nil {
				m.process.Kill()
				t.process.Kill()
			}
			return err
		}},
		{"planner and a target", "", func(ctx context.Context, f *fleet, source *rand.Rand) error {
			m, err := f.planner(ctx)
			if err == nil {
				m.process.Kill()
				f.targets[source.IntN(len(f.targets))].process.Kill()
			}
			return err
		}},
		{"daemon, key-value service down", "", func(ctx context.Context, f *fleet, source *rand.Rand) error {
			m, err := f.worker(ctx, source)
			if err != nil {
				return err
			}
			if err := f.setFault(ctx, fulmarplatform.Fault{Down: "refuse"}); err != nil {
				return err
			}
			err = pause(ctx, time.Second)
			m.process.Kill()
			return err
		}},
		{"daemon without standby, restarted after 3 s", "down = \"60s\"", func(ctx context.Context, f *fleet, source *rand.Rand) error {
			m, err := f.worker(ctx, source)
			if err != nil {
				return err
			}
			m.process.Kill()
			if err := pause(ctx, restartIn); err != nil {
				return err
			}
			return f.restart(m)
		}},
	}
}

// worker returns a daemon that holds a target and does not plan.
func (f *fleet) worker(ctx context.Context, source *rand.Rand) (*member, error) {
	planner, err := f.planner(ctx)
	if err != nil {
		return nil, err
	}
	for _, i := range source.Perm(len(f.targets)) {
		m, err := f.holder(ctx, f.targets[i])
		if err != nil {
			return nil, err
		}
		if m != planner {
			return m, nil
		}
	}
	return nil, errors.New("fulmartrial: the planner holds every target")
}

// loss measures the longest unavailable time of a key for each fault and seed.
func (t *Trial) loss(ctx context.Context) error {
	table := newTable("loss", "lost", "seed", "reads: longest ms", "at most once: longest ms", "without unknown: longest ms",
		"served again", "attempts", "not served", "unknown", "violations")
	for _, fault := range faults() {
		for i := range t.settings.SeedsPerFault {
			seed := t.settings.Seed + uint64(i)
			if err := t.lossOnce(ctx, table, fault, seed); err != nil {
				table.add(fault.name, seed, "failed: "+err.Error())
			}
		}
	}
	return t.print(table)
}

func (t *Trial) lossOnce(ctx context.Context, table *table, fault fault, seed uint64) error {
	p := plan{daemons: lossDaemons, services: small(), groups: []string{"ferries", "clinics"}, queue: 200, timing: fault.timing}
	return t.fleet(ctx, p, func(f *fleet) error {
		struck := make(chan error, 1)
		strike := time.AfterFunc(lossAt, func() { struck <- fault.strike(ctx, f, rand.New(rand.NewPCG(seed, 0))) })
		defer strike.Stop()
		settings := f.load(seed, lossLoad)
		settings.KeysPerService, settings.HotKeysPerService, settings.HotShare = keys, 0, 0
		for _, g := range p.groups {
			for _, s := range p.services {
				settings.Groups = append(settings.Groups, fulmarload.Group{Name: g, Service: s.name, AtMostOnce: !s.idempotent, Rate: keyRate})
			}
		}
		result, err := f.run(ctx, settings)
		if err != nil {
			return err
		}
		if err := <-struck; err != nil {
			return err
		}
		g := measureGaps(result.Calls)
		violations, err := f.violations(result.Calls)
		if err != nil {
			return err
		}
		table.add(fault.name, seed, g.reads, g.once, g.known, !g.open, result.Attempts, g.notServed, g.unknown, violations)
		return nil
	})
}

// load returns the settings of a load on all daemons, without groups.
func (f *fleet) load(seed uint64, duration time.Duration) fulmarload.Settings {
	var callers []string
	for _, m := range f.members {
		callers = append(callers, m.callers)
	}
	return fulmardemo.LoadSettings(seed, duration, callers)
}

// run sends a load and keeps the calls in the fleet's folder.
func (f *fleet) run(ctx context.Context, settings fulmarload.Settings) (fulmarload.Result, error) {
	log, file, err := fulmarhistory.Open(filepath.Join(f.folder, "callers.jsonl"))
	if err != nil {
		return fulmarload.Result{}, errors.Wrap(err, "fulmartrial")
	}
	defer func() { _ = file.Close() }()
	result := fulmarload.New(settings, log).Run(ctx)
	return result, errors.Wrap(ctx.Err(), "fulmartrial: load was interrupted")
}

// violations returns the number of violated invariants of all histories.
func (f *fleet) violations(calls []fulmarhistory.Call) (int, error) {
	var paths []string
	for _, t := range f.targets {
		paths = append(paths, t.history)
	}
	events, err := fulmarhistory.ReadFiles[fulmarhistory.Event](paths...)
	if err != nil {
		return 0, errors.Wrap(err, "fulmartrial")
	}
	c := fulmarhistory.Check(events, calls)
	return len(c.SlotOwnerConflicts) + len(c.DuplicateExecutions) + len(c.RefusedExecutions) + len(c.InvalidAnswers), nil
}

// gaps are the longest unavailable times of a run.
type gaps struct {
	reads, once time.Duration
	// known leaves out requests with the outcome unknown: one whose id is older
	// than the horizon stays unknown although its key is served.
	known              time.Duration
	open               bool // a key was not served again
	notServed, unknown int
}

func measureGaps(calls []fulmarhistory.Call) gaps {
	var g gaps
	var reads, once, known []fulmarhistory.Call
	for _, c := range calls {
		if c.Outcome != served {
			g.notServed++
		}
		if c.Outcome == "unknown" {
			g.unknown++
		} else {
			known = append(known, c)
		}
		if c.AtMostOnce {
			once = append(once, c)
		} else {
			reads = append(reads, c)
		}
	}
	var openReads, openOnce bool
	g.reads, openReads = unavailable(reads)
	g.once, openOnce = unavailable(once)
	g.known, _ = unavailable(known)
	g.open = openReads || openOnce
	return g
}

// unavailable returns the longest time from the sending of a request, whatever
// its outcome, to the next served answer for its key. A request that waits in a
// daemon while nobody serves its key counts as much as one that is refused. open
// reports whether a key was not served again before the end of the calls.
func unavailable(calls []fulmarhistory.Call) (longest time.Duration, open bool) {
	type key struct{ service, name string }
	ends := map[key][]int64{}
	var last int64
	for _, c := range calls {
		last = max(last, c.End)
		if c.Outcome == served {
			k := key{c.Service, c.Key}
			ends[k] = append(ends[k], c.End)
		}
	}
	for _, list := range ends {
		slices.Sort(list)
	}
	for _, c := range calls {
		list := ends[key{c.Service, c.Key}]
		i, _ := slices.BinarySearch(list, c.Start)
		if i == len(list) {
			longest, open = max(longest, time.Duration(last-c.Start)), true
			continue
		}
		longest = max(longest, time.Duration(list[i]-c.Start))
	}
	return longest, open
}
