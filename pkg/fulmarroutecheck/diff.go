package fulmarroutecheck

import (
	"fmt"
	"strings"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarentries"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
)

// Diff returns one line for each entry that differs between two versions, by name. The order of entries is ignored.
func Diff(from, to fulmarroute.Config) []string {
	return describe(from).Diff(describe(to))
}

// describe returns the text of each entry by its name.
func describe(c fulmarroute.Config) fulmarentries.Entries {
	out := fulmarentries.Entries{"limits": fmt.Sprintf("header %d B within %v, body %d B, idle %v", c.Limits.Header, c.Limits.HeaderTimeout, c.Limits.Body, c.Limits.IdleTimeout)}
	for _, s := range c.Services {
		out["service "+s.Name] = fmt.Sprintf("keyed %t, connections %d, health %s, warm-up %v, cold for %v at %g a second",
			s.Keyed, s.Connections, s.Health, s.WarmupTime, s.ColdTime, s.ColdRate)
	}
	for _, r := range c.Routes {
		parts := make([]string, 0, len(r.Parts))
		for _, p := range r.Parts {
			parts = append(parts, fmt.Sprintf("%s %g", p.Service, p.Weight))
		}
		out[routeEntry(r)] = fmt.Sprintf("%s%s to %s, kind %v, timeout %v, objective %v, priority %d, attempts %d",
			r.Host, r.Prefix, strings.Join(parts, " + "), r.Kind, r.Timeout, r.LatencyObjective, r.Priority, r.Attempts)
	}
	return out
}
