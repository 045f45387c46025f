package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/fulmarbend/fulmarbend/internal/fulmartrial"
)

func trialCommand() *cli.Command {
	return &cli.Command{
		Name:  "trial",
		Usage: "measure daemons, targets and the key-value service, each in its own process",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "part", Value: fulmartrial.Parts(), Usage: "parts to run"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.IntFlag{Name: "seeds", Value: 3, Usage: "runs of each fault"},
			&cli.IntSliceFlag{Name: "daemons", Value: []int{3, 9, 27}, Usage: "fleet sizes in the part idle"},
			&cli.BoolFlag{Name: "slopes", Value: true, Usage: "vary targets and slots in the part idle"},
			&cli.DurationFlag{Name: "span", Value: 10 * time.Second, Usage: "duration of each measurement without load"},
			&cli.StringFlag{Name: "folder", Usage: "folder for logs and CSV files; a temporary one if empty"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			folder := c.String("folder")
			if folder == "" {
				folder = filepath.Join(os.TempDir(), fmt.Sprintf("fulmarlab-trial-%d", os.Getpid()))
			}
			fmt.Println("logs and CSV files:", folder)
			return fulmartrial.New(fulmartrial.Settings{
				Seed: c.Uint64("seed"), SeedsPerFault: c.Int("seeds"), IdleDaemonCounts: c.IntSlice("daemons"),
				VaryTargetsAndSlots: c.Bool("slopes"), IdleDuration: c.Duration("span"), Folder: folder,
			}, os.Stdout).Run(ctx, c.StringSlice("part"))
		},
	}
}
