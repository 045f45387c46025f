package fulmarconfig

import (
	"fmt"
	"sort"
	"strings"

	"github.com/fulmarbend/fulmarbend/internal/fulmartoml"
)

// Diff returns one line for each difference in meaning from a to b; it is empty for texts that differ only in form.
func Diff(a, b Config) []string {
	before, after := a.facts(), b.facts()
	var names []string
	for name := range before {
		names = append(names, name)
	}
	for name := range after {
		if _, ok := before[name]; !ok {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var lines []string
	for _, name := range names {
		old, had := before[name]
		now, has := after[name]
		switch {
		case !had:
			lines = append(lines, fmt.Sprintf("+ %s: %s", name, now))
		case !has:
			lines = append(lines, fmt.Sprintf("- %s: %s", name, old))
		case old != now:
			lines = append(lines, fmt.Sprintf("~ %s: %s -> %s", name, old, now))
		}
	}
	return lines
}

// facts returns what the configuration says, by name.
func (c Config) facts() map[string]string {
	s := c.state()
	f := map[string]string{
		"defaults.weight":     fmt.Sprint(s.limits.Weight),
		"defaults.queue":      fmt.Sprint(s.limits.MaxQueue),
		"defaults.timeout":    s.limits.Timeout.String(),
		"defaults.maxtimeout": s.limits.MaxTimeout.String(),
		"defaults.body":       fulmartoml.FormatSize(s.limits.MaxBody),
		"defaults.slots":      fmt.Sprint(s.slots),
		"defaults.long":       fmt.Sprint(s.long),
		"defaults.moving":     fmt.Sprint(s.moving),
	}
	for _, v := range s.services {
		f["service "+v.Name] = fmt.Sprintf("slots %d, idempotent %t", v.Slots, v.Idempotent)
	}
	for _, g := range s.groups {
		f["group "+g] = "present"
	}
	for _, e := range s.exceptions {
		f["exception "+e.Name] = e.String()
	}
	for _, d := range s.drains {
		f["drain "+d.Target] = d.Reason
	}
	return f
}

// String returns the exception in one line, without its name.
func (e Exception) String() string {
	var parts []string
	if e.Service != "" {
		parts = append(parts, "service "+e.Service)
	}
	if e.Group != "" {
		parts = append(parts, "group "+e.Group)
	}
	if e.Weight != nil {
		parts = append(parts, fmt.Sprint("weight ", *e.Weight))
	}
	if e.MaxQueue != nil {
		parts = append(parts, fmt.Sprint("queue ", *e.MaxQueue))
	}
	if e.Timeout != nil {
		parts = append(parts, "timeout "+e.Timeout.String())
	}
	if e.MaxTimeout != nil {
		parts = append(parts, "maxtimeout "+e.MaxTimeout.String())
	}
	if e.MaxBody != nil {
		parts = append(parts, "body "+fulmartoml.FormatSize(*e.MaxBody))
	}
	return strings.Join(parts, ", ") + " (" + e.Reason + ")"
}

// CheckChange returns a *FaultsError if the step from one configuration to another changes the
// number of slots of a service: that would place its keys anew without moving their owners.
func CheckChange(from, to Config) error {
	var faults []Fault
	for _, s := range to.state().services {
		if old, ok := from.Service(s.Name); ok && old.Slots != s.Slots {
			faults = append(faults, Fault{
				Field:   "service " + s.Name + ".slots",
				Problem: fmt.Sprintf("cannot change from %d to %d while the service exists", old.Slots, s.Slots),
			})
		}
	}
	if len(faults) > 0 {
		return &FaultsError{faults}
	}
	return nil
}
