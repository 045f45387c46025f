package fulmarfollower_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarfollower"
	"github.com/fulmarbend/fulmarbend/internal/fulmarleader"
	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/internal/fulmarmemory"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarlimit"
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
	orderCost      = 80 * time.Microsecond
	zoneDelay      = 1400 * time.Microsecond
	storeDelay     = 4 * time.Millisecond
	pageEntries    = 500
)

// machine is the simulated machine of a daemon: its processor does one thing at a time, its link sends one message at a
// time.
type machine struct {
	id       string
	dc       string
	cpuShare float64
	link     float64       // bytes per second
	cpu      chan struct{} // holds a value while the processor works
	out      chan struct{} // holds a value while the link sends
	received atomic.Int64  // calls of other daemons
	sent     atomic.Int64  // bytes
	storeCut atomic.Bool   // the store rejects the machine
	peersCut atomic.Bool   // no other daemon is reached, in either direction
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
	entries   int
	mu        sync.Mutex
	daemons   map[string]*simulatedDaemon // by address
}

// simulatedDaemon is a daemon of a largeFleet.
type simulatedDaemon struct {
	*machine
	*fulmarfollower.Follower
	views *fulmarview.Holder
	stop  context.CancelFunc
}

// storeClient is a machine's client of the store.
type storeClient struct {
	fulmarkv.Store
	fleet *largeFleet
	*machine
}

func (c storeClient) reach(ctx context.Context) error {
	time.Sleep(storeDelay)
	if c.storeCut.Load() || ctx.Err() != nil {
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

func (c storeClient) Commit(ctx context.Context, t fulmarkv.Txn) (int64, error) {
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

func (c storeClient) RenewLease(ctx context.Context, l fulmarkv.Lease) error {
	if err := c.reach(ctx); err != nil {
		return err
	}
	return c.Store.RenewLease(ctx, l)
}

// Send models an order to a target.
func (m *machine) Send(_ context.Context, _ string, _ fulmarorder.Order) (string, error) {
	m.work(orderCost)
	return "", nil
}

// simulatedLink is a connection from one simulated daemon to another.
type simulatedLink struct {
	noPermits
	fleet    *largeFleet
	from, to *simulatedDaemon
}

func (simulatedLink) Close() {}

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
	if l.from.peersCut.Load() || l.to.peersCut.Load() || l.fleet.daemon(l.to.id) != l.to {
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

func (f *largeFleet) daemon(address string) *simulatedDaemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.daemons[address]
}

// newLargeFleet returns a fleet without daemons before a store with a configuration and the given number of targets.
func newLargeFleet(t *testing.T, targets int) *largeFleet {
	t.Helper()
	f := &largeFleet{store: configuredStore(t), storeLink: make(chan struct{}, 1), entries: targets, daemons: make(map[string]*simulatedDaemon)}
	for i := range targets {
		f.store.Set(fmt.Sprintf("targets/t%d", i), encode(t, target(fmt.Sprintf("t%d", i), false)))
	}
	return f
}

// start starts a daemon on a machine, or starts it again.
func (f *largeFleet) start(ctx context.Context, m *machine) {
	ctx, cancel := context.WithCancel(ctx)
	d := &simulatedDaemon{machine: m, views: fulmarview.New(), stop: cancel}
	d.Follower = fulmarfollower.New(fulmarleader.Deps{
		ID: m.id, Address: m.id, Store: storeClient{fulmarmemory.NewClient(f.store), f, m}, Registry: registry, Orders: m, Views: d.views,
		MaxGrantDuration: 10 * time.Second, CPUShare: m.cpuShare, Metrics: noMetrics{}, Log: slog.New(slog.DiscardHandler), Now: time.Now, Limits: fulmarlimit.New(), StoreForwarded: func() bool { return false },
	}, noLoad{}, func(ctx context.Context, address string) (fulmarfollower.Leader, error) {
		time.Sleep(2 * zoneDelay)
		to := f.daemon(address)
		if to == nil || to.peersCut.Load() || m.peersCut.Load() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return simulatedLink{fleet: f, from: d, to: to}, nil
	})
	f.mu.Lock()
	f.daemons[m.id] = d
	f.mu.Unlock()
	go d.Run(ctx)
}

// startAll starts n daemons in five data centres, of which every twentieth has 0.8 of a core and a link of 200 Mbit/s
// and the others 0.16 and 20 Mbit/s. Half of the processors is taken by requests.
func (f *largeFleet) startAll(ctx context.Context, n int) {
	for i := range n {
		m := &machine{
			id: fmt.Sprintf("d%d", i), dc: fmt.Sprint("dc", i%5), cpuShare: 0.08, link: 2.5e6, cpu: make(chan struct{}, 1), out: make(chan struct{}, 1),
		}
		if i < max(2, n/20) {
			m.cpuShare, m.link = 0.4, 25e6
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
	recoverBound = 15 * time.Second
)

// simulateLargeFleet runs a test with n daemons and three times as many targets, which have settled.
func simulateLargeFleet(t *testing.T, n int, test func(ctx context.Context, t *testing.T, g *WithT, f *largeFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); time.Sleep(10 * time.Second) }()
		g := NewWithT(t)
		f := newLargeFleet(t, 3*n)
		f.startAll(ctx, n)
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

// Guards against changes that come too late because all daemons ask one leader: at 295 daemons, requests reached targets
// that had left and followed an older configuration for seconds.
func TestLargeFleet(t *testing.T) {
	for _, n := range []int{30, 295} {
		t.Run(fmt.Sprint(n, " daemons"), func(t *testing.T) {
			t.Run("calm", func(t *testing.T) {
				simulateLargeFleet(t, n, func(_ context.Context, t *testing.T, g *WithT, f *largeFleet) {
					f.change(t, g, 2, "t1")
				})
			})
			t.Run("targets change all the time", func(t *testing.T) {
				simulateLargeFleet(t, n, func(ctx context.Context, t *testing.T, g *WithT, f *largeFleet) {
					go func() {
						for i := 0; ctx.Err() == nil; i++ {
							f.store.Set(fmt.Sprint("targets/t", i%f.entries), encode(t, target(fmt.Sprint("t", i%f.entries), i/f.entries%2 == 1)))
							time.Sleep(3 * time.Second / time.Duration(n))
						}
					}()
					time.Sleep(2 * time.Second)
					for version := range uint64(3) {
						f.store.Set("config", encode(t, config(version+2)))
						f.expectWithin(g, configBound, "the configuration", hasConfig(version+2))
					}
				})
			})
			t.Run("loss of the leader", func(t *testing.T) {
				simulateLargeFleet(t, n, func(_ context.Context, t *testing.T, g *WithT, f *largeFleet) {
					f.kill(f.leader(t))
					f.change(t, g, 2, "t1")
					time.Sleep(4 * time.Second)
					f.change(t, g, 3, "t2")
				})
			})
			t.Run("loss of the leader while the store rejects a third", func(t *testing.T) {
				simulateLargeFleet(t, n, func(_ context.Context, t *testing.T, g *WithT, f *largeFleet) {
					for i := range n {
						f.daemon(fmt.Sprint("d", i)).storeCut.Store(i%3 == 2)
					}
					f.kill(f.leader(t))
					f.store.Set("config", encode(t, config(2)))
					t.Log("configuration in force after", f.expectWithin(g, configBound+maxStretch, "the configuration", hasConfig(2)))
				})
			})
			t.Run("loss of all", func(t *testing.T) {
				simulateLargeFleet(t, n, func(ctx context.Context, t *testing.T, g *WithT, f *largeFleet) {
					f.restartAll(ctx)
					t.Log("owners known after", f.expectWithin(g, recoverBound, "owners", hasOwners))
					time.Sleep(4 * time.Second)
					f.change(t, g, 2, "t1")
				})
			})
		})
	}
}
