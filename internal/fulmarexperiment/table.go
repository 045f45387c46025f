package fulmarexperiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Table holds the results of one experiment.
type Table struct {
	Name  string // used in file names
	Title string
	Head  []string
	Rows  [][]string
}

// Print writes the title, the head and the rows in aligned columns.
func (t Table) Print(w io.Writer) error {
	fmt.Fprintln(w, t.Title)
	aligned := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(aligned, strings.Join(t.Head, "\t"))
	for _, row := range t.Rows {
		fmt.Fprintln(aligned, strings.Join(row, "\t"))
	}
	return errors.Wrap(aligned.Flush(), "fulmarexperiment: print table")
}

// CSV writes the head and the rows as comma-separated values.
func (t Table) CSV(w io.Writer) error {
	out := csv.NewWriter(w)
	if err := out.WriteAll(append([][]string{t.Head}, t.Rows...)); err != nil {
		return errors.Wrap(err, "fulmarexperiment: write table "+t.Name)
	}
	return nil
}

// add appends a row; floating-point fields get three decimals.
func (t *Table) add(fields ...any) {
	row := make([]string, len(fields))
	for i, f := range fields {
		if x, ok := f.(float64); ok {
			row[i] = fmt.Sprintf("%.3f", x)
		} else {
			row[i] = fmt.Sprint(f)
		}
	}
	t.Rows = append(t.Rows, row)
}
