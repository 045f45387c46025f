package fulmartrial

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/internal/fulmarplatform"
	"github.com/fulmarbend/fulmarbend/internal/fulmarprocess"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarconfig"
	"github.com/fulmarbend/fulmarbend/pkg/fulmargrant"
)

const (
	readyWithin  = 60 * time.Second
	settleWithin = 90 * time.Second
	// settled is how long nothing may change before a fleet counts as at rest;
	// it exceeds the time after which a better-ranked daemon is handed a target.
	settled   = 7 * time.Second
	pollEvery = 100 * time.Millisecond
	listLag   = time.Second
	keyBytes  = 32
	configKey = "/v1/kv/fulmarbend/config"
)

var centres = []string{"odda", "norheimsund", "eidfjord"}

// service is a service of a fleet.
type service struct {
	name       string
	targets    int
	slots      int
	idempotent bool
}

// plan describes a fleet.
type plan struct {
	daemons  int
	services []service
	groups   []string
	queue    int
	timing   string // lines of the daemons' [timing] settings
}

// member is a daemon of a fleet.
type member struct {
	id, settings                  string
	callers, data, control, admin string
	process                       *fulmarprocess.Process
}

// target is a target of a fleet.
type target struct {
	id, address, history string
	process              *fulmarprocess.Process
}

// fleet is the running processes of one plan.
type fleet struct {
	plan     plan
	daemon   string // path of the program
	folder   string
	key      string
	platform string // host:port
	store    *fulmarprocess.Process
	members  []*member
	targets  []*target
}

// start starts a fleet in folder and waits until it is at rest. The caller
// stops it also after an error.
func (f *fleet) start(ctx context.Context) error {
	if err := os.MkdirAll(f.folder, 0o700); err != nil {
		return errors.Wrap(err, "fulmartrial: create folder")
	}
	b := make([]byte, keyBytes)
	_, _ = rand.Read(b) // never fails, as crypto/rand documents
	f.key = hex.EncodeToString(b)
	for _, step := range []func(context.Context) error{
		f.startPlatform, f.startTargets, f.startDaemons, f.settle,
	} {
		if err := step(ctx); err != nil {
			return errors.Wrapf(err, "see %s", f.folder)
		}
	}
	return nil
}

// stop ends the fleet's processes, the daemons first.
func (f *fleet) stop() {
	var daemons, targets []*fulmarprocess.Process
	for _, m := range f.members {
		if m.process != nil {
			daemons = append(daemons, m.process)
		}
	}
	for _, t := range f.targets {
		targets = append(targets, t.process)
	}
	if f.store != nil {
		targets = append(targets, f.store)
	}
	// A graceful shutdown of a whole fleet has nobody to hand over to.
	for _, p := range daemons {
		p.Kill()
	}
	stop(append(daemons, targets...))
}

// lab starts a stand-in from this program.
func (f *fleet) lab(name string, args ...string) (*fulmarprocess.Process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, errors.Wrap(err, "fulmartrial: find this program")
	}
	return fulmarprocess.Start(filepath.Join(f.folder, name+".log"), nil, self, args...)
}

func (f *fleet) startPlatform(ctx context.Context) error {
	var err error
	if f.platform, err = freeAddress(ctx); err != nil {
		return err
	}
	f.store, err = f.lab("platform", "platform", "--listen", f.platform, "--lag", listLag.String())
	if err != nil {
		return err
	}
	if err := await(ctx, "http://"+f.platform+"/lab/counts"); err != nil {
		return err
	}
	return f.putConfig(ctx, 1, 0)
}

// putConfig writes a version of the configuration by compare-and-swap on index.
func (f *fleet) putConfig(ctx context.Context, version, index uint64) error {
	var text bytes.Buffer
	fmt.Fprintf(&text, "[defaults]\nweight = 1.0\nqueue = %d\ntimeout = \"2s\"\nmaxtimeout = \"30s\"\n"+
		"body = \"1MiB\"\nslots = 64\nlong = 8.0\nmoving = 64\n", f.plan.queue)
	for _, s := range f.plan.services {
		fmt.Fprintf(&text, "\n[[service]]\nname = %q\nslots = %d\nidempotent = %t\n", s.name, s.slots, s.idempotent)
	}
	for _, g := range f.plan.groups {
		fmt.Fprintf(&text, "\n[[group]]\nname = %q\n", g)
	}
	value, err := cbor.Marshal(fulmarconfig.Versioned{
		Version: version, OperationID: uuid.NewString(), Author: "fulmarlab", Text: text.Bytes(),
	})
	if err != nil {
		return errors.Wrap(err, "fulmartrial: encode configuration")
	}
	answer, err := f.call(ctx, http.MethodPut, fmt.Sprintf("%s?cas=%d", configKey, index), value)
	if err == nil && strings.TrimSpace(string(answer)) != "true" {
		err = errors.Errorf("fulmartrial: configuration version %d was answered by %q", version, answer)
	}
	return err
}

// configIndex returns the index of the stored configuration.
func (f *fleet) configIndex(ctx context.Context) (uint64, error) {
	answer, err := f.call(ctx, http.MethodGet, configKey, nil)
	if err != nil {
		return 0, err
	}
	var pairs []struct{ ModifyIndex uint64 }
	if err := json.Unmarshal(answer, &pairs); err != nil || len(pairs) != 1 {
		return 0, errors.Errorf("fulmartrial: unexpected value %q", answer)
	}
	return pairs[0].ModifyIndex, nil
}

func (f *fleet) startTargets(ctx context.Context) error {
	for _, s := range f.plan.services {
		for i := range s.targets {
			id := fmt.Sprintf("%s-%d", s.name, i+1)
			t, err := f.startTarget(ctx, id, s.name, true)
			if err != nil {
				return err
			}
			f.targets = append(f.targets, t)
			err = f.register(ctx, "fulmarbend-target", id, t.address, map[string]string{
				"service": s.name, "state": "live", "dc": centres[i%len(centres)],
			})
			if err != nil {
				return err
			}
		}
	}
	for _, t := range f.targets {
		if err := await(ctx, "http://"+t.address+"/fulmarbend/grant"); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startTarget(ctx context.Context, id, service string, fenced bool) (*target, error) {
	address, err := freeAddress(ctx)
	if err != nil {
		return nil, err
	}
	t := &target{id: id, address: address, history: filepath.Join(f.folder, id+".jsonl")}
	t.process, err = f.lab(id, "target", "--listen", address, "--id", id, "--service", service,
		"--history", t.history, "--fenced="+strconv.FormatBool(fenced))
	return t, err
}

func (f *fleet) startDaemons(ctx context.Context) error {
	for i := range f.plan.daemons {
		m := &member{id: fmt.Sprintf("daemon-%d", i+1)}
		for _, address := range []*string{&m.callers, &m.data, &m.control, &m.admin} {
			var err error
			if *address, err = freeAddress(ctx); err != nil {
				return err
			}
		}
		f.members = append(f.members, m)
	}
	for i, m := range f.members {
		dc := centres[i%len(centres)]
		m.settings = filepath.Join(f.folder, m.id+".toml")
		if err := os.WriteFile(m.settings, f.settings(m, dc), 0o600); err != nil {
			return errors.Wrap(err, "fulmartrial: write settings")
		}
		err := f.register(ctx, "fulmarbend-instance", m.id, m.callers, map[string]string{
			"control": m.control, "data": m.data, "state": "live", "dc": dc,
		})
		if err != nil {
			return err
		}
		if err := f.restart(m); err != nil {
			return err
		}
	}
	for _, m := range f.members {
		if err := await(ctx, "http://"+m.admin+"/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// restart starts a daemon's process, for the first time or again.
func (f *fleet) restart(m *member) error {
	var err error
	m.process, err = fulmarprocess.Start(f.log(m), nil, f.daemon, "serve", "--settings", m.settings)
	return err
}

func (f *fleet) log(m *member) string { return filepath.Join(f.folder, m.id+".log") }

// settings returns a daemon's settings file.
func (f *fleet) settings(m *member, dc string) []byte {
	return fmt.Appendf(nil, "id = %q\ndc = %q\n\n[listen]\ncallers = %q\ndata = %q\ncontrol = %q\nadmin = %q\n\n"+
		"[peer]\nkey = %q\nseeds = [%q]\n\n[admin]\nkey = %q\n\n[store]\naddress = %q\ntimeout = \"1s\"\n\n[timing]\n%s\n",
		m.id, dc, m.callers, m.data, m.control, m.admin, f.key, f.members[0].control, f.key, "http://"+f.platform, f.plan.timing)
}

// register adds a server to the platform's list.
func (f *fleet) register(ctx context.Context, name, id, address string, meta map[string]string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Wrap(err, "fulmartrial: split address")
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return errors.Wrap(err, "fulmartrial: parse port")
	}
	body, err := json.Marshal(fulmarplatform.Service{ID: id, Name: name, Address: host, Port: n, Meta: meta})
	if err != nil {
		return errors.Wrap(err, "fulmartrial: encode registration")
	}
	_, err = f.call(ctx, http.MethodPut, "/v1/agent/service/register", body)
	return err
}

// call makes a call to the platform.
func (f *fleet) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	return exchange(ctx, method, "http://"+f.platform+path, body)
}

// setFault puts a fault of the key-value service in force.
func (f *fleet) setFault(ctx context.Context, fault fulmarplatform.Fault) error {
	body, err := json.Marshal(fault)
	if err != nil {
		return errors.Wrap(err, "fulmartrial: encode fault")
	}
	_, err = f.call(ctx, http.MethodPut, "/lab/fault", body)
	return err
}

// counts returns the numbers of calls to the key-value service.
func (f *fleet) counts(ctx context.Context) (fulmarplatform.Counts, error) {
	var c fulmarplatform.Counts
	b, err := f.call(ctx, http.MethodGet, "/lab/counts", nil)
	if err != nil {
		return c, err
	}
	return c, errors.Wrap(json.Unmarshal(b, &c), "fulmartrial: decode counts")
}

// state returns a target's own state.
func (t *target) state(ctx context.Context) (fulmargrant.State, error) {
	var s fulmargrant.State
	b, err := exchange(ctx, http.MethodGet, "http://"+t.address+"/fulmarbend/grant", nil)
	if err != nil {
		return s, err
	}
	return s, errors.Wrap(json.Unmarshal(b, &s), "fulmartrial: decode state")
}

// holder returns the daemon that holds a target's grant.
func (f *fleet) holder(ctx context.Context, t *target) (*member, error) {
	s, err := t.state(ctx)
	if err != nil {
		return nil, err
	}
	id, _, _ := strings.Cut(s.Holder, "/")
	for _, m := range f.members {
		if m.id == id && s.Remaining > 0 {
			return m, nil
		}
	}
	return nil, errors.Errorf("fulmartrial: %s has no holder", t.id)
}

// planner returns the daemon that plans.
func (f *fleet) planner(ctx context.Context) (*member, error) {
	for _, m := range f.members {
		got, err := m.scrape(ctx)
		if err != nil {
			return nil, err
		}
		if got["fulmarbend_planner"] == 1 {
			return m, nil
		}
	}
	return nil, errors.New("fulmartrial: no daemon plans")
}

// settle waits until every target has a holder and the holders and the epoch
// have not changed for a while.
func (f *fleet) settle(ctx context.Context) error {
	limit := time.Now().Add(settleWithin)
	var last string
	since := time.Now()
	for time.Now().Before(limit) {
		var b strings.Builder
		whole := true
		for _, t := range f.targets {
			s, err := t.state(ctx)
			if err != nil {
				return err
			}
			whole = whole && s.Remaining > 0
			fmt.Fprintln(&b, s.Holder, s.Epoch)
		}
		if now := b.String(); now != last || !whole {
			last, since = now, time.Now()
		}
		if time.Since(since) > settled {
			return nil
		}
		if err := pause(ctx, pollEvery); err != nil {
			return err
		}
	}
	return errors.New("fulmartrial: the fleet does not come to rest")
}

// scrape returns a daemon's metrics that have no labels.
func (m *member) scrape(ctx context.Context) (map[string]float64, error) {
	b, err := exchange(ctx, http.MethodGet, "http://"+m.admin+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	return parse(string(b)), nil
}

// parse returns the values of the lines without labels.
func parse(text string) map[string]float64 {
	got := map[string]float64{}
	for line := range strings.Lines(text) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		if n, err := strconv.ParseFloat(value, 64); err == nil {
			got[name] = n
		}
	}
	return got
}

func exchange(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "fulmartrial: call")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "fulmartrial: call")
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode/100 != 2 {
		err = errors.Errorf("status %d: %s", resp.StatusCode, b)
	}
	return b, errors.Wrap(err, "fulmartrial: call")
}

// await polls url until it answers 200.
func await(ctx context.Context, url string) error {
	limit := time.Now().Add(readyWithin)
	for {
		_, err := exchange(ctx, http.MethodGet, url, nil)
		if err == nil || time.Now().After(limit) {
			return err
		}
		if err := pause(ctx, pollEvery); err != nil {
			return err
		}
	}
}

// pause waits for d, or returns the error of ctx.
func pause(ctx context.Context, d time.Duration) error {
	if !fulmarclock.Sleep(ctx, d) {
		return errors.Wrap(ctx.Err(), "fulmartrial")
	}
	return nil
}
