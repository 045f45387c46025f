package fulmardetour

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarsnapshot"
	"github.com/fulmarbend/fulmarbend/internal/fulmarsync"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
)

const (
	// patience is the time after which a call that may be repeated is made through another daemon as well. It is
	// above the time that a slow store takes for an answer.
	patience = 280 * time.Millisecond
	// directEvery is the time between direct calls while detours are taken, and directTimeout the time of one.
	directEvery   = 500 * time.Millisecond
	directTimeout = 400 * time.Millisecond
	// hopTimeout is the time for a call through one daemon, which may not reach the store either.
	hopTimeout = 300 * time.Millisecond
	// hops bounds the daemons that are tried for a call. pause is the time without detours after all of them have
	// failed, and the time for which a daemon makes no calls for others after a direct one has failed: if nobody
	// reaches the store, it must not get a multiple of the usual calls.
	hops  = 3
	pause = 2 * time.Second
	// serveTimeout bounds the calls that are made for other daemons.
	serveTimeout = 500 * time.Millisecond
)

// Daemon makes calls for this one.
type Daemon interface {
	Forward(ctx context.Context, c *fulmarsync.StoreCall) (*fulmarsync.StoreAnswer, error)
	Close()
}

// Dial connects to the daemon at address.
type Dial func(ctx context.Context, address string) (Daemon, error)

// Store is a store with detours; it is safe for concurrent use.
type Store struct {
	direct   fulmarkv.Store
	dial     Dial
	contacts func() []string
	log      *slog.Logger

	mu     sync.Mutex
	detour bool      // calls go through other daemons
	way    string    // address of the daemon through which the last detour led
	tried  time.Time // when a direct call was last made while detours are taken
	vain   time.Time // when a detour has last failed at all daemons
	failed time.Time // when a direct call has last failed
}

var _ fulmarkv.Store = (*Store)(nil)

// New returns a store that is reached directly or through the daemons whose addresses contacts returns.
func New(direct fulmarkv.Store, dial Dial, contacts func() []string, log *slog.Logger) *Store {
	return &Store{direct: direct, dial: dial, contacts: contacts, log: log}
}

// Scan returns all items whose key begins with prefix.
func (s *Store) Scan(ctx context.Context, prefix string) ([]fulmarkv.Item, error) {
	a, err := s.call(ctx, &fulmarsync.StoreCall{Scan: &prefix}, true)
	if err != nil {
		return nil, err
	}
	return a.Items, nil
}

// Peek returns an item as it was at some time within the last seconds.
func (s *Store) Peek(ctx context.Context, key string) (fulmarkv.Item, bool, error) {
	a, err := s.call(ctx, &fulmarsync.StoreCall{Peek: &key}, true)
	if err != nil || len(a.Items) == 0 {
		return fulmarkv.Item{}, false, err
	}
	return a.Items[0], true, nil
}

// Commit applies a change.
func (s *Store) Commit(ctx context.Context, c fulmarkv.Txn) (int64, error) {
	a, err := s.call(ctx, &fulmarsync.StoreCall{Commit: &c}, false)
	if err != nil {
		return 0, err
	}
	return a.Revision, nil
}

// Open returns a new lease.
func (s *Store) Open(ctx context.Context, ttl time.Duration) (fulmarkv.Lease, error) {
	a, err := s.call(ctx, &fulmarsync.StoreCall{Open: &ttl}, false)
	if err != nil {
		return 0, err
	}
	return a.Lease, nil
}

// Keep extends a lease.
func (s *Store) Keep(ctx context.Context, l fulmarkv.Lease) error {
	_, err := s.call(ctx, &fulmarsync.StoreCall{Keep: &l}, true)
	return err
}

// End ends a lease.
func (s *Store) End(ctx context.Context, l fulmarkv.Lease) error {
	_, err := s.call(ctx, &fulmarsync.StoreCall{End: &l}, true)
	return err
}

// Forward makes a call for another daemon, without a further detour.
func (s *Store) Forward(ctx context.Context, c *fulmarsync.StoreCall) (*fulmarsync.StoreAnswer, error) {
	s.mu.Lock()
	down := time.Since(s.failed) < pause
	s.mu.Unlock()
	if down {
		return &fulmarsync.StoreAnswer{Fault: fulmarsync.Unavailable}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	r := s.perform(ctx, c)
	if r.err != nil {
		return &fulmarsync.StoreAnswer{Fault: fault(r.err)}, nil
	}
	return r.answer, nil
}

// result is the outcome of a call on one way.
type result struct {
	answer *fulmarsync.StoreAnswer
	err    error
}

// done reports whether the store has answered.
func (r result) done() bool {
	return !errors.Is(r.err, fulmarkv.ErrUnavailable) && !errors.Is(r.err, fulmarkv.ErrAmbiguous)
}

// call makes a call directly or by a detour. One that may be repeated may be made both ways.
func (s *Store) call(ctx context.Context, c *fulmarsync.StoreCall, repeatable bool) (*fulmarsync.StoreAnswer, error) {
	detoured, possible := s.state()
	if !possible {
		r := s.perform(ctx, c)
		return r.answer, r.err
	}
	if detoured {
		r := s.forward(ctx, c)
		if r.done() || !repeatable && errors.Is(r.err, fulmarkv.ErrAmbiguous) {
			return r.answer, r.err
		}
		s.set(false, r.err)
	}
	direct := make(chan result, 1)
	go func() { direct <- s.perform(ctx, c) }()
	var late <-chan time.Time // never, for a call that may be made only once
	if repeatable {
		timer := time.NewTimer(patience)
		defer timer.Stop()
		late = timer.C
	}
	select {
	case r := <-direct:
		if r.done() || ctx.Err() != nil || !repeatable && !errors.Is(r.err, fulmarkv.ErrUnavailable) {
			return r.answer, r.err
		}
		direct = nil // has ended
	case <-late:
	}
	detour := make(chan result, 1)
	go func() { detour <- s.around(ctx, c) }()
	r := first(direct, detour)
	return r.answer, r.err
}

// first returns the first answer of the store on two ways, or the result of the one that ended last. direct is nil if
// that way has ended.
func first(direct, detour <-chan result) (r result) {
	for direct != nil || detour != nil {
		select {
		case r = <-direct:
			direct = nil
		case r = <-detour:
			detour = nil
		}
		if r.done() {
			return r
		}
	}
	return r
}

// around makes a call through other daemons, and lets later ones take that way at once if it has worked.
func (s *Store) around(ctx context.Context, c *fulmarsync.StoreCall) result {
	r := s.forward(ctx, c)
	if r.done() {
		s.set(true, nil)
	}
	return r
}

// state reports whether calls go through other daemons, and whether they can. Now and then it tries whether the
// store answers again.
func (s *Store) state() (detoured, possible bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.detour && now.Sub(s.tried) >= directEvery {
		s.tried = now
		go s.try()
	}
	return s.detour, len(s.contacts()) > 0 && now.Sub(s.vain) >= pause
}

// try makes a cheap direct call and ends the detours if it is answered.
func (s *Store) try() {
	ctx, cancel := context.WithTimeout(context.Background(), directTimeout)
	defer cancel()
	if _, _, err := s.direct.Peek(ctx, fulmarsnapshot.LeaderKey); err == nil {
		s.set(false, nil)
	}
}

// set begins or ends the detours.
func (s *Store) set(detour bool, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.detour == detour {
		return
	}
	s.detour, s.tried = detour, time.Now()
	if detour {
		s.log.Warn("store reached through another daemon")
	} else {
		s.log.Info("store called directly again", "error", cause)
	}
}

// forward makes a call through other daemons, one after another.
func (s *Store) forward(ctx context.Context, c *fulmarsync.StoreCall) result {
	last := result{err: errors.Wrap(fulmarkv.ErrUnavailable, "fulmardetour: no daemon reached")}
	for _, address := range s.ways() {
		if ctx.Err() != nil {
			break
		}
		last = s.hop(ctx, address, c)
		if last.done() {
			s.took(address)
		}
		if !errors.Is(last.err, fulmarkv.ErrUnavailable) {
			return last
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vain = time.Now()
	return last
}

// ways returns the contacts in the order in which they are tried: the one that worked last, then the others at random.
func (s *Store) ways() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := slices.Clone(s.contacts())
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	if i := slices.Index(out, s.way); i > 0 {
		out[0], out[i] = out[i], out[0]
	}
	return out[:min(len(out), hops)]
}

// took records that a detour has worked.
func (s *Store) took(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.way = address
}

// Detoured reports whether calls go through other daemons now.
func (s *Store) Forwarding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detour
}

// hop makes a call through one daemon.
func (s *Store) hop(ctx context.Context, address string, c *fulmarsync.StoreCall) result {
	ctx, cancel := context.WithTimeout(ctx, hopTimeout)
	defer cancel()
	daemon, err := s.dial(ctx, address)
	if err != nil {
		return result{err: errors.Wrap(fulmarkv.ErrUnavailable, err.Error())}
	}
	defer daemon.Close()
	a, err := daemon.Forward(ctx, c)
	if err != nil {
		if c.Commit == nil && c.Open == nil {
			return result{err: errors.Wrap(fulmarkv.ErrUnavailable, err.Error())}
		}
		return result{err: errors.Wrap(fulmarkv.ErrAmbiguous, err.Error())}
	}
	if err := cause(a.Fault); err != nil {
		return result{err: errors.Wrapf(err, "fulmardetour: through %s", address)}
	}
	return result{answer: a}
}

// perform makes a call directly and notes whether the store answers.
func (s *Store) perform(ctx context.Context, c *fulmarsync.StoreCall) result {
	a, err := perform(ctx, s.direct, c)
	r := result{a, err}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.done() {
		s.failed = time.Time{}
	} else {
		s.failed = time.Now()
	}
	return r
}
