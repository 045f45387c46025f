package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarbend/fulmarbend/platform/fulmarsoak"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run daemon processes under random faults and check the guarantees",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Usage: "path of the daemon", Required: true},
			&cli.StringFlag{Name: "folder", Usage: "`FOLDER` for settings and logs", Required: true},
			&cli.Uint64Flag{Name: "first", Usage: "first seed", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds", Value: 50},
			&cli.IntFlag{Name: "daemons", Usage: "daemon processes per run", Value: 5},
			&cli.IntFlag{Name: "jobs", Usage: "concurrent runs", Value: 2},
			&cli.StringSliceFlag{Name: "fault", Usage: "inject only faults of this `KIND`; may be repeated"},
			&cli.DurationFlag{Name: "length", Usage: "duration of the faults in a run", Value: 20 * time.Second},
		},
		Action: runSoak,
	}
}

// runSoak runs each seed and prints a line for it, followed by the violations and the injected faults if it failed.
func runSoak(ctx context.Context, cmd *cli.Command) error {
	var failed atomic.Int64
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(cmd.Int("jobs"))
	for i := range cmd.Int("seeds") {
		seed := cmd.Uint64("first") + uint64(i)
		group.Go(func() error {
			folder := filepath.Join(cmd.String("folder"), fmt.Sprint(seed))
			if err := os.MkdirAll(folder, 0o700); err != nil {
				return errors.Wrap(err, "fulmarlab")
			}
			r, err := fulmarsoak.Run(ctx, fulmarsoak.Options{
				Program: cmd.String("program"), Dir: folder, Seed: seed, Daemons: cmd.Int("daemons"), FaultDuration: cmd.Duration("length"),
				Faults: cmd.StringSlice("fault"),
			})
			if err != nil {
				return errors.Wrapf(err, "fulmarlab: seed %d", seed)
			}
			line := fmt.Sprintf("seed %d: asked %d, served %d, refused %d, unknown %d, broken promises %d",
				seed, r.Requests, r.Served, r.Refused, r.Unknown, len(r.Violations))
			if len(r.Violations) > 0 {
				failed.Add(1)
				line += "\n  " + strings.Join(r.Violations, "\n  ") + "\n  faults:\n  " + strings.Join(r.InjectedFaults, "\n  ")
			}
			fmt.Println(line)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	if n := failed.Load(); n > 0 {
		return errors.Errorf("fulmarlab: %d seeds broke promises", n)
	}
	return nil
}
