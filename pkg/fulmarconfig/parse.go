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

// values are the settings that defaults and exceptions share.
type values struct {
	Weight     any `toml:"weight"`
	Queue      any `toml:"queue"`
	Timeout    any `toml:"timeout"`
	MaxTimeout any `toml:"maxtimeout"`
	Body       any `toml:"body"`
}

// file is the TOML form.
type file struct {
	Defaults struct {
		values
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
		values
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
	f file
	s *state
}

// Parse reads the TOML form strictly and returns all faults with line and field in a *FaultsError.
func Parse(text []byte) (Config, error) {
	if len(text) > MaxTextSize {
		return Config{}, &FaultsError{[]Fault{{Problem: fmt.Sprintf("text has %d bytes: at most %d are allowed", len(text), MaxTextSize)}}}
	}
	p := parser{s: defaults()}
	p.Reader = fulmartoml.New(text, &p.f)
	if !p.DecodeFailed() && p.counts() {
		p.defaults()
		p.services()
		p.groups()
		p.exceptions()
		p.drains()
	}
	if faults := p.Faults(); len(faults) > 0 {
		return Config{}, &FaultsError{faults}
	}
	p.s.text = bytes.Clone(text)
	p.s.resolve()
	p.timeouts()
	if faults := p.Faults(); len(faults) > 0 {
		return Config{}, &FaultsError{faults}
	}
	return Config{p.s}, nil
}

// counts bounds the lists before any of them is read.
func (p *parser) counts() bool {
	within := true
	for _, c := range []struct {
		field  string
		n, max int
	}{
		{"service", len(p.f.Service), maxServices},
		{"group", len(p.f.Group), maxGroups},
		{"exception", len(p.f.Exception), maxExceptions},
		{"drain", len(p.f.Drain), maxDrains},
	} {
		if c.n > c.max {
			p.AddFault(fmt.Sprintf("%s[%d]", c.field, c.max), "there are %d entries: at most %d are allowed", c.n, c.max)
			within = false
		}
	}
	return within
}

func (p *parser) defaults() {
	d, s := &p.f.Defaults, p.s
	s.limits.Weight = p.Float("defaults.weight", d.Weight, s.limits.Weight, maxWeight)
	s.limits.MaxQueue = p.int("defaults.queue", d.Queue, s.limits.MaxQueue, maxQueue)
	s.limits.Timeout = p.timeout("defaults.timeout", d.Timeout, s.limits.Timeout)
	s.limits.MaxTimeout = p.timeout("defaults.maxtimeout", d.MaxTimeout, s.limits.MaxTimeout)
	s.limits.MaxBody = p.Size("defaults.body", d.Body, s.limits.MaxBody, 1, maxBody)
	s.slots = p.int("defaults.slots", d.Slots, s.slots, maxSlots)
	s.long = p.Float("defaults.long", d.Long, s.long, maxLong)
	if s.long <= 1 {
		p.AddFault("defaults.long", "%v is out of bounds: must be greater than 1, or typical work would be long", s.long)
	}
	s.moving = p.int("defaults.moving", d.Moving, s.moving, maxMoving)
	if s.limits.Timeout > s.limits.MaxTimeout {
		field := "defaults.timeout"
		if d.Timeout == nil {
			field = "defaults.maxtimeout"
		}
		p.AddFault(field, "timeout %v is greater than maxtimeout %v", s.limits.Timeout, s.limits.MaxTimeout)
	}
}

// int returns a leaf as a count from 1 to high.
func (p *parser) int(field string, leaf any, absent, high int) int {
	return int(p.Int(field, leaf, int64(absent), 1, int64(high)))
}

func (p *parser) timeout(field string, leaf any, absent time.Duration) time.Duration {
	return p.Duration(field, leaf, absent, minTimeout, maxTimeout)
}

func (p *parser) services() {
	p.s.serviceSet = map[string]Service{}
	lines := map[string]int{}
	for i, e := range p.f.Service {
		field := fmt.Sprintf("service[%d].", i)
		service := Service{
			Name:       p.name(field+"name", e.Name, maxName, lines),
			Slots:      p.int(field+"slots", e.Slots, p.s.slots, maxSlots),
			Idempotent: p.Bool(field+"idempotent", e.Idempotent, false),
		}
		p.s.services = append(p.s.services, service)
		p.s.serviceSet[service.Name] = service
	}
	slices.SortFunc(p.s.services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
}

func (p *parser) groups() {
	p.s.groupSet = map[string]bool{}
	lines := map[string]int{}
	for i, e := range p.f.Group {
		name := p.name(fmt.Sprintf("group[%d].name", i), e.Name, maxName, lines)
		p.s.groups = append(p.s.groups, name)
		p.s.groupSet[name] = true
	}
	slices.Sort(p.s.groups)
}

// name reads a required name and refuses a second use; lines has the line of the first use.
// Names appear in paths, headers and metric labels, so they have no character that needs quoting.
func (p *parser) name(field string, leaf any, most int, lines map[string]int) string {
	s := p.String(field, leaf, "")
	switch {
	case leaf == nil || leaf == "":
		p.AddFault(field, "is missing")
		return ""
	case s == "":
		return ""
	case !plain(s) || len(s) > most:
		p.AddFault(field, "%q must be at most %d letters a-z, digits, '-', '_' or '.', and must not start with '.'", clip(s), most)
		return s
	}
	if first, ok := lines[s]; ok {
		p.AddFault(field, "%q is a duplicate of line %d", s, first)
	} else {
		lines[s] = p.Line(field)
	}
	return s
}

func plain(s string) bool {
	return strings.Trim(s, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == "" && s[0] != '.'
}

func clip(s string) string { return s[:min(len(s), maxTargetName)] }

// reason reads a required reason of one line.
func (p *parser) reason(field string, leaf any) string {
	s := p.String(field, leaf, "")
	if leaf == nil || strings.TrimSpace(s) == "" {
		p.AddFault(field, "is missing: state why")
	}
	if utf8.RuneCountInString(s) > maxReason || strings.ContainsFunc(s, unicode.IsControl) {
		p.AddFault(field, "must be one line of at most %d letters", maxReason)
	}
	return s
}

func (p *parser) exceptions() {
	names := map[string]int{}
	set := newOverlaps()
	for i, e := range p.f.Exception {
		prefix := fmt.Sprintf("exception[%d]", i)
		field := prefix + "."
		x := Exception{
			Name:    p.name(field+"name", e.Name, maxName, names),
			Service: p.String(field+"service", e.Service, ""),
			Group:   p.String(field+"group", e.Group, ""),
			Reason:  p.reason(field+"reason", e.Reason),
		}
		p.values(&x, field, e.values)
		if e.Service != nil && x.Service == "" || x.Service != "" && p.s.serviceSet[x.Service].Name == "" {
			p.AddFault(field+"service", "unknown service %q", clip(x.Service))
		}
		if e.Group != nil && x.Group == "" || x.Group != "" && !p.s.groupSet[x.Group] {
			p.AddFault(field+"group", "unknown group %q", clip(x.Group))
		}
		if e.Service == nil && e.Group == nil {
			p.AddFault(prefix, "names neither a service nor a group")
		}
		if e.values == (values{}) {
			p.AddFault(prefix, "sets no value")
		}
		for _, name := range x.sets() {
			if other, ok := set.add(name, x); ok {
				p.AddFault(field+name, "overlaps with exception %q, which is equally specific", other)
			}
		}
		p.s.exceptions = append(p.s.exceptions, x)
	}
}

func (p *parser) values(x *Exception, field string, v values) {
	// A value that does not parse has a fault, so what it is taken for does not matter.
	if v.Weight != nil {
		w := p.Float(field+SettingWeight, v.Weight, DefaultWeight, maxWeight)
		x.Weight = &w
	}
	if v.Queue != nil {
		q := p.int(field+SettingQueue, v.Queue, DefaultMaxQueue, maxQueue)
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

// overlaps finds exceptions that set one value and are equally specific.
type overlaps struct {
	exact            map[[3]string]string // by setting, service and group: name of the exception
	services, groups map[string]string    // by setting: an exception that names only a service, only a group
}

func newOverlaps() overlaps {
	return overlaps{map[[3]string]string{}, map[string]string{}, map[string]string{}}
}

func (o overlaps) add(setting string, e Exception) (other string, ok bool) {
	key := [3]string{setting, e.Service, e.Group}
	if other, ok = o.exact[key]; ok {
		return other, true
	}
	o.exact[key] = e.Name
	switch {
	case e.Service != "" && e.Group == "":
		o.services[setting] = e.Name
		other, ok = o.groups[setting]
	case e.Service == "" && e.Group != "":
		o.groups[setting] = e.Name
		other, ok = o.services[setting]
	}
	return other, ok
}

func (p *parser) drains() {
	lines := map[string]int{}
	for i, e := range p.f.Drain {
		field := fmt.Sprintf("drain[%d].", i)
		p.s.drains = append(p.s.drains, Drain{
			Target: p.name(field+"target", e.Target, maxTargetName, lines),
			Reason: p.reason(field+"reason", e.Reason),
		})
	}
	slices.SortFunc(p.s.drains, func(a, b Drain) int { return strings.Compare(a.Target, b.Target) })
}

// timeouts refuses exceptions after which a timeout is greater than its bound.
func (p *parser) timeouts() {
	for i, e := range p.s.exceptions {
		if e.Timeout == nil && e.MaxTimeout == nil {
			continue
		}
		field := fmt.Sprintf("exception[%d].%s", i, SettingTimeout)
		if e.Timeout == nil {
			field = fmt.Sprintf("exception[%d].%s", i, SettingMaxTimeout)
		}
		p.checkTimeouts(field, e)
	}
}

func (p *parser) checkTimeouts(field string, e Exception) {
	services, groups := []string{e.Service}, []string{e.Group}
	if e.Service == "" {
		services = nil
		for _, s := range p.s.services {
			services = append(services, s.Name)
		}
	}
	if e.Group == "" {
		groups = p.s.groups
	}
	for _, service := range services {
		for _, group := range groups {
			l, ok := (Config{p.s}).Limits(service, group)
			if ok && l.Timeout > l.MaxTimeout {
				p.AddFault(field, "timeout %v is greater than maxtimeout %v for group %q at service %q", l.Timeout, l.MaxTimeout, group, service)
				return
			}
		}
	}
}
