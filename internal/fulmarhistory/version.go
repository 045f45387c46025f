package fulmarhistory

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Version is what a daemon stated of its configuration at a moment.
type Version struct {
	Daemon      string
	Incarnation uint64
	Asked       int64 // wall-clock nanoseconds
	Answered    int64
	Config      uint64
	Refusing    bool // callers are refused
}

// Put is a configuration that was accepted, with the moment of the answer.
type Put struct {
	Config uint64
	At     int64
}

// CheckVersions returns the daemons whose configuration reverted, and those that
// accepted callers under an older configuration more than within after a put.
func CheckVersions(versions []Version, puts []Put, within time.Duration) []string {
	versions = slices.Clone(versions)
	slices.SortStableFunc(versions, func(a, b Version) int { return cmp.Compare(a.Asked, b.Asked) })
	type life struct {
		daemon      string
		incarnation uint64
	}
	newest := map[life]Version{}
	var out []string
	for _, v := range versions {
		l := life{v.Daemon, v.Incarnation}
		if before := newest[l]; v.Config < before.Config && before.Answered <= v.Asked {
			out = append(out, fmt.Sprintf("%s: version %d after %d", v.Daemon, v.Config, before.Config))
		}
		if v.Config >= newest[l].Config {
			newest[l] = v
		}
		for _, p := range puts {
			if late := time.Duration(v.Asked - p.At); !v.Refusing && v.Config < p.Config && late > within {
				out = append(out, fmt.Sprintf("%s: version %d in force %v after version %d was accepted", v.Daemon, v.Config, late, p.Config))
			}
		}
	}
	return out
}

// Began returns the starts of a target after a moment.
func Began(events []Event, target string, after time.Time) []Event {
	var out []Event
	for _, e := range events {
		if e.Kind == KindStart && e.Target == target && e.At > after.UnixNano() {
			out = append(out, e)
		}
	}
	return out
}
