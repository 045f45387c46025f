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
	catalogLag  = time.Second
	stopTimeout = 5 * time.Second
	// horizonWait is longer than the time between a grant and the horizon of the dispatcher's new deduplication memory.
	horizonWait        = 500 * time.Millisecond
	maxMeanInterval    = 200 * time.Millisecond // longest mean interval between the calls for a key at which its gaps are measured
	maxShownViolations = 5                      // of each rule
)

// ErrInvariantViolated is returned if an invariant was violated.
var ErrInvariantViolated = errors.New("fulmardemo: an invariant was violated")

// Settings configure a demonstration.
type Settings struct {
	Duration             time.Duration
	DaemonsPerDeployment int
	Seed                 uint64
	KeepRunning          bool // leave all processes running after the checks until the context ends
}

// Demo runs one demonstration.
type Demo struct {
	settings Settings
	out      io.Writer
}

// New returns a demonstration that writes its report to out.
func New(settings Settings, out io.Writer) *Demo { return &Demo{settings: settings, out: out} }

// LoadSettings returns the settings of the demonstration's load, without groups.
func LoadSettings(seed uint64, duration time.Duration, daemons []string) fulmarload.Settings {
	return fulmarload.Settings{
		Seed: seed, Daemons: daemons, Duration: duration, KeysPerService: 500, HotKeysPerService: 8, HotShare: 0.5,
		ShortWork: 4 * time.Millisecond, LongWork: 150 * time.Millisecond, Timeout: 2 * time.Second,
		MaxAttempts: 4, MeanRetryDelay: 50 * time.Millisecond, MaxInFlight: 2000,
	}
}

// Run runs the demonstration. It returns ErrInvariantViolated if an invariant was
// violated or a deployment served no request.
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
		defer f.Stop(stopTimeout)
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
			// A dispatcher answers unknown for ids that were created before the horizon of its deduplication memory.
			time.Sleep(horizonWait)
			var err error
			results[i], err = f.run(taskCtx)
			return err
		})
	}
	if err := tasks.Wait(); err != nil {
		return err
	}
	allHeld := true
	for i, f := range fleets {
		ok, err := f.report(results[i])
		if err != nil {
			return err
		}
		allHeld = allHeld && ok
	}
	if d.settings.KeepRunning {
		for _, f := range fleets {
			f.PrintAddresses(func(format string, args ...any) { fmt.Fprintf(d.out, format, args...) })
		}
		<-ctx.Done()
	}
	if !allHeld {
		return ErrInvariantViolated
	}
	fmt.Fprintln(d.out, "all invariants held")
	return nil
}

// report prints the results of one deployment. It reports whether the invariants
// held and some request was served.
func (f *fleet) report(result fulmarload.Result) (bool, error) {
	out := f.demo.out
	events, err := fulmarhistory.ReadFiles[fulmarhistory.Event](f.HistoryPaths()...)
	if err != nil {
		return false, err
	}
	checks := fulmarhistory.Check(events, result.Calls)
	fmt.Fprintf(out, "\n%s\n", f.deployment.name)
	result.Print(out)
	gap := fulmarhistory.LongestGap(result.Calls, int(f.demo.settings.Duration/maxMeanInterval))
	fmt.Fprintf(out, "longest time a key went unserved: %v (%s %s, served again: %t)\n", gap.Length.Round(time.Millisecond), gap.Service, gap.Key, !gap.Ongoing)
	for _, rule := range []struct {
		name       string
		violations []string
	}{
		{"slots of keys with two owners", checks.SlotOwnerConflicts},
		{"doubled executions", checks.DuplicateExecutions},
		{"executions behind a not-run answer", checks.RefusedExecutions},
		{"answers not whole or not their own", checks.InvalidAnswers},
		{"keys that two targets worked on", checks.KeyOwnerConflicts},
		{"work without a grant at a fenced target", checks.UngrantedExecutions},
	} {
		fmt.Fprintf(out, "%s: %d\n", rule.name, len(rule.violations))
		for _, v := range rule.violations[:min(maxShownViolations, len(rule.violations))] {
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
	return checks.OK() && served > 0, nil
}
