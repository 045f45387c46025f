package fulmarconfig

import (
	"bytes"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmartoml"
)

// Service is a key space, divided into slots, that is served by targets of one kind.
type Service struct {
	Name       string
	Slots      int
	Idempotent bool
}

// Limits are the effective settings of a group at a service, with the source of each.
type Limits struct {
	Weight     float64
	MaxQueue   int           // largest number of queued requests of the group for one target
	Timeout    time.Duration // applies when the request has none
	MaxTimeout time.Duration
	MaxBody    int64             // largest request body, in bytes
	Source     map[string]string // by setting name: "default", or the exception's name and reason; shared, must not be modified
}

// Exception overrides defaults for a service, a group or both; settings that are nil keep their default.
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

// Drain marks a target from which operators move all slots away.
type Drain struct {
	Target string
	Reason string
}

// Names of the settings in Limits, used as keys of Limits.Source.
const (
	SettingWeight     = "weight"
	SettingQueue      = "queue"
	SettingTimeout    = "timeout"
	SettingMaxTimeout = "maxtimeout"
	SettingBody       = "body"
)

// limitSettings lists the names of the settings in Limits in display order.
var limitSettings = []string{SettingWeight, SettingQueue, SettingTimeout, SettingMaxTimeout, SettingBody}

// Default values and bounds of the settings.
const (
	DefaultWeight         = 1.0
	DefaultMaxQueue       = 64
	DefaultTimeout        = 5 * time.Second
	DefaultMaxTimeout     = time.Minute
	DefaultMaxBody        = 1 << 20
	DefaultSlots          = 1024
	DefaultLongRatio      = 8.0
	DefaultMaxMovingSlots = 64

	maxWeight           = 1000.0
	maxQueue            = 100_000
	minTimeout          = time.Millisecond
	maxTimeout          = 10 * time.Minute // how long request ids are remembered for deduplication
	maxBody             = 64 << 20
	maxSlots            = 65_536
	maxLongRatio        = 1000.0
	maxMovingSlots      = 4096
	maxServices         = 256
	maxGroups           = 10_000
	maxExceptions       = 256
	maxDrains           = 1024
	maxNameLength       = 64 // characters
	maxTargetNameLength = 128
	maxReasonLength     = 500 // characters
)

// Config is an immutable configuration; the zero Config has the default limits and no services.
type Config struct{ data *configData }

// configData is the parsed configuration, with limits precomputed for lookup.
type configData struct {
	text           []byte
	defaultLimits  Limits
	defaultSlots   int
	longRatio      float64
	maxMovingSlots int
	services       []Service
	groups         []string
	exceptions     []Exception
	drains         []Drain
	serviceLimits  map[string]Limits
	groupLimits    map[string]Limits
	pairLimits     map[[2]string]Limits
	servicesByName map[string]Service
	groupSet       map[string]bool
}

func newConfigData() *configData {
	source := map[string]string{}
	for _, n := range limitSettings {
		source[n] = "default"
	}
	return &configData{
		defaultLimits: Limits{DefaultWeight, DefaultMaxQueue, DefaultTimeout, DefaultMaxTimeout, DefaultMaxBody, source},
		defaultSlots:  DefaultSlots, longRatio: DefaultLongRatio, maxMovingSlots: DefaultMaxMovingSlots,
	}
}

var zeroConfigData = newConfigData()

func (c Config) dataOrDefaults() *configData {
	if c.data == nil {
		return zeroConfigData
	}
	return c.data
}

// Fault is one error in a configuration text, with its line and field.
type Fault = fulmartoml.Fault

// FaultsError holds all errors of a configuration in order of line.
type FaultsError struct{ Faults []Fault }

// Error returns one line for each error.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return "fulmarconfig: " + strings.Join(lines, "\n")
}

// Text returns the TOML text from which c was parsed.
func (c Config) Text() []byte { return bytes.Clone(c.dataOrDefaults().text) }

// Services returns the services sorted by name.
func (c Config) Services() []Service { return slices.Clone(c.dataOrDefaults().services) }

// Service returns the service named name.
func (c Config) Service(name string) (Service, bool) {
	s, ok := c.dataOrDefaults().servicesByName[name]
	return s, ok
}

// Groups returns the sorted names of the groups.
func (c Config) Groups() []string { return slices.Clone(c.dataOrDefaults().groups) }

// Exceptions returns the exceptions in the order of the text.
func (c Config) Exceptions() []Exception { return slices.Clone(c.dataOrDefaults().exceptions) }

// Drains returns the drains sorted by target.
func (c Config) Drains() []Drain { return slices.Clone(c.dataOrDefaults().drains) }

// Limits returns the effective limits of a group at a service; it reports false if either is unknown.
func (c Config) Limits(service, group string) (Limits, bool) {
	s := c.dataOrDefaults()
	if _, ok := s.servicesByName[service]; !ok || !s.groupSet[group] {
		return Limits{}, false
	}
	if l, ok := s.pairLimits[[2]string{service, group}]; ok {
		return l, true
	}
	if l, ok := s.serviceLimits[service]; ok {
		return l, true
	}
	if l, ok := s.groupLimits[group]; ok {
		return l, true
	}
	return s.defaultLimits, true
}

// Defaults returns the limits that apply where no exception matches.
func (c Config) Defaults() Limits { return c.dataOrDefaults().defaultLimits }

// LongRatio returns the ratio to a service's median cost from which a request counts as long.
func (c Config) LongRatio() float64 { return c.dataOrDefaults().longRatio }

// MaxMovingSlots returns the largest number of slots that may move at the same time.
func (c Config) MaxMovingSlots() int { return c.dataOrDefaults().maxMovingSlots }

// DrainedTargets returns the sorted ids of the targets that operators drain.
func (c Config) DrainedTargets() []string {
	var targets []string
	for _, d := range c.dataOrDefaults().drains {
		targets = append(targets, d.Target)
	}
	return targets
}

// resolveLimits precomputes the limits of each service, group and pair to which exceptions apply.
func (s *configData) resolveLimits() {
	s.serviceLimits, s.groupLimits, s.pairLimits = map[string]Limits{}, map[string]Limits{}, map[[2]string]Limits{}
	for _, e := range s.exceptions {
		switch {
		case e.Service != "" && e.Group == "":
			s.serviceLimits[e.Service] = e.apply(valueOr(s.serviceLimits, e.Service, s.defaultLimits))
		case e.Service == "" && e.Group != "":
			s.groupLimits[e.Group] = e.apply(valueOr(s.groupLimits, e.Group, s.defaultLimits))
		}
	}
	// An exception for a service and one for a group never set the same value, as Parse rejects overlaps,
	// so the order in which they are applied does not matter.
	withoutPairExceptions := func(service, group string) Limits {
		l := s.defaultLimits
		for _, e := range s.exceptions {
			if (e.Service == service && e.Group == "") || (e.Group == group && e.Service == "") {
				l = e.apply(l)
			}
		}
		return l
	}
	for service := range s.serviceLimits {
		for group := range s.groupLimits {
			s.pairLimits[[2]string{service, group}] = withoutPairExceptions(service, group)
		}
	}
	for _, e := range s.exceptions {
		if e.Service == "" || e.Group == "" {
			continue
		}
		pair := [2]string{e.Service, e.Group}
		l, ok := s.pairLimits[pair]
		if !ok {
			l = withoutPairExceptions(e.Service, e.Group)
		}
		s.pairLimits[pair] = e.apply(l)
	}
}

// valueOr returns the value of key in m, or fallback if there is none.
func valueOr[K comparable](m map[K]Limits, key K, fallback Limits) Limits {
	if l, ok := m[key]; ok {
		return l
	}
	return fallback
}

// apply returns l with the settings of the exception, and their source, set.
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

// settingNames returns the names of the settings that the exception overrides.
func (e Exception) settingNames() []string {
	var names []string
	for i, set := range []bool{e.Weight != nil, e.MaxQueue != nil, e.Timeout != nil, e.MaxTimeout != nil, e.MaxBody != nil} {
		if set {
			names = append(names, limitSettings[i])
		}
	}
	return names
}
