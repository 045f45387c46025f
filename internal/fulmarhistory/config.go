package fulmarhistory

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// VersionSample is the configuration version that a daemon reported in one status call.
type VersionSample struct {
	Daemon         string
	Incarnation    uint64
	RequestedAt    int64 // wall-clock nanoseconds
	AnsweredAt     int64
	Version        uint64
	RefusesCallers bool // the daemon refuses callers
}

// AcceptedConfig is a configuration version that was accepted, with the time of the answer.
type AcceptedConfig struct {
	Version    uint64
	AcceptedAt int64
}

// CheckConfigVersions returns a message for each daemon whose configuration version
// went backwards, and for each that still accepted callers under an older version
// when more than maxDelay had passed since a newer one was accepted.
func CheckConfigVersions(versions []VersionSample, accepted []AcceptedConfig, maxDelay time.Duration) []string {
	versions = slices.Clone(versions)
	slices.SortStableFunc(versions, func(a, b VersionSample) int { return cmp.Compare(a.RequestedAt, b.RequestedAt) })
	type process struct {
		daemon      string
		incarnation uint64
	}
	newest := map[process]VersionSample{}
	var out []string
	for _, v := range versions {
		p := process{v.Daemon, v.Incarnation}
		if before := newest[p]; v.Version < before.Version && before.AnsweredAt <= v.RequestedAt {
			out = append(out, fmt.Sprintf("%s: version %d after %d", v.Daemon, v.Version, before.Version))
		}
		if v.Version >= newest[p].Version {
			newest[p] = v
		}
		for _, c := range accepted {
			if delay := time.Duration(v.RequestedAt - c.AcceptedAt); !v.RefusesCallers && v.Version < c.Version && delay > maxDelay {
				out = append(out, fmt.Sprintf("%s: version %d in force %v after version %d was accepted", v.Daemon, v.Version, delay, c.Version))
			}
		}
	}
	return out
}

// StartsAfter returns the start events of a target after the given time.
func StartsAfter(events []Event, target string, t time.Time) []Event {
	var out []Event
	for _, e := range events {
		if e.Kind == KindStart && e.Target == target && e.UnixNanos > t.UnixNano() {
			out = append(out, e)
		}
	}
	return out
}
