package fulmarnode

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
	memorySpan   = 10 * time.Minute
	memoryBody   = 64 << 10
	condemnedFor = 30 * time.Minute
	maxMarks     = 128
	retryRatio   = 0.1 // retries for each request
	retryRate    = 1.0 // retries a second in addition
	// peerConnections to one peer are many because a request waits for its turn
	// on its connection. A limit below what may wait at the peer's dispatchers
	// is a queue without shares ahead of the fair ones.
	peerConnections = 4096
	// targetConnections to one target are few because a target runs 3 requests
	// at once; the rest are for grants and for answers that are still read.
	targetConnections = 8
	storeConnections  = 4
	storeDialTimeout  = 500 * time.Millisecond
	headerTimeout     = 5 * time.Second
	maxHeader         = 16 << 10
	leaveTimeout      = 10 * time.Second // for handing over the targets
	drainTimeout      = 60 * time.Second // for callers' requests in flight
	peerGrace         = time.Second      // for peers that still route here
)

// Node is one daemon.
type Node struct {
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

// New returns a daemon that does nothing until Run.
func New(s fulmarsettings.Settings, log *slog.Logger) (*Node, error) {
	metrics, err := fulmarmetric.New()
	if err != nil {
		return nil, err
	}
	n := &Node{
		settings: s,
		log:      log,
		metrics:  metrics,
		targets:  fulmartarget.New(targetConnections, s.Advertise.Source),
		guard:    fulmarguard.New(condemnedFor, maxMarks),
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
		Timing:        timing(s.Timing),
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
		RetryBudget:     fulmarbudget.New(retryRatio, retryRate, rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Metrics:         metrics,
		Now:             time.Now,
	})
	n.gauges()
	return n, nil
}

func storeClient(source net.IP) *http.Client {
	dialer := &net.Dialer{Timeout: storeDialTimeout}
	if source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: source}
	}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: storeConnections}}
}

// defaultLongRatio is the ratio of the configuration's default; see fulmarcost.
const defaultLongRatio = 8

func timing(t fulmarsettings.Timing) fulmarcontrol.Timing {
	return fulmarcontrol.Timing{
		HeartbeatInterval: t.HeartbeatInterval, DownTimeout: t.DownTimeout, LeaseWindow: t.QuorumLease, GrantTTL: t.GrantTTL, RenewInterval: t.RenewInterval,
		MaxOrderDeadline: t.MaxOrderDeadline, StaleTimeout: t.StaleTimeout, PlannerLease: t.PlannerLease,
	}
}

func (n *Node) newDispatcher(t fulmarslot.Target) fulmarcontrol.Dispatcher {
	return fulmardispatch.New(t, fulmardispatch.Deps{
		Self:    n.settings.ID,
		Client:  n.targets,
		Dedup:   fulmardedup.Settings{Retention: memorySpan, MaxSkew: n.settings.Timing.MaxClockSkew, MaxBody: memoryBody},
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

func (n *Node) gauges() {
	n.metrics.RegisterGauge("epoch", func() float64 { return float64(n.control.Table().Epoch()) })
	n.metrics.RegisterGauge("config_version", func() float64 { return float64(n.control.Versioned().Version) })
	n.metrics.RegisterGauge("targets_held", func() float64 { return float64(n.control.HeldTargetCount()) })
	n.metrics.RegisterGauge("lease_held", func() float64 { return truth(n.control.HasLease()) })
	n.metrics.RegisterGauge("peer_bytes_sent", func() float64 { return float64(n.traffic.Sent()) })
	n.metrics.RegisterGauge("peer_bytes_received", func() float64 { return float64(n.traffic.Received()) })
	n.metrics.RegisterGauge("peer_calls", func() float64 { return float64(n.traffic.Calls()) })
	n.metrics.RegisterGauge("peer_answers", func() float64 { return float64(n.traffic.Answered()) })
	n.metrics.RegisterGauge("planner", func() float64 { return truth(n.control.IsPlanner()) })
}

func truth(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// listeners are the open listeners of a node.
type listeners struct {
	callers, data, control, admin net.Listener
}

func (n *Node) listen(ctx context.Context) (listeners, error) {
	var l listeners
	var config net.ListenConfig
	for _, x := range []struct {
		to      *net.Listener
		address string
	}{
		{&l.callers, n.settings.Listen.Callers},
		{&l.data, n.settings.Listen.Data},
		{&l.control, n.settings.Listen.Control},
		{&l.admin, n.settings.Listen.Admin},
	} {
		listener, err := config.Listen(ctx, "tcp", x.address)
		if err != nil {
			return l, errors.Wrap(err, "fulmarnode: listen")
		}
		*x.to = listener
	}
	return l, nil
}

// Run serves until stop ends, then shuts down gracefully.
func (n *Node) Run(stop context.Context) error {
	base, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	open, err := n.listen(base)
	if err != nil {
		return err
	}
	peers, err := fulmarpeer.New(n.settings.Peer.Key, n.control.PeerHandler(base), n.log)
	if err != nil {
		return err
	}
	peers.Count(n.traffic)
	callers := server(n.entry.CallerHandler())
	data := server(n.entry.PeerHandler())
	admin := server(n.adminHandler())
	var group errgroup.Group
	group.Go(func() error { return serve(callers, open.callers) })
	group.Go(func() error { return serve(data, open.data) })
	group.Go(func() error { return serve(admin, open.admin) })
	group.Go(func() error { return peers.Serve(base, open.control) })
	group.Go(func() error { n.control.Run(base); return nil })
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

func (n *Node) shutdown(callers, data, admin *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	n.log.Info("shutdown started", "targets", n.control.HeldTargetCount())
	leaveCtx, leaveCancel := context.WithTimeout(ctx, leaveTimeout)
	n.control.Leave(leaveCtx)
	leaveCancel()
	if held := n.control.HeldTargetCount(); held > 0 {
		n.log.Warn("targets not handed over", "targets", held)
	}
	if err := callers.Shutdown(ctx); err != nil {
		n.log.Warn("requests cut off", "error", err)
	}
	n.control.RefuseCallers()
	// Peers may still route here until they learn of the handover.
	pause := time.NewTimer(peerGrace)
	defer pause.Stop()
	<-pause.C
	if err := data.Shutdown(ctx); err != nil {
		n.log.Warn("peers' requests cut off", "error", err)
	}
	_ = admin.Close()
}

func server(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader}
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "fulmarnode: serve")
	}
	return nil
}

// adminHandler serves the operators' API, the probes and the metrics.
func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/", fulmaradmin.New(source{n.control}, n.settings.Admin.Key))
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
