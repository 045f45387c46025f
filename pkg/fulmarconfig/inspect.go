package fulmarconfig

import (
	"maps"
	"slices"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarfinding"
)

// Inspect returns what a valid configuration holds that can never apply: exceptions without which all limits would be the same, and
// defaults that exceptions replace for every service.
func (c Config) Inspect() []fulmarfinding.Finding {
	var out []fulmarfinding.Finding
	s := c.dataOrDefaults()
	for i, e := range s.exceptions {
		without := *s
		without.exceptions = slices.Delete(slices.Clone(s.exceptions), i, i+1)
		without.resolveLimits()
		if s.sameLimits(&without) {
			out = append(out, fulmarfinding.Finding{
				Severity: fulmarfinding.Unreachable, Entry: "exception " + e.Name, Problem: "has no effect: all limits would be the same without it",
			})
		}
	}
	for _, name := range s.unusedDefaults() {
		out = append(out, fulmarfinding.Finding{
			Severity: fulmarfinding.Unreachable, Entry: "defaults." + name, Problem: "never applies: each service has an exception for it",
		})
	}
	return out
}

// sameLimits reports whether all groups have the same limits at all services in both configurations, which differ only in their
// exceptions.
func (s *configData) sameLimits(o *configData) bool {
	a, b := Config{s}, Config{o}
	differs := func(service, group string) bool {
		x, _ := a.Limits(service, group)
		y, _ := b.Limits(service, group)
		return !equalLimits(x, y)
	}
	// Limits differ from the defaults only where an exception applies, so one service and group stands for all without one.
	services, groups := s.representatives()
	for _, service := range services {
		for _, group := range groups {
			if differs(service, group) {
				return false
			}
		}
	}
	return true
}

// representatives returns the services and groups that exceptions name, with one more of each if there is one.
func (s *configData) representatives() (services, groups []string) {
	byService, byGroup := map[string]bool{}, map[string]bool{}
	for _, e := range s.exceptions {
		if e.Service != "" {
			byService[e.Service] = true
		}
		if e.Group != "" {
			byGroup[e.Group] = true
		}
	}
	if i := slices.IndexFunc(s.services, func(v Service) bool { return !byService[v.Name] }); i >= 0 {
		byService[s.services[i].Name] = true
	}
	if i := slices.IndexFunc(s.groups, func(g string) bool { return !byGroup[g] }); i >= 0 {
		byGroup[s.groups[i]] = true
	}
	return slices.Sorted(maps.Keys(byService)), slices.Sorted(maps.Keys(byGroup))
}

// unusedDefaults returns the names of the settings for which each service has an exception of its own.
func (s *configData) unusedDefaults() (out []string) {
	if len(s.services) == 0 {
		return nil
	}
	counts := map[string]int{}
	for _, e := range s.exceptions {
		if e.Service != "" && e.Group == "" {
			for _, name := range e.settingNames() {
				counts[name]++
			}
		}
	}
	for _, name := range limitSettings {
		if counts[name] == len(s.services) {
			out = append(out, name)
		}
	}
	return out
}

// equalLimits reports whether two limits are equal, whatever their sources.
func equalLimits(a, b Limits) bool {
	return a.Weight == b.Weight && a.MaxQueue == b.MaxQueue && a.Timeout == b.Timeout && a.MaxTimeout == b.MaxTimeout && a.MaxBody == b.MaxBody
}
