package fulmarfrontdaemon

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

	"github.com/fulmarbend/fulmarbend/internal/fulmaradmission"
	"github.com/fulmarbend/fulmarbend/internal/fulmarchooser"
	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/internal/fulmarcoldness"
	"github.com/fulmarbend/fulmarbend/internal/fulmarcrashexchange"
	"github.com/fulmarbend/fulmarbend/internal/fulmarevacuationmonitor"
	"github.com/fulmarbend/fulmarbend/internal/fulmarfollower"
	"github.com/fulmarbend/fulmarbend/internal/fulmarforwarder"
	"github.com/fulmarbend/fulmarbend/internal/fulmarhttpserver"
	"github.com/fulmarbend/fulmarbend/internal/fulmarkeyload"
	"github.com/fulmarbend/fulmarbend/internal/fulmarkvforwarder"
	"github.com/fulmarbend/fulmarbend/internal/fulmarleader"
	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/internal/fulmarlink"
	"github.com/fulmarbend/fulmarbend/internal/fulmarmetric"
	"github.com/fulmarbend/fulmarbend/internal/fulmarsnapshot"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarallowance"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarbalancer"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcrash"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarera"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarhedge"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarlimit"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarnotice"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarplacement"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrate"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrotation"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
)

const (
	dialTimeout = 400 * time.Millisecond
	// acceptMargin covers the way of a reset between data centres of a region (1.4 ms) and the time until a target accepts
	// a connection.
	acceptMargin = 3 * time.Millisecond
	// ackTimeout is the time that sent data may stay unacknowledged before its connection fails.
	ackTimeout  = 3 * time.Second
	idleTimeout = 8 * time.Second
	// answerBodyLimit is the longest answer body that is read completely before it is forwarded, in bytes.
	answerBodyLimit = 256 << 10
	sweepInterval   = time.Second
	targetRetention = time.Minute // time for which data about a target is kept after it leaves the catalog
	comparedTargets = 2           // targets compared for each request, at least

	// readinessDelay is the time after SIGTERM until callers are routed to other daemons: the readiness check
	// must fail twice, a second apart.
	readinessDelay = 2300 * time.Millisecond
	// acceptTime is the time after SIGTERM after which only requests are taken that end before the exit. Callers are routed
	// to other daemons by then, unless too few of these are ready.
	acceptTime           = 3 * time.Second
	shutdownPollInterval = 20 * time.Millisecond
	// drainMargin covers the transmission of a request to a leaving target.
	drainMargin = 150 * time.Millisecond
	// evacuationMargin covers the wait of a request for a permit, a new connection to its target and the transmission of its body
	// over a weak link.
	evacuationMargin = time.Second

	// firstStartTime is the time within which a daemon reaches the store at the first start of the fleet.
	firstStartTime = 5 * time.Second

	memoryLimitDivisor = 4 // the heap may grow to memory/4 before the collector runs harder
	gcPercent          = 200
)

// defaultLimits apply where the configuration sets no limit, and before a configuration is received.
var defaultLimits = fulmarhttpserver.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// Platform connects the daemon to the platform that it runs on.
type Platform struct {
	NewStore    func(address string, client *http.Client, eras *fulmarera.Tracker) fulmarkv.Store
	Registry    fulmarsnapshot.Decoder
	NewOrders   func(pool *fulmarlink.Pool) fulmarleader.OrderSender
	HeaderNames fulmarforwarder.HeaderNames
	ReadyPath   string
}

// Daemon is a daemon that routes requests to targets.
type Daemon struct {
	settings        Settings                 // settings at the start
	currentSettings atomic.Pointer[Settings] // settings after the last reload
	platform        Platform
	log             *slog.Logger
	metrics         *fulmarmetric.Metrics
	views           *fulmarview.Holder
	requestPool     *fulmarlink.Pool // connections for requests
	orderPool       *fulmarlink.Pool // connections for orders
	store           *replaceableStore
	eras            *fulmarera.Tracker // of the store
	forwardedStore  *fulmarkvforwarder.Store
	balancer        *fulmarbalancer.Balancer
	targetLimits    *fulmarlimit.Board // limits that targets have stated
	coldness        *fulmarcoldness.Coldness
	notices         *fulmarnotice.Board
	crashes         *fulmarcrash.Board // requests under which targets have ended
	crashExchange   *fulmarcrashexchange.Exchange
	evacuations     *fulmarevacuationmonitor.Monitor
	gate            *fulmaradmission.Gate
	placer          *fulmarplacement.Placer
	chooser         *fulmarchooser.Chooser
	retryBudget     *fulmarallowance.RetryBudget
	hedger          *fulmarhedge.Hedger
	follower        *fulmarfollower.Follower
	forwarder       *fulmarforwarder.Forwarder
	server          *fulmarhttpserver.Server
	shutdownStarted chan struct{}
	shutdownBegan   atomic.Pointer[time.Time]
}

// New returns a daemon that is started by Run.
func New(s Settings, p Platform, log *slog.Logger) (*Daemon, error) {
	metrics, err := fulmarmetric.New()
	if err != nil {
		return nil, err
	}
	memory := newCallerMemory(s.MemoryBytes, metrics)
	link := fulmarlink.Settings{
		DialTimeout: dialTimeout, AcceptMargin: acceptMargin, AckTimeout: ackTimeout, IdleTimeout: idleTimeout, BodyLimit: answerBodyLimit, HasRoom: memory.HasRoom, RequestIDHeader: p.HeaderNames.RequestID,
	}
	f := &Daemon{
		settings: s, platform: p, log: log, metrics: metrics, views: fulmarview.New(),
		requestPool: fulmarlink.New(link), orderPool: fulmarlink.New(link), shutdownStarted: make(chan struct{}), targetLimits: fulmarlimit.New(), notices: fulmarnotice.New(), crashes: fulmarcrash.New(),
		retryBudget: fulmarallowance.New(s.RetryRule), hedger: fulmarhedge.New(s.Hedging),
	}
	f.coldness = fulmarcoldness.New(s.ColdRule, f.views, fulmarclock.Now)
	f.eras = fulmarera.New(eraObserver{metrics, log}, fulmarclock.Now)
	f.store = newReplaceableStore(p.NewStore(s.Store, storeClient(), f.eras))
	f.currentSettings.Store(&s)
	f.forwardedStore = fulmarkvforwarder.New(f.store, func(ctx context.Context, address string) (fulmarkvforwarder.Daemon, error) {
		return fulmarleaderrpc.Dial(ctx, address)
	}, func() []string { return f.views.Get().Contacts }, func() []string { return f.views.Get().Peers(s.Listen.Peers) }, f.eras, log)
	f.balancer = fulmarbalancer.New(comparedTargets, rand.NewPCG(rand.Uint64(), rand.Uint64()))
	f.evacuations = fulmarevacuationmonitor.New(f.views, f.balancer.InFlight, log, fulmarclock.Now)
	f.evacuations.Register(metrics)
	loads := fulmarkeyload.New(f.balancer)
	registry := p.Registry
	if s.Evacuation == 0 {
		registry.EvacuationPrefix = ""
	}
	leaderDeps := fulmarleader.Deps{
		ID: s.ID, Address: s.Listen.Peers, DC: s.DC, Store: f.forwardedStore, Registry: registry, EvacuationTime: f.evacuationTime,
		Orders: p.NewOrders(f.orderPool), Views: f.views, MaxGrantDuration: s.MaxGrant, MinLease: s.MinLease, CPUShare: s.CPUShare, Metrics: metrics, Log: log, Now: fulmarclock.Now, Limits: f.targetLimits, Coldness: f.coldness, Notices: f.notices, Crashes: f.crashes, StoreForwarded: f.forwardedStore.Forwarding, Eras: f.eras,
	}
	if s.FirstStart {
		leaderDeps.FirstStartBefore = fulmarclock.Now().Add(firstStartTime)
	}
	f.follower = fulmarfollower.New(leaderDeps, loads, func(ctx context.Context, address string) (fulmarfollower.Leader, error) {
		return fulmarleaderrpc.Dial(ctx, address)
	})
	f.crashExchange = fulmarcrashexchange.New(fulmarcrashexchange.Deps{
		Record: leaderDeps.RecordCrashes, Crashes: f.crashes, HasLeader: f.follower.HasLeader, Peers: func() []string { return f.views.Get().Peers(s.Listen.Peers) }, Log: log, Now: fulmarclock.Now,
		Dial: func(ctx context.Context, address string) (fulmarcrashexchange.Daemon, error) {
			return fulmarleaderrpc.Dial(ctx, address)
		},
	})
	f.gate = fulmaradmission.New(fulmaradmission.Deps{
		Limits: f.targetLimits, Rates: fulmarrate.Least{f.targetLimits, f.coldness}, ColdRates: f.coldness, TurnRates: fulmarrate.Least{f.targetLimits, f.coldness.Turns()},
		Leader: f.follower, Rotation: fulmarrotation.New(s.ID), Daemons: func() int { return f.views.Get().Daemons },
		Metrics: metrics, Log: log, Now: fulmarclock.Now,
	})
	f.placer = fulmarplacement.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	f.chooser = fulmarchooser.New(fulmarchooser.Deps{
		ID: s.ID, DC: s.DC, Views: f.views, Balancer: f.balancer, Placer: f.placer, Limits: f.targetLimits, Notices: f.notices, Leader: f.follower.Leader,
		Dial: func(ctx context.Context, address string) (fulmarchooser.Leader, error) {
			return fulmarleaderrpc.Dial(ctx, address)
		},
		Metrics: metrics, Log: log, Now: time.Now, Clock: fulmarclock.Now,
	})
	f.forwarder = fulmarforwarder.New(fulmarforwarder.Deps{
		HeaderNames: p.HeaderNames, ID: s.ID, DC: s.DC, Views: f.views, Pool: f.requestPool, Balancer: f.balancer, Limits: f.targetLimits, Coldness: f.coldness, Notices: f.notices, Crashes: f.crashes, Gate: f.gate, Chooser: f.chooser,
		Splitter: fulmarroute.NewSplitter(), RetryBudget: f.retryBudget, Hedger: f.hedger, Loads: loads,
		Metrics: metrics, Log: log, Now: time.Now, Clock: fulmarclock.Now, DrainTime: func() time.Duration { return f.currentSettings.Load().DrainTime - drainMargin }, EvacuationTime: f.evacuationTime,
		LatestEnd: func() time.Time { return f.latestEnd(time.Now()) },
	})
	f.server = fulmarhttpserver.New(f.forwarder, f.limits, memory, log)
	return f, nil
}

// evacuationTime returns the time after which evacuated targets get no requests.
func (f *Daemon) evacuationTime() time.Duration {
	return max(f.currentSettings.Load().Evacuation-evacuationMargin, 0)
}

// peerHandler answers the calls of other daemons.
type peerHandler struct {
	*fulmarfollower.Follower
	*fulmarkvforwarder.Store
	*fulmarcrashexchange.Exchange
	*fulmarchooser.Chooser
}

// storeClient returns an HTTP client with its own connections.
func storeClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, DisableCompression: true}}
}

// limits returns the limits of callers' requests.
func (f *Daemon) limits() fulmarhttpserver.Limits {
	v := f.views.Get()
	if v.Routes == nil {
		return defaultLimits
	}
	l := v.Routes.Limits()
	out := defaultLimits
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

// Run serves requests until stop is cancelled, then waits for the requests in flight and returns.
func (f *Daemon) Run(stop context.Context) error {
	if f.settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(f.settings.MemoryBytes / memoryLimitDivisor)
	}
	debug.SetGCPercent(gcPercent)
	base, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	var config net.ListenConfig
	callers, err := config.Listen(base, "tcp", f.settings.Listen.Callers)
	if err != nil {
		return errors.Wrap(err, "fulmarfrontdaemon: listen for callers")
	}
	peers, err := config.Listen(base, "tcp", f.settings.Listen.Peers)
	if err != nil {
		return errors.Wrap(err, "fulmarfrontdaemon: listen for peers")
	}
	syncServer, err := fulmarleaderrpc.New(peerHandler{f.follower, f.forwardedStore, f.crashExchange, f.chooser}, f.log)
	if err != nil {
		return err
	}
	var group errgroup.Group
	lead, resign := context.WithCancel(base)
	defer resign()
	group.Go(func() error { return f.server.Serve(base, callers) })
	group.Go(func() error { return syncServer.Serve(base, peers) })
	group.Go(func() error { f.follower.Run(lead); return nil })
	group.Go(func() error { f.gate.Run(base); return nil })
	group.Go(func() error { f.chooser.Run(base); return nil })
	group.Go(func() error { f.crashExchange.Run(base); return nil })
	group.Go(func() error { return f.serveHTTP(base, f.settings.Listen.Ready, f.readyHandler()) })
	if f.settings.Listen.Metrics != "" {
		group.Go(func() error { return f.serveHTTP(base, f.settings.Listen.Metrics, f.metrics.Handler()) })
	}
	group.Go(func() error { f.sweep(base); return nil })
	group.Go(func() error { f.recordEndedTargets(base); return nil })
	f.log.Info("daemon started", "callers", f.settings.Listen.Callers, "dc", f.settings.DC)
	<-stop.Done()
	f.shutdown(resign)
	cancel()
	err = group.Wait()
	f.requestPool.Close()
	f.orderPool.Close()
	f.log.Info("daemon stopped")
	return err
}

// shutdown waits until callers have moved to other daemons and the requests in flight have finished, at most for the
// grace period.
func (f *Daemon) shutdown(resign context.CancelFunc) {
	began := time.Now()
	f.log.Info("shutdown started", "busy", f.server.InFlight(), "connections", f.server.Connections())
	f.shutdownBegan.Store(&began)
	close(f.shutdownStarted)
	f.server.Drain()
	resign()
	interrupted := false
	for time.Since(began) < lastExit(f.currentSettings.Load().GracePeriod) {
		if !interrupted && !time.Now().Before(f.interruptTime(began)) {
			interrupted = true
			f.log.Warn("grace period ends, answering the requests in flight", "busy", f.server.InFlight())
			f.server.Interrupt()
		}
		if time.Since(began) > readinessDelay {
			f.server.CloseIdle()
			if f.server.InFlight() == 0 && f.server.Connections() == 0 {
				break
			}
		}
		time.Sleep(shutdownPollInterval)
	}
	f.log.Info("shutdown finished", "busy", f.server.InFlight(), "connections", f.server.Connections(), "took", time.Since(began))
}

// latestEnd returns the time by which requests that arrive at now must have ended, zero for no limit.
func (f *Daemon) latestEnd(now time.Time) time.Time {
	began := f.shutdownBegan.Load()
	if began == nil || now.Sub(*began) < acceptTime {
		return time.Time{}
	}
	return f.interruptTime(*began)
}

// interruptTime returns when a shutdown that began at the given time answers the requests that are still in flight.
func (f *Daemon) interruptTime(began time.Time) time.Time {
	return began.Add(interruptAfter(f.currentSettings.Load().GracePeriod))
}

// unreadyReason returns why the daemon is not ready for callers, or an empty string.
func (f *Daemon) unreadyReason() string {
	select {
	case <-f.shutdownStarted:
		return "leaving"
	default:
	}
	if !f.views.Get().Ready() {
		return "configuration or targets are not known"
	}
	return ""
}

func (f *Daemon) readyHandler() http.Handler {
	mux := http.NewServeMux()
	last := "not asked yet"
	mux.HandleFunc("GET "+f.platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		reason := f.unreadyReason()
		if reason != last {
			last = reason
			f.log.Info("readiness changed", "ready", reason == "", "reason", reason)
		}
		if reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ok\n")) // a client that has closed the connection needs no answer
	})
	return mux
}

// serveHTTP serves a handler until ctx is cancelled.
func (f *Daemon) serveHTTP(ctx context.Context, address string, h http.Handler) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "fulmarfrontdaemon: listen")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: defaultLimits.HeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "fulmarfrontdaemon: serve")
	}
	return nil
}
