package fulmarfollow_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmardetour"
	"github.com/fulmarbend/fulmarbend/internal/fulmarfollow"
	"github.com/fulmarbend/fulmarbend/internal/fulmarlead"
	"github.com/fulmarbend/fulmarbend/internal/fulmarmemory"
	"github.com/fulmarbend/fulmarbend/internal/fulmarsnapshot"
	"github.com/fulmarbend/fulmarbend/internal/fulmarsync"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarorder"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
)

// registry decodes records that are the product's own types in JSON.
var registry = fulmarsnapshot.Decoder{
	ConfigKey: "config", TargetPrefix: "targets/",
	Config: func(value []byte) (c fulmarroute.Config, err error) {
		err = json.Unmarshal(value, &c)
		return c, err
	},
	Target: func(_ string, value []byte) (t fulmarcatalog.Target, err error) {
		err = json.Unmarshal(value, &t)
		return t, err
	},
}

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

// configured returns a store with a configuration and one target.
func configured(t *testing.T) *fulmarmemory.Store {
	t.Helper()
	store := fulmarmemory.New(time.Now)
	store.Set("config", encode(t, config(1)))
	store.Set("targets/x", encode(t, target("x", false)))
	return store
}

// orders answers every order.
type orders struct{}

func (orders) Send(context.Context, string, fulmarorder.Order) (string, error) { return "", nil }

type noReports struct{}

func (noReports) Collect() (map[string][]fulmarsync.KeyCount, []fulmarsync.TargetLoad) {
	return nil, nil
}

// fleet connects daemons of a test.
type fleet struct {
	mu      sync.Mutex
	leaders map[string]fulmarfollow.Leader // by address
	configs atomic.Int64                   // that leaders have sent
	orders  fulmarlead.OrderSender         // of all daemons; without it, orders are answered
}

// link passes reports to a daemon.
type link struct {
	*fulmarfollow.Follower
	configs *atomic.Int64 // that were sent
}

// Sync returns an update that shares nothing with those for other daemons, like one that was sent.
func (l link) Sync(ctx context.Context, r *fulmarsync.Report) (*fulmarsync.Update, error) {
	u, err := l.Follower.Sync(ctx, r)
	if err != nil {
		return nil, err
	}
	out := *u
	out.Targets = slices.Clone(u.Targets)
	if u.Config != nil {
		l.configs.Add(1)
	}
	return &out, nil
}

func (link) Close() {}

func (f *fleet) dial(_ context.Context, address string) (fulmarfollow.Leader, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l, ok := f.leaders[address]; ok {
		return l, nil
	}
	return nil, context.DeadlineExceeded
}

func (f *fleet) set(address string, l fulmarfollow.Leader) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leaders == nil {
		f.leaders = make(map[string]fulmarfollow.Leader)
	}
	f.leaders[address] = l
}

// daemon starts a follower; its view is returned.
func (f *fleet) daemon(ctx context.Context, id string, store fulmarkv.Store) *fulmarview.Holder {
	return f.strong(ctx, id, 0.2, store)
}

// strong starts a follower that has a share of a core.
func (f *fleet) strong(ctx context.Context, id string, power float64, store fulmarkv.Store) *fulmarview.Holder {
	views := fulmarview.New()
	sent := f.orders
	if sent == nil {
		sent = orders{}
	}
	detoured := func() bool { return false }
	if d, ok := store.(*fulmardetour.Store); ok {
		detoured = d.Forwarding
	}
	d := fulmarfollow.New(fulmarlead.Deps{
		ID: id, Address: id, Store: store, Registry: registry, Orders: sent, Views: views,
		MaxGrantDuration: 10 * time.Second, CPUShare: power, Log: slog.New(slog.DiscardHandler), Now: time.Now, StoreForwarded: detoured,
	}, noReports{}, f.dial)
	f.set(id, link{d, &f.configs})
	go d.Run(ctx)
	return views
}

func leaving(v *fulmarview.Holder, id string) bool {
	view := v.Get()
	if view.Catalog == nil {
		return false
	}
	t, ok := view.Catalog.Target(id)
	return ok && t.Leaving
}

// simulate runs a test in virtual time before a configured store, and lets calls that are under way end after it.
func simulate(t *testing.T, test func(ctx context.Context, t *testing.T, g *WithT, store *fulmarmemory.Store)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); time.Sleep(3 * time.Second) }()
		test(ctx, t, NewWithT(t), configured(t))
	})
}

// frozen is a leader that answers, but has not read the store since a moment.
type frozen struct {
	since   time.Time
	targets []fulmarcatalog.Target
	config  fulmarroute.Config
}

func (l *frozen) Sync(ctx context.Context, r *fulmarsync.Report) (*fulmarsync.Update, error) {
	u := &fulmarsync.Update{Versions: fulmarsync.Versions{Term: 1, Config: 1, Targets: 1}, Age: time.Since(l.since), Daemons: 2}
	if r.Versions != u.Versions {
		packed, err := fulmarsync.PackConfig(l.config)
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
	u.Age = time.Since(l.since)
	return u, nil
}

func (*frozen) Close() {}

// Guards against a leader that is cut off from the store and makes others forget what they have read since:
// a target that had said that it leaves got requests 2.02 s later.
func TestStaleLeader(t *testing.T) {
	simulate(t, func(ctx context.Context, t *testing.T, g *WithT, store *fulmarmemory.Store) {
		record, err := fulmarsnapshot.Leader{ID: "a", Address: "a"}.Encode()
		g.Expect(err).NotTo(HaveOccurred())
		store.Set(fulmarsnapshot.LeaderKey, record)
		f := &fleet{}
		f.set("a", &frozen{since: time.Now(), targets: []fulmarcatalog.Target{target("x", false)}, config: config(1)})
		view := f.daemon(ctx, "b", fulmarmemory.NewClient(store))
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

// leader returns the id of the daemon that leads, or an empty string.
func leader(t *testing.T, store *fulmarmemory.Store) string {
	t.Helper()
	reader := fulmarsnapshot.New(store, registry, slog.New(slog.DiscardHandler), time.Now)
	s, err := reader.Read(t.Context(), nil, time.Time{})
	if err != nil {
		t.Fatal(err)
	}
	if s.Leader == nil {
		return ""
	}
	return s.Leader.ID
}

// Guards against a leader on one of the weakest machines of a large fleet, where it plans too late.
func TestStrongestLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := configured(t)
		f := &fleet{}
		var ends []context.CancelFunc
		for _, d := range []struct {
			id    string
			power float64
		}{{"a", 0.1}, {"b", 0.5}, {"c", 0.5}} {
			ctx, cancel := context.WithCancel(t.Context())
			ends = append(ends, cancel)
			f.strong(ctx, d.id, d.power, fulmarmemory.NewClient(store))
		}
		time.Sleep(3 * time.Second)
		first := leader(t, store)
		g.Expect(first).To(BeElementOf("b", "c"))
		other := map[string]string{"b": "c", "c": "b"}[first]
		ends[map[string]int{"b": 1, "c": 2}[first]]()
		time.Sleep(3 * time.Second)
		g.Expect(leader(t, store)).To(Equal(other))
		ends[map[string]int{"b": 1, "c": 2}[other]]()
		time.Sleep(3 * time.Second)
		g.Expect(leader(t, store)).To(Equal("a"))
		ends[0]()
		synctest.Wait()
	})
}

// hung is a leader that accepts reports and never answers.
type hung struct{}

func (hung) Sync(ctx context.Context, _ *fulmarsync.Report) (*fulmarsync.Update, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (hung) Close() {}

// Guards against daemons that wait for a frozen leader again while its lease has run out: an election came 0.9 s
// late, and keys lost their owners meanwhile.
func TestFrozenLeader(t *testing.T) {
	simulate(t, func(ctx context.Context, t *testing.T, g *WithT, store *fulmarmemory.Store) {
		record, err := fulmarsnapshot.Leader{ID: "a", Address: "a", Nonce: 1}.Encode()
		g.Expect(err).NotTo(HaveOccurred())
		lease, err := store.Open(ctx, fulmarlead.LeaseDuration)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = store.Commit(ctx, fulmarkv.Txn{Writes: []fulmarkv.Write{{Key: fulmarsnapshot.LeaderKey, Value: record, Lease: lease}}})
		g.Expect(err).NotTo(HaveOccurred())
		f := &fleet{}
		f.set("a", hung{})
		f.strong(ctx, "b", 0.5, fulmarmemory.NewClient(store))
		time.Sleep(fulmarlead.LeaseDuration + 600*time.Millisecond)
		g.Expect(leader(t, store)).To(Equal("b"))
	})
}

// Guards against daemons that are alike and wait by their power after a loss of all of them: the election came
// 0.75 s late.
func TestRestartOfAllDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := configured(t)
		// start starts all daemons, waits, and returns who leads and how to end them.
		start := func(wait time.Duration) (string, context.CancelFunc) {
			f := &fleet{}
			ctx, cancel := context.WithCancel(t.Context())
			for _, id := range []string{"a", "b", "c"} {
				f.strong(ctx, id, 0.1, fulmarmemory.NewClient(store))
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

// slow is a store that takes a while for each answer, and longer for each fourth.
type slow struct {
	fulmarkv.Store
	calls atomic.Int64
}

func (s *slow) wait() {
	if s.calls.Add(1)%4 == 0 {
		time.Sleep(700 * time.Millisecond)
		return
	}
	time.Sleep(250 * time.Millisecond)
}

func (s *slow) Scan(ctx context.Context, prefix string) ([]fulmarkv.Item, error) {
	s.wait()
	return s.Store.Scan(ctx, prefix)
}

func (s *slow) Commit(ctx context.Context, c fulmarkv.Txn) (int64, error) {
	s.wait()
	return s.Store.Commit(ctx, c)
}

func (s *slow) Open(ctx context.Context, ttl time.Duration) (fulmarkv.Lease, error) {
	lease, err := s.Store.Open(ctx, ttl) // the lease runs from the arrival of the call
	s.wait()
	return lease, err
}

func (s *slow) Keep(ctx context.Context, l fulmarkv.Lease) error {
	err := s.Store.Keep(ctx, l)
	s.wait()
	return err
}

// Guards against a leader that gives up, or is not elected, while the store answers slowly: keys were without
// owners for two seconds.
func TestSlowStore(t *testing.T) {
	simulate(t, func(ctx context.Context, t *testing.T, g *WithT, store *fulmarmemory.Store) {
		f := &fleet{}
		f.strong(ctx, "a", 0.5, &slow{Store: fulmarmemory.NewClient(store)})
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

// held records the longest time of a grant.
type held struct{ longest atomic.Int64 }

func (h *held) Send(_ context.Context, _ string, o fulmarorder.Order) (string, error) {
	h.longest.Store(max(h.longest.Load(), int64(o.TTL)))
	return "", nil
}

// Guards against keys that lose their owners while the store is away, because the leader notices the outage only
// when its lease is about to end.
func TestOutage(t *testing.T) {
	simulate(t, func(ctx context.Context, t *testing.T, g *WithT, store *fulmarmemory.Store) {
		client, orders := fulmarmemory.NewClient(store), &held{}
		f := &fleet{orders: orders}
		f.strong(ctx, "a", 0.5, client)
		time.Sleep(3 * time.Second)
		usual := orders.longest.Load()
		client.Break(fulmarmemory.Silent)
		time.Sleep(800 * time.Millisecond)
		g.Expect(orders.longest.Load()).To(BeNumerically(">", 3*usual))
	})
}

// detour returns a way to the store that fails directly and leads through another daemon.
func detour(store *fulmarmemory.Store, direct fulmarkv.Store) fulmarkv.Store {
	log := slog.New(slog.DiscardHandler)
	other := fulmardetour.New(fulmarmemory.NewClient(store), nil, nil, log)
	return fulmardetour.New(direct, func(context.Context, string) (fulmardetour.Daemon, error) {
		return forwarder{other}, nil
	}, func() []string { return []string{"other"} }, log)
}

// forwarder is a daemon that reaches the store.
type forwarder struct{ *fulmardetour.Store }

func (forwarder) Close() {}

// Guards against a daemon that loses its leader and does not learn of the next one while it alone is cut off from the
// store.
func TestWithoutStore(t *testing.T) {
	for name, fault := range map[string]fulmarmemory.Fault{"refused": fulmarmemory.Refused, "silent": fulmarmemory.Silent} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(ctx context.Context, t *testing.T, g *WithT, store *fulmarmemory.Store) {
				f := &fleet{}
				first, end := context.WithCancel(ctx)
				f.strong(first, "a", 0.5, fulmarmemory.NewClient(store))
				f.daemon(ctx, "b", fulmarmemory.NewClient(store))
				time.Sleep(2 * time.Second)
				g.Expect(leader(t, store)).To(Equal("a"))

				client := fulmarmemory.NewClient(store)
				view := f.strong(ctx, "c", 0.1, detour(store, client))
				time.Sleep(time.Second)
				g.Expect(view.Get().Ready()).To(BeTrue())

				client.Break(fault)
				end()
				f.set("a", hung{})
				time.Sleep(5 * time.Second)
				g.Expect(leader(t, store)).To(Equal("b"))
				store.Set("config", encode(t, config(2)))
				time.Sleep(time.Second)
				g.Expect(view.Get().Routes.Version()).To(BeEquivalentTo(2))
			})
		})
	}
}

// Guards against a leader that sends the configuration again to all daemons that know it already: they lost the leader
// meanwhile, asked it for all again, and lost it once more.
func TestConfigSentOnce(t *testing.T) {
	simulate(t, func(ctx context.Context, t *testing.T, g *WithT, store *fulmarmemory.Store) {
		f := &fleet{}
		first, end := context.WithCancel(ctx)
		f.strong(first, "a", 0.5, fulmarmemory.NewClient(store))
		time.Sleep(2 * time.Second)
		view := f.daemon(ctx, "b", fulmarmemory.NewClient(store))
		f.daemon(ctx, "c", fulmarmemory.NewClient(store))
		time.Sleep(2 * time.Second)
		end()
		time.Sleep(5 * time.Second)
		g.Expect(f.configs.Load()).To(BeZero(), "daemons read it from the store before they follow")
		store.Set("config", encode(t, config(2)))
		time.Sleep(2 * time.Second)
		g.Expect(view.Get().Routes.Version()).To(BeEquivalentTo(2))
		g.Expect(f.configs.Load()).To(BeEquivalentTo(1))
	})
}

// Guards against a leader that keeps its lease through another daemon although it is cut off from most of the fleet:
// requests reached a target 2.3 s after it had said that it leaves.
func TestIsolatedLeader(t *testing.T) {
	simulate(t, func(ctx context.Context, t *testing.T, g *WithT, store *fulmarmemory.Store) {
		f := &fleet{}
		client := fulmarmemory.NewClient(store)
		f.strong(ctx, "a", 0.5, detour(store, client))
		time.Sleep(2 * time.Second)
		f.daemon(ctx, "b", fulmarmemory.NewClient(store))
		lost, lose := context.WithCancel(ctx)
		f.daemon(lost, "c", fulmarmemory.NewClient(store))
		f.daemon(lost, "d", fulmarmemory.NewClient(store))
		time.Sleep(2 * time.Second)
		g.Expect(leader(t, store)).To(Equal("a"))

		client.Break(fulmarmemory.Refused)
		lose()
		time.Sleep(4 * time.Second)
		g.Expect(leader(t, store)).To(Equal("b"))
	})
}

// Guards against daemons that know nobody through whom they could call the store.
func TestContacts(t *testing.T) {
	simulate(t, func(ctx context.Context, t *testing.T, g *WithT, store *fulmarmemory.Store) {
		f := &fleet{}
		leading := f.strong(ctx, "a", 0.5, fulmarmemory.NewClient(store))
		time.Sleep(2 * time.Second)
		for _, id := range []string{"b", "c", "d", "e", "f", "g", "h", "i", "j", "k"} {
			f.daemon(ctx, id, fulmarmemory.NewClient(store))
		}
		time.Sleep(2 * time.Second)
		store.Set("config", encode(t, config(2)))
		following := f.daemon(ctx, "z", fulmarmemory.NewClient(store))
		time.Sleep(2 * time.Second)
		g.Expect(leading.Get().Contacts).To(HaveLen(8))
		g.Expect(leading.Get().Contacts).NotTo(ContainElement("a"))
		g.Expect(following.Get().Contacts).To(HaveLen(8))
	})
}

// notedOrders records the longest grant.
type notedOrders struct {
	mu      sync.Mutex
	longest time.Duration
}

func (n *notedOrders) Send(_ context.Context, _ string, o fulmarorder.Order) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.longest = max(n.longest, o.TTL)
	return "", nil
}

// Guards against a change of leader, and against grants of 9.5 s that keys of lost targets wait for, when the leader
// alone is cut off from the store.
func TestLeaderWithoutStore(t *testing.T) {
	for name, fault := range map[string]fulmarmemory.Fault{"refused": fulmarmemory.Refused, "silent": fulmarmemory.Silent} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(ctx context.Context, t *testing.T, g *WithT, store *fulmarmemory.Store) {
				sent := &notedOrders{}
				f := &fleet{orders: sent}
				client := fulmarmemory.NewClient(store)
				f.strong(ctx, "a", 0.5, detour(store, client))
				time.Sleep(2 * time.Second)
				view := f.daemon(ctx, "b", fulmarmemory.NewClient(store))
				time.Sleep(2 * time.Second)
				g.Expect(leader(t, store)).To(Equal("a"))

				client.Break(fault)
				time.Sleep(time.Second)
				store.Set("config", encode(t, config(2)))
				for range 40 {
					time.Sleep(100 * time.Millisecond)
					g.Expect(leader(t, store)).To(Equal("a"))
				}
				g.Expect(view.Get().Routes.Version()).To(BeEquivalentTo(2))
				sent.mu.Lock()
				g.Expect(sent.longest).To(BeNumerically("<", 2*time.Second))
				sent.mu.Unlock()
			})
		})
	}
}
