package fulmarconfig

import (
	"bytes"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmartoml"
)

// Service is a key space served by targets of one kind.
type Service struct {
	Name       string
	Slots      int
	Idempotent bool
}

// Limits are the values in force for a group at a service, with the source of each.
type Limits struct {
	Weight     float64
	MaxQueue   int           // most waiting requests of the group for one target
	Timeout    time.Duration // when the caller names none
	MaxTimeout time.Duration
	MaxBody    int64             // largest request body, in bytes
	Source     map[string]string // by setting: "default", or the exception's name and reason; shared, not to be modified
}

// Exception is a departure from the defaults; a nil value is not set.
type Exception struct {
	Name       string
	Service    string // empty for all services
	Group      string // empty for all groups
	Weight     *float64
	MaxQueue   *int
	Timeout    *time.Duration
	MaxTimeout *time.Duration
	MaxBody    *int64
	Reason     string
}

// Drain is a target that operators drain.
type Drain struct {
	Target string
	Reason string
}

// Names of the settings of a group, as in Limits.Source.
const (
	SettingWeight     = "weight"
	SettingQueue      = "queue"
	SettingTimeout    = "timeout"
	SettingMaxTimeout = "maxtimeout"
	SettingBody       = "body"
)

// limitNames has the settings in the order in which they are shown.
var limitNames = []string{SettingWeight, SettingQueue, SettingTimeout, SettingMaxTimeout, SettingBody}

// Defaults and bounds of the settings.
const (
	DefaultWeight         = 1.0
	DefaultMaxQueue       = 64
	DefaultTimeout        = 5 * time.Second
	DefaultMaxTimeout     = time.Minute
	DefaultMaxBody        = 1 << 20
	DefaultSlots          = 1024
	DefaultLongRatio      = 8.0
	DefaultMaxMovingSlots = 64

	maxWeight     = 1000.0
	maxQueue      = 100_000
	minTimeout    = time.Millisecond
	maxTimeout    = 10 * time.Minute // the span of the request memory
	maxBody       = 64 << 20
	maxSlots      = 65_536
	maxLong       = 1000.0
	maxMoving     = 4096
	maxServices   = 256
	maxGroups     = 10_000
	maxExceptions = 256
	maxDrains     = 1024
	maxName       = 64 // letters
	maxTargetName = 128
	maxReason     = 500 // letters
)

// Config is an immutable configuration; the zero Config has defaults and no service.
type Config struct{ s *state }

type state struct {
	text       []byte
	limits     Limits
	slots      int
	long       float64
	moving     int
	services   []Service
	groups     []string
	exceptions []Exception
	drains     []Drain
	byService  map[string]Limits
	byGroup    map[string]Limits
	byPair     map[[2]string]Limits
	serviceSet map[string]Service
	groupSet   map[string]bool
}

func defaults() *state {
	source := map[string]string{}
	for _, n := range limitNames {
		source[n] = "default"
	}
	return &state{
		limits: Limits{DefaultWeight, DefaultMaxQueue, DefaultTimeout, DefaultMaxTimeout, DefaultMaxBody, source},
		slots:  DefaultSlots, long: DefaultLongRatio, moving: DefaultMaxMovingSlots,
	}
}

var empty = defaults()

func (c Config) state() *state {
	if c.s == nil {
		return empty
	}
	return c.s
}

// Fault is one error in a configuration.
type Fault = fulmartoml.Fault

// FaultsError has all faults of a configuration in order of line.
type FaultsError struct{ Faults []Fault }

// Error returns one line for each fault.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return "fulmarconfig: " + strings.Join(lines, "\n")
}

// Text returns the TOML form as it was parsed.
func (c Config) Text() []byte { return bytes.Clone(c.state().text) }

// Services returns the services in order of name.
func (c Config) Services() []Service { return slices.Clone(c.state().services) }

// Service returns the service named name.
func (c Config) Service(name string) (Service, bool) {
	s, ok := c.state().serviceSet[name]
	return s, ok
}

// Groups returns the names of the groups in order.
func (c Config) Groups() []string { return slices.Clone(c.state().groups) }

// Exceptions returns the exceptions in order of the text.
func (c Config) Exceptions() []Exception { return slices.Clone(c.state().exceptions) }

// Drains returns the drains in order of target.
func (c Config) Drains() []Drain { return slices.Clone(c.state().drains) }

// Limits returns the limits of a group at a service; false if either is unknown.
func (c Config) Limits(service, group string) (Limits, bool) {
	s := c.state()
	if _, ok := s.serviceSet[service]; !ok || !s.groupSet[group] {
		return Limits{}, false
	}
	if l, ok := s.byPair[[2]string{service, group}]; ok {
		return l, true
	}
	if l, ok := s.byService[service]; ok {
		return l, true
	}
	if l, ok := s.byGroup[group]; ok {
		return l, true
	}
	return s.limits, true
}

// Defaults returns the limits that apply where no exception does.
func (c Config) Defaults() Limits { return c.state().limits }

// LongRatio is the multiple of a service's median cost from which work is long.
func (c Config) LongRatio() float64 { return c.state().long }

// MaxMoving is the largest number of slots that move at once.
func (c Config) MaxMovingSlots() int { return c.state().moving }

// Drained returns the targets that operators drain, in order.
func (c Config) DrainedTargets() []string {
	var targets []string
	for _, d := range c.state().drains {
		targets = append(targets, d.Target)
	}
	return targets
}

// resolve computes the limits wherever exceptions apply.
func (s *state) resolve() {
	s.byService, s.byGroup, s.byPair = map[string]Limits{}, map[string]Limits{}, map[[2]string]Limits{}
	for _, e := range s.exceptions {
		switch {
		case e.Service != "" && e.Group == "":
			s.byService[e.Service] = e.apply(orElse(s.byService, e.Service, s.limits))
		case e.Service == "" && e.Group != "":
			s.byGroup[e.Group] = e.apply(orElse(s.byGroup, e.Group, s.limits))
		}
	}
	// Service and group exceptions never set the same value, so their order is of no matter.
	base := func(service, group string) Limits {
		l := s.limits
		for _, e := range s.exceptions {
			if (e.Service == service && e.Group == "") || (e.Group == group && e.Service == "") {
				l = e.apply(l)
			}
		}
		return l
	}
	for service := range s.byService {
		for group := range s.byGroup {
			s.byPair[[2]string{service, group}] = base(service, group)
		}
	}
	for _, e := range s.exceptions {
		if e.Service == "" || e.Group == "" {
			continue
		}
		pair := [2]string{e.Service, e.Group}
		l, ok := s.byPair[pair]
		if !ok {
			l = base(e.Service, e.Group)
		}
		s.byPair[pair] = e.apply(l)
	}
}

func orElse[K comparable](m map[K]Limits, key K, otherwise Limits) Limits {
	if l, ok := m[key]; ok {
		return l
	}
	return otherwise
}

func (e Exception) apply(l Limits) Limits {
	source := "exception " + e.Name + ": " + e.Reason
	l.Source = maps.Clone(l.Source)
	if e.Weight != nil {
		l.Weight, l.Source[SettingWeight] = *e.Weight, source
	}
	if e.MaxQueue != nil {
		l.MaxQueue, l.Source[SettingQueue] = *e.MaxQueue, source
	}
	if e.Timeout != nil {
		l.Timeout, l.Source[SettingTimeout] = *e.Timeout, source
	}
	if e.MaxTimeout != nil {
		l.MaxTimeout, l.Source[SettingMaxTimeout] = *e.MaxTimeout, source
	}
	if e.MaxBody != nil {
		l.MaxBody, l.Source[SettingBody] = *e.MaxBody, source
	}
	return l
}

// sets returns the names of the values that the exception sets.
func (e Exception) sets() []string {
	var names []string
	for i, set := range []bool{e.Weight != nil, e.MaxQueue != nil, e.Timeout != nil, e.MaxTimeout != nil, e.MaxBody != nil} {
		if set {
			names = append(names, limitNames[i])
		}
	}
	return names
}
