package fulmarroutecheck

import (
	"fmt"
	"strings"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarfinding"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
)

// findings collects the results of a check.
type findings []fulmarfinding.Finding

func (f *findings) add(s fulmarfinding.Severity, entry, format string, args ...any) {
	*f = append(*f, fulmarfinding.Finding{Severity: s, Entry: entry, Problem: fmt.Sprintf(format, args...)})
}

// Check returns what is wrong with a configuration, faults first.
func Check(c fulmarroute.Config) []fulmarfinding.Finding {
	var out findings
	for _, err := range fulmarroute.Faults(c) {
		out.add(fulmarfinding.Fault, "configuration", "%s", strings.TrimPrefix(err.Error(), "fulmarroute: "))
	}
	out.checkMatches(c)
	out.checkServices(c)
	for _, r := range c.Routes {
		out.checkRouteLimits(r)
	}
	out.checkLimits(c.Limits)
	return out
}

// checkMatches reports routes and parts of routes that get no requests.
func (f *findings) checkMatches(c fulmarroute.Config) {
	first := make(map[[2]string]string, len(c.Routes))
	names := make(map[string]bool, len(c.Routes))
	for _, r := range c.Routes {
		entry := routeEntry(r)
		if names[r.Name] {
			f.add(fulmarfinding.Contradiction, entry, "another route has the same name, so that their figures cannot be told apart")
		}
		names[r.Name] = true
		key := [2]string{strings.ToLower(r.Host), r.Prefix}
		if other, ok := first[key]; ok {
			f.add(fulmarfinding.Unreachable, entry, "route %q has the same host and prefix; only one of them gets requests", other)
		} else {
			first[key] = r.Name
		}
		if i := strings.LastIndexByte(r.Host, ':'); i >= 0 && !strings.HasSuffix(r.Host, "]") {
			f.add(fulmarfinding.Unreachable, entry, "host %q has a port, which is removed from the host of each request", r.Host)
		}
		if r.Kind == fulmarroute.UnknownKind {
			f.add(fulmarfinding.Contradiction, entry, "its kind is not known, so that its requests are never repeated")
		}
		if strings.ContainsAny(r.Prefix, "?# \t\r\n") {
			f.add(fulmarfinding.Unreachable, entry, "prefix %q has characters that no path of a request has", r.Prefix)
		}
		for _, p := range r.Parts {
			if p.Weight == 0 {
				f.add(fulmarfinding.Unreachable, entry, "service %q has the weight 0 and gets no requests", p.Service)
			}
		}
	}
}

// checkServices reports services that get no requests, and settings of services that have no effect.
func (f *findings) checkServices(c fulmarroute.Config) {
	named := make(map[string]bool, len(c.Services))
	for _, r := range c.Routes {
		for _, p := range r.Parts {
			named[p.Service] = true
		}
	}
	seen := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		entry := "service " + s.Name
		if seen[s.Name] {
			f.add(fulmarfinding.Contradiction, entry, "it is defined twice; only the last definition counts")
		}
		seen[s.Name] = true
		if !named[s.Name] {
			f.add(fulmarfinding.Unreachable, entry, "no route names it")
		}
		if s.WarmupTime > 0 && !s.Keyed {
			f.add(fulmarfinding.Contradiction, entry, "keys stay slow for %v after a move, but it has no keys", s.WarmupTime)
		}
		if s.ColdRate > 0 && s.ColdTime <= 0 {
			f.add(fulmarfinding.Contradiction, entry, "cold targets take %g requests a second, but no target is cold after its start", s.ColdRate)
		}
	}
}

// checkRouteLimits reports limits of a route that contradict each other.
func (f *findings) checkRouteLimits(r fulmarroute.Route) {
	entry := routeEntry(r)
	switch {
	case r.LatencyObjective > r.Timeout:
		f.add(fulmarfinding.Contradiction, entry, "latency objective %v is longer than the timeout %v", r.LatencyObjective, r.Timeout)
	case r.LatencyObjective <= 0:
		f.add(fulmarfinding.Contradiction, entry, "without a latency objective, requests wait for no target and no key")
	}
	if r.Priority < 0 {
		f.add(fulmarfinding.Contradiction, entry, "priority %d is more urgent than 0, the highest", r.Priority)
	}
}

// checkLimits reports limits of callers that contradict each other. A limit of zero is the default.
func (f *findings) checkLimits(l fulmarroute.Limits) {
	const entry = "limits"
	if l.Header < 0 || l.Body < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		f.add(fulmarfinding.Contradiction, entry, "a limit is negative, so that the default applies")
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		f.add(fulmarfinding.Contradiction, entry, "a request may take %v to arrive, but a connection only %v to send one", l.HeaderTimeout, l.IdleTimeout)
	}
	if l.IdleTimeout > 0 && l.IdleTimeout < time.Second {
		f.add(fulmarfinding.Contradiction, entry, "idle timeout %v closes connections between two requests of most callers", l.IdleTimeout)
	}
}

func routeEntry(r fulmarroute.Route) string { return "route " + r.Name }
