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

// Bounds of sections 1.1, 1.6 and 2.3 of the design.
const (
	unavailabilityBound    = 2 * time.Second
	drainBound             = 3 * time.Second
	configPropagationBound = 5 * time.Second
	configStalenessBound   = 5 * time.Second
)

const (
	settleTimeout     = 20 * time.Second
	recoveryTimeout   = 15 * time.Second // limit for test assertions, not a bound of the system
	pollInterval      = 100 * time.Millisecond
	hotKeys           = 8
	groupRate         = 80.0                   // requests a second from each group to each service
	maxMeanInterval   = 250 * time.Millisecond // longest mean interval between the calls for a key at which its gaps are measured
	attemptTimeout    = time.Second
	servedBeforeFault = 150 // number of served calls
	freezeDuration    = 3 * time.Second
)

// Services of the default deployment.
const (
	idempotentService = "rota-board"
	atMostOnceService = "order-desk"
)

var groups = []string{"ferries", "clinics"}

// testDeployment is a running deployment with its load and its records.
type testDeployment struct {
	*fulmarfleet.Fleet
	folder          string
	log             *fulmarhistory.Log
	recorder        *callRecorder
	services        []fulmarfleet.Service
	loadStart       time.Time
	runningLoads    []*runningLoad
	versionSamples  []fulmarhistory.VersionSample
	acceptedConfigs []fulmarhistory.AcceptedConfig
	stopSampling    context.CancelFunc
	samplers        sync.WaitGroup
	mu              sync.Mutex // guards versionSamples and acceptedConfigs
}

// runningLoad is a load that was started.
type runningLoad struct {
	cancel context.CancelFunc
	done   chan struct{}
	result fulmarload.Result
}

// startDeployment starts a deployment and waits until it is stable.
func startDeployment(ctx context.Context, change ...func(*fulmarfleet.Settings)) *testDeployment {
	GinkgoHelper()
	folder, err := os.MkdirTemp("", "fulmarproof-")
	Expect(err).NotTo(HaveOccurred())
	settings := fulmarfleet.Settings{
		Name: "d", Folder: folder, Programs: programs, DataCentres: []string{"odda", "norheimsund", "eidfjord"},
		Groups: groups, DaemonCount: 5, ServerListLag: 100 * time.Millisecond, UseForwarders: true,
		Services: []fulmarfleet.Service{
			{Name: idempotentService, TargetCount: 3, SlotCount: 12, Idempotent: true, Fenced: true},
			{Name: atMostOnceService, TargetCount: 3, SlotCount: 12, Fenced: true},
		},
	}
	for _, c := range change {
		c(&settings)
	}
	t := &testDeployment{Fleet: fulmarfleet.New(settings), folder: folder, services: settings.Services}
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
	t.recorder = &callRecorder{log: log}
	t.log = fulmarhistory.New(t.recorder)
	Expect(t.Start(ctx)).To(Succeed())
	Eventually(t.unsettledReason, settleTimeout, pollInterval).WithContext(ctx).Should(BeEmpty())
	t.awaitHorizons(ctx)
	return t
}

// startUnderLoad is startDeployment with the default load. It waits until some calls are served.
func startUnderLoad(ctx context.Context, change ...func(*fulmarfleet.Settings)) *testDeployment {
	GinkgoHelper()
	t := startDeployment(ctx, change...)
	t.startLoad(t.defaultLoad())
	t.awaitServedCalls(servedBeforeFault)
	return t
}

// awaitHorizons waits until each daemon serves a new id for each key. The first
// dispatcher of a slot does not know what ran before it, so that it refuses ids that
// are not newer than its deduplication horizon.
func (t *testDeployment) awaitHorizons(ctx context.Context) {
	GinkgoHelper()
	for _, d := range t.Daemons {
		for _, s := range t.services {
			for i := range hotKeys {
				a := request{service: s.Name, group: groups[0], key: "hot-" + strconv.Itoa(i), path: "read"}
				Eventually(ctx, func() string { return t.sendRequest(d, a).Outcome }, settleTimeout, pollInterval).Should(Equal("served"))
			}
		}
	}
}

// unsettledReason returns why the fleet is not stable yet, or an empty string.
func (t *testDeployment) unsettledReason(ctx context.Context) string {
	var epoch uint64
	for _, d := range t.Daemons {
		s, err := t.OperatorClient(d).Status(ctx)
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
			return "daemons have different epochs"
		}
		epoch = s.Epoch
	}
	table, err := t.OperatorClient(t.Daemons[0]).Table(ctx)
	if err != nil {
		return err.Error()
	}
	for _, s := range table.Services {
		if s.Unowned > 0 || len(s.Moving) > 0 {
			return s.Name + " has slots that are unowned or moving"
		}
	}
	for _, g := range t.Targets {
		if s := t.grantState(ctx, g); g.Service.Fenced && s.Remaining == 0 {
			return g.ID + " has no grant"
		}
		if g.Service.Fenced && !strings.Contains(fmt.Sprint(ownedSlots(table, g.Service.Name)), g.ID) {
			return g.ID + " owns no slots"
		}
	}
	return ""
}

// ownedSlots returns the number of slots of a service by owner.
func ownedSlots(table fulmaradmin.Table, service string) map[string]int {
	for _, s := range table.Services {
		if s.Name == service {
			return s.Owners
		}
	}
	return nil
}

// defaultLoad returns a load that requests every hot key at short, even intervals.
func (t *testDeployment) defaultLoad() fulmarload.Settings {
	settings := fulmarload.Settings{
		Seed: seed, Daemons: t.CallerAddresses(), Duration: time.Minute, HotKeysPerService: hotKeys, HotShare: 1, EvenIntervals: true,
		ShortWork: 4 * time.Millisecond, LongWork: 150 * time.Millisecond, Timeout: attemptTimeout,
		MaxAttempts: 3, MeanRetryDelay: 50 * time.Millisecond, MaxInFlight: 2000,
	}
	for _, g := range groups {
		for _, s := range t.services {
			settings.Groups = append(settings.Groups, fulmarload.Group{Name: g, Service: s.Name, AtMostOnce: !s.Idempotent, Rate: groupRate})
		}
	}
	return settings
}

// startLoad starts a load that runs until it is stopped.
func (t *testDeployment) startLoad(settings fulmarload.Settings) *runningLoad {
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningLoad{cancel: cancel, done: make(chan struct{})}
	if len(t.runningLoads) == 0 {
		t.loadStart = time.Now()
	}
	t.runningLoads = append(t.runningLoads, r)
	go func() {
		defer close(r.done)
		r.result = fulmarload.New(settings, t.log).Run(ctx)
	}()
	DeferCleanup(func() { r.stop() })
	return r
}

// stop ends the load and waits for its answers.
func (r *runningLoad) stop() fulmarload.Result {
	r.cancel()
	<-r.done
	return r.result
}

// awaitServedCalls waits until n more calls are served.
func (t *testDeployment) awaitServedCalls(n int) {
	GinkgoHelper()
	count := t.recorder.servedCalls()
	Eventually(t.recorder.servedCalls, recoveryTimeout, pollInterval).Should(BeNumerically(">=", count+n))
}

// awaitAllKeysServed waits until, for each key, a call that was sent after since is served.
func (t *testDeployment) awaitAllKeysServed(since time.Time) {
	GinkgoHelper()
	Eventually(func() []string { return t.recorder.unservedKeys(since, t.services) }, recoveryTimeout, pollInterval).Should(BeEmpty())
}

// finishAndCheck waits until each key is served again after the fault, stops the
// loads and checks the histories. If bound is not zero, it limits the longest gap.
func (t *testDeployment) finishAndCheck(faultTime time.Time, bound time.Duration) []fulmarhistory.Event {
	GinkgoHelper()
	t.awaitAllKeysServed(faultTime)
	t.awaitServedCalls(servedBeforeFault)
	for _, r := range t.runningLoads {
		r.stop()
	}
	elapsed := time.Since(t.loadStart)
	events, err := fulmarhistory.ReadFiles[fulmarhistory.Event](t.HistoryPaths()...)
	Expect(err).NotTo(HaveOccurred())
	calls := t.recorder.allCalls()
	GinkgoWriter.Println(formatOutcomes(calls))
	report := fulmarhistory.Check(events, calls)
	Expect(report.Violations()).To(BeEmpty())
	gap := fulmarhistory.LongestGap(calls, int(elapsed/maxMeanInterval))
	AddReportEntry("longest time a key went unserved", fmt.Sprintf("%v (%s %s)", gap.Length.Round(time.Millisecond), gap.Service, gap.Key))
	Expect(gap.Ongoing).To(BeFalse(), "%s %s was not served again", gap.Service, gap.Key)
	if bound > 0 {
		Expect(gap.Length).To(BeNumerically("<=", bound), "%s %s", gap.Service, gap.Key)
	}
	return events
}

func formatOutcomes(calls []fulmarhistory.Call) string {
	counts := map[string]int{}
	for _, c := range calls {
		counts[strings.TrimSpace(c.Outcome+" "+c.Reason)]++
	}
	return fmt.Sprint("attempts by outcome: ", counts)
}

// grantState returns a target's state of its grant, or the zero State if it does not answer.
func (t *testDeployment) grantState(ctx context.Context, g *fulmarfleet.Target) fulmargrant.State {
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

// targetByID returns the target with the id.
func (t *testDeployment) targetByID(id string) *fulmarfleet.Target {
	i := slices.IndexFunc(t.Targets, func(g *fulmarfleet.Target) bool { return g.ID == id })
	return t.Targets[i]
}

// victim returns a target of the service and its dispatcher, for fault injection.
// The target owns a key of the default load, so that a fault affects requested keys.
// The dispatcher is not the planner, whose loss is a separate fault.
func (t *testDeployment) victim(ctx context.Context, service string) (*fulmarfleet.Target, *fulmarfleet.Daemon) {
	GinkgoHelper()
	planner := t.planner(ctx)
	for i := range hotKeys {
		g := t.keyOwner(ctx, service, "hot-"+strconv.Itoa(i))
		if d := t.dispatcher(ctx, g); d != planner {
			return g, d
		}
	}
	Fail("the planner is the dispatcher of all targets of " + service)
	return nil, nil
}

// keyOwner returns the target that owns a key.
func (t *testDeployment) keyOwner(ctx context.Context, service, key string) *fulmarfleet.Target {
	GinkgoHelper()
	e, err := t.OperatorClient(t.Daemons[0]).Explain(ctx, service, key, "")
	Expect(err).NotTo(HaveOccurred())
	return t.targetByID(e.Owner)
}

// dispatcher returns the dispatcher of a target.
func (t *testDeployment) dispatcher(ctx context.Context, g *fulmarfleet.Target) *fulmarfleet.Daemon {
	GinkgoHelper()
	id, _, _ := strings.Cut(t.grantState(ctx, g).Holder, "/")
	if !g.Service.Fenced {
		targets, err := t.OperatorClient(t.Daemons[0]).Targets(ctx)
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

// planner returns the planner as reported by the first daemon.
func (t *testDeployment) planner(ctx context.Context) *fulmarfleet.Daemon {
	GinkgoHelper()
	s, err := t.OperatorClient(t.Daemons[0]).Status(ctx)
	Expect(err).NotTo(HaveOccurred())
	d := t.Daemon(s.Planner)
	Expect(d).NotTo(BeNil())
	return d
}

// daemonsExcept returns all daemons but those given.
func (t *testDeployment) daemonsExcept(not ...*fulmarfleet.Daemon) []*fulmarfleet.Daemon {
	var out []*fulmarfleet.Daemon
	for _, d := range t.Daemons {
		if !slices.Contains(not, d) {
			out = append(out, d)
		}
	}
	return out
}

// setPlatformFault sets the fault that the platform injects. The zero Fault ends it.
func (t *testDeployment) setPlatformFault(ctx context.Context, f fulmarplatform.Fault) {
	GinkgoHelper()
	Expect(t.Platform.SetFault(ctx, f)).To(Succeed())
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// startVersionSampling records the configuration versions of all daemons until checkVersions is called.
func (t *testDeployment) startVersionSampling() {
	ctx, cancel := context.WithCancel(context.Background())
	t.stopSampling = cancel
	DeferCleanup(cancel)
	for _, d := range t.Daemons {
		t.samplers.Go(func() {
			client := t.OperatorClient(d)
			for ctx.Err() == nil {
				v := fulmarhistory.VersionSample{Daemon: d.ID, RequestedAt: time.Now().UnixNano()}
				if s, err := client.Status(ctx); err == nil {
					v.AnsweredAt = time.Now().UnixNano()
					v.Incarnation, v.Version, v.RefusesCallers = s.Incarnation, s.ConfigVersion, s.RefusalReason != ""
					t.mu.Lock()
					t.versionSamples = append(t.versionSamples, v)
					t.mu.Unlock()
				}
				sleep(ctx, pollInterval)
			}
		})
	}
}

// checkVersions stops the sampling and checks that configurations took effect in time and did not revert.
func (t *testDeployment) checkVersions() {
	GinkgoHelper()
	t.stopSampling()
	t.samplers.Wait()
	Expect(t.versionSamples).NotTo(BeEmpty())
	Expect(fulmarhistory.CheckConfigVersions(t.versionSamples, t.acceptedConfigs, configPropagationBound)).To(BeEmpty())
}

// putConfig stores a configuration through a daemon and records it if it was accepted.
func (t *testDeployment) putConfig(ctx context.Context, d *fulmarfleet.Daemon, base uint64, author, text string) (fulmaradmin.PutResult, error) {
	done, err := t.OperatorClient(d).PutConfig(ctx, fulmaradmin.PutRequest{BaseVersion: base, OperationID: uuid.NewString(), Author: author, Text: text})
	if err == nil {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.acceptedConfigs = append(t.acceptedConfigs, fulmarhistory.AcceptedConfig{Version: done.Version, AcceptedAt: time.Now().UnixNano()})
	}
	return done, err
}

// awaitConfig waits until the daemons have the version or a newer one.
func (t *testDeployment) awaitConfig(ctx context.Context, version uint64, daemons []*fulmarfleet.Daemon) {
	GinkgoHelper()
	for _, d := range daemons {
		Eventually(func() uint64 {
			s, _ := t.OperatorClient(d).Status(ctx)
			return s.ConfigVersion
		}, recoveryTimeout, pollInterval).Should(BeNumerically(">=", version), d.ID)
	}
}

// request is a single request that a test sends outside the load.
type request struct {
	service, group, key, id, path string
	work                          time.Duration
	crash                         bool
	attempt                       int
	body                          int
	timeout                       time.Duration
}

// sendRequest sends one attempt to a daemon and records it in the callers' history.
func (t *testDeployment) sendRequest(d *fulmarfleet.Daemon, a request) fulmarhistory.Call {
	const size = 512
	if a.id == "" {
		a.id = uuid.Must(uuid.NewV7()).String()
	}
	if a.timeout == 0 {
		a.timeout = attemptTimeout
	}
	service := t.services[slices.IndexFunc(t.services, func(s fulmarfleet.Service) bool { return s.Name == a.service })]
	c := fulmarhistory.Call{
		ID: a.id, Group: a.group, Service: a.service, Key: a.key, Kind: "asked", AtMostOnce: !service.Idempotent,
		Attempt: max(a.attempt, 1), Outcome: "error", WantLength: size, Start: time.Now().UnixNano(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.timeout+2*time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s/%s/%s", d.CallerAddress, a.service, a.path)
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

// exchange sends req and fills in the result of the call.
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

// callRecorder keeps the calls in memory while it writes them to the callers' history.
type callRecorder struct {
	log *fulmarhistory.Log

	mu              sync.Mutex
	calls           []fulmarhistory.Call
	servedCount     int
	lastServedStart map[string]int64 // by service and key: start of the served call that was sent last
}

// Write records one line of the callers' history.
func (k *callRecorder) Write(line []byte) (int, error) {
	var c fulmarhistory.Call
	if err := json.Unmarshal(line, &c); err != nil {
		return 0, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.calls = append(k.calls, c)
	if c.Outcome == string(fulmaroutcome.Served) {
		if k.lastServedStart == nil {
			k.lastServedStart = map[string]int64{}
		}
		name := c.Service + " " + c.Key
		k.lastServedStart[name] = max(k.lastServedStart[name], c.Start)
		k.servedCount++
	}
	return len(line), k.log.Append(c)
}

func (k *callRecorder) servedCalls() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.servedCount
}

func (k *callRecorder) allCalls() []fulmarhistory.Call {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.calls)
}

// unservedKeys returns the hot keys for which no call sent after since was served.
func (k *callRecorder) unservedKeys(since time.Time, services []fulmarfleet.Service) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []string
	for _, s := range services {
		for i := range hotKeys {
			if name := s.Name + " hot-" + strconv.Itoa(i); k.lastServedStart[name] <= since.UnixNano() {
				out = append(out, name)
			}
		}
	}
	return out
}
