package fulmarroute

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Part is one service of a route with its weight.
type Part struct {
	Service string  `cbor:"service"`
	Weight  float64 `cbor:"weight"`
}

// Route defines how requests of one host and path prefix are served.
type Route struct {
	Name             string        `cbor:"name"`
	Host             string        `cbor:"host"`
	Prefix           string        `cbor:"prefix"`
	Kind             Kind          `cbor:"kind"`
	Timeout          time.Duration `cbor:"timeout"`  // longest time that a request may take
	LatencyObjective time.Duration `cbor:"goal"`     // latency objective
	Priority         int           `cbor:"priority"` // 0 is the most urgent
	Attempts         int           `cbor:"attempts"` // maximum number of targets to which one request is sent
	Parts            []Part        `cbor:"parts"`
}

// Service describes a group of equivalent targets.
type Service struct {
	Name        string        `cbor:"name"`
	Health      string        `cbor:"health"`      // path of the health check
	Connections int           `cbor:"connections"` // maximum that one target accepts from all callers
	Keyed       bool          `cbor:"keyed"`       // targets own key ranges exclusively
	WarmupTime  time.Duration `cbor:"warm"`        // time for which keys stay slow after a move without handover
	// ColdTime is the time for which a target is cold after it has started. While it is cold, for whatever reason, it takes
	// ColdRate requests a second from all daemons together; 0 means that it takes any rate.
	ColdTime time.Duration `cbor:"coldtime,omitempty"`
	ColdRate float64       `cbor:"coldrate,omitempty"`
}

// Limits bounds the size and duration of callers' requests.
type Limits struct {
	Header        int           `cbor:"header"` // bytes
	Body          int64         `cbor:"body"`   // bytes
	HeaderTimeout time.Duration `cbor:"headertimeout"`
	IdleTimeout   time.Duration `cbor:"idletimeout"`
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  uint64    `cbor:"version"`
	Routes   []Route   `cbor:"routes"`
	Services []Service `cbor:"services"`
	Limits   Limits    `cbor:"limits"`
}

// Table selects routes; it is immutable.
type Table struct {
	config   Config
	hosts    map[string][]Route // longest prefix first
	services map[string]Service
	names    map[string]bool // of routes and services
}

// New returns the table of a configuration, or an error that describes the first invalid entry.
func New(c Config) (*Table, error) {
	t := newTable(c)
	if faults := t.faults(); len(faults) > 0 {
		return nil, faults[0]
	}
	for _, r := range c.Routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
		t.names[r.Name] = true
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t, nil
}

// Faults returns an error for each invalid entry of a configuration.
func Faults(c Config) []error { return newTable(c).faults() }

// newTable returns a table without routes.
func newTable(c Config) *Table {
	t := &Table{config: c, hosts: make(map[string][]Route), services: make(map[string]Service), names: make(map[string]bool)}
	for _, s := range c.Services {
		t.services[s.Name] = s
		t.names[s.Name] = true
	}
	return t
}

// faults returns an error for each invalid entry of the configuration.
func (t *Table) faults() (out []error) {
	for _, s := range t.config.Services {
		if s.Name == "" {
			out = append(out, errors.New("fulmarroute: service without a name"))
		}
		if s.ColdRate < 0 {
			out = append(out, errors.Errorf("fulmarroute: service %q has a negative rate of cold targets", s.Name))
		}
	}
	for _, r := range t.config.Routes {
		if err := t.validate(r); err != nil {
			out = append(out, err)
		}
	}
	return out
}

func (t *Table) validate(r Route) error {
	switch {
	case r.Host == "":
		return errors.Errorf("fulmarroute: route %q has no host", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return errors.Errorf("fulmarroute: prefix %q of route %q does not begin and end with a slash", r.Prefix, r.Name)
	case r.Kind > UnknownKind:
		return errors.Errorf("fulmarroute: route %q has the invalid kind %d", r.Name, r.Kind)
	case r.Timeout <= 0:
		return errors.Errorf("fulmarroute: route %q has no timeout", r.Name)
	case len(r.Parts) == 0:
		return errors.Errorf("fulmarroute: route %q has no service", r.Name)
	}
	total := 0.0
	for _, p := range r.Parts {
		if _, ok := t.services[p.Service]; !ok {
			return errors.Errorf("fulmarroute: route %q names the unknown service %q", r.Name, p.Service)
		}
		if p.Weight < 0 {
			return errors.Errorf("fulmarroute: route %q has a negative weight", r.Name)
		}
		total += p.Weight
	}
	if total <= 0 {
		return errors.Errorf("fulmarroute: weights of route %q sum to zero", r.Name)
	}
	return nil
}

// Config returns the configuration of the table; the caller must not modify it.
func (t *Table) Config() Config { return t.config }

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.config.Version }

// Limits returns the limits of the configuration.
func (t *Table) Limits() Limits { return t.config.Limits }

// Service returns the service with the given name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Names returns the names of all routes and services; the caller must not modify them.
func (t *Table) Names() map[string]bool { return t.names }

// UnknownKinds returns the names of the routes whose kind is not known.
func (t *Table) UnknownKinds() []string {
	var names []string
	for _, r := range t.config.Routes {
		if r.Kind == UnknownKind {
			names = append(names, r.Name)
		}
	}
	return names
}

// Match returns the route of host with the longest prefix of path.
// A port in host is ignored.
func (t *Table) Match(host, path string) (Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	routes, ok := t.hosts[host]
	if !ok {
		routes = t.hosts[strings.ToLower(host)]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}
