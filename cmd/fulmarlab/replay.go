package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/fulmarbend/fulmarbend/internal/fulmarreplay"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarassign"
)

// perDaemon is the bound on the requests of a daemon at a target that the router uses.
const perDaemon = 4

func replayCommand() *cli.Command {
	return &cli.Command{
		Name:  "replay",
		Usage: "replay loads of keyed services against the router's decisions in virtual time",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "first seed", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds of each load", Value: 4},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			replay(cmd.Uint64("seed"), cmd.Int("seeds"))
			return nil
		},
	}
}

// replay prints the mean worth of each load under the choice, two other ways, and a bound.
func replay(seed uint64, seeds int) {
	still := fulmarassign.DefaultPolicy
	still.MaxMoves = 0
	ways := []struct {
		name      string
		policy    fulmarassign.Policy
		admission func() fulmarreplay.Admission
	}{
		{"choice", fulmarassign.DefaultPolicy, func() fulmarreplay.Admission { return fulmarreplay.NewBlind(perDaemon) }},
		{"no moves", still, func() fulmarreplay.Admission { return fulmarreplay.NewBlind(perDaemon) }},
		{"dispatcher", fulmarassign.DefaultPolicy, func() fulmarreplay.Admission { return fulmarreplay.NewHome(3, 1.5, "goal") }},
		{"bound", fulmarassign.DefaultPolicy, func() fulmarreplay.Admission { return fulmarreplay.NewIdeal() }},
	}
	fmt.Printf("%-24s", "load")
	for _, w := range ways {
		fmt.Printf(" %10s", w.name)
	}
	fmt.Println()
	for _, p := range fulmarreplay.Patterns() {
		fmt.Printf("%-24s", p.Name)
		for _, w := range ways {
			worth := 0.0
			for i := range seeds {
				worth += fulmarreplay.New(p, w.policy, w.admission(), seed+uint64(i)).Run().Worth
			}
			fmt.Printf(" %10.3f", worth/float64(seeds))
		}
		fmt.Println()
	}
}
