package fulmarhistory

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Version is what a daemon stated of its configuration at a moment.
type VersionSample struct {
	Daemon         string
	Incarnation    uint64
	RequestedAt    int64 // wall-clock nanoseconds
	AnsweredAt     int64
	Version        uint64
	RefusesCallers bool // callers are refused
}

// Put is a configuration that was accepted, with the moment of the answer.
type AcceptedConfig struct {
	Version    uint64
	AcceptedAt int64
}

// CheckVersions returns the daemons whose configuration reverted, and those that
// accepted callers under an older configuration more than within after a put.
func CheckConfigVersions(versions []VersionSample, puts []AcceptedConfig, within time.Duration) []string {
	versions = slices.Clone(versions)
	slices.SortStableFunc(versions, func(a, b VersionSample) int { return cmp.Compare(a.RequestedAt, b.RequestedAt) })
	type life struct {
		daemon      string
		incarnation uint64
	}
	newest := map[life]VersionSample{}
	var out []string
	for _, v := range versions {
		l := life{v.Daemon, v.Incarnation}
		if before := newest[l]; v.Version < before.Version && before.AnsweredAt <= v.RequestedAt {
			out = append(out, fmt.Sprintf("%s: version %d after %d", v.Daemon, v.Version, before.Version))
		}
		if v.Version >= newest[l].Version {
			newest[l] = v
		}
		for _, p := range puts {
			if late := time.Duration(v.RequestedAt - p.AcceptedAt); !v.RefusesCallers && v.Version < p.Version && late > within {
				out = append(out, fmt.Sprintf("%s: version %d in force %v after version %d was accepted", v.Daemon, v.Version, late, p.Version))
			}
		}
	}
	return out
}

// Began returns the starts of a target after a moment.
func StartsAfter(events []Event, target string, after time.Time) []Event {
	var out []Event
	for _, e := range events {
		if e.Kind == KindStart && e.Target == target && e.UnixNanos > after.UnixNano() {
			out = append(out, e)
		}
	}
	return out
}
