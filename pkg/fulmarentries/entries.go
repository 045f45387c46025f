package fulmarentries

import (
	"fmt"
	"maps"
	"slices"
)

// Entries holds the text of each entry of a configuration by its name.
type Entries map[string]string

// Diff returns one line for each entry that differs between e and a later version, sorted by name: "+" for a new entry, "-" for
// one that is gone, "~" for a changed one.
func (e Entries) Diff(later Entries) []string {
	names := maps.Clone(e)
	maps.Copy(names, later)
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(names)) {
		old, before := e[name]
		updated, after := later[name]
		switch {
		case !before:
			lines = append(lines, fmt.Sprintf("+ %s: %s", name, updated))
		case !after:
			lines = append(lines, fmt.Sprintf("- %s: %s", name, old))
		case old != updated:
			lines = append(lines, fmt.Sprintf("~ %s: %s -> %s", name, old, updated))
		}
	}
	return lines
}
