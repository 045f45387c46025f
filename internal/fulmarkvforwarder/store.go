package fulmarkvforwarder

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/internal/fulmarsnapshot"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarera"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
)

const (
	// hedgeDelay is the time after which an idempotent call is made through another daemon as well. It is longer than
	// a slow store takes for an answer.
	hedgeDelay = 280 * time.Millisecond
	// probeInterval is the time between direct calls to the store while calls are forwarded, and probeTimeout the
	// limit for one.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// forwardTimeout bounds a call through one daemon, which may not reach the store either. forwardHedgeDelay is the time
	// after which a repeatable call is made through the next daemon as well. A call of one key through a daemon that
	// reaches the store takes 10 to 30 ms; a scan reads a page after the other and takes over 300 ms at 220 targets.
	forwardTimeout    = 300 * time.Millisecond
	forwardHedgeDelay = 100 * time.Millisecond
	scanTimeout       = 650 * time.Millisecond
	scanHedgeDelay    = 250 * time.Millisecond
	// maxForwardAttempts bounds the daemons that are tried for a call. After all contacts have failed within
	// failureBackoff, no calls are forwarded for that time, and after a direct call has failed, a daemon rejects
	// forwarded calls for that time: if no daemon reaches the store, the store must not receive a multiple of the normal
	// load.
	maxForwardAttempts = 4
	failureBackoff     = 2 * time.Second
	// serveTimeout bounds the calls that are made for other daemons.
	serveTimeout = scanTimeout
)

// Daemon is a connection to another daemon, which forwards calls to the store.
type Daemon interface {
	Forward(ctx context.Context, c *fulmarleaderrpc.StoreCall) (*fulmarleaderrpc.StoreAnswer, error)
	Close()
}

// Dial connects to the daemon at address.
type Dial func(ctx context.Context, address string) (Daemon, error)

// Store calls a store directly or through other daemons. It is safe for concurrent use.
type Store struct {
	direct   fulmarkv.Store
	dial     Dial
	contacts func() []string
	relays   func() []string // called in place of missing contacts
	eras     *fulmarera.Tracker
	log      *slog.Logger

	mu                 sync.Mutex
	forwarding         bool                 // calls are forwarded through other daemons
	lastPeer           string               // address of the daemon that last forwarded a call successfully
	peerFailures       map[string]time.Time // by address: when a contact last did not reach the store
	lastProbe          time.Time            // when a direct call was last made while calls are forwarded
	lastForwardFailure time.Time            // when all contacts were last found not to reach the store
	lastDirectFailure  time.Time            // when the latest direct call failed; zero if the store answered it
}

var _ fulmarkv.Store = (*Store)(nil)

// New returns a store that is called directly or through the daemons whose addresses contacts returns.
//
// As long as there are none, it is called through those that relays returns, but only after it has rejected a call: at the
// first start of a large fleet it is slow, and the relays have the least to spare.
func New(direct fulmarkv.Store, dial Dial, contacts, relays func() []string, eras *fulmarera.Tracker, log *slog.Logger) *Store {
	return &Store{direct: direct, dial: dial, contacts: contacts, relays: relays, eras: eras, log: log, peerFailures: make(map[string]time.Time)}
}

// Scan returns all items whose key begins with prefix.
func (s *Store) Scan(ctx context.Context, prefix string) ([]fulmarkv.Item, error) {
	a, err := s.call(ctx, &fulmarleaderrpc.StoreCall{Scan: &prefix}, true)
	if err != nil {
		return nil, err
	}
	return a.Items, nil
}

// ReadStale returns an item, which may be some seconds old.
func (s *Store) ReadStale(ctx context.Context, key string) (fulmarkv.Item, bool, error) {
	a, err := s.call(ctx, &fulmarleaderrpc.StoreCall{ReadStale: &key}, true)
	if err != nil || len(a.Items) == 0 {
		return fulmarkv.Item{}, false, err
	}
	return a.Items[0], true, nil
}

// Commit applies a transaction and returns the revision of the keys that it wrote.
func (s *Store) Commit(ctx context.Context, c fulmarkv.Txn) (fulmarera.Revision, error) {
	a, err := s.call(ctx, &fulmarleaderrpc.StoreCall{Commit: &c}, false)
	if err != nil {
		return 0, err
	}
	return a.Revision, nil
}

// CreateLease returns a new lease, which expires unless it is renewed within ttl.
func (s *Store) CreateLease(ctx context.Context, ttl time.Duration) (fulmarkv.Lease, error) {
	a, err := s.call(ctx, &fulmarleaderrpc.StoreCall{CreateLease: &ttl}, false)
	if err != nil {
		return 0, err
	}
	return a.Lease, nil
}

// RenewLease renews a lease.
func (s *Store) RenewLease(ctx context.Context, l fulmarkv.Lease) error {
	_, err := s.call(ctx, &fulmarleaderrpc.StoreCall{RenewLease: &l}, true)
	return err
}

// RevokeLease revokes a lease and deletes its keys.
func (s *Store) RevokeLease(ctx context.Context, l fulmarkv.Lease) error {
	_, err := s.call(ctx, &fulmarleaderrpc.StoreCall{RevokeLease: &l}, true)
	return err
}

// Forward makes a direct call for another daemon. It does not forward the call further.
func (s *Store) Forward(ctx context.Context, c *fulmarleaderrpc.StoreCall) (*fulmarleaderrpc.StoreAnswer, error) {
	s.mu.Lock()
	down := time.Since(s.lastDirectFailure) < failureBackoff
	s.mu.Unlock()
	if down {
		return &fulmarleaderrpc.StoreAnswer{Fault: fulmarleaderrpc.Unavailable}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	r := s.callDirect(ctx, c)
	if r.err != nil {
		return &fulmarleaderrpc.StoreAnswer{Fault: encodeError(r.err), Era: s.eras.Current().Era}, nil
	}
	r.answer.Era = s.eras.Current().Era
	return r.answer, nil
}

// result is the outcome of one direct or forwarded call.
type result struct {
	answer *fulmarleaderrpc.StoreAnswer
	err    error
}

// answered reports whether the store has answered, if only with an error.
func (r result) answered() bool { return fulmarkv.IsAnswered(r.err) }

// call makes a call directly or through other daemons. A repeatable call may be made both ways.
func (s *Store) call(ctx context.Context, c *fulmarleaderrpc.StoreCall, repeatable bool) (*fulmarleaderrpc.StoreAnswer, error) {
	forwarding, canForward := s.forwardingState()
	if !canForward {
		r := s.callDirect(ctx, c)
		return r.answer, r.err
	}
	if forwarding {
		r := s.forward(ctx, c, repeatable)
		if r.answered() || !repeatable && errors.Is(r.err, fulmarkv.ErrAmbiguous) {
			return r.answer, r.err
		}
		s.setForwarding(false, r.err)
	}
	direct := make(chan result, 1)
	go func() { direct <- s.callDirect(ctx, c) }()
	var hedge <-chan time.Time // nil, and so never ready, for a call that must not be repeated
	if repeatable && len(s.contacts()) > 0 {
		timer := time.NewTimer(hedgeDelay)
		defer timer.Stop()
		hedge = timer.C
	}
	select {
	case r := <-direct:
		if r.answered() || ctx.Err() != nil || !repeatable && !errors.Is(r.err, fulmarkv.ErrUnavailable) {
			return r.answer, r.err
		}
		direct = nil // the direct call has ended
	case <-hedge:
	}
	forwarded := make(chan result, 1)
	go func() { forwarded <- s.startForwarding(ctx, c, repeatable) }()
	r := firstAnswer(direct, forwarded)
	return r.answer, r.err
}

// firstAnswer returns the first answer of the store to either call. If neither gets an answer, it returns the result
// that came last. direct is nil if the direct call has ended already.
func firstAnswer(direct, forwarded <-chan result) (r result) {
	for direct != nil || forwarded != nil {
		select {
		case r = <-direct:
			direct = nil
		case r = <-forwarded:
			forwarded = nil
		}
		if r.answered() {
			return r
		}
	}
	return r
}

// startForwarding makes a call through other daemons. If the store answers it, later calls are forwarded at once.
func (s *Store) startForwarding(ctx context.Context, c *fulmarleaderrpc.StoreCall, repeatable bool) result {
	r := s.forward(ctx, c, repeatable)
	if r.answered() {
		s.setForwarding(true, nil)
	}
	return r
}

// forwardingState reports whether calls are forwarded now, and whether they can be. While they are, it starts a probe of
// the store every probeInterval.
func (s *Store) forwardingState() (forwarding, canForward bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.forwarding && now.Sub(s.lastProbe) >= probeInterval {
		s.lastProbe = now
		go s.probe()
	}
	return s.forwarding, len(s.peers()) > 0 && now.Sub(s.lastForwardFailure) >= failureBackoff
}

// probe makes a cheap direct call and ends forwarding if the store answers it.
func (s *Store) probe() {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if _, _, err := s.direct.ReadStale(ctx, fulmarsnapshot.LeaderKey); err == nil {
		s.setForwarding(false, nil)
	}
}

// setForwarding begins or ends forwarding.
func (s *Store) setForwarding(forwarding bool, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.forwarding == forwarding {
		return
	}
	s.forwarding, s.lastProbe = forwarding, time.Now()
	if forwarding {
		s.log.Warn("store not reached directly, forwarding calls through other daemons")
	} else {
		s.log.Info("forwarding ended, calling the store directly", "error", cause)
	}
}

// forward makes a call through other daemons until one reaches the store. A repeatable call is made through the next
// daemon if one fails or does not answer within the hedge delay, another call only if one surely had no effect.
func (s *Store) forward(ctx context.Context, c *fulmarleaderrpc.StoreCall, repeatable bool) result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type attempt struct {
		address string
		result
	}
	last := result{err: errors.Wrap(fulmarkv.ErrUnavailable, "fulmarkvforwarder: no other daemon could be called")}
	candidates := s.candidates()
	ended := ctx.Done()
	if !repeatable {
		ended = nil // the call ends with ctx, and only its own result tells whether it may have had an effect
	}
	hedgeDelay := forwardHedgeDelay
	if c.Scan != nil {
		hedgeDelay = scanHedgeDelay
	}
	attempts := make(chan attempt, len(candidates))
	pending := make(map[string]bool) // daemons that have not answered yet; the next call tries them last
	defer func() {
		for address := range pending {
			s.recordPeer(address, false)
		}
	}()
	for running := 0; ctx.Err() == nil && (len(candidates) > 0 || running > 0); {
		var hedge <-chan time.Time // nil, and so never ready, while no further daemon may be called
		if len(candidates) > 0 && (running == 0 || repeatable) {
			address := candidates[0]
			candidates = candidates[1:]
			running++
			pending[address] = true
			go func() { attempts <- attempt{address, s.forwardThrough(ctx, address, c)} }()
			if repeatable && len(candidates) > 0 {
				hedge = time.After(hedgeDelay)
			}
		}
		select {
		case a := <-attempts:
			running--
			delete(pending, a.address)
			last = a.result
			s.recordPeer(a.address, last.answered())
			if !errors.Is(last.err, fulmarkv.ErrUnavailable) {
				return last
			}
		case <-hedge:
		case <-ended:
		}
	}
	s.recordForwardFailure()
	return last
}

// peers returns the addresses of the daemons through which the store may be called.
func (s *Store) peers() []string {
	if contacts := s.contacts(); len(contacts) > 0 {
		return contacts
	}
	return s.relays()
}

// candidates returns the daemons to try, in order: the one that last succeeded, then others at random, and last those
// that failed recently, of which the first failed the longest time ago.
func (s *Store) candidates() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := slices.Clone(s.peers())
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	if i := slices.Index(out, s.lastPeer); i > 0 {
		out[0], out[i] = out[i], out[0]
	}
	slices.SortStableFunc(out, func(a, b string) int { return s.peerFailures[a].Compare(s.peerFailures[b]) })
	return out[:min(len(out), maxForwardAttempts)]
}

// recordPeer records whether a daemon has forwarded a call successfully.
func (s *Store) recordPeer(address string, reached bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reached {
		s.lastPeer = address
		delete(s.peerFailures, address)
		return
	}
	s.peerFailures[address] = time.Now()
}

// recordForwardFailure records that a call could not be forwarded, and starts the backoff if all contacts have failed.
func (s *Store) recordForwardFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(s.peerFailures, func(_ string, at time.Time) bool { return now.Sub(at) >= failureBackoff })
	for _, address := range s.peers() {
		if _, failed := s.peerFailures[address]; !failed {
			return
		}
	}
	s.lastForwardFailure = now
}

// Forwarding reports whether calls are currently forwarded through other daemons.
func (s *Store) Forwarding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.forwarding
}

// forwardThrough makes a call through one daemon.
func (s *Store) forwardThrough(ctx context.Context, address string, c *fulmarleaderrpc.StoreCall) result {
	timeout := forwardTimeout
	if c.Scan != nil {
		timeout = scanTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	daemon, err := s.dial(ctx, address)
	if err != nil {
		return result{err: errors.Wrap(fulmarkv.ErrUnavailable, err.Error())}
	}
	defer daemon.Close()
	a, err := daemon.Forward(ctx, c)
	if err != nil {
		if c.Commit == nil && c.CreateLease == nil {
			return result{err: errors.Wrap(fulmarkv.ErrUnavailable, err.Error())}
		}
		return result{err: errors.Wrap(fulmarkv.ErrAmbiguous, err.Error())}
	}
	if a.Fault != fulmarleaderrpc.Unavailable {
		if err := s.checkEra(a, c); err != nil {
			return result{err: err}
		}
	}
	if err := decodeFault(a.Fault); err != nil {
		return result{err: errors.Wrapf(err, "fulmarkvforwarder: call forwarded through %s", address)}
	}
	return result{answer: a}
}
