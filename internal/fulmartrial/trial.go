package fulmartrial

import (
	"context"
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// Settings configures a trial.
type Settings struct {
	Seed                uint64
	SeedsPerFault       int           // runs of each fault in the part loss, each with its own seed
	IdleDaemonCounts    []int         // fleet sizes that the part idle measures
	VaryTargetsAndSlots bool          // whether the part idle also varies the numbers of targets and slots
	IdleDuration        time.Duration // of each measurement in the part idle
	Folder              string        // for settings, logs, histories and CSV files
}

// Trial runs a series of measurements on fleets of daemons and targets.
type Trial struct {
	settings   Settings
	out        io.Writer
	daemonPath string
	fleetCount int
}

// New returns a trial that prints its tables to out.
func New(settings Settings, out io.Writer) *Trial { return &Trial{settings: settings, out: out} }

// Parts returns the names of all parts in the order in which they are to be run.
func Parts() []string { return []string{"size", "idle", "loss", "config", "hops", "crest"} }

// Run builds the daemon and runs the named parts. It continues after a part
// fails and returns the last error.
func (t *Trial) Run(ctx context.Context, parts []string) error {
	if err := os.MkdirAll(t.settings.Folder, 0o700); err != nil {
		return errors.Wrap(err, "fulmartrial: create folder")
	}
	t.daemonPath = filepath.Join(t.settings.Folder, "fulmarbend")
	build := exec.CommandContext(ctx, "go", "build", "-o", t.daemonPath, "./cmd/fulmarbend")
	if out, err := build.CombinedOutput(); err != nil {
		return errors.Wrapf(err, "fulmartrial: build daemon: %s", out)
	}
	partFuncs := map[string]func(context.Context) error{
		"size": t.measureSizes, "idle": t.measureIdle, "loss": t.measureLosses, "config": t.measureConfig, "hops": t.measureHops, "crest": t.measureOverload,
	}
	var failed error
	for _, name := range parts {
		if ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), "fulmartrial: run parts")
		}
		part, ok := partFuncs[name]
		if !ok {
			return errors.Errorf("fulmartrial: unknown part %q", name)
		}
		if err := part(ctx); err != nil {
			fmt.Fprintf(t.out, "%s failed: %v\n", name, err)
			failed = errors.Wrap(err, name)
		}
	}
	return failed
}

// withFleet starts a fleet of the specification, waits until its grants settle,
// calls use and stops the fleet.
func (t *Trial) withFleet(ctx context.Context, spec fleetSpec, use func(f *fleet) error) error {
	t.fleetCount++
	f := &fleet{spec: spec, daemonPath: t.daemonPath, folder: filepath.Join(t.settings.Folder, fmt.Sprintf("fleet-%d", t.fleetCount))}
	defer f.stop()
	if err := f.start(ctx); err != nil {
		return err
	}
	return use(f)
}

// resultTable holds the rows of one table; the first row holds the headers.
type resultTable struct {
	name string
	rows [][]string
}

func newResultTable(name string, headers ...string) *resultTable {
	return &resultTable{name: name, rows: [][]string{append(headers, "load average")}}
}

// addRow appends a row that ends with the current load average.
func (t *resultTable) addRow(cells ...any) {
	row := make([]string, 0, len(cells)+1)
	for _, c := range cells {
		row = append(row, formatCell(c))
	}
	t.rows = append(t.rows, append(row, loadAverage()))
}

// formatCell formats floats with 4 significant digits and durations in
// milliseconds with 3.
func formatCell(c any) string {
	switch c := c.(type) {
	case float64:
		return fmt.Sprintf("%.4g", c)
	case time.Duration:
		return fmt.Sprintf("%.3g", float64(c)/float64(time.Millisecond))
	}
	return fmt.Sprint(c)
}

// writeTable prints a table and writes it to a CSV file of its name.
func (t *Trial) writeTable(table *resultTable) error {
	fmt.Fprintf(t.out, "\n%s, seed %d\n", table.name, t.settings.Seed)
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	for _, row := range table.rows {
		for _, cell := range row {
			fmt.Fprint(w, cell, "\t")
		}
		fmt.Fprintln(w)
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "fulmartrial: print table")
	}
	file, err := os.Create(filepath.Join(t.settings.Folder, table.name+".csv"))
	if err != nil {
		return errors.Wrap(err, "fulmartrial: create CSV file")
	}
	defer func() { _ = file.Close() }()
	return errors.Wrap(csv.NewWriter(file).WriteAll(table.rows), "fulmartrial: write CSV file")
}
