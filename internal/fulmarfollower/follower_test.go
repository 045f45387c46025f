package fulmarfollower_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarcoldness"
	"github.com/fulmarbend/fulmarbend/internal/fulmarconfigreader"
	"github.com/fulmarbend/fulmarbend/internal/fulmarfollower"
	"github.com/fulmarbend/fulmarbend/internal/fulmarkvforwarder"
	"github.com/fulmarbend/fulmarbend/internal/fulmarkvmonitor"
	"github.com/fulmarbend/fulmarbend/internal/fulmarleader"
	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/internal/fulmarmemory"
	"github.com/fulmarbend/fulmarbend/internal/fulmarsnapshot"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcrash"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarera"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarlimit"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarnotice"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarorder"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarwarmup"
)

// registry decodes configurations and targets that are stored as JSON.
var registry = fulmarsnapshot.Decoder{
	ConfigKey: "config", TargetPrefix: "targets/", EvacuationPrefix: evacuations,
	Config: func(value []byte) (c fulmarroute.Config, err error) {
		err = json.Unmarshal(value, &c)
		return c, err
	},
	Target: func(_ string, value []byte) (t fulmarcatalog.Target, err error) {
		err = json.Unmarshal(value, &t)
		return t, err
	},
	Evacuation: func(key string, value []byte) (dc string, err error) {
		return strings.TrimPrefix(key, evacuations), json.Unmarshal(value, &struct{}{})
	},
}

// evacuations is the prefix of the keys of evacuations.
const evacuations = "evacuate/"

func encode(t *testing.T, v any) []byte {
	t.Helper()
	b, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func config(version uint64) fulmarroute.Config {
	return fulmarroute.Config{
		Version:  version,
		Services: []fulmarroute.Service{{Name: "board", Keyed: true}},
		Routes: []fulmarroute.Route{{
			Name: "r", Host: "h", Prefix: "/", Timeout: time.Second, Attempts: 1,
			Parts: []fulmarroute.Part{{Service: "board", Weight: 1}},
		}},
	}
}

func target(id string, leaving bool) fulmarcatalog.Target {
	return fulmarcatalog.Target{ID: id, Born: 1, Service: "board", Address: "10.0.0.1:1", DC: "a", Slots: 3, Leaving: leaving}
}

// configuredStore returns a store with a configuration and one target.
func configuredStore(t *testing.T) *fulmarmemory.Store {
	t.Helper()
	store := fulmarmemory.New(time.Now)
	store.Set("config", encode(t, config(1)))
	store.Set("targets/x", encode(t, target("x", false)))
	return store
}

// acknowledgingSender acknowledges every order.
type acknowledgingSender struct{}

func (acknowledgingSender) Send(context.Context, string, fulmarorder.Order) (fulmarorder.Reply, error) {
	return fulmarorder.Reply{Certain: true}, nil
}

// noLoad is a LoadCollector without load.
type noLoad struct{}

func (noLoad) Collect() (map[string][]fulmarleaderrpc.KeyCount, []fulmarleaderrpc.TargetLoad) {
	return nil, nil
}

// fleet connects the daemons of a test.
type fleet struct {
	mu      sync.Mutex
	leaders map[string]fulmarfollower.Leader // by address
	configs atomic.Int64                     // number of configurations that leaders have sent
	limits  atomic.Int64                     // number of limits that leaders have sent
	orders  fulmarleader.OrderSender         // used by all daemons; nil acknowledges every order

	minLease time.Duration                // shortest lease that the store grants, zero for none
	loads    fulmarfollower.LoadCollector // of all daemons; nil for no load

	firstStartTime time.Duration // within which daemons reach the store at the first start; zero for an hour
}

// inProcessLeader passes the reports of a daemon to a Follower in the same process.
type inProcessLeader struct {
	*fulmarfollower.Follower
	configs, limits *atomic.Int64 // numbers of configurations and of limits sent
}

// Sync returns a copy of the update, so that daemons share no memory, as over a network.
func (l inProcessLeader) Sync(ctx context.Context, r *fulmarleaderrpc.Report) (*fulmarleaderrpc.Update, error) {
	u, err := l.Follower.Sync(ctx, r)
	if err != nil {
		return nil, err
	}
	out := *u
	out.Targets = slices.Clone(u.Targets)
	l.limits.Add(int64(len(u.Limits)))
	if u.Config != nil {
		l.configs.Add(1)
	}
	return &out, nil
}

func (inProcessLeader) Close() {}

// dial returns the leader at the address.
func (f *fleet) dial(_ context.Context, address string) (fulmarfollower.Leader, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l, ok := f.leaders[address]; ok {
		return l, nil
	}
	return nil, context.DeadlineExceeded
}

// setLeader makes dial return l for the address.
func (f *fleet) setLeader(address string, l fulmarfollower.Leader) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leaders == nil {
		f.leaders = make(map[string]fulmarfollower.Leader)
	}
	f.leaders[address] = l
}

// start starts a follower with a CPU share of 0.2 and returns its view.
func (f *fleet) start(ctx context.Context, id string, store fulmarkv.Store) *fulmarview.Holder {
	return f.startWithCPUShare(ctx, id, 0.2, store)
}

// startWithCPUShare starts a follower with the given CPU share and returns its view.
func (f *fleet) startWithCPUShare(ctx context.Context, id string, cpuShare float64, store fulmarkv.Store) *fulmarview.Holder {
	views, _ := f.startWithLimits(ctx, id, cpuShare, store)
	return views
}

// startWithLimits starts a follower and returns its view and the limits that it knows.
func (f *fleet) startWithLimits(ctx context.Context, id string, cpuShare float64, store fulmarkv.Store) (*fulmarview.Holder, *fulmarlimit.Board) {
	views, limits := fulmarview.New(), fulmarlimit.New()
	orders := f.orders
	if orders == nil {
		orders = acknowledgingSender{}
	}
	loads := f.loads
	if loads == nil {
		loads = noLoad{}
	}
	forwarded := func() bool { return false }
	if d, ok := store.(*fulmarkvforwarder.Store); ok {
		forwarded = d.Forwarding
	}
	var eras *fulmarera.Tracker
	if c, ok := store.(*fulmarmemory.Client); ok {
		eras = c.Eras()
	}
	d := fulmarfollower.New(fulmarleader.Deps{
		Eras: eras, FirstStartBefore: time.Now().Add(cmp.Or(f.firstStartTime, time.Hour)),
		ID: id, Address: id, Store: store, Registry: registry, Orders: orders, Views: views,
		MaxGrantDuration: 10 * time.Second, MinLease: f.minLease, CPUShare: cpuShare, Metrics: noMetrics{}, Notices: fulmarnotice.New(), Crashes: fulmarcrash.New(), Log: slog.New(slog.DiscardHandler), Now: time.Now, Limits: limits, StoreForwarded: forwarded, EvacuationTime: evacuationTime,
		Coldness: fulmarcoldness.New(fulmarwarmup.Rule{Over: 1.5, Slack: 8}, views, time.Now),
	}, loads, f.dial)
	f.setLeader(id, inProcessLeader{d, &f.configs, &f.limits})
	go d.Run(ctx)
	return views, limits
}

// leaving reports whether the view shows the target as leaving.
func leaving(v *fulmarview.Holder, id string) bool {
	view := v.Get()
	if view.Catalog == nil {
		return false
	}
	t, ok := view.Catalog.Target(id)
	return ok && t.Leaving
}

// simulate runs a test in virtual time with a configured store. It lets calls in flight end afterwards.
func simulate(t *testing.T, test func(ctx context.Context, t *testing.T, g *WithT, store *fulmarmemory.Store)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); time.Sleep(3 * time.Second) }()
		test(ctx, t, NewWithT(t), configuredStore(t))
	})
}

// noMetrics drops all counts.
type noMetrics struct{}

func (noMetrics) Count(string) {}

// noPermits dispenses no permits.
type noPermits struct{}

func (noPermits) Permits(context.Context, *fulmarleaderrpc.PermitRequest) (*fulmarleaderrpc.PermitAnswer, error) {
	return nil, fulmarleaderrpc.ErrNotLeader
}

// staleLeader is a leader that answers reports but has not read the store since lastRead.
type staleLeader struct {
	noPermits
	lastRead time.Time
	targets  []fulmarcatalog.Target
	config   fulmarroute.Config
	version  uint64 // of the configuration, 1 if it is zero
}

func (l *staleLeader) Sync(ctx context.Context, r *fulmarleaderrpc.Report) (*fulmarleaderrpc.Update, error) {
	u := &fulmarleaderrpc.Update{Versions: fulmarleaderrpc.Versions{Term: 1, Config: max(l.version, 1), Targets: 1}, Age: time.Since(l.lastRead), Daemons: 2}
	if r.Versions != u.Versions {
		packed, err := fulmarleaderrpc.PackConfig(l.config)
		if err != nil {
			return nil, err
		}
		u.Config, u.Targets, u.Complete = packed, l.targets, true
		return u, nil
	}
	select {
	case <-time.After(250 * time.Millisecond):
	case <-ctx.Done():
	}
	u.Age = time.Since(l.lastRead)
	return u, nil
}

func (*staleLeader) Close() {}

// Guards against newer state that daemons have read from the store being replaced by that of a leader that is cut off
// from it: a target got requests 2.02 s after it had announced that it leaves.
func TestStaleLeader(t *testing.T) {
	simulate(t, func(ctx context.Context, t *testing.T, g *WithT, store *fulmarmemory.Store) {
		storeLeader(t, store, "a")
		f := &fleet{}
		f.setLeader("a", &staleLeader{lastRead: time.Now(), targets: []fulmarcatalog.Target{target("x", false)}, config: config(1)})
		view := f.start(ctx, "b", fulmarmemory.NewClient(store))
		time.Sleep(500 * time.Millisecond)
		g.Expect(view.Get().Ready()).To(BeTrue())

		store.Set("targets/x", encode(t, target("x", true)))
		store.Set("config", encode(t, config(2)))
		time.Sleep(1900 * time.Millisecond)
		for range 60 {
			g.Expect(leaving(view, "x")).To(BeTrue())
			g.Expect(view.Get().Routes.Version()).To(BeEquivalentTo(2))
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// storeLeader stores the record of a leader with the given id and address.
func storeLeader(t *testing.T, store *fulmarmemory.Store, id string) {
	t.Helper()
	record, err := fulmarsnapshot.Leader{ID: id, Address: id}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	store.Set(fulmarsnapshot.LeaderKey, record)
}

// leader returns the id of the daemon that leads, or an empty string.
func leader(t *testing.T, store *fulmarmemory.Store) string {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	config := fulmarconfigreader.New(store, registry.ConfigKey, registry.Config, log)
	reader := fulmarsnapshot.New(fulmarkvmonitor.New(store, time.Now), registry, config, log, time.Now)
	s, err := reader.Read(t.Context(), nil, time.Time{})
	if err != nil {
		t.Fatal(err)
	}
	if s.Leader == nil {
		return ""
	}
	return s.Leader.ID
}

// Guards against the election of one of the weakest daemons of a large fleet, whose plans come too late.
func TestStrongestLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := configuredStore(t)
		f := &fleet{}
		var stops []context.CancelFunc
		for _, d := range []struct {
			id       string
			cpuShare float64
		}{{"a", 0.1}, {"b", 0.5}, {"c", 0.5}} {
			ctx, cancel := context.WithCancel(t.Context())
			stops = append(stops, cancel)
			f.startWithCPUShare(ctx, d.id, d.cpuShare, fulmarmemory.NewClient(store))
		}
		time.Sleep(3 * time.Second)
		first := leader(t, store)
		g.Expect(first).To(BeElementOf("b", "c"))
		other := map[string]string{"b": "c", "c": "b"}[first]
		stops[map[string]int{"b": 1, "c": 2}[first]]()
		time.Sleep(3 * time.Second)
		g.Expect(leader(t, store)).To(Equal(other))
		stops[map[string]int{"b": 1, "c": 2}[other]]()
		time.Sleep(3 * time.Second)
		g.Expect(leader(t, store)).To(Equal("a"))
		stops[0]()
		synctest.Wait()
	})
}

// unresponsiveLeader is a leader that accepts reports and never answers.
type unresponsiveLeader struct{ noPermits }

func (unresponsiveLeader) Sync(ctx context.Context, _ *fulmarleaderrpc.Report) (*fulmarleaderrpc.Update, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (unresponsiveLeader) Close() {}

// Guards against daemons that call an unresponsive leader again while its lease expires: the election was delayed by
// 0.9 s, and keys lost their owners in the meantime.
func TestUnresponsiveLeader(t *testing.T) {
	simulate(t, func(ctx context.Context, t *testing.T, g *WithT, store *fulmarmemory.Store) {
		record, err := fulmarsnapshot.Leader{ID: "a", Address: "a", Nonce: 1}.Encode()
		g.Expect(err).NotTo(HaveOccurred())
		lease, err := store.CreateLease(ctx, fulmarleader.LeaseDuration)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = store.Commit(ctx, fulmarkv.Txn{Writes: []fulmarkv.Write{{Key: fulmarsnapshot.LeaderKey, Value: record, Lease: lease}}})
		g.Expect(err).NotTo(HaveOccurred())
		f := &fleet{}
		f.setLeader("a", unresponsiveLeader{})
		f.startWithCPUShare(ctx, "b", 0.5, fulmarmemory.NewClient(store))
		time.Sleep(fulmarleader.LeaseDuration + 600*time.Millisecond)
		g.Expect(leader(t, store)).To(Equal("b"))
	})
}

// shortLeaseStore is a store that grants no lease below a least time to live.
type shortLeaseStore struct {
	fulmarkv.Store
	least time.Duration
}

func (s shortLeaseStore) CreateLease(ctx context.Context, ttl time.Duration) (fulmarkv.Lease, error) {
	if ttl < s.least {
		return 0, errors.New("lease is too short")
	}
	return s.Store.CreateLease(ctx, ttl)
}

// Guards against a fleet without a leader before a store whose shortest lease is longer than the usual one, and against a leader
// that is lost for longer than that.
func TestShortestLeaseOfStore(t *testing.T) {
	simulate(t, func(ctx context.Context, t *testing.T, g *WithT, store *fulmarmemory.Store) {
		const least = 2 * time.Second
		f := &fleet{minLease: least}
		short := shortLeaseStore{fulmarmemory.NewClient(store), least}
		first, stop := context.WithCancel(ctx)
		f.startWithCPUShare(first, "a", 0.5, short)
		time.Sleep(2 * time.Second)
		g.Expect(leader(t, store)).To(Equal("a"))
		f.startWithCPUShare(ctx, "b", 0.5, short)
		time.Sleep(10 * time.Second)
		g.Expect(leader(t, store)).To(Equal("a"), "the lease is renewed in time")
		stop()
		time.Sleep(least + time.Second)
		g.Expect(leader(t, store)).To(Equal("b"))
	})
}

// unreliableStore loses the first write of the ownership tables after it was armed and refuses further ones for some time.
type unreliableStore struct {
	fulmarkv.Store
	mu     sync.Mutex
	armed  bool
	first  time.Time // when the write was lost
	values [][]byte  // tables of all writes since then
}

func (s *unreliableStore) Commit(ctx context.Context, txn fulmarkv.Txn) (fulmarera.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range txn.Writes {
		if w.Key != fulmarsnapshot.TablesKey || !s.armed {
			continue
		}
		s.values = append(s.values, w.Value)
		if s.first.IsZero() {
			s.first = time.Now()
			return 0, fulmarkv.ErrAmbiguous
		}
		if time.Since(s.first) < 2*time.Second {
			return 0, fulmarkv.ErrUnavailable
		}
		s.armed = false
	}
	return s.Store.Commit(ctx, txn)
}

// Guards against other tables that are written, and acted on, while an unacknowledged write of the former ones may still take
// effect: the next leader would count the grants of the owners that they keep as shorter than they are, and two targets would own
// a key (TestOneHolder).
func TestUnacknowledgedTables(t *testing.T) {
	simulate(t, func(ctx context.Context, t *testing.T, g *WithT, store *fulmarmemory.Store) {
		unreliable := &unreliableStore{Store: fulmarmemory.NewClient(store)}
		(&fleet{}).startWithCPUShare(ctx, "a", 0.5, unreliable)
		time.Sleep(3 * time.Second)
		unreliable.mu.Lock()
		unreliable.armed = true
		unreliable.mu.Unlock()
		store.Set("targets/y", encode(t, target("y", false)))
		store.Remove("targets/x")
		time.Sleep(1500 * time.Millisecond)
		store.Set("targets/z", encode(t, target("z", false)))
		time.Sleep(3 * time.Second)
		g.Expect(len(unreliable.values)).To(BeNumerically(">", 2))
		for _, v := range unreliable.values {
			g.Expect(v).To(Equal(unreliable.values[0]))
		}
		g.Expect(unreliable.armed).To(BeFalse(), "the write is repeated until it is acknowledged")
	})
}

// Guards against equally weak daemons that all wait for stronger ones after a restart of the whole fleet: the election
// was delayed by 0.75 s.
func TestRestartOfAllDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := configuredStore(t)
		// start starts all daemons, waits, and returns the leader and a function that stops them.
		start := func(wait time.Duration) (string, context.CancelFunc) {
			f := &fleet{}
			ctx, cancel := context.WithCancel(t.Context())
			for _, id := range []string{"a", "b", "c"} {
				f.startWithCPUShare(ctx, id, 0.1, fulmarmemory.NewClient(store))
			}
			time.Sleep(wait)
			return leader(t, store), cancel
		}
		first, cancel := start(3 * time.Second)
		g.Expect(first).NotTo(BeEmpty())
		cancel()
		time.Sleep(2 * time.Second)
		again, cancel := start(300 * time.Millisecond)
		g.Expect(again).NotTo(BeEmpty())
		cancel()
		synctest.Wait()
	})
}

// slowStore is a store that takes 250 ms for each answer, and 700 ms for every fourth one.
type slowStore struct {
	fulmarkv.Store
	calls   atomic.Int64
	offset  int64 // number of calls by which the slow answers begin earlier
	givesUp bool  // callers get no answer after the deadline of their call
}

// wait returns err when the answer has arrived, or unanswered if the caller gives up before.
func (s *slowStore) wait(ctx context.Context, err, unanswered error) error {
	delay := 250 * time.Millisecond
	if (s.calls.Add(1)+s.offset)%4 == 0 {
		delay = 700 * time.Millisecond
	}
	if !s.givesUp {
		ctx = context.WithoutCancel(ctx)
	}
	select {
	case <-time.After(delay):
		return err
	case <-ctx.Done():
		return unanswered
	}
}

func (s *slowStore) Scan(ctx context.Context, prefix string) ([]fulmarkv.Item, error) {
	items, err := s.Store.Scan(ctx, prefix)
	return items, s.wait(ctx, err, fulmarkv.ErrUnavailable)
}

func (s *slowStore) Commit(ctx context.Context, c fulmarkv.Txn) (fulmarera.Revision, error) {
	revision, err := s.Store.Commit(ctx, c)
	return revision, s.wait(ctx, err, fulmarkv.ErrAmbiguous)
}

// CreateLease returns a lease that runs from the arrival of the call.
func (s *slowStore) CreateLease(ctx context.Context, ttl time.Duration) (fulmarkv.Lease, error) {
	lease, err := s.Store.CreateLease(ctx, ttl)
	return lease, s.wait(ctx, err, fulmarkv.ErrAmbiguous)
}

func (s *slowStore) RenewLease(ctx context.Context, l fulmarkv.Lease) error {
	return s.wait(ctx, s.Store.RenewLease(ctx, l), fulmarkv.ErrAmbiguous)
}

// Guards against a leader that loses its lease, or is not elected, because the store is slow: keys had no owners for
// two seconds.
func TestSlowStore(t *testing.T) {
	keepsTerm := func(t *testing.T, offset int64, givesUp bool) {
		simulate(t, func(ctx context.Context, t *testing.T, g *WithT, store *fulmarmemory.Store) {
			f := &fleet{}
			f.startWithCPUShare(ctx, "a", 0.5, &slowStore{Store: fulmarmemory.NewClient(store), offset: offset, givesUp: givesUp})
			time.Sleep(4 * time.Second)
			items, err := store.Scan(ctx, fulmarsnapshot.LeaderKey)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(items).To(HaveLen(1))
			term := items[0].Revision
			for range 80 {
				time.Sleep(100 * time.Millisecond)
				items, err = store.Scan(ctx, fulmarsnapshot.LeaderKey)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(items).To(HaveLen(1))
				g.Expect(items[0].Revision).To(Equal(term))
			}
		})
	}
	for offset := range int64(4) {
		t.Run(fmt.Sprintf("answers always arrive, slow ones %d calls earlier", offset), func(t *testing.T) { keepsTerm(t, offset, false) })
		t.Run(fmt.Sprintf("callers give up, slow ones %d calls earlier", offset), func(t *testing.T) { keepsTerm(t, offset, true) })
	}
}

// grantRecorder acknowledges every order and records the longest duration of a grant.
type grantRecorder struct{ longest atomic.Int64 }

func (h *grantRecorder) Send(_ context.Context, _ string, o fulmarorder.Order) (fulmarorder.Reply, error) {
	h.longest.Store(max(h.longest.Load(), int64(o.TTL)))
	return fulmarorder.Reply{Certain: true}, nil
}

// Guards against keys that lose their owners during an outage of the store because the leader notices it only when
// its lease is about to expire.
func TestStoreOutage(t *testing.T) {
	simulate(t, func(ctx context.Context, t *testing.T, g *WithT, store *fulmarmemory.Store) {
		client, orders := fulmarmemory.NewClient(store), &grantRecorder{}
		f := &fleet{orders: orders}
		f.startWithCPUShare(ctx, "a", 0.5, client)
		time.Sleep(3 * time.Second)
		normal := orders.longest.Load()
		client.SetFault(fulmarmemory.NoResponse)
		time.Sleep(800 * time.Millisecond)
		g.Expect(orders.longest.Load()).To(BeNumerically(">", 3*normal))
	})
}

// noAddresses returns no daemons that could forward calls.
func noAddresses() []string { return nil }

// forwardingStore returns a store that uses direct and falls back to another daemon, which reaches the store.
func forwardingStore(store *fulmarmemory.Store, direct fulmarkv.Store) fulmarkv.Store {
	log := slog.New(slog.DiscardHandler)
	other := fulmarkvforwarder.New(fulmarmemory.NewClient(store), nil, noAddresses, noAddresses, nil, log)
	return fulmarkvforwarder.New(direct, func(context.Context, string) (fulmarkvforwarder.Daemon, error) {
		return peer{other}, nil
	}, func() []string { return []string{"other"} }, noAddresses, nil, log)
}

// peer is a daemon that reaches the store.
type peer struct{ *fulmarkvforwarder.Store }

func (peer) Close() {}

// Guards against a daemon that alone is cut off from the store and does not learn of the next leader after the loss of
// the current one.
func TestDaemonCutOffFromStore(t *testing.T) {
	for name, fault := range map[string]fulmarmemory.Fault{"refused": fulmarmemory.Rejected, "silent": fulmarmemory.NoResponse} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(ctx context.Context, t *testing.T, g *WithT, store *fulmarmemory.Store) {
				f := &fleet{}
				leaderCtx, stopLeader := context.WithCancel(ctx)
				f.startWithCPUShare(leaderCtx, "a", 0.5, fulmarmemory.NewClient(store))
				f.start(ctx, "b", fulmarmemory.NewClient(store))
				time.Sleep(2 * time.Second)
				g.Expect(leader(t, store)).To(Equal("a"))

				client := fulmarmemory.NewClient(store)
				view := f.startWithCPUShare(ctx, "c", 0.1, forwardingStore(store, client))
				time.Sleep(time.Second)
				g.Expect(view.Get().Ready()).To(BeTrue())

				client.SetFault(fault)
				stopLeader()
				f.setLeader("a", unresponsiveLeader{})
				time.Sleep(5 * time.Second)
				g.Expect(leader(t, store)).To(Equal("b"))
				store.Set("config", encode(t, config(2)))
				time.Sleep(time.Second)
				g.Expect(view.Get().Routes.Version()).To(BeEquivalentTo(2))
			})
		})
	}
}

// Guards against a new leader that sends the configuration to daemons that have it already: they lost the connection
// meanwhile, requested the full state again, and lost the connection once more.
func TestConfigSentOnce(t *testing.T) {
	simulate(t, func(ctx context.Context, t *testing.T, g *WithT, store *fulmarmemory.Store) {
		f := &fleet{}
		leaderCtx, stopLeader := context.WithCancel(ctx)
		f.startWithCPUShare(leaderCtx, "a", 0.5, fulmarmemory.NewClient(store))
		time.Sleep(2 * time.Second)
		view := f.start(ctx, "b", fulmarmemory.NewClient(store))
		f.start(ctx, "c", fulmarmemory.NewClient(store))
		time.Sleep(2 * time.Second)
		stopLeader()
		time.Sleep(5 * time.Second)
		g.Expect(f.configs.Load()).To(BeZero(), "daemons read it from the store before they follow")
		store.Set("config", encode(t, config(2)))
		time.Sleep(2 * time.Second)
		g.Expect(view.Get().Routes.Version()).To(BeEquivalentTo(2))
		g.Expect(f.configs.Load()).To(BeEquivalentTo(1))
	})
}

// Guards against a leader that renews its lease through another daemon although it is cut off from most of the fleet:
// requests reached a target 2.3 s after it had announced that it leaves.
func TestIsolatedLeader(t *testing.T) {
	simulate(t, func(ctx context.Context, t *testing.T, g *WithT, store *fulmarmemory.Store) {
		f := &fleet{}
		client := fulmarmemory.NewClient(store)
		f.startWithCPUShare(ctx, "a", 0.5, forwardingStore(store, client))
		time.Sleep(2 * time.Second)
		f.start(ctx, "b", fulmarmemory.NewClient(store))
		lostCtx, stopLost := context.WithCancel(ctx)
		f.start(lostCtx, "c", fulmarmemory.NewClient(store))
		f.start(lostCtx, "d", fulmarmemory.NewClient(store))
		time.Sleep(2 * time.Second)
		g.Expect(leader(t, store)).To(Equal("a"))

		client.SetFault(fulmarmemory.Rejected)
		stopLost()
		time.Sleep(4 * time.Second)
		g.Expect(leader(t, store)).To(Equal("b"))
	})
}

// Guards against daemons that know no other daemon that could forward their calls to the store.
func TestContacts(t *testing.T) {
	simulate(t, func(ctx context.Context, t *testing.T, g *WithT, store *fulmarmemory.Store) {
		f := &fleet{}
		leading := f.startWithCPUShare(ctx, "a", 0.5, fulmarmemory.NewClient(store))
		time.Sleep(2 * time.Second)
		for _, id := range []string{"b", "c", "d", "e", "f", "g", "h", "i", "j", "k"} {
			f.start(ctx, id, fulmarmemory.NewClient(store))
		}
		time.Sleep(2 * time.Second)
		store.Set("config", encode(t, config(2)))
		following := f.start(ctx, "z", fulmarmemory.NewClient(store))
		time.Sleep(2 * time.Second)
		g.Expect(leading.Get().Contacts).To(HaveLen(8))
		g.Expect(leading.Get().Contacts).NotTo(ContainElement("a"))
		g.Expect(following.Get().Contacts).To(HaveLen(8))
	})
}

// longestGrant acknowledges every order and records the longest duration of a grant.
type longestGrant struct {
	mu      sync.Mutex
	longest time.Duration
}

func (n *longestGrant) Send(_ context.Context, _ string, o fulmarorder.Order) (fulmarorder.Reply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.longest = max(n.longest, o.TTL)
	return fulmarorder.Reply{Certain: true}, nil
}

// Guards against two effects when the leader alone is cut off from the store: a change of leader, and extended grants
// of 9.5 s, for which the keys of lost targets would have to wait.
func TestLeaderCutOffFromStore(t *testing.T) {
	for name, fault := range map[string]fulmarmemory.Fault{"refused": fulmarmemory.Rejected, "silent": fulmarmemory.NoResponse} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(ctx context.Context, t *testing.T, g *WithT, store *fulmarmemory.Store) {
				orders := &longestGrant{}
				f := &fleet{orders: orders}
				client := fulmarmemory.NewClient(store)
				f.startWithCPUShare(ctx, "a", 0.5, forwardingStore(store, client))
				time.Sleep(2 * time.Second)
				view := f.start(ctx, "b", fulmarmemory.NewClient(store))
				time.Sleep(2 * time.Second)
				g.Expect(leader(t, store)).To(Equal("a"))

				client.SetFault(fault)
				time.Sleep(time.Second)
				store.Set("config", encode(t, config(2)))
				for range 40 {
					time.Sleep(100 * time.Millisecond)
					g.Expect(leader(t, store)).To(Equal("a"))
				}
				g.Expect(view.Get().Routes.Version()).To(BeEquivalentTo(2))
				orders.mu.Lock()
				g.Expect(orders.longest).To(BeNumerically("<", 2*time.Second))
				orders.mu.Unlock()
			})
		})
	}
}
