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

// Settings describe a trial.
type Settings struct {
	Seed                uint64
	SeedsPerFault       int           // runs of each fault
	IdleDaemonCounts    []int         // sizes of the idle part
	VaryTargetsAndSlots bool          // the idle part also varies the targets and the slots
	IdleDuration        time.Duration // of each measurement at rest
	Folder              string        // for settings, logs, histories and CSV files
}

// Trial is one series of measurements.
type Trial struct {
	settings Settings
	out      io.Writer
	daemon   string
	fleets   int
}

// New returns a trial that prints its tables to out.
func New(settings Settings, out io.Writer) *Trial { return &Trial{settings: settings, out: out} }

// Parts returns the names of all parts in the order in which they should run.
func Parts() []string { return []string{"size", "idle", "loss", "config", "hops", "crest"} }

// Run runs the named parts. A part that fails does not keep the others from running.
func (t *Trial) Run(ctx context.Context, parts []string) error {
	if err := os.MkdirAll(t.settings.Folder, 0o700); err != nil {
		return errors.Wrap(err, "fulmartrial: create folder")
	}
	t.daemon = filepath.Join(t.settings.Folder, "fulmarbend")
	build := exec.CommandContext(ctx, "go", "build", "-o", t.daemon, "./cmd/fulmarbend")
	if out, err := build.CombinedOutput(); err != nil {
		return errors.Wrapf(err, "fulmartrial: build the daemon: %s", out)
	}
	run := map[string]func(context.Context) error{
		"size": t.size, "idle": t.idle, "loss": t.loss, "config": t.config, "hops": t.hops, "crest": t.crest,
	}
	var failed error
	for _, name := range parts {
		if ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), "fulmartrial")
		}
		part, ok := run[name]
		if !ok {
			return errors.Errorf("fulmartrial: no part is named %q", name)
		}
		if err := part(ctx); err != nil {
			fmt.Fprintf(t.out, "%s failed: %v\n", name, err)
			failed = errors.Wrap(err, name)
		}
	}
	return failed
}

// fleet runs use against a fleet of the plan that is at rest, and stops the fleet.
func (t *Trial) fleet(ctx context.Context, p plan, use func(f *fleet) error) error {
	t.fleets++
	f := &fleet{plan: p, daemon: t.daemon, folder: filepath.Join(t.settings.Folder, fmt.Sprintf("fleet-%d", t.fleets))}
	defer f.stop()
	if err := f.start(ctx); err != nil {
		return err
	}
	return use(f)
}

// table collects the rows of one part.
type table struct {
	name string
	rows [][]string
}

func newTable(name string, heads ...string) *table {
	return &table{name: name, rows: [][]string{append(heads, "load average")}}
}

// add appends a row with the present load average.
func (t *table) add(cells ...any) {
	row := make([]string, 0, len(cells)+1)
	for _, c := range cells {
		row = append(row, text(c))
	}
	t.rows = append(t.rows, append(row, load()))
}

func text(c any) string {
	switch c := c.(type) {
	case float64:
		return fmt.Sprintf("%.4g", c)
	case time.Duration:
		return fmt.Sprintf("%.3g", float64(c)/float64(time.Millisecond))
	}
	return fmt.Sprint(c)
}

// print prints a table and writes it as CSV.
func (t *Trial) print(table *table) error {
	fmt.Fprintf(t.out, "\n%s, seed %d\n", table.name, t.settings.Seed)
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	for _, row := range table.rows {
		for _, cell := range row {
			fmt.Fprint(w, cell, "\t")
		}
		fmt.Fprintln(w)
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "fulmartrial: print")
	}
	file, err := os.Create(filepath.Join(t.settings.Folder, table.name+".csv"))
	if err != nil {
		return errors.Wrap(err, "fulmartrial: create file")
	}
	defer func() { _ = file.Close() }()
	return errors.Wrap(csv.NewWriter(file).WriteAll(table.rows), "fulmartrial: write file")
}
