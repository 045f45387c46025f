package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/fulmarbend/fulmarbend/internal/fulmarexperiment"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarqueue"
)

const (
	plotWidth  = 5 * vg.Inch
	plotHeight = 3.2 * vg.Inch

	// shareInterval is the interval over which shares are measured. About 50 requests complete in it, enough
	// for a stable share.
	shareInterval = 100 * time.Millisecond
	surgeOnset    = 1.0 // seconds from the first measured share to the start of the surge

	directoryMode = 0o755
)

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "run experiments on the policy packages in virtual time",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.IntFlag{Name: "seeds", Value: 5, Usage: "number of seeds for the figures that vary most"},
			&cli.StringFlag{Name: "csv", Usage: "directory for a CSV file of each table"},
			&cli.StringFlag{Name: "plots", Usage: "directory for PNG plots"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Int("seeds") < 1 {
				return errors.New("fulmarlab: the number of seeds is less than 1")
			}
			return runBench(c.Uint64("seed"), c.Int("seeds"), c.String("csv"), c.String("plots"))
		},
	}
}

// runBench prints all tables, and writes CSV files and plots to the directories that are given.
func runBench(seed uint64, seeds int, tablesDir, plotsDir string) error {
	began := time.Now()
	r := fulmarexperiment.NewReport(seed, seeds)
	if err := r.Print(os.Stdout); err != nil {
		return err
	}
	if tablesDir != "" {
		if err := writeTables(tablesDir, r); err != nil {
			return err
		}
	}
	if plotsDir != "" {
		if err := writePlots(plotsDir, r); err != nil {
			return err
		}
	}
	fmt.Printf("\nseed %d, %d cores, %s, took %v\n", seed, runtime.NumCPU(), runtime.Version(), time.Since(began).Round(time.Second))
	return nil
}

func writeTables(directory string, r fulmarexperiment.Report) error {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return errors.Wrap(err, "fulmarlab: make directory")
	}
	for _, t := range r.Tables {
		if err := writeTable(filepath.Join(directory, t.Name+".csv"), t); err != nil {
			return err
		}
	}
	return nil
}

func writeTable(path string, t fulmarexperiment.Table) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "fulmarlab: write table")
	}
	err = t.CSV(file)
	if closing := file.Close(); err == nil {
		err = errors.Wrap(closing, "fulmarlab: write table")
	}
	return err
}

func writePlots(directory string, r fulmarexperiment.Report) error {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return errors.Wrap(err, "fulmarlab: make directory")
	}
	for _, stragglers := range []int{1, 2} {
		path := filepath.Join(directory, fmt.Sprintf("payout-%d.png", stragglers))
		if err := plotPayout(path, r, stragglers); err != nil {
			return err
		}
	}
	for _, d := range fulmarexperiment.Disciplines {
		shares := fulmarexperiment.Shares(d.Discipline, shareInterval, r.Seed)
		path := filepath.Join(directory, "surge-"+d.Name+".png")
		if err := plotShares(path, d.Name, shares); err != nil {
			return err
		}
	}
	return nil
}

// plotPayout plots the p99 latency of short work over its load.
func plotPayout(path string, r fulmarexperiment.Report, stragglers int) error {
	p := newPlot(fmt.Sprintf("Short work beside %d straggler(s)", stragglers), "load of short work / 3 slots", "p99, ms")
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.ConstantTicks{
		{Value: 20, Label: "20"},
		{Value: 50, Label: "50"},
		{Value: 100, Label: "100"},
		{Value: 200, Label: "200"},
		{Value: 500, Label: "500"},
	}
	p.Y.Min, p.X.Max, p.Legend.Left = 20, 1, false // room for the legend
	var lines []any
	add := func(name string, value func(b fulmarexperiment.PayoutComparison) time.Duration) {
		var points plotter.XYs
		for _, b := range r.Payouts {
			if b.Stragglers == stragglers {
				points = append(points, plotter.XY{X: b.Load, Y: value(b).Seconds() * 1000})
			}
		}
		lines = append(lines, name, points)
	}
	for i, d := range fulmarexperiment.Disciplines {
		add(d.Name, func(b fulmarexperiment.PayoutComparison) time.Duration { return b.ByDiscipline[i].P99Beside })
		if d.Discipline == fulmarqueue.Fair {
			add("ideal", func(b fulmarexperiment.PayoutComparison) time.Duration { return b.ByDiscipline[i].P99Ideal })
		}
	}
	for i, d := range fulmarexperiment.Disciplines {
		add(d.Name+" alone", func(b fulmarexperiment.PayoutComparison) time.Duration { return b.ByDiscipline[i].P99Alone })
	}
	return savePlot(path, p, lines)
}

// plotShares plots the share of the target that each group receives.
func plotShares(path, discipline string, shares [][4]float64) error {
	p := newPlot("20-fold surge of group a: "+discipline, "seconds after the onset", "share of the target")
	p.Y.Min, p.Y.Max = 0, 1
	var lines []any
	for group := range 4 {
		var points plotter.XYs
		for i, s := range shares {
			points = append(points, plotter.XY{X: float64(i)*shareInterval.Seconds() - surgeOnset, Y: s[group]})
		}
		lines = append(lines, string(rune('a'+group)), points)
	}
	return savePlot(path, p, lines)
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	return p
}

// savePlot adds lines, which alternate names and points, and writes the plot to path.
func savePlot(path string, p *plot.Plot, lines []any) error {
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrap(err, "fulmarlab: draw plot")
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "fulmarlab: save plot")
}
