package fulmarfront

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/internal/fulmardetour"
	"github.com/fulmarbend/fulmarbend/internal/fulmarfollow"
	"github.com/fulmarbend/fulmarbend/internal/fulmarlead"
	"github.com/fulmarbend/fulmarbend/internal/fulmarlink"
	"github.com/fulmarbend/fulmarbend/internal/fulmarloads"
	"github.com/fulmarbend/fulmarbend/internal/fulmarmetric"
	"github.com/fulmarbend/fulmarbend/internal/fulmarrelay"
	"github.com/fulmarbend/fulmarbend/internal/fulmarretain"
	"github.com/fulmarbend/fulmarbend/internal/fulmarserve"
	"github.com/fulmarbend/fulmarbend/internal/fulmarsnapshot"
	"github.com/fulmarbend/fulmarbend/internal/fulmarsync"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarallowance"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarpick"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
)

const (
	dialTimeout = 400 * time.Millisecond
	// lostAfter is the time without acknowledgement after which a connection counts as cut.
	lostAfter   = 3 * time.Second
	idleTimeout = 8 * time.Second
	// wholeAnswer bounds the answers that are held until they are complete, in bytes.
	wholeAnswer = 256 << 10
	sweepEvery  = time.Second
	retention   = time.Minute // of what is known of a target that is no longer listed
	samples     = 2           // targets that are compared for a request

	// noticed is the time after SIGTERM until callers are led to other daemons: the readiness check has
	// failed twice, a second apart.
	noticed   = 2300 * time.Millisecond
	lastCall  = 400 * time.Millisecond // of the grace kept for the end of the process
	drainPoll = 20 * time.Millisecond
	// drainMargin covers the way of a request to a leaving target.
	drainMargin = 150 * time.Millisecond

	collectorShare = 4 // the heap may grow to that share of the memory before it is collected hard
	collectorRate  = 200
)

// defaults bound callers before a configuration is known.
var defaults = fulmarserve.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// Platform is what connects the daemon to the platform that it runs on.
type Platform struct {
	NewStore  func(address string, client *http.Client) fulmarkv.Store
	Registry  fulmarsnapshot.Decoder
	NewOrders func(pool *fulmarlink.Pool) fulmarlead.OrderSender
	Names     fulmarrelay.Names
	ReadyPath string
}

// Front is one daemon.
type Front struct {
	settings  Settings                 // at the start
	current   atomic.Pointer[Settings] // after the last reload
	platform  Platform
	log       *slog.Logger
	metrics   *fulmarmetric.Metrics
	views     *fulmarview.Holder
	pool      *fulmarlink.Pool // for requests
	orders    *fulmarlink.Pool // for orders
	store     *switched
	detour    *fulmardetour.Store
	board     *fulmarpick.Balancer
	allowance *fulmarallowance.RetryBudget
	follower  *fulmarfollow.Follower
	server    *fulmarserve.Server
	leaving   chan struct{}
}

// New returns a daemon that does nothing until Run.
func New(s Settings, p Platform, log *slog.Logger) (*Front, error) {
	metrics, err := fulmarmetric.New()
	if err != nil {
		return nil, err
	}
	link := fulmarlink.Settings{
		DialTimeout: dialTimeout, AckTimeout: lostAfter, IdleTimeout: idleTimeout, BodyLimit: wholeAnswer, RequestIDHeader: p.Names.RequestID,
	}
	f := &Front{
		settings: s, platform: p, log: log, metrics: metrics, views: fulmarview.New(),
		pool: fulmarlink.New(link), orders: fulmarlink.New(link), leaving: make(chan struct{}),
		store: newSwitched(p.NewStore(s.Store, storeClient())), allowance: fulmarallowance.New(s.RetryRule),
	}
	f.current.Store(&s)
	f.detour = fulmardetour.New(f.store, func(ctx context.Context, address string) (fulmardetour.Daemon, error) {
		return fulmarsync.Dial(ctx, address)
	}, func() []string { return f.views.Get().Contacts }, log)
	f.board = fulmarpick.New(samples, rand.NewPCG(rand.Uint64(), rand.Uint64()))
	loads := fulmarloads.New(f.board)
	f.follower = fulmarfollow.New(fulmarlead.Deps{
		ID: s.ID, Address: s.Listen.Peers, Store: f.detour, Registry: p.Registry,
		Orders: p.NewOrders(f.orders), Views: f.views, MaxGrantDuration: s.MaxGrant, CPUShare: s.CPUShare, Log: log, Now: fulmarclock.Now, StoreForwarded: f.detour.Forwarding,
	}, loads, func(ctx context.Context, address string) (fulmarfollow.Leader, error) {
		return fulmarsync.Dial(ctx, address)
	})
	relay := fulmarrelay.New(fulmarrelay.Deps{
		Names: p.Names, ID: s.ID, DC: s.DC, Views: f.views, Pool: f.pool, Balancer: f.board,
		Splitter: fulmarroute.NewSplitter(), RetryBudget: f.allowance, Loads: loads,
		Metrics: metrics, Log: log, Now: time.Now, Clock: fulmarclock.Now, DrainTime: func() time.Duration { return f.current.Load().DrainTime - drainMargin },
	})
	f.server = fulmarserve.New(relay, f.limits, log)
	return f, nil
}

// peer answers other daemons.
type peer struct {
	*fulmarfollow.Follower
	*fulmardetour.Store
}

// storeClient returns a client whose connections are not shared with anything else.
func storeClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, DisableCompression: true}}
}

// limits returns the bounds on what callers send.
func (f *Front) limits() fulmarserve.Limits {
	v := f.views.Get()
	if v.Routes == nil {
		return defaults
	}
	l := v.Routes.Limits()
	out := defaults
	if l.Header > 0 {
		out.HeaderBytes = l.Header
	}
	if l.Body > 0 {
		out.BodyBytes = l.Body
	}
	if l.HeaderTimeout > 0 {
		out.HeaderTimeout = l.HeaderTimeout
	}
	if l.IdleTimeout > 0 {
		out.IdleTimeout = l.IdleTimeout
	}
	return out
}

// Run serves until stop ends, then lets requests in flight finish and returns.
func (f *Front) Run(stop context.Context) error {
	if f.settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(f.settings.MemoryBytes / collectorShare)
	}
	debug.SetGCPercent(collectorRate)
	base, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	var config net.ListenConfig
	callers, err := config.Listen(base, "tcp", f.settings.Listen.Callers)
	if err != nil {
		return errors.Wrap(err, "fulmarfront: listen for callers")
	}
	peers, err := config.Listen(base, "tcp", f.settings.Listen.Peers)
	if err != nil {
		return errors.Wrap(err, "fulmarfront: listen for peers")
	}
	syncServer, err := fulmarsync.New(peer{f.follower, f.detour}, f.log)
	if err != nil {
		return err
	}
	var group errgroup.Group
	lead, resign := context.WithCancel(base)
	defer resign()
	group.Go(func() error { return f.server.Serve(base, callers) })
	group.Go(func() error { return syncServer.Serve(base, peers) })
	group.Go(func() error { f.follower.Run(lead); return nil })
	group.Go(func() error { return f.serveHTTP(base, f.settings.Listen.Ready, f.readyHandler()) })
	if f.settings.Listen.Metrics != "" {
		group.Go(func() error { return f.serveHTTP(base, f.settings.Listen.Metrics, f.metrics.Handler()) })
	}
	group.Go(func() error { f.sweep(base); return nil })
	f.log.Info("daemon started", "callers", f.settings.Listen.Callers, "dc", f.settings.DC)
	<-stop.Done()
	f.shutdown(resign)
	cancel()
	err = group.Wait()
	f.pool.Close()
	f.orders.Close()
	f.log.Info("daemon stopped")
	return err
}

// shutdown lets callers go to other daemons and requests in flight finish.
func (f *Front) shutdown(resign context.CancelFunc) {
	began := time.Now()
	f.log.Info("shutdown started", "busy", f.server.InFlight(), "connections", f.server.Connections())
	close(f.leaving)
	f.server.Drain()
	resign()
	for time.Since(began) < f.current.Load().GracePeriod-lastCall {
		if time.Since(began) > noticed {
			f.server.CloseIdle()
			if f.server.InFlight() == 0 && f.server.Connections() == 0 {
				break
			}
		}
		time.Sleep(drainPoll)
	}
	f.log.Info("shutdown ends", "busy", f.server.InFlight(), "connections", f.server.Connections(), "took", time.Since(began))
}

// sweep closes connections to targets that have been unused for long.
func (f *Front) sweep(ctx context.Context) {
	recent := fulmarretain.New(time.Now(), retention)
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			f.pool.CloseExpired(now)
			if c := f.views.Get().Catalog; c != nil && recent.Advance(now, c) {
				f.board.Retain(recent.Has)
			}
		case <-ctx.Done():
			return
		}
	}
}

// unready returns why the daemon takes no callers, or an empty string.
func (f *Front) unready() string {
	select {
	case <-f.leaving:
		return "leaving"
	default:
	}
	if !f.views.Get().Ready() {
		return "configuration or targets are not known"
	}
	return ""
}

func (f *Front) readyHandler() http.Handler {
	mux := http.NewServeMux()
	last := "not asked yet"
	mux.HandleFunc("GET "+f.platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		reason := f.unready()
		if reason != last {
			last = reason
			f.log.Info("readiness", "ready", reason == "", "reason", reason)
		}
		if reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ok\n")) // a prober that is gone needs no answer
	})
	return mux
}

// serveHTTP serves a handler until ctx ends.
func (f *Front) serveHTTP(ctx context.Context, address string, h http.Handler) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "fulmarfront: listen")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: defaults.HeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "fulmarfront: serve")
	}
	return nil
}
