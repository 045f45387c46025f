package fulmarfollower_test

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarcrashexchange"
	"github.com/fulmarbend/fulmarbend/internal/fulmarfollower"
	"github.com/fulmarbend/fulmarbend/internal/fulmarkvforwarder"
	"github.com/fulmarbend/fulmarbend/internal/fulmarleader"
	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/internal/fulmarmemory"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcrash"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarera"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarlimit"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarnotice"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarorder"
)

// Costs of the model: processor time of a core (measured with drpc and CBOR on one core of the machine of the journal
// entries), sizes of messages, and delays of the users' pages.
const (
	callCost       = 25 * time.Microsecond // each side of a call
	bytesPerTarget = 100                   // of an update
	bytesPerSpan   = 20
	byteCost       = 9 * time.Nanosecond // each side, to encode or decode
	entryCost      = 12 * time.Microsecond
	entryBytes     = 420 // of a target's entry in an answer of the store
	zoneDelay      = 1400 * time.Microsecond
	storeDelay     = 4 * time.Millisecond
	pageEntries    = 500
	dialTimeout    = 300 * time.Millisecond
)

// machine is the simulated machine of a daemon: its processor does one thing at a time, its link sends one message at a
// time.
type machine struct {
	id        string
	dc        string
	cpuShare  float64
	link      float64                         // bytes per second
	orderCost time.Duration                   // processor time
	cpu       chan struct{}                   // holds a value while the processor works
	out       chan struct{}                   // holds a value while the link sends
	received  atomic.Int64                    // calls of other daemons
	sent      atomic.Int64                    // bytes
	storeCut  atomic.Bool                     // the store rejects the machine
	oldBuild  bool                            // the daemon's build knows no relays
	hears     func(from string) bool          // whether answers and calls of a daemon arrive; nil for all
	peersCut  atomic.Bool                     // no other daemon is reached, in either direction
	lost      atomic.Bool                     // without power
	release   func(o fulmarorder.Order) error // models the answer of a target to a release; nil answers at once
}

// use occupies a resource for d.
func use(resource chan struct{}, d time.Duration) {
	resource <- struct{}{}
	time.Sleep(d)
	<-resource
}

func (m *machine) work(d time.Duration) {
	use(m.cpu, time.Duration(float64(d)/m.cpuShare))
}

func (m *machine) send(bytes int) {
	m.sent.Add(int64(bytes))
	use(m.out, time.Duration(float64(bytes)/m.link*float64(time.Second)))
}

// largeFleet simulates daemons, their machines and links, and the store in virtual time.
type largeFleet struct {
	store     *fulmarmemory.Store
	storeLink chan struct{}
	size      fleetSize
	entries   int
	mu        sync.Mutex
	daemons   map[string]*simulatedDaemon // by address
	loadSince time.Time                   // when the load was last reset

	forwardedScansFail atomic.Bool            // scans of the store through other daemons get no answer
	lostDC             atomic.Pointer[string] // the data centre without power
	lostOrders         atomic.Int64           // orders to its targets
	longestGrant       atomic.Int64           // longest duration of a grant
}

// simulatedDaemon is a daemon of a largeFleet.
type simulatedDaemon struct {
	*machine
	*fulmarfollower.Follower
	exchange *fulmarcrashexchange.Exchange
	store    *fulmarkvforwarder.Store
	views    *fulmarview.Holder
	stop     context.CancelFunc
	notices  *fulmarnotice.Board
	crashes  *fulmarcrash.Board
}

// storeClient is a machine's client of the store.
type storeClient struct {
	fulmarkv.Store
	fleet *largeFleet
	*machine
}

func (c storeClient) reach(ctx context.Context) error {
	time.Sleep(storeDelay)
	if c.lost.Load() || c.storeCut.Load() || ctx.Err() != nil {
		return fulmarkv.ErrUnavailable
	}
	return nil
}

// transfer passes n entries over the links of the store and the machine, and lets the machine decode them.
func (c storeClient) transfer(ctx context.Context, n int) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for left := n; left > 0; left -= pageEntries {
			bytes := min(left, pageEntries) * entryBytes
			time.Sleep(storeDelay)
			use(c.fleet.storeLink, time.Duration(float64(bytes)/125e6*float64(time.Second)))
			time.Sleep(time.Duration(float64(bytes) / c.link * float64(time.Second)))
			c.work(time.Duration(min(left, pageEntries)) * entryCost)
		}
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fulmarkv.ErrUnavailable
	}
}

func (c storeClient) Scan(ctx context.Context, prefix string) ([]fulmarkv.Item, error) {
	if err := c.reach(ctx); err != nil {
		return nil, err
	}
	items, err := c.Store.Scan(ctx, prefix)
	if err != nil {
		return nil, err
	}
	return items, c.transfer(ctx, len(items))
}

func (c storeClient) ReadStale(ctx context.Context, key string) (fulmarkv.Item, bool, error) {
	if err := c.reach(ctx); err != nil {
		return fulmarkv.Item{}, false, err
	}
	return c.Store.ReadStale(ctx, key)
}

func (c storeClient) Commit(ctx context.Context, t fulmarkv.Txn) (fulmarera.Revision, error) {
	if err := c.reach(ctx); err != nil {
		return 0, err
	}
	return c.Store.Commit(ctx, t)
}

func (c storeClient) CreateLease(ctx context.Context, ttl time.Duration) (fulmarkv.Lease, error) {
	if err := c.reach(ctx); err != nil {
		return 0, err
	}
	return c.Store.CreateLease(ctx, ttl)
}

func (c storeClient) RevokeLease(ctx context.Context, l fulmarkv.Lease) error {
	if err := c.reach(ctx); err != nil {
		return err
	}
	return c.Store.RevokeLease(ctx, l)
}

func (c storeClient) RenewLease(ctx context.Context, l fulmarkv.Lease) error {
	if err := c.reach(ctx); err != nil {
		return err
	}
	return c.Store.RenewLease(ctx, l)
}

// simulatedLink is a connection from one simulated daemon to another.
type simulatedLink struct {
	noPermits
	fleet    *largeFleet
	from, to *simulatedDaemon
}

func (simulatedLink) Close() {}

// canHear reports whether messages between two machines arrive.
func (m *machine) canHear(other *simulatedDaemon) bool { return m.hears == nil || m.hears(other.id) }

// withoutRelays returns the report that an earlier build sends in place of r.
func withoutRelays(r *fulmarleaderrpc.Report) *fulmarleaderrpc.Report {
	out := *r
	out.DC, out.Members, out.KnowsRelays, out.ToRelay, out.Direct = "", nil, false, false, false
	out.Crashes, out.KnowsCrashes = nil, false
	out.Versions.Source, out.Versions.Relays, out.Versions.Crashes = 0, 0, 0
	return &out
}

// updateBytes returns the size of an update on the wire.
func updateBytes(u *fulmarleaderrpc.Update) int {
	n := 90 + bytesPerTarget*len(u.Targets) + len(u.Config)
	for _, spans := range u.Owners {
		n += bytesPerSpan * len(spans)
	}
	return n
}

func (l simulatedLink) Sync(ctx context.Context, r *fulmarleaderrpc.Report) (*fulmarleaderrpc.Update, error) {
	l.from.work(callCost)
	l.from.send(300)
	time.Sleep(zoneDelay)
	if l.from.oldBuild {
		r = withoutRelays(r)
	}
	if l.from.peersCut.Load() || l.to.peersCut.Load() || !l.from.canHear(l.to) || l.fleet.daemon(l.to.id) != l.to {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	type answer struct {
		*fulmarleaderrpc.Update
		err error
	}
	answers := make(chan answer, 1)
	go func() {
		l.to.received.Add(1)
		l.to.work(callCost)
		u, err := l.to.Sync(ctx, r)
		if err == nil {
			size := updateBytes(u)
			l.to.work(time.Duration(size) * byteCost)
			l.to.send(size)
		}
		time.Sleep(zoneDelay)
		if l.to.lost.Load() {
			return
		}
		answers <- answer{u, err}
	}()
	select {
	case a := <-answers:
		if a.err != nil {
			return nil, a.err
		}
		l.from.work(callCost + time.Duration(updateBytes(a.Update))*byteCost)
		out := *a.Update
		out.Targets = slices.Clone(a.Targets) // daemons share no memory
		return &out, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// ExchangeCrashes models an exchange of two daemons without a leader.
func (l simulatedLink) ExchangeCrashes(ctx context.Context, c *fulmarleaderrpc.CrashExchange) (*fulmarleaderrpc.CrashExchange, error) {
	l.from.work(callCost)
	l.from.send(300)
	time.Sleep(zoneDelay)
	l.to.work(callCost)
	answer, err := l.to.exchange.ExchangeCrashes(ctx, c)
	l.to.send(300)
	time.Sleep(zoneDelay)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return answer, err
}

// Forward models a call of the store through another daemon.
func (l simulatedLink) Forward(ctx context.Context, c *fulmarleaderrpc.StoreCall) (*fulmarleaderrpc.StoreAnswer, error) {
	l.from.work(callCost)
	time.Sleep(zoneDelay)
	l.to.work(callCost)
	if c.Scan != nil && l.fleet.forwardedScansFail.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	a, err := l.to.store.Forward(ctx, c)
	if err == nil {
		l.to.send(entryBytes * len(a.Items))
		l.from.work(entryCost * time.Duration(len(a.Items)))
	}
	time.Sleep(zoneDelay)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return a, err
}

// connect returns the daemon at address, unless the machine m cannot reach it.
func (f *largeFleet) connect(ctx context.Context, m *machine, address string) (*simulatedDaemon, error) {
	time.Sleep(2 * zoneDelay)
	to := f.daemon(address)
	if to == nil || to.peersCut.Load() || m.peersCut.Load() {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return to, nil
}

func (f *largeFleet) daemon(address string) *simulatedDaemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.daemons[address]
}

// fleetSize is the size of a simulated fleet.
type fleetSize struct {
	daemons, targets int
	unkeyed          int     // one of so many targets is of a service without keys; zero for none
	strongCPUShare   float64 // of every twentieth daemon, less what requests take
	weakCPUShare     float64 // of the others
	weakLink         float64 // in bytes per second
	orderCost        time.Duration
	dcs              int // number of data centres
}

func (s fleetSize) String() string {
	return fmt.Sprintf("%d daemons, %d targets", s.daemons, s.targets)
}

// sizeOf returns the size of a fleet of n daemons with the machines of hkv-rota-large, of whose processors requests take
// half, and three targets each.
func sizeOf(n int) fleetSize {
	return fleetSize{daemons: n, targets: 3 * n, strongCPUShare: 0.4, weakCPUShare: 0.08, weakLink: 2.5e6, orderCost: 80 * time.Microsecond, dcs: 5}
}

// manyTargets is the size at which configurations came too late: the machines of osierbank-hub-grown, and ten targets each.
// A leader that sends 2,700 orders a second has none of its 0.8 of a core left there.
var manyTargets = fleetSize{
	daemons: 310, targets: 3006, unkeyed: 3, strongCPUShare: 0.8, weakCPUShare: 0.112, weakLink: 1.25e6, orderCost: 300 * time.Microsecond, dcs: 5,
}

// newLargeFleet returns a fleet without daemons before a store with a configuration and the targets of the size.
func newLargeFleet(t *testing.T, size fleetSize) *largeFleet {
	t.Helper()
	f := &largeFleet{store: configuredStore(t), storeLink: make(chan struct{}, 1), size: size, entries: size.targets, daemons: make(map[string]*simulatedDaemon)}
	for i := range size.targets {
		x := target(fmt.Sprintf("t%d", i), false)
		x.DC = size.targetDC(i)
		if size.unkeyed > 0 && i%size.unkeyed == 0 {
			x.Service = "desk"
		}
		f.store.Set("targets/"+x.ID, encode(t, x))
	}
	return f
}

// steadyLoad is a LoadCollector with a request of each of some targets in every report, also of daemons that know no targets yet: callers
// keep connections over a change of leader.
type steadyLoad struct{}

func (steadyLoad) Collect() (map[string][]fulmarleaderrpc.KeyCount, []fulmarleaderrpc.TargetLoad) {
	return nil, []fulmarleaderrpc.TargetLoad{{Target: "t1", Answered: 1, ResponseTime: 20 * time.Millisecond}, {Target: "t2", Answered: 1, ResponseTime: 20 * time.Millisecond}}
}

// start starts a daemon on a machine, or starts it again.
func (f *largeFleet) start(ctx context.Context, m *machine) {
	ctx, cancel := context.WithCancel(ctx)
	d := &simulatedDaemon{machine: m, views: fulmarview.New(), stop: cancel, notices: fulmarnotice.New(), crashes: fulmarcrash.New()}
	log, eras := slog.New(slog.DiscardHandler), fulmarera.New(noEvents{}, time.Now)
	d.store = fulmarkvforwarder.New(storeClient{fulmarmemory.NewClient(f.store).WithEras(eras), f, m}, func(ctx context.Context, address string) (fulmarkvforwarder.Daemon, error) {
		to, err := f.connect(ctx, m, address)
		return simulatedLink{fleet: f, from: d, to: to}, err
	}, func() []string { return d.views.Get().Contacts }, func() []string { return d.views.Get().Peers(m.id) }, eras, log)
	deps := fulmarleader.Deps{
		ID: m.id, Address: m.id, DC: m.dc, Store: d.store, Registry: registry, Orders: targetLinks{f, m}, Views: d.views,
		MaxGrantDuration: 10 * time.Second, CPUShare: m.cpuShare, Metrics: noMetrics{}, Notices: d.notices, Crashes: d.crashes, Log: log, Now: time.Now, Limits: fulmarlimit.New(), StoreForwarded: d.store.Forwarding, EvacuationTime: evacuationTime, Eras: eras, FirstStartBefore: time.Now().Add(time.Hour),
	}
	d.Follower = fulmarfollower.New(deps, steadyLoad{}, func(ctx context.Context, address string) (fulmarfollower.Leader, error) {
		to, err := f.connect(ctx, m, address)
		return simulatedLink{fleet: f, from: d, to: to}, err
	})
	f.mu.Lock()
	f.daemons[m.id] = d
	f.mu.Unlock()
	exchange := fulmarcrashexchange.New(fulmarcrashexchange.Deps{
		Record: deps.RecordCrashes, Crashes: d.crashes, HasLeader: d.HasLeader, Peers: func() []string { return d.views.Get().Peers(m.id) }, Log: log, Now: time.Now,
		Dial: func(ctx context.Context, address string) (fulmarcrashexchange.Daemon, error) {
			to, err := f.connect(ctx, m, address)
			return simulatedLink{fleet: f, from: d, to: to}, err
		},
	})
	d.exchange = exchange
	go d.Run(ctx)
	go exchange.Run(ctx)
}

// startAll starts the daemons, spread over the data centres. Every twentieth has 0.8 of a core and a link of 200 Mbit/s.
func (f *largeFleet) startAll(ctx context.Context) {
	n := f.size.daemons
	for i := range n {
		m := &machine{
			id: fmt.Sprintf("d%d", i), dc: fmt.Sprint("dc", i%f.size.dcs), cpuShare: f.size.weakCPUShare, link: f.size.weakLink, orderCost: f.size.orderCost,
			cpu: make(chan struct{}, 1), out: make(chan struct{}, 1),
		}
		if i < max(2, n/20) {
			m.cpuShare, m.link = f.size.strongCPUShare, 25e6
		}
		f.start(ctx, m)
	}
}

// restartAll ends all daemons and starts them again.
func (f *largeFleet) restartAll(ctx context.Context) {
	f.mu.Lock()
	var machines []*machine
	for _, d := range f.daemons {
		d.stop()
		machines = append(machines, d.machine)
	}
	clear(f.daemons)
	f.mu.Unlock()
	time.Sleep(time.Second)
	for _, m := range machines {
		f.start(ctx, m)
	}
}

// kill ends a daemon for good.
func (f *largeFleet) kill(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons[id].stop()
	delete(f.daemons, id)
}

// setStoreCut cuts all daemons off from the store, or ends that.
func (f *largeFleet) setStoreCut(cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.daemons {
		d.storeCut.Store(cut)
	}
}

// resetLoad makes logLoad count from now on.
func (f *largeFleet) resetLoad() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loadSince = time.Now()
	for _, d := range f.daemons {
		d.received.Store(0)
		d.sent.Store(0)
	}
}

// logLoad logs the load by messages of the busiest and the middle daemon since the last resetLoad.
func (f *largeFleet) logLoad(t *testing.T) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	var calls, kilobytes []float64
	seconds := time.Since(f.loadSince).Seconds()
	for _, d := range f.daemons {
		calls = append(calls, float64(d.received.Load())/seconds)
		kilobytes = append(kilobytes, float64(d.sent.Load())/1000/seconds)
	}
	slices.Sort(calls)
	slices.Sort(kilobytes)
	n := len(calls)
	t.Logf("calls a second: busiest %.0f, middle %.0f; KB sent a second: busiest %.1f, middle %.1f", calls[n-1], calls[n/2], kilobytes[n-1], kilobytes[n/2])
}

// missing returns the number of daemons for which ok is false.
func (f *largeFleet) missing(ok func(d *simulatedDaemon) bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, d := range f.daemons {
		if !ok(d) {
			n++
		}
	}
	return n
}

// expectWithin waits until ok holds for all daemons but excused ones, at most for limit.
func (f *largeFleet) expectWithin(g Gomega, limit time.Duration, what string, ok func(d *simulatedDaemon) bool) time.Duration {
	began := time.Now()
	for time.Since(began) < limit && f.missing(ok) > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	g.ExpectWithOffset(1, f.missing(ok)).To(BeZero(), "daemons without: "+what)
	return time.Since(began)
}

func hasConfig(version uint64) func(d *simulatedDaemon) bool {
	return func(d *simulatedDaemon) bool {
		v := d.views.Get()
		return v.Routes != nil && v.Routes.Version() >= version
	}
}

func knowsLeaving(id string) func(d *simulatedDaemon) bool {
	return func(d *simulatedDaemon) bool { return leaving(d.views, id) }
}

func hasOwners(d *simulatedDaemon) bool {
	v := d.views.Get()
	span, ok := v.Owners["board"].Find(0)
	return ok && span.Ready
}

// The bounds of the users for hkv-rota-large: a configuration is in force after 3 s, after 6 s more while the store rejects
// some daemons, a target that leaves gets requests for 3 s, and requests are served 15 s after the loss of all daemons.
const (
	configBound  = 3 * time.Second
	maxStretch   = 6 * time.Second
	leavingBound = 3 * time.Second
	stateBound   = 2 * time.Second // of the leader's state: a second less than leavingBound, for the way to the daemons
	recoverBound = 15 * time.Second
)

// simulateLargeFleet runs a test with n daemons and three times as many targets, which have settled.
func simulateLargeFleet(t *testing.T, n int, test func(ctx context.Context, t *testing.T, g *WithT, f *largeFleet)) {
	t.Helper()
	simulateSize(t, sizeOf(n), test)
}

// simulateSize runs a test with a fleet of the given size, which has settled.
func simulateSize(t *testing.T, size fleetSize, test func(ctx context.Context, t *testing.T, g *WithT, f *largeFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		// Work that waits for the processors of a fleet that is overloaded, as in a failed test, ends first.
		defer func() { cancel(); time.Sleep(time.Minute) }()
		g := NewWithT(t)
		f := newLargeFleet(t, size)
		f.startAll(ctx)
		f.expectWithin(g, recoverBound, "owners after the start", hasOwners)
		time.Sleep(2 * time.Second)
		test(ctx, t, g, f)
	})
}

// change writes a configuration and a target that leaves, and expects that all daemons know both in time.
func (f *largeFleet) change(t *testing.T, g Gomega, version uint64, id string) {
	t.Helper()
	f.store.Set("config", encode(t, config(version)))
	f.store.Set("targets/"+id, encode(t, target(id, true)))
	t.Log("configuration in force after", f.expectWithin(g, configBound, "the configuration", hasConfig(version)))
	f.expectWithin(g, leavingBound, "the leaving target", knowsLeaving(id))
}

func (f *largeFleet) leader(t *testing.T) string {
	t.Helper()
	return leader(t, f.store)
}

// fleetSizes returns the numbers of daemons to simulate. FULMARFOLLOWER_DAEMONS replaces them by another one, as 1,500 take
// minutes.
func fleetSizes(t *testing.T) []fleetSize {
	t.Helper()
	text := os.Getenv("FULMARFOLLOWER_DAEMONS")
	if text == "" {
		return []fleetSize{sizeOf(30), sizeOf(295), manyTargets}
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return []fleetSize{sizeOf(n)}
}

// Guards against changes that come too late because all daemons ask one leader: at 295 daemons, requests reached targets
// that had left and followed an older configuration for seconds.
func TestLargeFleet(t *testing.T) {
	for _, size := range fleetSizes(t) {
		t.Run(size.String(), func(t *testing.T) {
			t.Run("targets change all the time", func(t *testing.T) {
				simulateSize(t, size, func(ctx context.Context, t *testing.T, g *WithT, f *largeFleet) {
					f.change(t, g, 2, "t1")
					go func() {
						for i := 0; ctx.Err() == nil; i++ {
							f.store.Set(fmt.Sprint("targets/t", i%f.entries), encode(t, target(fmt.Sprint("t", i%f.entries), i/f.entries%2 == 1)))
							time.Sleep(3 * time.Second / time.Duration(size.daemons))
						}
					}()
					time.Sleep(time.Second)
					f.resetLoad()
					time.Sleep(time.Second)
					f.logLoad(t)
					for version := range uint64(3) {
						f.store.Set("config", encode(t, config(version+3)))
						f.expectWithin(g, configBound, "the configuration", hasConfig(version+3))
					}
				})
			})
			// Guards against a leader whose orders to targets take the processor time that its reads of the store need: its
			// state was up to 7.2 s old.
			t.Run("age of the leader's state", func(t *testing.T) {
				simulateSize(t, size, func(_ context.Context, t *testing.T, g *WithT, f *largeFleet) {
					time.Sleep(5 * time.Second) // all targets have been granted keys
					var oldest time.Duration
					for began := time.Now(); time.Since(began) < 5*time.Second; time.Sleep(50 * time.Millisecond) {
						oldest = max(oldest, time.Since(f.daemon(f.leader(t)).views.Get().AsOf))
					}
					t.Log("at most", oldest)
					g.Expect(oldest).To(BeNumerically("<", stateBound))
				})
			})
			t.Run("loss of the leader", func(t *testing.T) {
				simulateSize(t, size, func(_ context.Context, t *testing.T, g *WithT, f *largeFleet) {
					f.kill(f.leader(t))
					f.change(t, g, 2, "t1")
					time.Sleep(4 * time.Second)
					f.change(t, g, 3, "t2")
				})
			})
			t.Run("loss of the leader while the store rejects a third", func(t *testing.T) {
				simulateSize(t, size, func(_ context.Context, t *testing.T, g *WithT, f *largeFleet) {
					for i := range size.daemons {
						f.daemon(fmt.Sprint("d", i)).storeCut.Store(i%3 == 2)
					}
					f.kill(f.leader(t))
					f.store.Set("config", encode(t, config(2)))
					t.Log("configuration in force after", f.expectWithin(g, configBound+maxStretch, "the configuration", hasConfig(2)))
				})
			})
			t.Run("loss of all", func(t *testing.T) {
				simulateSize(t, size, func(ctx context.Context, t *testing.T, g *WithT, f *largeFleet) {
					f.restartAll(ctx)
					t.Log("owners known after", f.expectWithin(g, recoverBound, "owners", hasOwners))
					time.Sleep(4 * time.Second)
					f.change(t, g, 2, "t1")
				})
			})
		})
	}
}

// smallestWithRelays is the number of daemons of tests about relays: three of each data centre follow two relays there.
const smallestWithRelays = 50

// relays returns the relays of which the daemons know.
func (f *largeFleet) relays() (out []*simulatedDaemon) {
	for _, r := range f.daemon("d49").views.Get().Relays {
		out = append(out, f.daemon(r.Address))
	}
	return out
}

// isReached returns whether a daemon is in touch with the others; those that are not are excused from bounds.
func isReached(ok func(d *simulatedDaemon) bool) func(d *simulatedDaemon) bool {
	return func(d *simulatedDaemon) bool { return d.peersCut.Load() || ok(d) }
}

// Guards against daemons that keep to a relay without news. Relays are ordinary daemons, and any number of them may fail.
func TestRelays(t *testing.T) {
	simulate := func(name string, test func(ctx context.Context, t *testing.T, g *WithT, f *largeFleet)) {
		t.Run(name, func(t *testing.T) {
			simulateLargeFleet(t, smallestWithRelays, func(ctx context.Context, t *testing.T, g *WithT, f *largeFleet) {
				g.Expect(f.relays()).To(HaveLen(10))
				test(ctx, t, g, f)
			})
		})
	}
	simulate("load", func(_ context.Context, t *testing.T, g *WithT, f *largeFleet) {
		f.resetLoad()
		time.Sleep(2 * time.Second)
		g.Expect(f.daemon(f.leader(t)).received.Load()).To(BeNumerically("<", 11*2*6), "10 relays and the leader's checks")
		g.Expect(f.store.Calls("ScanPrefix")).To(BeNumerically("<=", smallestWithRelays+15), "reads of the configuration: one by each daemon at its start")
	})
	simulate("half are lost", func(_ context.Context, t *testing.T, g *WithT, f *largeFleet) {
		for i, r := range f.relays() {
			if i%2 == 0 {
				f.kill(r.id)
			}
		}
		f.change(t, g, 2, "t1")
	})
	simulate("all are lost with the leader", func(_ context.Context, t *testing.T, g *WithT, f *largeFleet) {
		relays := f.relays()
		f.kill(f.leader(t))
		for _, r := range relays {
			f.kill(r.id)
		}
		time.Sleep(3 * time.Second)
		f.change(t, g, 2, "t1")
		time.Sleep(5 * time.Second)
		g.Expect(f.relays()).To(HaveLen(10), "others have taken their place")
	})
	simulate("a data centre's are cut off from all", func(_ context.Context, t *testing.T, g *WithT, f *largeFleet) {
		for _, r := range f.relays() {
			r.peersCut.Store(r.dc == "dc1")
		}
		f.store.Set("config", encode(t, config(2)))
		f.expectWithin(g, configBound, "the configuration", isReached(hasConfig(2)))
	})
	// Such a relay answers, with a state that gets older and older.
	simulate("some reach neither the leader nor the store", func(_ context.Context, t *testing.T, g *WithT, f *largeFleet) {
		stale := make(map[string]bool)
		for i, r := range f.relays() {
			if i%2 == 0 {
				stale[r.id] = true
				r.storeCut.Store(true)
				r.hears = func(from string) bool { return from == "" || !stale[from] && f.leader(t) != from }
			}
		}
		time.Sleep(time.Second)
		f.store.Set("config", encode(t, config(2)))
		f.store.Set("targets/t1", encode(t, target("t1", true)))
		f.expectWithin(g, configBound, "the configuration", func(d *simulatedDaemon) bool { return stale[d.id] || hasConfig(2)(d) })
		f.expectWithin(g, leavingBound, "the leaving target", func(d *simulatedDaemon) bool { return stale[d.id] || knowsLeaving("t1")(d) })
	})
	// Guards against daemons that learn only from the store, which may be late, that a target leaves, and against a new leader
	// that takes the word of the store for newer.
	simulate("a target tells one daemon that it leaves", func(_ context.Context, t *testing.T, g *WithT, f *largeFleet) {
		f.daemon("d49").notices.RecordLeaving(target("t1", false).Incarnation(), time.Now())
		f.expectWithin(g, time.Second, "the leaving target", knowsLeaving("t1"))
		f.expectWithin(g, leavingBound, "other owners of its keys", func(d *simulatedDaemon) bool {
			return !slices.ContainsFunc(d.views.Get().Owners["board"], func(s fulmarview.Span) bool { return s.Target == "t1" })
		})
		f.kill(f.leader(t))
		time.Sleep(4 * time.Second)
		f.expectWithin(g, time.Second, "the leaving target", knowsLeaving("t1"))
		f.store.Set("targets/t1", encode(t, fulmarcatalog.Target{ID: "t1", Born: 2, Service: "board", Address: "10.0.0.1:1", DC: "a", Slots: 3}))
		f.expectWithin(g, 2*time.Second, "the target's next start", func(d *simulatedDaemon) bool { return !leaving(d.views, "t1") })
	})
	// Guards against a stampede on the store of daemons that have neither a relay nor the leader.
	simulate("a third reaches nobody", func(_ context.Context, t *testing.T, g *WithT, f *largeFleet) {
		for i := range smallestWithRelays {
			d := f.daemon(fmt.Sprint("d", i))
			d.peersCut.Store(i%3 == 0 && d.cpuShare < 0.1)
		}
		time.Sleep(2 * time.Second)
		before, configs := f.store.Calls("Scan"), f.store.Calls("ScanPrefix")
		f.change(t, g, 2, "t1")
		time.Sleep(2 * time.Second)
		g.Expect(f.store.Calls("Scan")-before).To(BeNumerically("<", 17*2*4+20), "one for 1.1 s, and the leader's")
		g.Expect(f.store.Calls("ScanPrefix")-configs).To(BeNumerically("<", 17*2*4+20), "of the configuration: one for 1.4 s")
	})
	// Guards against a mixed fleet in which daemons of an earlier build, which cannot follow relays, get no state or ask all
	// the time.
	simulate("some are of an earlier build", func(ctx context.Context, t *testing.T, g *WithT, f *largeFleet) {
		for i := range 5 {
			m := f.daemon(fmt.Sprint("d", smallestWithRelays-2-i)).machine
			f.kill(m.id)
			m.oldBuild = true
			f.start(ctx, m)
		}
		time.Sleep(4 * time.Second)
		f.resetLoad()
		f.change(t, g, 2, "t1")
		time.Sleep(2 * time.Second)
		f.logLoad(t)
		g.Expect(f.daemon(f.leader(t)).received.Load()).To(BeNumerically("<", 15*2*8))
	})
}
