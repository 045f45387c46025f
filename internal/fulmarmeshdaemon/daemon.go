package fulmarmeshdaemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarbend/fulmarbend/internal/fulmaradmin"
	"github.com/fulmarbend/fulmarbend/internal/fulmarcontrol"
	"github.com/fulmarbend/fulmarbend/internal/fulmardispatch"
	"github.com/fulmarbend/fulmarbend/internal/fulmarentry"
	"github.com/fulmarbend/fulmarbend/internal/fulmarmetric"
	"github.com/fulmarbend/fulmarbend/internal/fulmarpeer"
	"github.com/fulmarbend/fulmarbend/internal/fulmarsettings"
	"github.com/fulmarbend/fulmarbend/internal/fulmarstore"
	"github.com/fulmarbend/fulmarbend/internal/fulmartarget"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarbudget"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarconfig"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcost"
	"github.com/fulmarbend/fulmarbend/pkg/fulmardedup"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarguard"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

const (
	dedupRetention        = 10 * time.Minute
	maxDedupBody          = 64 << 10 // bytes
	quarantineDuration    = 30 * time.Minute
	maxQuarantineMarks    = 128
	retriesPerRequest     = 0.1 // added to the retry budget of a group for each first attempt
	extraRetriesPerSecond = 1.0 // added to the retry budget of a group each second
	// peerConnections is the maximum number of connections to one peer. A request
	// holds its connection while it is queued at the peer's dispatcher. With fewer
	// connections than requests may be queued there, requests would also queue for
	// a connection, without fair shares between groups.
	peerConnections = 4096
	// targetConnections is the maximum number of connections to one target. A
	// target runs 3 requests at once; the other connections are for grants and for
	// responses that are still being read.
	targetConnections   = 8
	storeConnections    = 4
	storeDialTimeout    = 500 * time.Millisecond
	headerTimeout       = 5 * time.Second
	maxHeaderBytes      = 16 << 10
	handoverTimeout     = 10 * time.Second // for the handover of all targets
	drainTimeout        = 60 * time.Second // for the handover and all requests in flight
	peerForwardingGrace = time.Second      // wait for requests from peers that have not yet learned of the handover
)

// Daemon is a daemon with its components and listeners.
type Daemon struct {
	settings fulmarsettings.Settings
	log      *slog.Logger
	metrics  *fulmarmetric.Metrics
	targets  *fulmartarget.Client
	control  *fulmarcontrol.Controller
	entry    *fulmarentry.Entry
	guard    *fulmarguard.Guard
	cost     *fulmarcost.Estimator
	traffic  *fulmarpeer.Traffic
}

// New returns a daemon, which does not serve until Run is called.
func New(s fulmarsettings.Settings, log *slog.Logger) (*Daemon, error) {
	metrics, err := fulmarmetric.New()
	if err != nil {
		return nil, err
	}
	n := &Daemon{
		settings: s,
		log:      log,
		metrics:  metrics,
		targets:  fulmartarget.New(targetConnections, s.Advertise.Source),
		guard:    fulmarguard.New(quarantineDuration, maxQuarantineMarks),
		cost:     fulmarcost.New(defaultLongRatio),
		traffic:  new(fulmarpeer.Traffic),
	}
	n.control = fulmarcontrol.New(fulmarcontrol.Deps{
		Self: fulmarslot.Member{
			ID: s.ID, Incarnation: uint64(time.Now().UnixMilli()),
			ControlAddress: s.Advertise.Control, DataAddress: s.Advertise.Data, DataCentre: s.DC,
		},
		Source:        s.Advertise.Source,
		Seeds:         s.Peer.Seeds,
		Key:           s.Peer.Key,
		Timing:        controlTiming(s.Timing),
		Store:         fulmarstore.New(s.Store.Address, s.Store.Timeout, storeClient(s.Advertise.Source)),
		Targets:       n.targets,
		NewDispatcher: n.newDispatcher,
		Guard:         n.guard,
		Counter:       metrics,
		Traffic:       n.traffic,
		Log:           log,
	})
	n.entry = fulmarentry.New(fulmarentry.Deps{
		Router:          n.control,
		Self:            s.ID,
		SharedKey:       s.Peer.Key,
		MaxConnsPerPeer: peerConnections,
		LocalIP:         s.Advertise.Source,
		RetryBudget:     fulmarbudget.New(retriesPerRequest, extraRetriesPerSecond, rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Metrics:         metrics,
		Now:             time.Now,
	})
	n.registerGauges()
	return n, nil
}

func storeClient(source net.IP) *http.Client {
	dialer := &net.Dialer{Timeout: storeDialTimeout}
	if source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: source}
	}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: storeConnections}}
}

// defaultLongRatio is the default of the configured long ratio. Work is classified as
// long if it costs at least this many times the median of its service.
const defaultLongRatio = 8

func controlTiming(t fulmarsettings.Timing) fulmarcontrol.Timing {
	return fulmarcontrol.Timing{
		HeartbeatInterval: t.HeartbeatInterval, DownTimeout: t.DownTimeout, LeaseWindow: t.QuorumLease, GrantTTL: t.GrantTTL, RenewInterval: t.RenewInterval,
		MaxOrderDeadline: t.MaxOrderDeadline, StaleTimeout: t.StaleTimeout, PlannerLease: t.PlannerLease,
	}
}

func (n *Daemon) newDispatcher(t fulmarslot.Target) fulmarcontrol.Dispatcher {
	return fulmardispatch.New(t, fulmardispatch.Deps{
		Self:    n.settings.ID,
		Client:  n.targets,
		Dedup:   fulmardedup.Settings{Retention: dedupRetention, MaxSkew: n.settings.Timing.MaxClockSkew, MaxBody: maxDedupBody},
		Guard:   n.guard,
		Cost:    n.cost,
		Metrics: n.metrics,
		Limits: func(service, group string) (fulmarconfig.Limits, bool) {
			return n.control.Config().Limits(service, group)
		},
		Idempotent: func(service string) bool {
			s, ok := n.control.Config().Service(service)
			return ok && s.Idempotent
		},
		Table:              n.control.Table,
		Now:                time.Now,
		MaxUnfencedTimeout: n.settings.Timing.MaxOrderDeadline,
		HoldsLease:         n.control.HasLease,
		OnSuspectCleared:   n.control.ClearSuspicion,
		OnFenced:           n.control.HandleFencedOrder,
	})
}

func (n *Daemon) registerGauges() {
	n.metrics.RegisterGauge("epoch", func() float64 { return float64(n.control.Table().Epoch()) })
	n.metrics.RegisterGauge("config_version", func() float64 { return float64(n.control.Versioned().Version) })
	n.metrics.RegisterGauge("targets_held", func() float64 { return float64(n.control.HeldTargetCount()) })
	n.metrics.RegisterGauge("lease_held", func() float64 { return boolToFloat(n.control.HasLease()) })
	n.metrics.RegisterGauge("peer_bytes_sent", func() float64 { return float64(n.traffic.BytesSent()) })
	n.metrics.RegisterGauge("peer_bytes_received", func() float64 { return float64(n.traffic.BytesReceived()) })
	n.metrics.RegisterGauge("peer_calls", func() float64 { return float64(n.traffic.CallsAnswered()) })
	n.metrics.RegisterGauge("peer_answers", func() float64 { return float64(n.traffic.CallsServed()) })
	n.metrics.RegisterGauge("planner", func() float64 { return boolToFloat(n.control.IsPlanner()) })
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// listeners holds the open listeners of a node.
type listeners struct {
	callers, data, control, admin net.Listener
}

func (n *Daemon) listen(ctx context.Context) (listeners, error) {
	var l listeners
	var config net.ListenConfig
	for _, x := range []struct {
		dst     *net.Listener
		address string
	}{
		{&l.callers, n.settings.Listen.Callers},
		{&l.data, n.settings.Listen.Data},
		{&l.control, n.settings.Listen.Control},
		{&l.admin, n.settings.Listen.Admin},
	} {
		listener, err := config.Listen(ctx, "tcp", x.address)
		if err != nil {
			return l, errors.Wrap(err, "fulmarmeshdaemon: listen")
		}
		*x.dst = listener
	}
	return l, nil
}

// Run serves until stop is canceled, then shuts down gracefully.
func (n *Daemon) Run(stop context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	l, err := n.listen(runCtx)
	if err != nil {
		return err
	}
	peers, err := fulmarpeer.New(n.settings.Peer.Key, n.control.PeerHandler(runCtx), n.log)
	if err != nil {
		return err
	}
	peers.CountTraffic(n.traffic)
	callers := server(n.entry.CallerHandler())
	data := server(n.entry.PeerHandler())
	admin := server(n.adminHandler())
	var group errgroup.Group
	group.Go(func() error { return serve(callers, l.callers) })
	group.Go(func() error { return serve(data, l.data) })
	group.Go(func() error { return serve(admin, l.admin) })
	group.Go(func() error { return peers.Serve(runCtx, l.control) })
	group.Go(func() error { n.control.Run(runCtx); return nil })
	n.log.Info("daemon started", "callers", n.settings.Listen.Callers, "dc", n.settings.DC)
	<-stop.Done()
	n.shutdown(callers, data, admin)
	cancel()
	err = group.Wait()
	n.entry.Close()
	n.targets.Close()
	n.log.Info("daemon stopped")
	return err
}

func (n *Daemon) shutdown(callers, data, admin *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	n.log.Info("shutdown started", "targets", n.control.HeldTargetCount())
	leaveCtx, leaveCancel := context.WithTimeout(ctx, handoverTimeout)
	n.control.Leave(leaveCtx)
	leaveCancel()
	if held := n.control.HeldTargetCount(); held > 0 {
		n.log.Warn("targets not handed over before the timeout", "targets", held)
	}
	if err := callers.Shutdown(ctx); err != nil {
		n.log.Warn("callers' requests still in flight after the drain timeout", "error", err)
	}
	n.control.RefuseCallers()
	// Peers may still forward requests to this daemon until they learn of the handover.
	pause := time.NewTimer(peerForwardingGrace)
	defer pause.Stop()
	<-pause.C
	if err := data.Shutdown(ctx); err != nil {
		n.log.Warn("peers' requests still in flight after the drain timeout", "error", err)
	}
	_ = admin.Close()
}

func server(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "fulmarmeshdaemon: serve")
	}
	return nil
}

// adminHandler serves the operators' API, the health checks and the metrics.
func (n *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/", fulmaradmin.New(adminSource{n.control}, n.settings.Admin.Key))
	mux.Handle("GET /metrics", n.metrics.Handler())
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := n.control.Ready(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ok\n"))
	})
	return mux
}
