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
	readyTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	keyBytes     = 32
	// operatorTimeout is longer than the time for which a daemon retries a put.
	operatorTimeout = 8 * time.Second
)

// Service describes a service of a deployment and its targets.
type Service struct {
	Name        string
	TargetCount int
	SlotCount   int
	Idempotent  bool
	Fenced      bool
}

// Settings configures a deployment.
type Settings struct {
	Name          string // prefix of the daemons' ids
	Folder        string // for settings, logs and histories
	Programs      Programs
	DataCentres   []string
	Groups        []string
	Services      []Service
	DaemonCount   int
	ServerListLag time.Duration // until the platform's server list shows a change
	UseForwarders bool          // whether servers connect to each other through forwarders
}

// Daemon is a daemon process of a fleet.
type Daemon struct {
	*fulmarprocess.Process      // nil until StartDaemon
	ID, DC                      string
	CallerAddress, AdminAddress string
	dataAddress, controlAddress string // on which the daemon listens
	peerDataAddress             string // to which peers connect
	peerControlAddress          string
	sourceAddress               string // from which the daemon connects; empty without forwarders
	platformAddress             string // to which the daemon connects
}

// Target is a target process of a fleet.
type Target struct {
	*fulmarprocess.Process
	ID, DC        string
	Service       Service
	HistoryPath   string
	Address       string // on which the target listens
	listedAddress string // to which daemons connect
}

// Fleet runs the processes of one deployment.
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

// New returns a fleet that has not started any process.
func New(settings Settings) *Fleet {
	return &Fleet{settings: settings, Network: fulmarnetwork.New(), peerKey: hex.EncodeToString(newSecret()), adminKey: newSecret()}
}

func newSecret() []byte {
	b := make([]byte, keyBytes)
	_, _ = rand.Read(b) // crypto/rand documents that Read never fails
	return b
}

// Start starts the processes and waits until the daemons are ready.
func (f *Fleet) Start(ctx context.Context) error {
	if err := os.MkdirAll(f.settings.Folder, 0o700); err != nil {
		return errors.Wrap(err, "fulmarfleet: create folder")
	}
	for _, step := range []func(context.Context) error{f.startPlatform, f.startTargets, f.prepareDaemons} {
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
		if err := awaitOK(ctx, "http://"+d.AdminAddress+"/readyz", d.Done()); err != nil {
			return errors.Wrapf(err, "fulmarfleet: wait for %s to become ready (log %s)", d.ID, d.LogPath)
		}
	}
	return nil
}

// Stop ends all processes and closes the forwarders. If grace is positive, the
// processes have that time to terminate before they are killed.
func (f *Fleet) Stop(grace time.Duration) {
	f.processes.stop(grace)
	f.Network.Close()
}

// startLab starts a simulated platform or target.
func (f *Fleet) startLab(name string, args ...string) (*fulmarprocess.Process, error) {
	return f.processes.spawn(filepath.Join(f.settings.Folder, name+".log"), f.settings.Programs.Lab, args...)
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	address, err := freeAddress(ctx)
	if err != nil {
		return err
	}
	p, err := f.startLab("platform", "platform", "--listen", address, "--lag", f.settings.ServerListLag.String())
	if err != nil {
		return err
	}
	f.Platform = newPlatform(p, address)
	if err := awaitOK(ctx, "http://"+address+"/lab/counts", p.Done()); err != nil {
		return err
	}
	return f.Platform.PutConfig(ctx, fulmarconfig.Versioned{
		Version: 1, OperationID: uuid.NewString(), Author: "fulmarlab", Text: f.InitialConfig(),
	})
}

// InitialConfig returns the text of the first configuration.
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
	t := &Target{ID: fmt.Sprintf("%s-%d", s.Name, i+1), DC: f.dataCentre(i), Service: s}
	t.HistoryPath = filepath.Join(f.settings.Folder, t.ID+".jsonl")
	var err error
	if t.Address, err = freeAddress(ctx); err != nil {
		return err
	}
	t.Process, err = f.startLab(t.ID, "target", "--listen", t.Address, "--id", t.ID, "--service", s.Name,
		"--history", t.HistoryPath, "--fenced="+strconv.FormatBool(s.Fenced))
	if err != nil {
		return err
	}
	f.Targets = append(f.Targets, t)
	if t.listedAddress, err = f.expose(ctx, t.ID, t.Address, t.Done()); err != nil {
		return err
	}
	if err := awaitOK(ctx, "http://"+t.Address+"/fulmarbend/grant", t.Done()); err != nil {
		return err
	}
	return f.RegisterTarget(ctx, t, "live")
}

// RegisterTarget registers a target with the given state in the platform's
// server list.
func (f *Fleet) RegisterTarget(ctx context.Context, t *Target, state string) error {
	return f.Platform.register(ctx, "fulmarbend-target", t.ID, t.listedAddress, map[string]string{
		"service": t.Service.Name, "state": state, "dc": t.DC,
	})
}

// dataCentre returns the data centre of the i-th target of a service or the i-th
// daemon.
func (f *Fleet) dataCentre(i int) string {
	return f.settings.DataCentres[i%len(f.settings.DataCentres)]
}

// expose returns the address to which daemons connect to reach the named server,
// which listens on the address to. If the fleet uses forwarders, expose starts one
// for the server and returns its address.
func (f *Fleet) expose(ctx context.Context, name, to string, ended <-chan struct{}) (string, error) {
	if !f.settings.UseForwarders {
		return to, nil
	}
	address, err := freeAddress(ctx)
	if err != nil {
		return "", err
	}
	return address, f.Network.Forward(name, address, to, ended)
}

// prepareDaemons gives the daemons their addresses and registers them with the
// platform.
func (f *Fleet) prepareDaemons(ctx context.Context) error {
	platformAddress, err := f.expose(ctx, PlatformName, f.Platform.Address, f.Platform.Done())
	if err != nil {
		return err
	}
	for i := range f.settings.DaemonCount {
		d := &Daemon{ID: fmt.Sprintf("%s-%d", f.settings.Name, i+1), DC: f.dataCentre(i), platformAddress: platformAddress}
		addresses := []*string{&d.CallerAddress, &d.dataAddress, &d.controlAddress, &d.AdminAddress}
		if f.settings.UseForwarders {
			d.sourceAddress = fmt.Sprintf("127.0.1.%d", i+1)
			f.Network.SetSourceName(d.sourceAddress, d.ID)
			addresses = append(addresses, &d.peerDataAddress, &d.peerControlAddress)
		}
		for _, address := range addresses {
			if *address, err = freeAddress(ctx); err != nil {
				return err
			}
		}
		if !f.settings.UseForwarders {
			d.peerDataAddress, d.peerControlAddress = d.dataAddress, d.controlAddress
		}
		f.Daemons = append(f.Daemons, d)
		err = f.Platform.register(ctx, "fulmarbend-instance", d.ID, d.CallerAddress, map[string]string{
			"control": d.peerControlAddress, "data": d.peerDataAddress, "state": "live", "dc": d.DC,
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// StartDaemon starts a daemon's process, also again after the process ended.
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
	if err := f.Network.Forward(d.ID, d.peerDataAddress, d.dataAddress, d.Done()); err != nil {
		return err
	}
	return f.Network.Forward(d.ID, d.peerControlAddress, d.controlAddress, d.Done())
}

// daemonSettings returns the content of a daemon's settings file.
func (f *Fleet) daemonSettings(d *Daemon) []byte {
	var seeds []string
	for _, other := range f.Daemons {
		if other != d {
			seeds = append(seeds, strconv.Quote(other.peerControlAddress))
		}
	}
	text := fmt.Appendf(nil, "id = %q\ndc = %q\n\n[listen]\ncallers = %q\ndata = %q\ncontrol = %q\nadmin = %q\n\n"+
		"[peer]\nkey = %q\nseeds = [%s]\n\n[admin]\nkey = %q\n\n[store]\naddress = %q\ntimeout = \"1s\"\n",
		d.ID, d.DC, d.CallerAddress, d.dataAddress, d.controlAddress, d.AdminAddress,
		f.peerKey, strings.Join(seeds, ", "), hex.EncodeToString(f.adminKey), "http://"+d.platformAddress)
	if d.sourceAddress != "" {
		text = fmt.Appendf(text, "\n[advertise]\ndata = %q\ncontrol = %q\nsource = %q\n", d.peerDataAddress, d.peerControlAddress, d.sourceAddress)
	}
	return text
}

// OperatorClient returns a client of a daemon's API for operators.
func (f *Fleet) OperatorClient(d *Daemon) *fulmaradmin.Client {
	return fulmaradmin.NewClient([]string{d.AdminAddress}, f.adminKey, &http.Client{Timeout: operatorTimeout})
}

// Daemon returns the daemon with the given id, or nil if there is none.
func (f *Fleet) Daemon(id string) *Daemon {
	for _, d := range f.Daemons {
		if d.ID == id {
			return d
		}
	}
	return nil
}

// SetLinkMode sets the mode of the connections between the server with the given
// name and all other servers, except those in except.
func (f *Fleet) SetLinkMode(mode fulmarnetwork.Mode, name string, except ...string) {
	others := []string{PlatformName}
	for _, d := range f.Daemons {
		others = append(others, d.ID)
	}
	for _, t := range f.Targets {
		others = append(others, t.ID)
	}
	excluded := " " + strings.Join(append(except, name), " ") + " "
	for _, other := range others {
		if !strings.Contains(excluded, " "+other+" ") {
			f.Network.SetMode(mode, name, other)
		}
	}
}

// CallerAddresses returns the addresses on which the daemons serve callers.
func (f *Fleet) CallerAddresses() []string {
	var out []string
	for _, d := range f.Daemons {
		out = append(out, d.CallerAddress)
	}
	return out
}

// HistoryPaths returns the paths of the targets' history files.
func (f *Fleet) HistoryPaths() []string {
	var out []string
	for _, t := range f.Targets {
		out = append(out, t.HistoryPath)
	}
	return out
}

// PrintAddresses prints the addresses for operators and callers.
func (f *Fleet) PrintAddresses(print func(format string, args ...any)) {
	for _, d := range f.Daemons {
		print("%s: admin http://%s, callers http://%s\n", d.ID, d.AdminAddress, d.CallerAddress)
	}
	print("%s: platform http://%s, admin key in %s\n", f.settings.Name, f.Platform.Address, f.settings.Folder)
}

// AwaitOwners waits until each target owns slots and has a dispatcher. Daemons
// can be ready earlier, since a fleet without targets is ready as well.
func (f *Fleet) AwaitOwners(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
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
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "fulmarfleet: %d of %d targets own slots and have a dispatcher", owned, len(f.Targets))
		}
	}
}

// awaitOK polls url until it answers with status 200. It fails if the server's
// process ends or readyTimeout passes first.
func awaitOK(ctx context.Context, url string, ended <-chan struct{}) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return errors.Wrap(err, "fulmarfleet: create request")
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-time.After(pollInterval):
		case <-ended:
			return errors.Errorf("fulmarfleet: process ended before %s answered", url)
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "fulmarfleet: wait for status 200 from %s", url)
		}
	}
}
