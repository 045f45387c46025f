package fulmardemo

import (
	"bytes"
	"context"
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

	"github.com/fulmarbend/fulmarbend/internal/fulmarhistory"
	"github.com/fulmarbend/fulmarbend/internal/fulmarload"
	"github.com/fulmarbend/fulmarbend/internal/fulmarplatform"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarconfig"
)

const pollEvery = 50 * time.Millisecond

// service is a service of a deployment with its targets and load.
type service struct {
	name       string
	targets    int
	slots      int
	idempotent bool
	fenced     bool
	rate       float64 // requests a second of each group
	long       float64 // share of long requests
}

// deployment is one of the two users, at a small size.
type deployment struct {
	name     string
	centres  []string
	groups   []string
	services []service
}

var deployments = []deployment{
	{
		name:    "hardanger",
		centres: []string{"odda", "norheimsund", "eidfjord"},
		groups:  []string{"ferries", "clinics"},
		services: []service{
			{name: "rota-board", targets: 4, slots: 64, idempotent: true, fenced: true, rate: 100},
			{name: "shift-desk", targets: 3, slots: 32, fenced: true, rate: 60},
			{name: "pay-desk", targets: 2, slots: 16, fenced: true, rate: 40, long: 0.02},
		},
	},
	{
		name:    "osierbank",
		centres: []string{"weir", "quay", "mill", "lock"},
		groups:  []string{"grocers", "carriers"},
		services: []service{
			{name: "bundle-catalogue", targets: 4, slots: 64, idempotent: true, fenced: true, rate: 100},
			{name: "order-desk", targets: 3, slots: 32, fenced: true, rate: 60},
			{name: "carter-book", targets: 2, slots: 16, fenced: true, rate: 40, long: 0.02},
		},
	},
}

// member is a daemon of a fleet.
type member struct {
	id, dc                        string
	callers, data, control, admin string
	process                       *process
}

// fleet is one running deployment.
type fleet struct {
	demo       *Demo
	deployment deployment
	daemon     string // path of the program
	folder     string
	seed       uint64
	platform   string // host:port
	members    []*member
	targets    []*process
	names      []string // of the targets
	histories  []string
	peerKey    string
	adminKey   string
}

// start starts the processes and waits until the daemons are ready.
func (f *fleet) start(ctx context.Context) error {
	if err := os.MkdirAll(f.folder, 0o700); err != nil {
		return errors.Wrap(err, "fulmardemo: create folder")
	}
	f.peerKey, f.adminKey = secret(), secret()
	for _, step := range []func(context.Context) error{
		f.startPlatform, f.putConfig, f.startTargets, f.startDaemons,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	for _, m := range f.members {
		if err := f.await(ctx, "http://"+m.admin+"/readyz"); err != nil {
			return errors.Wrapf(err, "fulmardemo: %s is not ready, see %s", m.id, f.folder)
		}
	}
	return nil
}

// lab starts a stand-in from this program.
func (f *fleet) lab(name string, args ...string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, errors.Wrap(err, "fulmardemo: find this program")
	}
	return f.demo.spawn(filepath.Join(f.folder, name+".log"), self, args...)
}

func (f *fleet) startPlatform(ctx context.Context) error {
	var err error
	if f.platform, err = freeAddress(ctx); err != nil {
		return err
	}
	if _, err := f.lab("platform", "platform", "--listen", f.platform, "--lag", listLag.String()); err != nil {
		return err
	}
	return f.await(ctx, "http://"+f.platform+"/lab/counts")
}

// config returns the operators' configuration.
func (f *fleet) config() []byte {
	var b bytes.Buffer
	b.WriteString("[defaults]\nweight = 1.0\nqueue = 200\ntimeout = \"2s\"\nmaxtimeout = \"30s\"\n" +
		"body = \"1MiB\"\nslots = 64\nlong = 8.0\nmoving = 64\n")
	for _, s := range f.deployment.services {
		fmt.Fprintf(&b, "\n[[service]]\nname = %q\nslots = %d\nidempotent = %t\n", s.name, s.slots, s.idempotent)
	}
	for _, g := range f.deployment.groups {
		fmt.Fprintf(&b, "\n[[group]]\nname = %q\n", g)
	}
	return b.Bytes()
}

func (f *fleet) putConfig(ctx context.Context) error {
	value, err := cbor.Marshal(fulmarconfig.Versioned{
		Version: 1, Operation: uuid.NewString(), Author: "fulmarlab", Text: f.config(),
	})
	if err != nil {
		return errors.Wrap(err, "fulmardemo: encode configuration")
	}
	got, err := f.put(ctx, "/v1/kv/fulmarbend/config?cas=0", value)
	if err != nil {
		return err
	}
	if strings.TrimSpace(got) != "true" {
		return errors.Errorf("fulmardemo: the platform answered %q to the first configuration", got)
	}
	return nil
}

func (f *fleet) startTargets(ctx context.Context) error {
	for _, s := range f.deployment.services {
		for i := range s.targets {
			if err := f.startTarget(ctx, s, i); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *fleet) startTarget(ctx context.Context, s service, i int) error {
	id := fmt.Sprintf("%s-%d", s.name, i+1)
	address, err := freeAddress(ctx)
	if err != nil {
		return err
	}
	history := filepath.Join(f.folder, id+".jsonl")
	p, err := f.lab(id, "target", "--listen", address, "--id", id, "--service", s.name,
		"--history", history, "--fenced="+strconv.FormatBool(s.fenced))
	if err != nil {
		return err
	}
	f.targets, f.names, f.histories = append(f.targets, p), append(f.names, id), append(f.histories, history)
	if err := f.await(ctx, "http://"+address+"/fulmarbend/grant"); err != nil {
		return err
	}
	dc := f.deployment.centres[i%len(f.deployment.centres)]
	return f.register(ctx, "fulmarbend-target", id, address, map[string]string{
		"service": s.name, "state": "live", "dc": dc,
	})
}

func (f *fleet) startDaemons(ctx context.Context) error {
	for i := range f.demo.settings.Daemons {
		m := &member{id: fmt.Sprintf("%s-%d", f.deployment.name, i+1), dc: f.deployment.centres[i%len(f.deployment.centres)]}
		for _, address := range []*string{&m.callers, &m.data, &m.control, &m.admin} {
			var err error
			if *address, err = freeAddress(ctx); err != nil {
				return err
			}
		}
		f.members = append(f.members, m)
	}
	for _, m := range f.members {
		path := filepath.Join(f.folder, m.id+".toml")
		if err := os.WriteFile(path, f.settings(m), 0o600); err != nil {
			return errors.Wrap(err, "fulmardemo: write settings")
		}
		err := f.register(ctx, "fulmarbend-instance", m.id, m.callers, map[string]string{
			"control": m.control, "data": m.data, "state": "live", "dc": m.dc,
		})
		if err != nil {
			return err
		}
		m.process, err = f.demo.spawn(filepath.Join(f.folder, m.id+".log"), f.daemon, "serve", "--settings", path)
		if err != nil {
			return err
		}
	}
	return nil
}

// settings returns a daemon's settings file.
func (f *fleet) settings(m *member) []byte {
	var seeds []string
	for _, other := range f.members {
		if other != m {
			seeds = append(seeds, strconv.Quote(other.control))
		}
	}
	return fmt.Appendf(nil, "id = %q\ndc = %q\n\n[listen]\ncallers = %q\ndata = %q\ncontrol = %q\nadmin = %q\n\n"+
		"[peer]\nkey = %q\nseeds = [%s]\n\n[admin]\nkey = %q\n\n[store]\naddress = %q\ntimeout = \"1s\"\n",
		m.id, m.dc, m.callers, m.data, m.control, m.admin,
		f.peerKey, strings.Join(seeds, ", "), f.adminKey, "http://"+f.platform)
}

// register adds a server to the platform's list.
func (f *fleet) register(ctx context.Context, name, id, address string, meta map[string]string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Wrap(err, "fulmardemo: split address")
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return errors.Wrap(err, "fulmardemo: parse port")
	}
	body, err := json.Marshal(fulmarplatform.Service{ID: id, Name: name, Address: host, Port: n, Meta: meta})
	if err != nil {
		return errors.Wrap(err, "fulmardemo: encode registration")
	}
	_, err = f.put(ctx, "/v1/agent/service/register", body)
	return err
}

func (f *fleet) put(ctx context.Context, path string, body []byte) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+f.platform+path, bytes.NewReader(body))
	if err != nil {
		return "", errors.Wrap(err, "fulmardemo: call the platform")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", errors.Wrap(err, "fulmardemo: call the platform")
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.Errorf("status %d: %s", resp.StatusCode, b)
	}
	return string(b), errors.Wrap(err, "fulmardemo: call the platform")
}

// await polls url until it answers 200.
func (f *fleet) await(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return errors.Wrap(err, "fulmardemo: poll")
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-time.After(pollEvery):
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "fulmardemo: no answer from %s", url)
		}
	}
}

// run sends load, and kills a daemon after a third of the time and a target
// after two thirds.
func (f *fleet) run(ctx context.Context) (fulmarload.Result, error) {
	log, file, err := fulmarhistory.Open(filepath.Join(f.folder, "callers.jsonl"))
	if err != nil {
		return fulmarload.Result{}, err
	}
	defer file.Close()
	duration := f.demo.settings.Duration
	var callers []string
	for _, m := range f.members {
		callers = append(callers, m.callers)
	}
	settings := Load(f.seed, duration, callers)
	for _, g := range f.deployment.groups {
		for _, s := range f.deployment.services {
			settings.Groups = append(settings.Groups, fulmarload.Group{
				Name: g, Service: s.name, Once: !s.idempotent, Rate: s.rate, Long: s.long,
			})
		}
	}
	daemon := time.AfterFunc(duration/3, func() { f.members[0].process.kill() })
	defer daemon.Stop()
	target := time.AfterFunc(2*duration/3, func() { f.targets[0].kill() })
	defer target.Stop()
	result := fulmarload.New(settings, log).Run(ctx)
	return result, errors.Wrap(ctx.Err(), "fulmardemo: load was interrupted")
}

func (f *fleet) printAddresses() {
	for _, m := range f.members {
		fmt.Fprintf(f.demo.out, "%s: admin http://%s, callers http://%s\n", m.id, m.admin, m.callers)
	}
	fmt.Fprintf(f.demo.out, "%s: platform http://%s, admin key in %s\n", f.deployment.name, f.platform, f.folder)
}
