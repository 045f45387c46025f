package fulmarlink

import (
	"context"
	"io"
	"maps"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Errors of an exchange; compare with errors.Is.
var (
	// ErrUnsent means that no byte of the request was sent.
	ErrUnsent = errors.New("fulmarlink: request not sent")
	// ErrNoRoom means that the target reset a new connection before anything was sent on it, as targets do beyond their
	// limit of connections. It is a case of ErrUnsent.
	ErrNoRoom = errors.Wrap(ErrUnsent, "target accepts no more connections")
	// ErrBroken means that the request was sent, at least in part, but no complete answer was received.
	ErrBroken = errors.New("fulmarlink: no complete answer")
	// ErrUnacknowledged means that the target's machine has stopped acknowledging data, so that the target may have fallen silent
	// before. It is a case of ErrBroken.
	ErrUnacknowledged = errors.Wrap(ErrBroken, "target acknowledges nothing")
)

const (
	maxStaleAnswers   = 8           // late answers skipped for one request
	maxInterimAnswers = 8           // answers of status 1xx skipped for one request
	maxAnswerHead     = 64 << 10    // bytes of the head of an answer, with the interim answers before it
	maxStaleBody      = 4 << 20     // bytes of the body of a late answer that is skipped
	chunkSize         = 4 << 10     // buffer for a body of unknown length, in bytes
	keepAliveMargin   = time.Second // close this much before the timeout of a Keep-Alive header
	requestBuffer     = 1 << 10
	scarceBodyLimit   = 16 << 10 // bytes of a body that are read into memory where that is scarce
	// maxRequests is the number of requests after which a connection is not kept, as it remembers the id of each, or the token of
	// its answer. That takes 8 KB at most, and one in a thousand requests opens a connection more.
	maxRequests = 1 << 10

	// A target that has reached its limit of connections accepts a further one and resets it at once. A request that was
	// written by then may have run, for all that the daemon knows, and must fail. So the daemon waits for the reset before
	// it writes: on a second connection to a target, for resetMemory after a reset, and if the request says so. Any other
	// first connection to a target is used at once.
	resetMemory = 10 * time.Second
)

// Settings holds the timeouts and limits of a pool.
type Settings struct {
	DialTimeout time.Duration // longest time to open a connection
	// AcceptMargin is the wait for a reset of a new connection, besides the time that opening it took, at most as much again.
	AcceptMargin time.Duration
	AckTimeout   time.Duration // longest time that sent data may stay unacknowledged
	IdleTimeout  time.Duration // longest time that a connection stays idle
	BodyLimit    int64         // longest body that is read into memory, in bytes; the rest of a longer one is streamed
	// HasRoom reports whether there is memory for n bytes; without it, less of a body is read before the answer is returned. It may be nil.
	HasRoom         func(n int64) bool
	RequestIDHeader string // name of the header with the request id
}

// Request is one request to a target.
type Request struct {
	Method    string
	URI       string // path and query, unchanged
	Host      string
	Header    http.Header // without connection headers, Host and Content-Length
	ID        string      // request id; empty if the answer carries none
	Lane      string      // requests of different lanes share no connection
	Body      io.Reader   // nil or http.NoBody for none
	Length    int64       // of the body, -1 if unknown
	ReuseOnly bool        // fail with ErrUnsent if there is no idle connection
	Crowded   bool        // the target may be at its limit of connections, whatever this pool knows of it
	MaxIdle   int         // limit on the idle connections to the address after this request, 0 for none
	// Matches reports whether an answer can be the one to this request; others are late ones to earlier requests. It is
	// for requests without an ID, and may be nil.
	Matches func(status int, header http.Header) bool
	// CloseAfter reports whether the connection isn't kept after an answer with the status; it may be nil.
	CloseAfter func(status int) bool
	// TokenHeader names a header whose value differs in each answer, empty for none. An answer that repeats a value of its
	// connection is a copy of an earlier one.
	TokenHeader string
}

// Answer is the answer of a target.
type Answer struct {
	Status    int
	Header    http.Header
	Body      []byte        // the whole body, or its first part if Remainder is set
	Remainder io.ReadCloser // nil if Body is the whole body
	Length    int64         // of the whole body, -1 if unknown
	// Identified reports whether the answer bears the id of the request. One without an id is accepted only as the first
	// answer of its connection.
	Identified bool
	// Closing reports whether the target closes the connection behind the answer, and so handles no further request on it.
	Closing bool
	Place   Place
}

// Place tells where an answer was received.
type Place struct {
	Connection int64 // number of the connection in its pool, from 1
	Exchange   int   // number of the request on the connection, from 1
	Late       int   // answers to other requests that were skipped before the answer
	Avoided    int   // idle connections that were not used, as they had carried the request's id before
}

// Pool holds persistent connections to targets; it is safe for concurrent use.
type Pool struct {
	settings Settings
	mu       sync.Mutex
	idle     map[string][]*conn   // by address, the most recently used one last
	open     map[string]int       // number of connections by address, idle or in use
	resetAt  map[string]time.Time // by address: when the target last reset a connection before it answered on it
	opened   int64                // number of connections opened so far
}

// New returns an empty pool.
func New(s Settings) *Pool {
	return &Pool{settings: s, idle: make(map[string][]*conn), open: make(map[string]int), resetAt: make(map[string]time.Time)}
}

// Open returns the number of connections to address, idle or in use.
func (p *Pool) Open(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[address]
}

func (p *Pool) closeConn(address string, c *conn) {
	c.Close()
	p.countClosed(address)
}

func (p *Pool) countClosed(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// connect returns an idle connection that has not carried the id of the request or, unless it requires one, a new connection.
// avoided is the number of idle connections that have carried the id.
func (p *Pool) connect(ctx context.Context, address string, r *Request) (c *conn, avoided int, err error) {
	c, avoided = p.takeIdle(address, r, time.Now())
	if c != nil {
		return c, avoided, nil
	}
	if r.ReuseOnly {
		return nil, avoided, errors.Wrap(ErrUnsent, "no idle connection to the target that has not carried the id")
	}
	if avoided > 0 {
		// The target may have no room for one more connection, and a caller that repeats its id must not leave one behind each time.
		p.closeOldestIdle(address)
	}
	started := time.Now()
	c, nearLimit, err := p.dialCounted(ctx, address, started)
	if err != nil {
		if errors.Is(err, syscall.ECONNRESET) {
			p.recordReset(address)
			return nil, avoided, ErrNoRoom
		}
		return nil, avoided, errors.Wrap(ErrUnsent, err.Error())
	}
	c.setLane(r.Lane)
	if (nearLimit || avoided > 0 || r.Crowded) && !c.accepted(min(time.Since(started), p.settings.AcceptMargin)+p.settings.AcceptMargin) {
		p.recordReset(address)
		p.closeConn(address, c)
		return nil, avoided, ErrNoRoom
	}
	return c, avoided, nil
}

// dialCounted opens a connection at now, which counts as open until it is closed. nearLimit reports whether the target may be at
// its limit of connections.
func (p *Pool) dialCounted(ctx context.Context, address string, now time.Time) (c *conn, nearLimit bool, err error) {
	p.mu.Lock()
	p.open[address]++
	nearLimit = p.open[address] > 1 || now.Sub(p.resetAt[address]) < resetMemory
	p.mu.Unlock()
	if c, err = dial(ctx, address, p.settings.DialTimeout, p.settings.AckTimeout); err != nil {
		p.countClosed(address)
		return nil, nearLimit, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opened++
	c.number = p.opened
	return c, nearLimit, nil
}

// Refuses reports whether the target at address refuses new connections, as it does once its process has ended.
func (p *Pool) Refuses(ctx context.Context, address string) bool {
	c, _, err := p.dialCounted(ctx, address, time.Now())
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.closeConn(address, c)
	return false
}

// recordReset records that the target reset a new connection.
func (p *Pool) recordReset(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAt[address] = time.Now()
}

// forgetResets drops the resets before now that are too old to matter. The caller holds mu.
func (p *Pool) forgetResets(now time.Time) {
	maps.DeleteFunc(p.resetAt, func(_ string, at time.Time) bool { return now.Sub(at) >= resetMemory })
}

// Do sends the request to address once and returns the answer. Cancelling ctx aborts the exchange. If the answer has a
// Remainder, the caller must read it to its end or close it.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Answer, error) {
	c, avoided, err := p.connect(ctx, address, r)
	if err != nil {
		return nil, err
	}
	c.written = false
	c.exchanges++
	if r.ID != "" {
		c.carried.Add(r.ID)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(past) }) // fails only on a closed connection
	a, keep, err := p.exchange(c, r)
	if err != nil {
		stop()
		p.resetConn(address, c)
		if !c.written {
			return nil, errors.Wrap(ErrUnsent, err.Error())
		}
		if c.usedAt.IsZero() && !errors.Is(err, os.ErrDeadlineExceeded) {
			p.recordReset(address) // the first request of the connection met its end, not a deadline
		}
		if errors.Is(err, syscall.ETIMEDOUT) {
			return nil, errors.Wrap(ErrUnacknowledged, err.Error())
		}
		return nil, errors.Wrap(ErrBroken, err.Error())
	}
	a.Place.Avoided = avoided
	finish := func(whole bool) {
		if !stop() || !whole || !keep || c.reader.Buffered() > 0 {
			p.resetConn(address, c)
			return
		}
		p.putIdle(address, c, time.Now(), r.MaxIdle)
	}
	if a.Remainder != nil {
		a.Remainder = &remainder{ReadCloser: a.Remainder, finish: finish}
		return a, nil
	}
	finish(true)
	return a, nil
}

// resetConn resets a connection during an exchange, so that the target stops working on the request.
func (p *Pool) resetConn(address string, c *conn) {
	c.reset()
	p.countClosed(address)
}

// answers reports whether an answer with the given id is the one to the request with id want; both are empty for none. An answer
// without an id may be a late one to an earlier request, unless there is none on this connection.
func (c *conn) answers(id, want string) bool {
	isFirst := c.usedAt.IsZero()
	return id == want || id == "" && isFirst
}

// isLate reports whether an answer without an id is a late one to an earlier request.
func (c *conn) isLate(resp *http.Response, r *Request) bool {
	if r.Matches != nil && !r.Matches(resp.StatusCode, resp.Header) {
		return true
	}
	if r.TokenHeader == "" {
		return false
	}
	token := resp.Header.Get(r.TokenHeader)
	if token == "" {
		return false
	}
	repeated := c.tokens.Contains(token)
	c.tokens.Add(token)
	return repeated
}

// exchange writes the request and reads the head of the answer and the body up to the body limit. keep reports whether
// the connection can be reused.
func (p *Pool) exchange(c *conn, r *Request) (a *Answer, keep bool, err error) {
	sending := startSending(c, r)
	defer sending.stop()
	for late := range maxStaleAnswers {
		resp, err := sending.receive(r.Method) //nolint:bodyclose // read to its end by readAnswer or discardAnswer, or closed with the connection
		if err != nil {
			return nil, false, err
		}
		id := resp.Header.Get(p.settings.RequestIDHeader)
		if !c.answers(id, r.ID) || c.isLate(resp, r) {
			if r.Method == http.MethodHead {
				return nil, false, errors.New("late answer before that to a HEAD request, whose body cannot be told from answers")
			}
			if err := p.discardAnswer(resp); err != nil {
				return nil, false, err
			}
			continue
		}
		complete, err := sending.end(resp.StatusCode)
		if err != nil {
			return nil, false, err
		}
		a, keep, err := p.readAnswer(c, resp)
		if err != nil {
			return nil, false, err
		}
		a.Identified = id == r.ID
		a.Place = Place{Connection: c.number, Exchange: c.exchanges, Late: late}
		// A target that has not received the whole request still expects the rest of it. A copy of an answer without an id could
		// not be told from the answer to the next request.
		keep = keep && complete && a.Identified && (r.CloseAfter == nil || !r.CloseAfter(a.Status))
		return a, keep, nil
	}
	return nil, false, errors.New("too many answers to other requests")
}
