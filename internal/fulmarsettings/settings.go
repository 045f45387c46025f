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

// Listen holds the addresses of the listeners, as IP:port.
type Listen struct {
	Callers string // requests from callers
	Data    string // requests forwarded between daemons
	Control string // drpc calls between daemons
	Admin   string // operators' API, health checks and metrics
}

// Advertise holds the addresses at which peers reach this daemon, which default
// to those of the listeners, and the source address of its own connections.
type Advertise struct {
	Data    string
	Control string
	Source  net.IP // nil if the operating system chooses
}

// Peer holds the shared key of the daemons and the peers to contact first.
type Peer struct {
	Key   []byte
	Seeds []string // control addresses as IP:port
}

// Admin holds the key of the operators' API.
type Admin struct {
	Key []byte
}

// Store holds the address of the key-value service and the timeout of its calls.
type Store struct {
	Address string // URL
	Timeout time.Duration
}

// Timing holds the intervals and timeouts of the coordination protocols.
type Timing struct {
	HeartbeatInterval time.Duration // interval between heartbeats to a peer
	DownTimeout       time.Duration // time without a heartbeat after which a peer counts as down
	QuorumLease       time.Duration // duration of the quorum lease
	GrantTTL          time.Duration // duration of a grant, from the target's timestamp
	RenewInterval     time.Duration // interval between renewals of a grant
	MaxOrderDeadline  time.Duration // longest deadline of a request to a target that does not check fencing tokens
	MaxClockSkew      time.Duration // bound on the clock difference between instances
	StaleTimeout      time.Duration // time without the quorum lease after which callers are refused
	PlannerLease      time.Duration // duration of the planner's lease
}

// Settings holds the settings of one daemon.
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

// FaultsError holds all faults of a settings file, ordered by line.
type FaultsError struct{ Faults []Fault }

// Error formats the faults, one per line.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return "fulmarsettings: " + strings.Join(lines, "\n")
}

// DefaultTiming returns the values of the [timing] settings that a file does not set.
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

// Defaults and bounds of the settings.
const (
	DefaultStoreTimeout = time.Second
	minInterval         = time.Millisecond
	maxInterval         = 10 * time.Minute
	minKeyLen           = 16  // bytes; shorter keys can be guessed
	maxKeyLen           = 128 // bytes
	maxSeeds            = 64
	maxNameLen          = 128     // bytes
	maxFileSize         = 1 << 20 // bytes
)

// tomlFile mirrors the structure of the TOML file.
type tomlFile struct {
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
	if info.Size() > maxFileSize {
		return Settings{}, errors.Errorf("fulmarsettings: %s is larger than %d bytes", path, maxFileSize)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "fulmarsettings")
	}
	s, err := Parse(text)
	return s, errors.WithMessage(err, path)
}

// Parse parses a settings file strictly and returns all its faults in a *FaultsError.
func Parse(text []byte) (Settings, error) {
	var f tomlFile
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
			Data:    p.advertisedAddress("advertise.data", f.Advertise.Data, f.Listen.Data),
			Control: p.advertisedAddress("advertise.control", f.Advertise.Control, f.Listen.Control),
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
	p.checkDistinctListeners(s.Listen)
	p.checkTimingRelations(s.Timing)
	if faults := r.Faults(); len(faults) > 0 {
		return Settings{}, &FaultsError{faults}
	}
	return s, nil
}

type parser struct{ *fulmartoml.Reader }

func (p parser) timing(f *tomlFile) Timing {
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

func (p parser) interval(field string, leaf any, defaultValue time.Duration) time.Duration {
	return p.Duration(field, leaf, defaultValue, minInterval, maxInterval)
}

func (p parser) required(field string, leaf any) (string, bool) {
	s := p.String(field, leaf, "")
	if leaf == nil || leaf == "" {
		p.AddFault(field, "is missing")
	}
	return s, s != ""
}

// name accepts only letters, digits, '-', '_' and '.', which need no quoting in stored keys, headers and metric labels.
func (p parser) name(field string, leaf any) string {
	s, ok := p.required(field, leaf)
	if !ok {
		return ""
	}
	if len(s) > maxNameLen || strings.Trim(s, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") != "" {
		p.AddFault(field, "%q must be at most %d letters, digits, '-', '_' or '.'", s, maxNameLen)
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

// advertisedAddress returns the address at which peers reach a listener. It
// defaults to the listener's own.
func (p parser) advertisedAddress(field string, leaf, listen any) string {
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
	// Faults are logged, so they must not contain the key.
	key, err := hex.DecodeString(s)
	if err != nil {
		p.AddFault(field, "is not hexadecimal")
	} else if len(key) < minKeyLen || len(key) > maxKeyLen {
		p.AddFault(field, "has %d bytes: must have from %d to %d", len(key), minKeyLen, maxKeyLen)
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

func (p parser) checkDistinctListeners(l Listen) {
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

// checkTimingRelations checks the relations between durations that safety and the bounds on unavailability depend on.
func (p parser) checkTimingRelations(t Timing) {
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
			fmt.Sprintf("twice skew (%v) must be less than ttl (%v): otherwise the deduplication horizon still refuses new request ids after a takeover", t.MaxClockSkew, t.GrantTTL),
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
