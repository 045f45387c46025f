package fulmarconfig

import (
	"fmt"
	"strings"

	"github.com/fulmarbend/fulmarbend/internal/fulmartoml"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarentries"
)

// Diff returns one line for each setting that differs between a and b.
// Differences in formatting, comments and order are ignored.
func Diff(a, b Config) []string {
	return a.describe().Diff(b.describe())
}

// describe returns a textual value for each setting and entry, by name, for comparison by Diff.
func (c Config) describe() fulmarentries.Entries {
	s := c.dataOrDefaults()
	f := fulmarentries.Entries{
		"defaults.weight":     fmt.Sprint(s.defaultLimits.Weight),
		"defaults.queue":      fmt.Sprint(s.defaultLimits.MaxQueue),
		"defaults.timeout":    s.defaultLimits.Timeout.String(),
		"defaults.maxtimeout": s.defaultLimits.MaxTimeout.String(),
		"defaults.body":       fulmartoml.FormatSize(s.defaultLimits.MaxBody),
		"defaults.slots":      fmt.Sprint(s.defaultSlots),
		"defaults.long":       fmt.Sprint(s.longRatio),
		"defaults.moving":     fmt.Sprint(s.maxMovingSlots),
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

// String returns a one-line description of the exception without its name.
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

// CheckChange returns a *FaultsError if the change of configuration alters the number of slots of
// an existing service: that would remap its keys to other slots without moving their ownership.
func CheckChange(from, to Config) error {
	var faults []Fault
	for _, s := range to.dataOrDefaults().services {
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
