package fulmarconfig

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/fulmarbend/fulmarbend/internal/fulmartoml"
)

// limitValues holds the settings that [defaults] and [[exception]] have in common.
type limitValues struct {
	Weight     any `toml:"weight"`
	Queue      any `toml:"queue"`
	Timeout    any `toml:"timeout"`
	MaxTimeout any `toml:"maxtimeout"`
	Body       any `toml:"body"`
}

// configFile is the structure of the TOML text. All leaves are of type any, so that
// the parser reports a value of the wrong type with its line and field.
type configFile struct {
	Defaults struct {
		limitValues
		Slots  any `toml:"slots"`
		Long   any `toml:"long"`
		Moving any `toml:"moving"`
	} `toml:"defaults"`
	Service []struct {
		Name       any `toml:"name"`
		Slots      any `toml:"slots"`
		Idempotent any `toml:"idempotent"`
	} `toml:"service"`
	Group []struct {
		Name any `toml:"name"`
	} `toml:"group"`
	Exception []struct {
		limitValues
		Name    any `toml:"name"`
		Service any `toml:"service"`
		Group   any `toml:"group"`
		Reason  any `toml:"reason"`
	} `toml:"exception"`
	Drain []struct {
		Target any `toml:"target"`
		Reason any `toml:"reason"`
	} `toml:"drain"`
}

type parser struct {
	*fulmartoml.Reader
	file configFile
	data *configData
}

// Parse reads a configuration in TOML strictly. It returns all errors, with line and field, in a *FaultsError.
func Parse(text []byte) (Config, error) {
	if len(text) > MaxTextSize {
		return Config{}, &FaultsError{[]Fault{{Problem: fmt.Sprintf("text has %d bytes: at most %d are allowed", len(text), MaxTextSize)}}}
	}
	p := parser{data: newConfigData()}
	p.Reader = fulmartoml.New(text, &p.file)
	if !p.DecodeFailed() && p.checkCounts() {
		p.parseDefaults()
		p.parseServices()
		p.parseGroups()
		p.parseExceptions()
		p.parseDrains()
	}
	if faults := p.Faults(); len(faults) > 0 {
		return Config{}, &FaultsError{faults}
	}
	p.data.text = bytes.Clone(text)
	p.data.resolveLimits()
	p.checkTimeouts()
	if faults := p.Faults(); len(faults) > 0 {
		return Config{}, &FaultsError{faults}
	}
	return Config{p.data}, nil
}

// checkCounts checks the number of entries of each list before any entry is read.
func (p *parser) checkCounts() bool {
	within := true
	for _, c := range []struct {
		field  string
		n, max int
	}{
		{"service", len(p.file.Service), maxServices},
		{"group", len(p.file.Group), maxGroups},
		{"exception", len(p.file.Exception), maxExceptions},
		{"drain", len(p.file.Drain), maxDrains},
	} {
		if c.n > c.max {
			p.AddFault(fmt.Sprintf("%s[%d]", c.field, c.max), "there are %d entries: at most %d are allowed", c.n, c.max)
			within = false
		}
	}
	return within
}

func (p *parser) parseDefaults() {
	d, s := &p.file.Defaults, p.data
	s.defaultLimits.Weight = p.Float("defaults.weight", d.Weight, s.defaultLimits.Weight, maxWeight)
	s.defaultLimits.MaxQueue = p.count("defaults.queue", d.Queue, s.defaultLimits.MaxQueue, maxQueue)
	s.defaultLimits.Timeout = p.timeout("defaults.timeout", d.Timeout, s.defaultLimits.Timeout)
	s.defaultLimits.MaxTimeout = p.timeout("defaults.maxtimeout", d.MaxTimeout, s.defaultLimits.MaxTimeout)
	s.defaultLimits.MaxBody = p.Size("defaults.body", d.Body, s.defaultLimits.MaxBody, 1, maxBody)
	s.defaultSlots = p.count("defaults.slots", d.Slots, s.defaultSlots, maxSlots)
	s.longRatio = p.Float("defaults.long", d.Long, s.longRatio, maxLongRatio)
	if s.longRatio <= 1 {
		p.AddFault("defaults.long", "%v is out of bounds: must be greater than 1, or typical work would be long", s.longRatio)
	}
	s.maxMovingSlots = p.count("defaults.moving", d.Moving, s.maxMovingSlots, maxMovingSlots)
	if s.defaultLimits.Timeout > s.defaultLimits.MaxTimeout {
		field := "defaults.timeout"
		if d.Timeout == nil {
			field = "defaults.maxtimeout"
		}
		p.AddFault(field, "timeout %v is greater than maxtimeout %v", s.defaultLimits.Timeout, s.defaultLimits.MaxTimeout)
	}
}

// count reads an integer from 1 to maximum; it returns fallback if there is none.
func (p *parser) count(field string, leaf any, fallback, maximum int) int {
	return int(p.Int(field, leaf, int64(fallback), 1, int64(maximum)))
}

func (p *parser) timeout(field string, leaf any, fallback time.Duration) time.Duration {
	return p.Duration(field, leaf, fallback, minTimeout, maxTimeout)
}

func (p *parser) parseServices() {
	p.data.servicesByName = map[string]Service{}
	lines := map[string]int{}
	for i, e := range p.file.Service {
		field := fmt.Sprintf("service[%d].", i)
		service := Service{
			Name:       p.name(field+"name", e.Name, maxNameLength, lines),
			Slots:      p.count(field+"slots", e.Slots, p.data.defaultSlots, maxSlots),
			Idempotent: p.Bool(field+"idempotent", e.Idempotent, false),
		}
		p.data.services = append(p.data.services, service)
		p.data.servicesByName[service.Name] = service
	}
	slices.SortFunc(p.data.services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
}

func (p *parser) parseGroups() {
	p.data.groupSet = map[string]bool{}
	lines := map[string]int{}
	for i, e := range p.file.Group {
		name := p.name(fmt.Sprintf("group[%d].name", i), e.Name, maxNameLength, lines)
		p.data.groups = append(p.data.groups, name)
		p.data.groupSet[name] = true
	}
	slices.Sort(p.data.groups)
}

// name reads a required name of at most maxLength bytes and rejects duplicates; lines holds the line of each name read so far.
// Names appear in paths, headers and metric labels, so characters that need quoting there are not allowed.
func (p *parser) name(field string, leaf any, maxLength int, lines map[string]int) string {
	s := p.String(field, leaf, "")
	switch {
	case leaf == nil || leaf == "":
		p.AddFault(field, "is missing")
		return ""
	case s == "":
		return ""
	case !isPlainName(s) || len(s) > maxLength:
		p.AddFault(field, "%q must be at most %d letters a-z, digits, '-', '_' or '.', and must not start with '.'", truncate(s), maxLength)
		return s
	}
	if first, ok := lines[s]; ok {
		p.AddFault(field, "%q is a duplicate of line %d", s, first)
	} else {
		lines[s] = p.Line(field)
	}
	return s
}

func isPlainName(s string) bool {
	return strings.Trim(s, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == "" && s[0] != '.'
}

func truncate(s string) string { return s[:min(len(s), maxTargetNameLength)] }

// reason reads a required reason, a single line of text.
func (p *parser) reason(field string, leaf any) string {
	s := p.String(field, leaf, "")
	if leaf == nil || strings.TrimSpace(s) == "" {
		p.AddFault(field, "is missing: state why")
	}
	if utf8.RuneCountInString(s) > maxReasonLength || strings.ContainsFunc(s, unicode.IsControl) {
		p.AddFault(field, "must be one line of at most %d letters", maxReasonLength)
	}
	return s
}

func (p *parser) parseExceptions() {
	names := map[string]int{}
	overlaps := newOverlapDetector()
	for i, e := range p.file.Exception {
		prefix := fmt.Sprintf("exception[%d]", i)
		field := prefix + "."
		x := Exception{
			Name:    p.name(field+"name", e.Name, maxNameLength, names),
			Service: p.String(field+"service", e.Service, ""),
			Group:   p.String(field+"group", e.Group, ""),
			Reason:  p.reason(field+"reason", e.Reason),
		}
		p.limitValues(&x, field, e.limitValues)
		if e.Service != nil && x.Service == "" || x.Service != "" && p.data.servicesByName[x.Service].Name == "" {
			p.AddFault(field+"service", "unknown service %q", truncate(x.Service))
		}
		if e.Group != nil && x.Group == "" || x.Group != "" && !p.data.groupSet[x.Group] {
			p.AddFault(field+"group", "unknown group %q", truncate(x.Group))
		}
		if e.Service == nil && e.Group == nil {
			p.AddFault(prefix, "names neither a service nor a group")
		}
		if e.limitValues == (limitValues{}) {
			p.AddFault(prefix, "sets no value")
		}
		for _, name := range x.settingNames() {
			if other, ok := overlaps.add(name, x); ok {
				p.AddFault(field+name, "overlaps with exception %q, which is equally specific", other)
			}
		}
		p.data.exceptions = append(p.data.exceptions, x)
	}
}

func (p *parser) limitValues(x *Exception, field string, v limitValues) {
	// A value that does not parse is reported as an error, so the default returned for it is never used.
	if v.Weight != nil {
		w := p.Float(field+SettingWeight, v.Weight, DefaultWeight, maxWeight)
		x.Weight = &w
	}
	if v.Queue != nil {
		q := p.count(field+SettingQueue, v.Queue, DefaultMaxQueue, maxQueue)
		x.MaxQueue = &q
	}
	if v.Timeout != nil {
		t := p.timeout(field+SettingTimeout, v.Timeout, DefaultTimeout)
		x.Timeout = &t
	}
	if v.MaxTimeout != nil {
		t := p.timeout(field+SettingMaxTimeout, v.MaxTimeout, DefaultMaxTimeout)
		x.MaxTimeout = &t
	}
	if v.Body != nil {
		b := p.Size(field+SettingBody, v.Body, DefaultMaxBody, 1, maxBody)
		x.MaxBody = &b
	}
}

// overlapDetector finds exceptions that are equally specific and override the same setting.
type overlapDetector struct {
	exceptions                         map[[3]string]string // by setting, service and group: name of the exception
	serviceExceptions, groupExceptions map[string]string    // by setting: name of an exception for a service only, or for a group only
}

func newOverlapDetector() overlapDetector {
	return overlapDetector{map[[3]string]string{}, map[string]string{}, map[string]string{}}
}

// add records that the exception overrides a setting; it returns the name of an exception that overlaps, if any.
func (o overlapDetector) add(setting string, e Exception) (other string, ok bool) {
	key := [3]string{setting, e.Service, e.Group}
	if other, ok = o.exceptions[key]; ok {
		return other, true
	}
	o.exceptions[key] = e.Name
	switch {
	case e.Service != "" && e.Group == "":
		o.serviceExceptions[setting] = e.Name
		other, ok = o.groupExceptions[setting]
	case e.Service == "" && e.Group != "":
		o.groupExceptions[setting] = e.Name
		other, ok = o.serviceExceptions[setting]
	}
	return other, ok
}

func (p *parser) parseDrains() {
	lines := map[string]int{}
	for i, e := range p.file.Drain {
		field := fmt.Sprintf("drain[%d].", i)
		p.data.drains = append(p.data.drains, Drain{
			Target: p.name(field+"target", e.Target, maxTargetNameLength, lines),
			Reason: p.reason(field+"reason", e.Reason),
		})
	}
	slices.SortFunc(p.data.drains, func(a, b Drain) int { return strings.Compare(a.Target, b.Target) })
}

// checkTimeouts reports exceptions that make an effective timeout greater than its maxtimeout.
func (p *parser) checkTimeouts() {
	for i, e := range p.data.exceptions {
		if e.Timeout == nil && e.MaxTimeout == nil {
			continue
		}
		field := fmt.Sprintf("exception[%d].%s", i, SettingTimeout)
		if e.Timeout == nil {
			field = fmt.Sprintf("exception[%d].%s", i, SettingMaxTimeout)
		}
		p.checkExceptionTimeouts(field, e)
	}
}

// checkExceptionTimeouts checks the timeouts of each service and group that the exception applies to.
func (p *parser) checkExceptionTimeouts(field string, e Exception) {
	services, groups := []string{e.Service}, []string{e.Group}
	if e.Service == "" {
		services = nil
		for _, s := range p.data.services {
			services = append(services, s.Name)
		}
	}
	if e.Group == "" {
		groups = p.data.groups
	}
	for _, service := range services {
		for _, group := range groups {
			l, ok := (Config{p.data}).Limits(service, group)
			if ok && l.Timeout > l.MaxTimeout {
				p.AddFault(field, "timeout %v is greater than maxtimeout %v for group %q at service %q", l.Timeout, l.MaxTimeout, group, service)
				return
			}
		}
	}
}
