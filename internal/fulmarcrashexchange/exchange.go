package fulmarcrashexchange

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcrash"
)

const (
	// interval is the time between two rounds. A request that crashes a target comes again after about two seconds.
	interval = 400 * time.Millisecond
	// peersPerRound is the number of daemons with which one exchanges in a round.
	peersPerRound = 2
	callTimeout   = 300 * time.Millisecond
)

// Daemon is a connection to another daemon.
type Daemon interface {
	ExchangeCrashes(ctx context.Context, c *fulmarleaderrpc.CrashExchange) (*fulmarleaderrpc.CrashExchange, error)
	Close()
}

// Deps are the dependencies of an Exchange.
type Deps struct {
	Record    func(crashes []fulmarcrash.Aged, source string) // takes over what others know
	Crashes   *fulmarcrash.Board
	HasLeader func() bool     // reports whether a leader tells the daemon of crashes
	Peers     func() []string // addresses of other daemons
	Dial      func(ctx context.Context, address string) (Daemon, error)
	Log       *slog.Logger
	Now       func() time.Time
}

// Exchange exchanges records of crashes with other daemons.
type Exchange struct{ deps Deps }

// New returns an exchange that is started by Run.
func New(d Deps) *Exchange { return &Exchange{d} }

// Run exchanges records while there is no leader, until ctx ends.
func (e *Exchange) Run(ctx context.Context) {
	for fulmarclock.Sleep(ctx, interval/2+rand.N(interval)) {
		if e.deps.HasLeader() {
			continue
		}
		peers := e.deps.Peers()
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		for _, address := range peers[:min(len(peers), peersPerRound)] {
			if err := e.exchange(ctx, address); err != nil {
				e.deps.Log.Debug("crashing requests not exchanged", "address", address, "error", err)
			}
		}
	}
}

// exchange sends all records to a daemon and takes over what it answers.
func (e *Exchange) exchange(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	peer, err := e.deps.Dial(ctx, address)
	if err != nil {
		return err
	}
	defer peer.Close()
	known := fulmarcrash.NewAged(e.deps.Now(), e.deps.Crashes.Records())
	answer, err := peer.ExchangeCrashes(ctx, &fulmarleaderrpc.CrashExchange{Crashes: known})
	if err != nil {
		return err
	}
	e.deps.Record(answer.Crashes, "daemon")
	return nil
}

// ExchangeCrashes takes over the records of another daemon and answers with those that all daemons are to know; see
// fulmarleaderrpc.Handler.
func (e *Exchange) ExchangeCrashes(_ context.Context, c *fulmarleaderrpc.CrashExchange) (*fulmarleaderrpc.CrashExchange, error) {
	e.deps.Record(c.Crashes, "daemon")
	return &fulmarleaderrpc.CrashExchange{Crashes: fulmarcrash.NewAged(e.deps.Now(), e.deps.Crashes.Shared())}, nil
}
