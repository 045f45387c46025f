package fulmarfleet

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmaradmin"
	"github.com/fulmarbend/fulmarbend/internal/fulmarnetwork"
	"github.com/fulmarbend/fulmarbend/internal/fulmarprocess"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarconfig"
)

const (
	readyWithin = 30 * time.Second
	pollEvery   = 50 * time.Millisecond
	keyBytes    = 32
	// operatorTimeout exceeds the time in which a daemon repeats a put.
	operatorTimeout = 8 * time.Second
)

// Service is a service of a deployment with its targets.
type Service struct {
	Name        string
	TargetCount int
	SlotCount   int
	Idempotent  bool
	Fenced      bool
}

// Settings describe a deployment.
type Settings struct {
	Name          string // prefix of the daemons' ids
	Folder        string // for settings, logs and histories
	Programs      Programs
	DataCentres   []string
	Groups        []string
	Services      []Service
	DaemonCount   int
	ServerListLag time.Duration // of the platform's list
	UseForwarders bool          // connect the servers through forwarders
}

// Daemon is a daemon of a fleet.
type Daemon struct {
	*fulmarprocess.Process      // nil until it was started
	ID, DC                      string
	CallerAddress, AdminAddress string
	data, control               string // of the listeners
	peerData                    string // as peers reach them
	peerControl                 string
	source                      string
	store                       string // address of the platform
}

// Target is a target of a fleet.
type Target struct {
	*fulmarprocess.Process
	ID, DC      string
	Service     Service
	HistoryPath string // path
	Address     string // of the listener
	listed      string // as daemons reach it
}

// Fleet is one deployment.
type Fleet struct {
	Network  *fulmarnetwork.Network
	Platform *Platform
	Daemons  []*Daemon
	Targets  []*Target

	settings  Settings
	processes processes
	peerKey   string
	adminKey  []byte
}

// New returns a fleet without processes.
func New(settings Settings) *Fleet {
	return &Fleet{settings: settings, Network: fulmarnetwork.New(), peerKey: hex.EncodeToString(secret()), adminKey: secret()}
}

func secret() []byte {
	b := make([]byte, keyBytes)
	_, _ = rand.Read(b) // never fails, as crypto/rand documents
	return b
}

// Start starts the processes and waits until the daemons are ready.
func (f *Fleet) Start(ctx context.Context) error {
	if err := os.MkdirAll(f.settings.Folder, 0o700); err != nil {
		return errors.Wrap(err, "fulmarfleet: create folder")
	}
	for _, step := range []func(context.Context) error{f.startPlatform, f.startTargets, f.planDaemons} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	for _, d := range f.Daemons {
		if err := f.StartDaemon(ctx, d); err != nil {
			return err
		}
	}
	for _, d := range f.Daemons {
		if err := await(ctx, "http://"+d.AdminAddress+"/readyz", d.Done()); err != nil {
			return errors.Wrapf(err, "fulmarfleet: %s is not ready, see %s", d.ID, d.LogPath)
		}
	}
	return nil
}

// Stop ends all processes, asking first if grace is positive, and the forwarders.
func (f *Fleet) Stop(grace time.Duration) {
	f.processes.stop(grace)
	f.Network.Close()
}

// lab starts a stand-in.
func (f *Fleet) lab(name string, args ...string) (*fulmarprocess.Process, error) {
	return f.processes.spawn(filepath.Join(f.settings.Folder, name+".log"), f.settings.Programs.Lab, args...)
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	address, err := freeAddress(ctx)
	if err != nil {
		return err
	}
	p, err := f.lab("platform", "platform", "--listen", address, "--lag", f.settings.ServerListLag.String())
	if err != nil {
		return err
	}
	f.Platform = newPlatform(p, address)
	if err := await(ctx, "http://"+address+"/lab/counts", p.Done()); err != nil {
		return err
	}
	return f.Platform.PutConfig(ctx, fulmarconfig.Versioned{
		Version: 1, OperationID: uuid.NewString(), Author: "fulmarlab", Text: f.InitialConfig(),
	})
}

// Config returns the operators' first configuration.
func (f *Fleet) InitialConfig() []byte {
	var b bytes.Buffer
	b.WriteString("[defaults]\nweight = 1.0\nqueue = 200\ntimeout = \"2s\"\nmaxtimeout = \"30s\"\n" +
		"body = \"1MiB\"\nslots = 64\nlong = 8.0\nmoving = 64\n")
	for _, s := range f.settings.Services {
		fmt.Fprintf(&b, "\n[[service]]\nname = %q\nslots = %d\nidempotent = %t\n", s.Name, s.SlotCount, s.Idempotent)
	}
	for _, g := range f.settings.Groups {
		fmt.Fprintf(&b, "\n[[group]]\nname = %q\n", g)
	}
	return b.Bytes()
}

func (f *Fleet) startTargets(ctx context.Context) error {
	for _, s := range f.settings.Services {
		for i := range s.TargetCount {
			if err := f.startTarget(ctx, s, i); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) startTarget(ctx context.Context, s Service, i int) error {
	t := &Target{ID: fmt.Sprintf("%s-%d", s.Name, i+1), DC: f.centre(i), Service: s}
	t.HistoryPath = filepath.Join(f.settings.Folder, t.ID+".jsonl")
	var err error
	if t.Address, err = freeAddress(ctx); err != nil {
		return err
	}
	t.Process, err = f.lab(t.ID, "target", "--listen", t.Address, "--id", t.ID, "--service", s.Name,
		"--history", t.HistoryPath, "--fenced="+strconv.FormatBool(s.Fenced))
	if err != nil {
		return err
	}
	f.Targets = append(f.Targets, t)
	if t.listed, err = f.front(ctx, t.ID, t.Address, t.Done()); err != nil {
		return err
	}
	if err := await(ctx, "http://"+t.Address+"/fulmarbend/grant", t.Done()); err != nil {
		return err
	}
	return f.RegisterTarget(ctx, t, "live")
}

// ListTarget registers a target with the state in the platform's list.
func (f *Fleet) RegisterTarget(ctx context.Context, t *Target, state string) error {
	return f.Platform.register(ctx, "fulmarbend-target", t.ID, t.listed, map[string]string{
		"service": t.Service.Name, "state": state, "dc": t.DC,
	})
}

func (f *Fleet) centre(i int) string { return f.settings.DataCentres[i%len(f.settings.DataCentres)] }

// front returns the address under which the daemons reach a server.
func (f *Fleet) front(ctx context.Context, name, to string, ended <-chan struct{}) (string, error) {
	if !f.settings.UseForwarders {
		return to, nil
	}
	address, err := freeAddress(ctx)
	if err != nil {
		return "", err
	}
	return address, f.Network.Forward(name, address, to, ended)
}

// planDaemons gives the daemons their addresses and registers them.
func (f *Fleet) planDaemons(ctx context.Context) error {
	store, err := f.front(ctx, PlatformName, f.Platform.Address, f.Platform.Done())
	if err != nil {
		return err
	}
	for i := range f.settings.DaemonCount {
		d := &Daemon{ID: fmt.Sprintf("%s-%d", f.settings.Name, i+1), DC: f.centre(i), store: store}
		addresses := []*string{&d.CallerAddress, &d.data, &d.control, &d.AdminAddress}
		if f.settings.UseForwarders {
			d.source = fmt.Sprintf("127.0.1.%d", i+1)
			f.Network.SetSourceName(d.source, d.ID)
			addresses = append(addresses, &d.peerData, &d.peerControl)
		}
		for _, address := range addresses {
			if *address, err = freeAddress(ctx); err != nil {
				return err
			}
		}
		if !f.settings.UseForwarders {
			d.peerData, d.peerControl = d.data, d.control
		}
		f.Daemons = append(f.Daemons, d)
		err = f.Platform.register(ctx, "fulmarbend-instance", d.ID, d.CallerAddress, map[string]string{
			"control": d.peerControl, "data": d.peerData, "state": "live", "dc": d.DC,
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// StartDaemon starts a daemon, or starts it again after its end.
func (f *Fleet) StartDaemon(ctx context.Context, d *Daemon) error {
	path := filepath.Join(f.settings.Folder, d.ID+".toml")
	if err := os.WriteFile(path, f.daemonSettings(d), 0o600); err != nil {
		return errors.Wrap(err, "fulmarfleet: write settings")
	}
	var err error
	d.Process, err = f.processes.spawn(filepath.Join(f.settings.Folder, d.ID+".log"),
		f.settings.Programs.Daemon, "serve", "--settings", path)
	if err != nil || !f.settings.UseForwarders {
		return err
	}
	if err := f.Network.Forward(d.ID, d.peerData, d.data, d.Done()); err != nil {
		return err
	}
	return f.Network.Forward(d.ID, d.peerControl, d.control, d.Done())
}

// daemonSettings returns a daemon's settings file.
func (f *Fleet) daemonSettings(d *Daemon) []byte {
	var seeds []string
	for _, other := range f.Daemons {
		if other != d {
			seeds = append(seeds, strconv.Quote(other.peerControl))
		}
	}
	text := fmt.Appendf(nil, "id = %q\ndc = %q\n\n[listen]\ncallers = %q\ndata = %q\ncontrol = %q\nadmin = %q\n\n"+
		"[peer]\nkey = %q\nseeds = [%s]\n\n[admin]\nkey = %q\n\n[store]\naddress = %q\ntimeout = \"1s\"\n",
		d.ID, d.DC, d.CallerAddress, d.data, d.control, d.AdminAddress,
		f.peerKey, strings.Join(seeds, ", "), hex.EncodeToString(f.adminKey), "http://"+d.store)
	if d.source != "" {
		text = fmt.Appendf(text, "\n[advertise]\ndata = %q\ncontrol = %q\nsource = %q\n", d.peerData, d.peerControl, d.source)
	}
	return text
}

// Operator returns a client of one daemon's operators' API.
func (f *Fleet) OperatorClient(d *Daemon) *fulmaradmin.Client {
	return fulmaradmin.NewClient([]string{d.AdminAddress}, f.adminKey, &http.Client{Timeout: operatorTimeout})
}

// Daemon returns the daemon with the id, nil if there is none.
func (f *Fleet) Daemon(id string) *Daemon {
	for _, d := range f.Daemons {
		if d.ID == id {
			return d
		}
	}
	return nil
}

// Cut puts the connections between the server name and all servers but those
// in except into the mode.
func (f *Fleet) SetLinkMode(mode fulmarnetwork.Mode, name string, except ...string) {
	others := []string{PlatformName}
	for _, d := range f.Daemons {
		others = append(others, d.ID)
	}
	for _, t := range f.Targets {
		others = append(others, t.ID)
	}
	kept := " " + strings.Join(append(except, name), " ") + " "
	for _, other := range others {
		if !strings.Contains(kept, " "+other+" ") {
			f.Network.SetMode(mode, name, other)
		}
	}
}

// Callers returns the addresses of the daemons' listeners for callers.
func (f *Fleet) CallerAddresses() []string {
	var out []string
	for _, d := range f.Daemons {
		out = append(out, d.CallerAddress)
	}
	return out
}

// Histories returns the paths of the targets' histories.
func (f *Fleet) HistoryPaths() []string {
	var out []string
	for _, t := range f.Targets {
		out = append(out, t.HistoryPath)
	}
	return out
}

// Print writes the addresses for operators and callers.
func (f *Fleet) PrintAddresses(print func(format string, args ...any)) {
	for _, d := range f.Daemons {
		print("%s: admin http://%s, callers http://%s\n", d.ID, d.AdminAddress, d.CallerAddress)
	}
	print("%s: platform http://%s, admin key in %s\n", f.settings.Name, f.Platform.Address, f.settings.Folder)
}

// AwaitOwners waits until each target owns slots and has a dispatcher. Daemons
// are ready before, because a fleet without targets is ready as well.
func (f *Fleet) AwaitOwners(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	operator := f.OperatorClient(f.Daemons[0])
	for {
		targets, err := operator.Targets(ctx)
		owned := 0
		for _, t := range targets {
			if t.OwnedSlots > 0 && t.Dispatcher != "" {
				owned++
			}
		}
		if err == nil && owned == len(f.Targets) {
			return nil
		}
		select {
		case <-time.After(pollEvery):
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "fulmarfleet: %d of %d targets own slots", owned, len(f.Targets))
		}
	}
}

// await polls url until it answers 200 or its server has ended.
func await(ctx context.Context, url string, ended <-chan struct{}) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return errors.Wrap(err, "fulmarfleet: poll")
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-time.After(pollEvery):
		case <-ended:
			return errors.Errorf("fulmarfleet: the server of %s has ended", url)
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "fulmarfleet: no answer from %s", url)
		}
	}
}
