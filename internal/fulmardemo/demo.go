package fulmardemo

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarbend/fulmarbend/internal/fulmarfleet"
	"github.com/fulmarbend/fulmarbend/internal/fulmarhistory"
	"github.com/fulmarbend/fulmarbend/internal/fulmarload"
)

const (
	listLag    = time.Second
	stopWithin = 5 * time.Second
	// horizonWait exceeds the time by which a new request memory begins after its grant.
	horizonWait = 500 * time.Millisecond
	probed      = 200 * time.Millisecond // mean interval of the calls for a key that is judged for gaps
	shown       = 5                      // violations printed for each rule
)

// ErrInvariant means that an invariant did not hold.
var ErrInvariantViolated = errors.New("fulmardemo: an invariant did not hold")

// Settings describe a demonstration.
type Settings struct {
	Duration             time.Duration
	DaemonsPerDeployment int // of each deployment
	Seed                 uint64
	KeepRunning          bool // keep everything running until the context ends
}

// Demo is one demonstration.
type Demo struct {
	settings Settings
	out      io.Writer
}

// New returns a demonstration that reports to out.
func New(settings Settings, out io.Writer) *Demo { return &Demo{settings: settings, out: out} }

// Load returns the load of a demonstration, without groups.
func LoadSettings(seed uint64, duration time.Duration, daemons []string) fulmarload.Settings {
	return fulmarload.Settings{
		Seed: seed, Daemons: daemons, Duration: duration, KeysPerService: 500, HotKeysPerService: 8, HotShare: 0.5,
		ShortWork: 4 * time.Millisecond, LongWork: 150 * time.Millisecond, Timeout: 2 * time.Second,
		MaxAttempts: 4, MeanRetryDelay: 50 * time.Millisecond, MaxInFlight: 2000,
	}
}

// Run runs the demonstration. It returns ErrInvariant if an invariant did not hold.
func (d *Demo) Run(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "fulmarlab-")
	if err != nil {
		return errors.Wrap(err, "fulmardemo: create folder")
	}
	programs, err := fulmarfleet.Build(ctx, folder)
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "settings, logs and histories: %s\n", folder)
	var fleets []*fleet
	for i, deployment := range deployments {
		f := d.newFleet(i, deployment, folder, programs)
		defer f.Stop(stopWithin)
		fleets = append(fleets, f)
	}
	results := make([]fulmarload.Result, len(fleets))
	tasks, taskCtx := errgroup.WithContext(ctx)
	for i, f := range fleets {
		tasks.Go(func() error {
			if err := f.Start(taskCtx); err != nil {
				return err
			}
			if err := f.AwaitOwners(taskCtx); err != nil {
				return err
			}
			// Ids minted before the horizon of a new request memory are unknown.
			time.Sleep(horizonWait)
			var err error
			results[i], err = f.run(taskCtx)
			return err
		})
	}
	if err := tasks.Wait(); err != nil {
		return err
	}
	held := true
	for i, f := range fleets {
		ok, err := f.report(results[i])
		if err != nil {
			return err
		}
		held = held && ok
	}
	if d.settings.KeepRunning {
		for _, f := range fleets {
			f.Print(func(format string, args ...any) { fmt.Fprintf(d.out, format, args...) })
		}
		<-ctx.Done()
	}
	if !held {
		return ErrInvariantViolated
	}
	fmt.Fprintln(d.out, "all invariants held")
	return nil
}

// report prints what happened in one deployment and reports whether the invariants held.
func (f *fleet) report(result fulmarload.Result) (bool, error) {
	out := f.demo.out
	events, err := fulmarhistory.ReadFiles[fulmarhistory.Event](f.Histories()...)
	if err != nil {
		return false, err
	}
	checked := fulmarhistory.Check(events, result.Calls)
	fmt.Fprintf(out, "\n%s\n", f.deployment.name)
	result.Print(out)
	gap := fulmarhistory.LongestGap(result.Calls, int(f.demo.settings.Duration/probed))
	fmt.Fprintf(out, "longest time a key went unserved: %v (%s %s, served again: %t)\n", gap.Length.Round(time.Millisecond), gap.Service, gap.Key, !gap.Ongoing)
	for _, rule := range []struct {
		name       string
		violations []string
	}{
		{"slots of keys with two owners", checked.SlotOwnerConflicts},
		{"doubled executions", checked.DuplicateExecutions},
		{"executions behind a not-run answer", checked.RefusedExecutions},
		{"answers not whole or not their own", checked.InvalidAnswers},
		{"keys that two targets worked on", checked.KeyOwnerConflicts},
		{"work without a grant at a fenced target", checked.UngrantedExecutions},
	} {
		fmt.Fprintf(out, "%s: %d\n", rule.name, len(rule.violations))
		for _, v := range rule.violations[:min(shown, len(rule.violations))] {
			fmt.Fprintf(out, "  %s\n", v)
		}
	}
	served := 0
	for _, counts := range result.Counts {
		served += counts["served"]
	}
	if served == 0 {
		fmt.Fprintln(out, "no request was served")
	}
	return checked.OK() && served > 0, nil
}
