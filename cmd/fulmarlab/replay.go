package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/fulmarbend/fulmarbend/internal/fulmarreplay"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarassign"
)

// maxRequestsPerDaemon is the router's limit on concurrent requests of one daemon to one target.
const maxRequestsPerDaemon = 4

func replayCommand() *cli.Command {
	return &cli.Command{
		Name:  "replay",
		Usage: "simulate the router's decisions under loads of keyed services in virtual time",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "first seed", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds of each load", Value: 4},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			runReplay(cmd.Uint64("seed"), cmd.Int("seeds"))
			return nil
		},
	}
}

// runReplay prints the mean worth of each load, over the seeds, for the router's policy, three alternatives
// and an upper bound.
func runReplay(seed uint64, seeds int) {
	noMoves := fulmarassign.DefaultPolicy
	noMoves.MaxMoves = 0
	variants := []struct {
		name      string
		policy    fulmarassign.Policy
		admission func() fulmarreplay.Admission
	}{
		{"choice", fulmarassign.DefaultPolicy, func() fulmarreplay.Admission { return fulmarreplay.NewDaemonLimit(maxRequestsPerDaemon) }},
		{"no moves", noMoves, func() fulmarreplay.Admission { return fulmarreplay.NewDaemonLimit(maxRequestsPerDaemon) }},
		{"permits", fulmarassign.DefaultPolicy, func() fulmarreplay.Admission { return fulmarreplay.NewFleetPermits(maxRequestsPerDaemon) }},
		{"dispatcher", fulmarassign.DefaultPolicy, func() fulmarreplay.Admission { return fulmarreplay.NewDispatcher(3, 1.5, "goal") }},
		{"bound", fulmarassign.DefaultPolicy, func() fulmarreplay.Admission { return fulmarreplay.NewIdeal() }},
	}
	fmt.Printf("%-24s", "load")
	for _, w := range variants {
		fmt.Printf(" %10s", w.name)
	}
	fmt.Println()
	for _, p := range fulmarreplay.Patterns() {
		fmt.Printf("%-24s", p.Name)
		for _, w := range variants {
			worth := 0.0
			for i := range seeds {
				worth += fulmarreplay.New(p, w.policy, w.admission(), seed+uint64(i)).Run().Worth
			}
			fmt.Printf(" %10.3f", worth/float64(seeds))
		}
		fmt.Println()
	}
}
