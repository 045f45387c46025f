package fulmarsettings

import (
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmartoml"
)

// Listen has the addresses of the listeners, as IP:port.
type Listen struct {
	Callers string
	Data    string // requests between daemons
	Control string // drpc between daemons
	Admin   string // operators' API, probes and metrics
}

// Advertise has the addresses under which peers reach this daemon, where they
// differ from the listeners', and the local address of its own connections.
type Advertise struct {
	Data    string
	Control string
	Source  net.IP // nil if the operating system chooses
}

// Peer has what daemons need to talk to each other.
type Peer struct {
	Key   []byte
	Seeds []string // control addresses
}

// Admin has the key of the operators' API.
type Admin struct {
	Key []byte
}

// Store is the key-value service.
type Store struct {
	Address string // URL
	Timeout time.Duration
}

// Timing has the intervals and timeouts of the coordination protocols.
type Timing struct {
	HeartbeatInterval time.Duration // between heartbeats to a peer
	DownTimeout       time.Duration // silence after which a peer is down
	QuorumLease       time.Duration // of the quorum lease
	GrantTTL          time.Duration // of a grant, after the target's stamp
	RenewInterval     time.Duration // between renewals of a grant
	MaxOrderDeadline  time.Duration // longest deadline of an order to a target that checks no fence
	MaxClockSkew      time.Duration // bound on the difference between clocks
	StaleTimeout      time.Duration // time without being current after which callers are refused
	PlannerLease      time.Duration // of the planner
}

// Settings are the settings of one daemon.
type Settings struct {
	ID        string
	DC        string
	Listen    Listen
	Advertise Advertise
	Peer      Peer
	Admin     Admin
	Store     Store
	Timing    Timing
}

// Fault is one error in a settings file.
type Fault = fulmartoml.Fault

// FaultsError has all faults of a settings file in order of line.
type FaultsError struct{ Faults []Fault }

// Error returns one line for each fault.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return "fulmarsettings: " + strings.Join(lines, "\n")
}

// DefaultTiming returns the timing that applies where a file sets none.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval: 150 * time.Millisecond,
		DownTimeout:       500 * time.Millisecond,
		QuorumLease:       400 * time.Millisecond,
		GrantTTL:          600 * time.Millisecond,
		RenewInterval:     150 * time.Millisecond,
		MaxOrderDeadline:  2 * time.Second,
		MaxClockSkew:      100 * time.Millisecond,
		StaleTimeout:      5 * time.Second,
		PlannerLease:      600 * time.Millisecond,
	}
}

// Bounds of the settings.
const (
	DefaultStoreTimeout = time.Second
	minInterval         = time.Millisecond
	maxInterval         = 10 * time.Minute
	minKey              = 16 // bytes; shorter keys can be guessed
	maxKey              = 128
	maxSeeds            = 64
	maxName             = 128
	maxFile             = 1 << 20
)

// file is the TOML form.
type file struct {
	ID     any `toml:"id"`
	DC     any `toml:"dc"`
	Listen struct {
		Callers any `toml:"callers"`
		Data    any `toml:"data"`
		Control any `toml:"control"`
		Admin   any `toml:"admin"`
	} `toml:"listen"`
	Advertise struct {
		Data    any `toml:"data"`
		Control any `toml:"control"`
		Source  any `toml:"source"`
	} `toml:"advertise"`
	Peer struct {
		Key   any `toml:"key"`
		Seeds any `toml:"seeds"`
	} `toml:"peer"`
	Admin struct {
		Key any `toml:"key"`
	} `toml:"admin"`
	Store struct {
		Address any `toml:"address"`
		Timeout any `toml:"timeout"`
	} `toml:"store"`
	Timing struct {
		Heartbeat any `toml:"heartbeat"`
		Down      any `toml:"down"`
		Window    any `toml:"window"`
		TTL       any `toml:"ttl"`
		Renew     any `toml:"renew"`
		Order     any `toml:"order"`
		Skew      any `toml:"skew"`
		Stale     any `toml:"stale"`
		Lease     any `toml:"lease"`
	} `toml:"timing"`
}

// Load reads the settings file at path.
func Load(path string) (Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "fulmarsettings")
	}
	if info.Size() > maxFile {
		return Settings{}, errors.Errorf("fulmarsettings: %s is larger than %d bytes", path, maxFile)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "fulmarsettings")
	}
	s, err := Parse(text)
	return s, errors.WithMessage(err, path)
}

// Parse reads the TOML form strictly and returns all faults in a *FaultsError.
func Parse(text []byte) (Settings, error) {
	var f file
	r := fulmartoml.New(text, &f)
	if r.DecodeFailed() {
		return Settings{}, &FaultsError{r.Faults()}
	}
	p := parser{r}
	s := Settings{
		ID: p.name("id", f.ID),
		DC: p.name("dc", f.DC),
		Listen: Listen{
			Callers: p.address("listen.callers", f.Listen.Callers),
			Data:    p.address("listen.data", f.Listen.Data),
			Control: p.address("listen.control", f.Listen.Control),
			Admin:   p.address("listen.admin", f.Listen.Admin),
		},
		Advertise: Advertise{
			Data:    p.reachable("advertise.data", f.Advertise.Data, f.Listen.Data),
			Control: p.reachable("advertise.control", f.Advertise.Control, f.Listen.Control),
			Source:  p.ip("advertise.source", f.Advertise.Source),
		},
		Peer:  Peer{Key: p.key("peer.key", f.Peer.Key), Seeds: p.seeds("peer.seeds", f.Peer.Seeds)},
		Admin: Admin{Key: p.key("admin.key", f.Admin.Key)},
		Store: Store{
			Address: p.url("store.address", f.Store.Address),
			Timeout: p.interval("store.timeout", f.Store.Timeout, DefaultStoreTimeout),
		},
		Timing: p.timing(&f),
	}
	p.distinct(s.Listen)
	p.order(s.Timing)
	if faults := r.Faults(); len(faults) > 0 {
		return Settings{}, &FaultsError{faults}
	}
	return s, nil
}

type parser struct{ *fulmartoml.Reader }

func (p parser) timing(f *file) Timing {
	d, t := DefaultTiming(), &f.Timing
	return Timing{
		HeartbeatInterval: p.interval("timing.heartbeat", t.Heartbeat, d.HeartbeatInterval),
		DownTimeout:       p.interval("timing.down", t.Down, d.DownTimeout),
		QuorumLease:       p.interval("timing.window", t.Window, d.QuorumLease),
		GrantTTL:          p.interval("timing.ttl", t.TTL, d.GrantTTL),
		RenewInterval:     p.interval("timing.renew", t.Renew, d.RenewInterval),
		MaxOrderDeadline:  p.interval("timing.order", t.Order, d.MaxOrderDeadline),
		MaxClockSkew:      p.interval("timing.skew", t.Skew, d.MaxClockSkew),
		StaleTimeout:      p.interval("timing.stale", t.Stale, d.StaleTimeout),
		PlannerLease:      p.interval("timing.lease", t.Lease, d.PlannerLease),
	}
}

func (p parser) interval(field string, leaf any, absent time.Duration) time.Duration {
	return p.Duration(field, leaf, absent, minInterval, maxInterval)
}

func (p parser) required(field string, leaf any) (string, bool) {
	s := p.String(field, leaf, "")
	if leaf == nil || leaf == "" {
		p.AddFault(field, "is missing")
	}
	return s, s != ""
}

// name accepts letters, digits, '-', '_' and '.', which need no quoting in keys, headers and labels.
func (p parser) name(field string, leaf any) string {
	s, ok := p.required(field, leaf)
	if !ok {
		return ""
	}
	if len(s) > maxName || strings.Trim(s, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") != "" {
		p.AddFault(field, "%q must be at most %d letters, digits, '-', '_' or '.'", s, maxName)
	}
	return s
}

func (p parser) address(field string, leaf any) string {
	s, ok := p.required(field, leaf)
	if !ok {
		return ""
	}
	p.checkAddress(field, s, true)
	return s
}

func (p parser) checkAddress(field, s string, listen bool) {
	a, err := netip.ParseAddrPort(s)
	switch {
	case err != nil:
		p.AddFault(field, "%q is not an address of the form IP:port", s)
	case !listen && a.Port() == 0:
		p.AddFault(field, "%q has no port", s)
	case !listen && a.Addr().IsUnspecified():
		p.AddFault(field, "%q cannot be contacted: the IP is unspecified", s)
	}
}

// reachable returns the address under which peers reach a listener, which is
// the listener's own unless another one is set.
func (p parser) reachable(field string, leaf, listen any) string {
	if leaf == nil {
		s, _ := listen.(string)
		return s
	}
	s, ok := p.required(field, leaf)
	if ok {
		p.checkAddress(field, s, false)
	}
	return s
}

func (p parser) ip(field string, leaf any) net.IP {
	if leaf == nil {
		return nil
	}
	s, _ := p.required(field, leaf)
	ip := net.ParseIP(s)
	if ip == nil || ip.IsUnspecified() {
		p.AddFault(field, "%q is not the IP of an interface", s)
	}
	return ip
}

func (p parser) seeds(field string, leaf any) []string {
	if leaf == nil {
		return nil
	}
	list, ok := leaf.([]any)
	if !ok {
		p.AddFault(field, "must be an array of addresses")
		return nil
	}
	if len(list) > maxSeeds {
		p.AddFault(field, "has %d addresses: at most %d are allowed", len(list), maxSeeds)
		return nil
	}
	var seeds []string
	for _, item := range list {
		s, ok := item.(string)
		if !ok {
			p.AddFault(field, "must be an array of addresses")
			continue
		}
		p.checkAddress(field, s, false)
		seeds = append(seeds, s)
	}
	return seeds
}

func (p parser) key(field string, leaf any) []byte {
	s, ok := p.required(field, leaf)
	if !ok {
		return nil
	}
	// The value is not repeated in the fault, because faults are logged.
	key, err := hex.DecodeString(s)
	if err != nil {
		p.AddFault(field, "is not hexadecimal")
	} else if len(key) < minKey || len(key) > maxKey {
		p.AddFault(field, "has %d bytes: must have from %d to %d", len(key), minKey, maxKey)
	}
	return key
}

func (p parser) url(field string, leaf any) string {
	s, ok := p.required(field, leaf)
	if !ok {
		return ""
	}
	u, err := url.Parse(s)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		p.AddFault(field, "is not a URL of the form http://IP:port")
		return s
	}
	p.checkAddress(field, u.Host, false)
	return strings.TrimSuffix(s, "/")
}

func (p parser) distinct(l Listen) {
	seen := map[string]string{}
	for _, a := range []struct{ field, address string }{
		{"listen.callers", l.Callers},
		{"listen.data", l.Data},
		{"listen.control", l.Control},
		{"listen.admin", l.Admin},
	} {
		if first, ok := seen[a.address]; ok && !strings.HasSuffix(a.address, ":0") && a.address != "" {
			p.AddFault(a.field, "is the same address as %s", first)
		}
		seen[a.address] = a.field
	}
}

// order checks the relations between durations on which the design's safety and its bounds on unavailable time rest.
func (p parser) order(t Timing) {
	for _, c := range []struct {
		field  string
		holds  bool
		reason string
	}{
		{
			"timing.heartbeat", 2*t.HeartbeatInterval < t.DownTimeout,
			fmt.Sprintf("twice the heartbeat (%v) must be less than down (%v): otherwise one late heartbeat takes a live peer down", t.HeartbeatInterval, t.DownTimeout),
		},
		{
			"timing.heartbeat", 2*t.HeartbeatInterval < t.QuorumLease,
			fmt.Sprintf("twice the heartbeat (%v) must be less than window (%v): otherwise one late answer ends the quorum lease", t.HeartbeatInterval, t.QuorumLease),
		},
		{
			"timing.window", t.QuorumLease < t.GrantTTL,
			fmt.Sprintf("window (%v) must be less than ttl (%v): otherwise a daemon may renew grants for longer than one grant lasts", t.QuorumLease, t.GrantTTL),
		},
		{
			"timing.renew", 2*t.RenewInterval < t.GrantTTL,
			fmt.Sprintf("twice renew (%v) must be less than ttl (%v): otherwise one lost renewal lets the grant lapse", t.RenewInterval, t.GrantTTL),
		},
		{
			"timing.stale", t.QuorumLease < t.StaleTimeout,
			fmt.Sprintf("stale (%v) must be greater than window (%v): otherwise a daemon refuses callers while it may still renew", t.StaleTimeout, t.QuorumLease),
		},
		{
			"timing.skew", 2*t.MaxClockSkew < t.GrantTTL,
			fmt.Sprintf("twice skew (%v) must be less than ttl (%v): otherwise a new horizon outlasts the takeover and refuses fresh ids", t.MaxClockSkew, t.GrantTTL),
		},
		{
			"timing.lease", t.QuorumLease < t.PlannerLease,
			fmt.Sprintf("lease (%v) must be greater than window (%v): otherwise the planner loses its lease before it stops being current", t.PlannerLease, t.QuorumLease),
		},
	} {
		if !c.holds {
			p.AddFault(c.field, "%s", c.reason)
		}
	}
}
