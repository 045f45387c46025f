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
	readyTimeout  = 60 * time.Second
	settleTimeout = 90 * time.Second
	// quietPeriod is how long holders and epochs must stay unchanged until a fleet
	// counts as settled. It is longer than the delay after which a daemon hands a
	// target over to one that ranks higher for it.
	quietPeriod   = 7 * time.Second
	pollInterval  = 100 * time.Millisecond
	serverListLag = time.Second
	keyBytes      = 32
	configPath    = "/v1/kv/fulmarbend/config"
)

var dataCentres = []string{"odda", "norheimsund", "eidfjord"}

// service describes a service and its targets.
type service struct {
	name        string
	targetCount int
	slotCount   int
	idempotent  bool
}

// fleetSpec specifies the daemons, services and settings of a fleet.
type fleetSpec struct {
	daemonCount    int
	services       []service
	groups         []string
	queueLength    int
	timingSettings string // lines of the [timing] section in the daemons' settings
}

// daemon is a daemon process of a fleet and the addresses it listens on.
type daemon struct {
	id, settingsPath                                         string
	callerAddress, dataAddress, controlAddress, adminAddress string
	process                                                  *fulmarprocess.Process
}

// target is a target process of a fleet.
type target struct {
	id, address, historyPath string
	process                  *fulmarprocess.Process
}

// fleet runs the processes that a fleetSpec specifies.
type fleet struct {
	spec            fleetSpec
	daemonPath      string // path of the daemon program
	folder          string
	sharedKey       string
	platformAddress string // host:port
	platformProcess *fulmarprocess.Process
	daemons         []*daemon
	targets         []*target
}

// start starts the processes and waits until grants settle. The caller must call
// stop even if start returns an error.
func (f *fleet) start(ctx context.Context) error {
	if err := os.MkdirAll(f.folder, 0o700); err != nil {
		return errors.Wrap(err, "fulmartrial: create folder")
	}
	b := make([]byte, keyBytes)
	_, _ = rand.Read(b) // crypto/rand documents that Read never fails
	f.sharedKey = hex.EncodeToString(b)
	for _, step := range []func(context.Context) error{
		f.startPlatform, f.startTargets, f.startDaemons, f.awaitSettled,
	} {
		if err := step(ctx); err != nil {
			return errors.Wrapf(err, "start fleet, logs are in %s", f.folder)
		}
	}
	return nil
}

// stop ends the fleet's processes, the daemons first.
func (f *fleet) stop() {
	var daemons, targets []*fulmarprocess.Process
	for _, d := range f.daemons {
		if d.process != nil {
			daemons = append(daemons, d.process)
		}
	}
	for _, t := range f.targets {
		targets = append(targets, t.process)
	}
	if f.platformProcess != nil {
		targets = append(targets, f.platformProcess)
	}
	// Daemons are killed at once: when a whole fleet shuts down, none of them can
	// hand over its targets.
	for _, p := range daemons {
		p.Kill()
	}
	stopProcesses(append(daemons, targets...))
}

// startLab starts a simulated platform or target as another process of this
// program.
func (f *fleet) startLab(name string, args ...string) (*fulmarprocess.Process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, errors.Wrap(err, "fulmartrial: find own executable")
	}
	return fulmarprocess.Start(filepath.Join(f.folder, name+".log"), nil, self, args...)
}

func (f *fleet) startPlatform(ctx context.Context) error {
	var err error
	if f.platformAddress, err = freeAddress(ctx); err != nil {
		return err
	}
	f.platformProcess, err = f.startLab("platform", "platform", "--listen", f.platformAddress, "--lag", serverListLag.String())
	if err != nil {
		return err
	}
	if err := awaitOK(ctx, "http://"+f.platformAddress+"/lab/counts"); err != nil {
		return err
	}
	return f.putConfig(ctx, 1, 0)
}

// putConfig writes a version of the configuration if the stored one still has
// the given index (compare-and-swap).
func (f *fleet) putConfig(ctx context.Context, version, index uint64) error {
	var text bytes.Buffer
	fmt.Fprintf(&text, "[defaults]\nweight = 1.0\nqueue = %d\ntimeout = \"2s\"\nmaxtimeout = \"30s\"\n"+
		"body = \"1MiB\"\nslots = 64\nlong = 8.0\nmoving = 64\n", f.spec.queueLength)
	for _, s := range f.spec.services {
		fmt.Fprintf(&text, "\n[[service]]\nname = %q\nslots = %d\nidempotent = %t\n", s.name, s.slotCount, s.idempotent)
	}
	for _, g := range f.spec.groups {
		fmt.Fprintf(&text, "\n[[group]]\nname = %q\n", g)
	}
	value, err := cbor.Marshal(fulmarconfig.Versioned{
		Version: version, OperationID: uuid.NewString(), Author: "fulmarlab", Text: text.Bytes(),
	})
	if err != nil {
		return errors.Wrap(err, "fulmartrial: encode configuration")
	}
	answer, err := f.callPlatform(ctx, http.MethodPut, fmt.Sprintf("%s?cas=%d", configPath, index), value)
	if err == nil && strings.TrimSpace(string(answer)) != "true" {
		err = errors.Errorf("fulmartrial: write of configuration version %d was answered with %q", version, answer)
	}
	return err
}

// configIndex returns the modification index of the stored configuration.
func (f *fleet) configIndex(ctx context.Context) (uint64, error) {
	answer, err := f.callPlatform(ctx, http.MethodGet, configPath, nil)
	if err != nil {
		return 0, err
	}
	var pairs []struct{ ModifyIndex uint64 }
	if err := json.Unmarshal(answer, &pairs); err != nil || len(pairs) != 1 {
		return 0, errors.Errorf("fulmartrial: unexpected response to the read of the configuration: %q", answer)
	}
	return pairs[0].ModifyIndex, nil
}

func (f *fleet) startTargets(ctx context.Context) error {
	for _, s := range f.spec.services {
		for i := range s.targetCount {
			id := fmt.Sprintf("%s-%d", s.name, i+1)
			t, err := f.startTarget(ctx, id, s.name, true)
			if err != nil {
				return err
			}
			f.targets = append(f.targets, t)
			err = f.register(ctx, "fulmarbend-target", id, t.address, map[string]string{
				"service": s.name, "state": "live", "dc": dataCentres[i%len(dataCentres)],
			})
			if err != nil {
				return err
			}
		}
	}
	for _, t := range f.targets {
		if err := awaitOK(ctx, "http://"+t.address+"/fulmarbend/grant"); err != nil {
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
	t := &target{id: id, address: address, historyPath: filepath.Join(f.folder, id+".jsonl")}
	t.process, err = f.startLab(id, "target", "--listen", address, "--id", id, "--service", service,
		"--history", t.historyPath, "--fenced="+strconv.FormatBool(fenced))
	return t, err
}

func (f *fleet) startDaemons(ctx context.Context) error {
	for i := range f.spec.daemonCount {
		d := &daemon{id: fmt.Sprintf("daemon-%d", i+1)}
		for _, address := range []*string{&d.callerAddress, &d.dataAddress, &d.controlAddress, &d.adminAddress} {
			var err error
			if *address, err = freeAddress(ctx); err != nil {
				return err
			}
		}
		f.daemons = append(f.daemons, d)
	}
	for i, d := range f.daemons {
		dc := dataCentres[i%len(dataCentres)]
		d.settingsPath = filepath.Join(f.folder, d.id+".toml")
		if err := os.WriteFile(d.settingsPath, f.daemonSettings(d, dc), 0o600); err != nil {
			return errors.Wrap(err, "fulmartrial: write settings")
		}
		err := f.register(ctx, "fulmarbend-instance", d.id, d.callerAddress, map[string]string{
			"control": d.controlAddress, "data": d.dataAddress, "state": "live", "dc": dc,
		})
		if err != nil {
			return err
		}
		if err := f.startDaemon(d); err != nil {
			return err
		}
	}
	for _, d := range f.daemons {
		if err := awaitOK(ctx, "http://"+d.adminAddress+"/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// startDaemon starts a daemon's process, also again after the process ended.
func (f *fleet) startDaemon(d *daemon) error {
	var err error
	d.process, err = fulmarprocess.Start(f.logPath(d), nil, f.daemonPath, "serve", "--settings", d.settingsPath)
	return err
}

func (f *fleet) logPath(d *daemon) string { return filepath.Join(f.folder, d.id+".log") }

// daemonSettings returns the content of a daemon's settings file.
func (f *fleet) daemonSettings(d *daemon, dc string) []byte {
	return fmt.Appendf(nil, "id = %q\ndc = %q\n\n[listen]\ncallers = %q\ndata = %q\ncontrol = %q\nadmin = %q\n\n"+
		"[peer]\nkey = %q\nseeds = [%q]\n\n[admin]\nkey = %q\n\n[store]\naddress = %q\ntimeout = \"1s\"\n\n[timing]\n%s\n",
		d.id, dc, d.callerAddress, d.dataAddress, d.controlAddress, d.adminAddress, f.sharedKey, f.daemons[0].controlAddress, f.sharedKey, "http://"+f.platformAddress, f.spec.timingSettings)
}

// register adds a server to the platform's server list.
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
	_, err = f.callPlatform(ctx, http.MethodPut, "/v1/agent/service/register", body)
	return err
}

// callPlatform sends an HTTP request to the platform and returns the response body.
func (f *fleet) callPlatform(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	return sendHTTP(ctx, method, "http://"+f.platformAddress+path, body)
}

// setFault injects the given fault into the simulated key-value service.
func (f *fleet) setFault(ctx context.Context, fault fulmarplatform.Fault) error {
	body, err := json.Marshal(fault)
	if err != nil {
		return errors.Wrap(err, "fulmartrial: encode fault")
	}
	_, err = f.callPlatform(ctx, http.MethodPut, "/lab/fault", body)
	return err
}

// fetchStoreCounts returns the numbers of calls that the key-value service received.
func (f *fleet) fetchStoreCounts(ctx context.Context) (fulmarplatform.Counts, error) {
	var c fulmarplatform.Counts
	b, err := f.callPlatform(ctx, http.MethodGet, "/lab/counts", nil)
	if err != nil {
		return c, err
	}
	return c, errors.Wrap(json.Unmarshal(b, &c), "fulmartrial: decode call counts")
}

// fetchState returns the grant state that a target reports.
func (t *target) fetchState(ctx context.Context) (fulmargrant.State, error) {
	var s fulmargrant.State
	b, err := sendHTTP(ctx, http.MethodGet, "http://"+t.address+"/fulmarbend/grant", nil)
	if err != nil {
		return s, err
	}
	return s, errors.Wrap(json.Unmarshal(b, &s), "fulmartrial: decode target state")
}

// holder returns the daemon that holds the unexpired grant of a target.
func (f *fleet) holder(ctx context.Context, t *target) (*daemon, error) {
	s, err := t.fetchState(ctx)
	if err != nil {
		return nil, err
	}
	id, _, _ := strings.Cut(s.Holder, "/")
	for _, d := range f.daemons {
		if d.id == id && s.Remaining > 0 {
			return d, nil
		}
	}
	return nil, errors.Errorf("fulmartrial: no daemon holds the grant of target %s", t.id)
}

// planner returns the daemon whose metrics report it as the planner.
func (f *fleet) planner(ctx context.Context) (*daemon, error) {
	for _, d := range f.daemons {
		got, err := d.scrapeMetrics(ctx)
		if err != nil {
			return nil, err
		}
		if got["fulmarbend_planner"] == 1 {
			return d, nil
		}
	}
	return nil, errors.New("fulmartrial: no daemon is the planner")
}

// awaitSettled waits until every target has a grant holder and the holders and
// epochs have not changed for quietPeriod.
func (f *fleet) awaitSettled(ctx context.Context) error {
	deadline := time.Now().Add(settleTimeout)
	var last string
	unchangedSince := time.Now()
	for time.Now().Before(deadline) {
		var b strings.Builder
		allHeld := true
		for _, t := range f.targets {
			s, err := t.fetchState(ctx)
			if err != nil {
				return err
			}
			allHeld = allHeld && s.Remaining > 0
			fmt.Fprintln(&b, s.Holder, s.Epoch)
		}
		if current := b.String(); current != last || !allHeld {
			last, unchangedSince = current, time.Now()
		}
		if time.Since(unchangedSince) > quietPeriod {
			return nil
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return errors.New("fulmartrial: timeout before all grants settled")
}

// scrapeMetrics returns the values of a daemon's metrics without labels.
func (d *daemon) scrapeMetrics(ctx context.Context) (map[string]float64, error) {
	b, err := sendHTTP(ctx, http.MethodGet, "http://"+d.adminAddress+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	return parseMetrics(string(b)), nil
}

// parseMetrics returns the values of the metrics without labels in a text exposition.
func parseMetrics(text string) map[string]float64 {
	got := map[string]float64{}
	for line := range strings.Lines(text) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		if n, err := strconv.ParseFloat(value, 64); err == nil {
			got[name] = n
		}
	}
	return got
}

// sendHTTP sends an HTTP request and returns the response body. A status other
// than 2xx is an error.
func sendHTTP(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "fulmartrial: create request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "fulmartrial: send request")
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode/100 != 2 {
		err = errors.Errorf("status %d: %s", resp.StatusCode, b)
	}
	return b, errors.Wrap(err, "fulmartrial: HTTP response")
}

// awaitOK polls url until it answers with a 2xx status. After readyTimeout it
// returns the last error.
func awaitOK(ctx context.Context, url string) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		_, err := sendHTTP(ctx, http.MethodGet, url, nil)
		if err == nil || time.Now().After(deadline) {
			return err
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// sleep waits for d. It returns an error if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if !fulmarclock.Sleep(ctx, d) {
		return errors.Wrap(ctx.Err(), "fulmartrial: sleep")
	}
	return nil
}
