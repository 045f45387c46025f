package fulmarproof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmaradmin"
	"github.com/fulmarbend/fulmarbend/internal/fulmarfleet"
	"github.com/fulmarbend/fulmarbend/internal/fulmarhistory"
	"github.com/fulmarbend/fulmarbend/internal/fulmarload"
	"github.com/fulmarbend/fulmarbend/internal/fulmarplatform"
	"github.com/fulmarbend/fulmarbend/internal/fulmarserver"
	"github.com/fulmarbend/fulmarbend/pkg/fulmargrant"
	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
)

// Bounds of the design, sections 1.1, 1.6 and 2.3.
const (
	unavailable = 2 * time.Second
	drained     = 3 * time.Second
	spread      = 5 * time.Second
	stale       = 5 * time.Second
)

const (
	settleWithin  = 20 * time.Second
	recoverWithin = 15 * time.Second // a limit of the wait, no bound of the system
	pollEvery     = 100 * time.Millisecond
	hotKeys       = 8
	rate          = 80.0                   // requests a second of each group at each service
	probed        = 250 * time.Millisecond // longest mean interval of the calls for a key that is judged
	timeout       = time.Second
	before        = 150 // served calls before a fault
	frozen        = 3 * time.Second
)

// Services of the usual deployment.
const (
	reads = "rota-board" // idempotent
	once  = "order-desk"
)

var groups = []string{"ferries", "clinics"}

// trial is a deployment under load.
type trial struct {
	*fulmarfleet.Fleet
	folder   string
	log      *fulmarhistory.Log
	calls    *tracker
	services []fulmarfleet.Service
	started  time.Time
	loads    []*running
	versions []fulmarhistory.VersionSample
	puts     []fulmarhistory.AcceptedConfig
	sampling context.CancelFunc
	samples  sync.WaitGroup
	mu       sync.Mutex // of versions and puts
}

// running is a load that was started.
type running struct {
	cancel context.CancelFunc
	done   chan struct{}
	result fulmarload.Result
}

// setUp starts a deployment and waits until it is at rest.
func setUp(ctx context.Context, change ...func(*fulmarfleet.Settings)) *trial {
	GinkgoHelper()
	folder, err := os.MkdirTemp("", "fulmarproof-")
	Expect(err).NotTo(HaveOccurred())
	settings := fulmarfleet.Settings{
		Name: "d", Folder: folder, Programs: programs, Centres: []string{"odda", "norheimsund", "eidfjord"},
		Groups: groups, Daemons: 5, Lag: 100 * time.Millisecond, Forward: true,
		Services: []fulmarfleet.Service{
			{Name: reads, Targets: 3, Slots: 12, Idempotent: true, Fenced: true},
			{Name: once, Targets: 3, Slots: 12, Fenced: true},
		},
	}
	for _, c := range change {
		c(&settings)
	}
	t := &trial{Fleet: fulmarfleet.New(settings), folder: folder, services: settings.Services}
	DeferCleanup(func() {
		t.Stop(0)
		if CurrentSpecReport().Failed() {
			AddReportEntry("trace", folder)
			return
		}
		Expect(os.RemoveAll(folder)).To(Succeed())
	})
	GinkgoWriter.Printf("%s=%d, logs and histories in %s\n", seedVariable, seed, folder)
	log, file, err := fulmarhistory.Open(filepath.Join(folder, "callers.jsonl"))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(file.Close)
	t.calls = &tracker{log: log}
	t.log = fulmarhistory.New(t.calls)
	Expect(t.Start(ctx)).To(Succeed())
	Eventually(t.unsettled, settleWithin, pollEvery).WithContext(ctx).Should(BeEmpty())
	t.awaitHorizons(ctx)
	return t
}

// begin is setUp with load, of which some was served.
func begin(ctx context.Context, change ...func(*fulmarfleet.Settings)) *trial {
	GinkgoHelper()
	t := setUp(ctx, change...)
	t.load(t.usual())
	t.awaitServed(before)
	return t
}

// awaitHorizons waits until a new id is served at each daemon for each key. A
// first dispatcher does not know what ran before it and refuses ids for a while.
func (t *trial) awaitHorizons(ctx context.Context) {
	GinkgoHelper()
	for _, d := range t.Daemons {
		for _, s := range t.services {
			for i := range hotKeys {
				a := ask{service: s.Name, group: groups[0], key: "hot-" + strconv.Itoa(i), path: "read"}
				Eventually(ctx, func() string { return t.send(d, a).Outcome }, settleWithin, pollEvery).Should(Equal("served"))
			}
		}
	}
}

// unsettled returns why the fleet is not at rest, or an empty string.
func (t *trial) unsettled(ctx context.Context) string {
	var epoch uint64
	for _, d := range t.Daemons {
		s, err := t.Operator(d).Status(ctx)
		roster := 0
		for _, m := range s.Members {
			if m.InRoster {
				roster++
			}
		}
		switch {
		case err != nil:
			return err.Error()
		case !s.CanGrant || s.Planner == "" || roster != len(t.Daemons):
			return d.ID + " is not ready"
		case epoch != 0 && s.Epoch != epoch:
			return "epochs differ"
		}
		epoch = s.Epoch
	}
	table, err := t.Operator(t.Daemons[0]).Table(ctx)
	if err != nil {
		return err.Error()
	}
	for _, s := range table.Services {
		if s.Unowned > 0 || len(s.Moving) > 0 {
			return s.Name + " has slots without an owner or in motion"
		}
	}
	for _, g := range t.Targets {
		if s := t.state(ctx, g); g.Service.Fenced && s.Remaining == 0 {
			return g.ID + " has no grant"
		}
		if g.Service.Fenced && !strings.Contains(fmt.Sprint(owners(table, g.Service.Name)), g.ID) {
			return g.ID + " owns nothing"
		}
	}
	return ""
}

func owners(table fulmaradmin.Table, service string) map[string]int {
	for _, s := range table.Services {
		if s.Name == service {
			return s.Owners
		}
	}
	return nil
}

// usual returns the load that asks for every key often.
func (t *trial) usual() fulmarload.Settings {
	settings := fulmarload.Settings{
		Seed: seed, Daemons: t.Callers(), Duration: time.Minute, HotKeysPerService: hotKeys, HotShare: 1, EvenIntervals: true,
		ShortWork: 4 * time.Millisecond, LongWork: 150 * time.Millisecond, Timeout: timeout,
		MaxAttempts: 3, MeanRetryDelay: 50 * time.Millisecond, MaxInFlight: 2000,
	}
	for _, g := range groups {
		for _, s := range t.services {
			settings.Groups = append(settings.Groups, fulmarload.Group{Name: g, Service: s.Name, AtMostOnce: !s.Idempotent, Rate: rate})
		}
	}
	return settings
}

// load starts a load that runs until it is ended.
func (t *trial) load(settings fulmarload.Settings) *running {
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{cancel: cancel, done: make(chan struct{})}
	if len(t.loads) == 0 {
		t.started = time.Now()
	}
	t.loads = append(t.loads, r)
	go func() {
		defer close(r.done)
		r.result = fulmarload.New(settings, t.log).Run(ctx)
	}()
	DeferCleanup(func() { r.end() })
	return r
}

// end ends a load and waits for its answers.
func (r *running) end() fulmarload.Result {
	r.cancel()
	<-r.done
	return r.result
}

// awaitServed waits until n more calls are served.
func (t *trial) awaitServed(n int) {
	GinkgoHelper()
	have := t.calls.served()
	Eventually(t.calls.served, recoverWithin, pollEvery).Should(BeNumerically(">=", have+n))
}

// awaitAll waits until each key was served by a call that was sent after the moment.
func (t *trial) awaitAll(since time.Time) {
	GinkgoHelper()
	Eventually(func() []string { return t.calls.missing(since, t.services) }, recoverWithin, pollEvery).Should(BeEmpty())
}

// finish waits until each key is served again after the fault, ends the load
// and checks the histories. A bound of zero is not checked.
func (t *trial) finish(fault time.Time, bound time.Duration) []fulmarhistory.Event {
	GinkgoHelper()
	t.awaitAll(fault)
	t.awaitServed(before)
	for _, r := range t.loads {
		r.end()
	}
	elapsed := time.Since(t.started)
	events, err := fulmarhistory.ReadFiles[fulmarhistory.Event](t.Histories()...)
	Expect(err).NotTo(HaveOccurred())
	calls := t.calls.all()
	GinkgoWriter.Println(outcomes(calls))
	report := fulmarhistory.Check(events, calls)
	Expect(report.Violations()).To(BeEmpty())
	gap := fulmarhistory.LongestGap(calls, int(elapsed/probed))
	AddReportEntry("longest time a key went unserved", fmt.Sprintf("%v (%s %s)", gap.Length.Round(time.Millisecond), gap.Service, gap.Key))
	Expect(gap.Ongoing).To(BeFalse(), "%s %s was not served again", gap.Service, gap.Key)
	if bound > 0 {
		Expect(gap.Length).To(BeNumerically("<=", bound), "%s %s", gap.Service, gap.Key)
	}
	return events
}

func outcomes(calls []fulmarhistory.Call) string {
	counts := map[string]int{}
	for _, c := range calls {
		counts[strings.TrimSpace(c.Outcome+" "+c.Reason)]++
	}
	return fmt.Sprint("attempts by outcome: ", counts)
}

// state returns what a target says of its grant; the zero State if it does not answer.
func (t *trial) state(ctx context.Context, g *fulmarfleet.Target) fulmargrant.State {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var s fulmargrant.State
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.Address+"/fulmarbend/grant", nil)
	Expect(err).NotTo(HaveOccurred())
	if resp, err := http.DefaultClient.Do(req); err == nil {
		defer resp.Body.Close()
		_ = json.NewDecoder(resp.Body).Decode(&s)
	}
	return s
}

// target returns the target with the id.
func (t *trial) target(id string) *fulmarfleet.Target {
	i := slices.IndexFunc(t.Targets, func(g *fulmarfleet.Target) bool { return g.ID == id })
	return t.Targets[i]
}

// victim returns a target of the service that owns keys of the usual load, so
// that a fault there concerns keys that are asked for, with its dispatcher. That
// is not the planner, whose loss is another fault.
func (t *trial) victim(ctx context.Context, service string) (*fulmarfleet.Target, *fulmarfleet.Daemon) {
	GinkgoHelper()
	planner := t.planner(ctx)
	for i := range hotKeys {
		g := t.owner(ctx, service, "hot-"+strconv.Itoa(i))
		if d := t.holder(ctx, g); d != planner {
			return g, d
		}
	}
	Fail("the planner dispatches for all targets of " + service)
	return nil, nil
}

// owner returns the target that owns a key.
func (t *trial) owner(ctx context.Context, service, key string) *fulmarfleet.Target {
	GinkgoHelper()
	e, err := t.Operator(t.Daemons[0]).Explain(ctx, service, key, "")
	Expect(err).NotTo(HaveOccurred())
	return t.target(e.Owner)
}

// holder returns the dispatcher of a target.
func (t *trial) holder(ctx context.Context, g *fulmarfleet.Target) *fulmarfleet.Daemon {
	GinkgoHelper()
	id, _, _ := strings.Cut(t.state(ctx, g).Holder, "/")
	if !g.Service.Fenced {
		targets, err := t.Operator(t.Daemons[0]).Targets(ctx)
		Expect(err).NotTo(HaveOccurred())
		for _, x := range targets {
			if x.ID == g.ID {
				id = x.Dispatcher
			}
		}
	}
	d := t.Daemon(id)
	Expect(d).NotTo(BeNil(), "%s has no dispatcher", g.ID)
	return d
}

// planner returns the planner as a daemon knows it.
func (t *trial) planner(ctx context.Context) *fulmarfleet.Daemon {
	GinkgoHelper()
	s, err := t.Operator(t.Daemons[0]).Status(ctx)
	Expect(err).NotTo(HaveOccurred())
	d := t.Daemon(s.Planner)
	Expect(d).NotTo(BeNil())
	return d
}

// others returns the daemons but those given.
func (t *trial) others(not ...*fulmarfleet.Daemon) []*fulmarfleet.Daemon {
	var out []*fulmarfleet.Daemon
	for _, d := range t.Daemons {
		if !slices.Contains(not, d) {
			out = append(out, d)
		}
	}
	return out
}

// fault puts a fault of the platform in force, and ends it at the end of the test.
func (t *trial) fault(ctx context.Context, f fulmarplatform.Fault) {
	GinkgoHelper()
	Expect(t.Platform.SetFault(ctx, f)).To(Succeed())
}

// hold waits for the duration of a fault.
func hold(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// sample notes the daemons' configuration versions until finishVersions.
func (t *trial) sample() {
	ctx, cancel := context.WithCancel(context.Background())
	t.sampling = cancel
	DeferCleanup(cancel)
	for _, d := range t.Daemons {
		t.samples.Go(func() {
			client := t.Operator(d)
			for ctx.Err() == nil {
				v := fulmarhistory.VersionSample{Daemon: d.ID, RequestedAt: time.Now().UnixNano()}
				if s, err := client.Status(ctx); err == nil {
					v.AnsweredAt = time.Now().UnixNano()
					v.Incarnation, v.Version, v.RefusesCallers = s.Incarnation, s.ConfigVersion, s.RefusalReason != ""
					t.mu.Lock()
					t.versions = append(t.versions, v)
					t.mu.Unlock()
				}
				hold(ctx, pollEvery)
			}
		})
	}
}

// expectVersions ends the sampling and checks the spread of the configurations.
func (t *trial) expectVersions() {
	GinkgoHelper()
	t.sampling()
	t.samples.Wait()
	Expect(t.versions).NotTo(BeEmpty())
	Expect(fulmarhistory.CheckConfigVersions(t.versions, t.puts, spread)).To(BeEmpty())
}

// put stores a configuration through a daemon and notes it if it was accepted.
func (t *trial) put(ctx context.Context, d *fulmarfleet.Daemon, base uint64, author, text string) (fulmaradmin.PutResult, error) {
	done, err := t.Operator(d).PutConfig(ctx, fulmaradmin.PutRequest{BaseVersion: base, OperationID: uuid.NewString(), Author: author, Text: text})
	if err == nil {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.puts = append(t.puts, fulmarhistory.AcceptedConfig{Version: done.Version, AcceptedAt: time.Now().UnixNano()})
	}
	return done, err
}

// awaitConfig waits until the daemons have the version.
func (t *trial) awaitConfig(ctx context.Context, version uint64, daemons []*fulmarfleet.Daemon) {
	GinkgoHelper()
	for _, d := range daemons {
		Eventually(func() uint64 {
			s, _ := t.Operator(d).Status(ctx)
			return s.ConfigVersion
		}, recoverWithin, pollEvery).Should(BeNumerically(">=", version), d.ID)
	}
}

// ask is one call that a test makes itself.
type ask struct {
	service, group, key, id, path string
	work                          time.Duration
	crash                         bool
	attempt                       int
	body                          int
	timeout                       time.Duration
}

// send sends a call to a daemon and notes it in the callers' history.
func (t *trial) send(d *fulmarfleet.Daemon, a ask) fulmarhistory.Call {
	const size = 512
	if a.id == "" {
		a.id = uuid.Must(uuid.NewV7()).String()
	}
	if a.timeout == 0 {
		a.timeout = timeout
	}
	service := t.services[slices.IndexFunc(t.services, func(s fulmarfleet.Service) bool { return s.Name == a.service })]
	c := fulmarhistory.Call{
		ID: a.id, Group: a.group, Service: a.service, Key: a.key, Kind: "asked", AtMostOnce: !service.Idempotent,
		Attempt: max(a.attempt, 1), Outcome: "error", WantLength: size, Start: time.Now().UnixNano(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.timeout+2*time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s/%s/%s", d.Callers, a.service, a.path)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(make([]byte, a.body)))
	if err != nil {
		panic(err)
	}
	for name, value := range map[string]string{
		fulmaroutcome.HeaderKey: a.key, fulmaroutcome.HeaderGroup: a.group, fulmaroutcome.HeaderRequestID: a.id,
		fulmaroutcome.HeaderTimeout: a.timeout.String(), fulmaroutcome.HeaderAttempt: strconv.Itoa(c.Attempt),
		fulmarserver.HeaderWork: a.work.String(), fulmarserver.HeaderSize: strconv.Itoa(size),
	} {
		req.Header.Set(name, value)
	}
	if a.crash {
		req.Header.Set(fulmarserver.HeaderCrash, "1")
	}
	exchange(req, &c)
	c.End = time.Now().UnixNano()
	_ = t.log.Append(c)
	return c
}

func exchange(req *http.Request, c *fulmarhistory.Call) {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		c.Reason = "connection"
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	c.Status, c.Length = resp.StatusCode, len(body)
	if err != nil {
		c.Reason = "body"
		return
	}
	c.Outcome, c.Reason = resp.Header.Get(fulmaroutcome.HeaderOutcome), resp.Header.Get(fulmaroutcome.HeaderReason)
	if c.Outcome == string(fulmaroutcome.Served) && c.Status != http.StatusOK {
		c.Outcome, c.Reason = "error", "status "+strconv.Itoa(c.Status)
	}
	var a fulmarserver.Answer
	if json.Unmarshal(body, &a) == nil {
		c.AnswerID = a.ID
	}
}

// tracker is the callers' history while it is written.
type tracker struct {
	log *fulmarhistory.Log

	mu    sync.Mutex
	calls []fulmarhistory.Call
	count int
	last  map[string]int64 // by service and key: start of the last served call
}

// Write takes one line of the history.
func (k *tracker) Write(line []byte) (int, error) {
	var c fulmarhistory.Call
	if err := json.Unmarshal(line, &c); err != nil {
		return 0, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.calls = append(k.calls, c)
	if c.Outcome == string(fulmaroutcome.Served) {
		if k.last == nil {
			k.last = map[string]int64{}
		}
		name := c.Service + " " + c.Key
		k.last[name] = max(k.last[name], c.Start)
		k.count++
	}
	return len(line), k.log.Append(c)
}

func (k *tracker) served() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.count
}

func (k *tracker) all() []fulmarhistory.Call {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.calls)
}

// missing returns the keys of which no call that was sent after since was served.
func (k *tracker) missing(since time.Time, services []fulmarfleet.Service) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []string
	for _, s := range services {
		for i := range hotKeys {
			if name := s.Name + " hot-" + strconv.Itoa(i); k.last[name] <= since.UnixNano() {
				out = append(out, name)
			}
		}
	}
	return out
}
