package fulmarlink

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Errors of an exchange; compare with errors.Is.
var (
	// ErrUnsent states that no byte of the request was sent.
	ErrUnsent = errors.New("fulmarlink: request not sent")
	// ErrBroken states that the request was sent, at least in part, and that no complete answer came.
	ErrBroken = errors.New("fulmarlink: no complete answer")
)

const (
	maxStale      = 8       // answers to earlier requests that are skipped
	maxInterim    = 8       // answers of status 1xx that are skipped
	chunk         = 4 << 10 // step in which the body of unknown length is read, in bytes
	idleMargin    = time.Second
	requestBuffer = 1 << 10
)

// Settings bound the connections of a pool.
type Settings struct {
	DialTimeout     time.Duration // longest time to open a connection
	AckTimeout      time.Duration // longest time that sent data may stay unacknowledged
	IdleTimeout     time.Duration // longest time that an unused connection is kept
	BodyLimit       int64         // longest answer that is read whole, in bytes; longer ones are streamed
	RequestIDHeader string        // name of the header that identifies a request
}

// Request is one request to a target.
type Request struct {
	Method    string
	URI       string // path and query as the caller sent them
	Host      string
	Header    http.Header // without connection headers, Host and Content-Length
	ID        string      // request id; empty if the answer need not carry one
	Body      io.Reader   // nil for none
	Length    int64       // of the body, -1 if unknown
	ReuseOnly bool        // send over a connection of an earlier request, or not at all
	MaxIdle   int         // most unused connections to the address that are kept afterwards, 0 for no bound
}

// Answer is the answer of a target.
type Answer struct {
	Status    int
	Header    http.Header
	Body      []byte        // the whole body, or what was read of it if Rest is set
	Remainder io.ReadCloser // nil if Body is the whole body
	Length    int64         // of the whole body, -1 if unknown
}

// Pool holds connections to targets; it is safe for concurrent use.
type Pool struct {
	settings Settings
	mu       sync.Mutex
	idle     map[string][]*conn // by address, the one used last at the end
	open     map[string]int     // connections by address
}

// New returns an empty pool.
func New(s Settings) *Pool {
	return &Pool{settings: s, idle: make(map[string][]*conn), open: make(map[string]int)}
}

// Idle returns the number of unused open connections to address.
func (p *Pool) Idle(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address])
}

// Open returns the number of connections to address, used or not.
func (p *Pool) Open(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[address]
}

// Drop closes the unused connections to address.
func (p *Pool) CloseIdle(address string) {
	for _, c := range p.takeAll(address) {
		p.discard(address, c)
	}
}

func (p *Pool) takeAll(address string) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	delete(p.idle, address)
	return list
}

// Sweep closes the connections that have been unused for too long at now.
func (p *Pool) CloseExpired(now time.Time) {
	type old struct {
		address string
		conn    *conn
	}
	var expired []old
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.used) >= c.idle {
				expired = append(expired, old{address, c})
				continue
			}
			kept = append(kept, c)
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, e := range expired {
		p.discard(e.address, e.conn)
	}
}

// Close closes all unused connections.
func (p *Pool) Close() {
	p.mu.Lock()
	addresses := make([]string, 0, len(p.idle))
	for a := range p.idle {
		addresses = append(addresses, a)
	}
	p.mu.Unlock()
	for _, a := range addresses {
		p.CloseIdle(a)
	}
}

func (p *Pool) discard(address string, c *conn) {
	c.Close()
	p.forget(address)
}

func (p *Pool) forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// take returns an unused connection that is still open, or nil.
func (p *Pool) take(address string, now time.Time) *conn {
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		list[len(list)-1] = nil
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		if now.Sub(c.used) < c.idle && c.usable() {
			return c
		}
		p.discard(address, c)
	}
}

// put keeps a connection for later requests unless there are unused ones already.
func (p *Pool) put(address string, c *conn, now time.Time, unused int) {
	c.used = now
	p.mu.Lock()
	full := unused > 0 && len(p.idle[address]) >= unused
	if !full {
		p.idle[address] = append(p.idle[address], c)
	}
	p.mu.Unlock()
	if full {
		p.discard(address, c)
	}
}

// connect returns an unused connection or a new one.
func (p *Pool) connect(ctx context.Context, address string, kept bool) (*conn, error) {
	if c := p.take(address, time.Now()); c != nil {
		return c, nil
	}
	if kept {
		return nil, errors.Wrap(ErrUnsent, "no connection of an earlier request")
	}
	p.mu.Lock()
	p.open[address]++
	p.mu.Unlock()
	c, err := dial(ctx, address, p.settings.DialTimeout, p.settings.AckTimeout)
	if err != nil {
		p.forget(address)
		return nil, errors.Wrap(ErrUnsent, err.Error())
	}
	return c, nil
}

// Do sends the request to address once and returns the answer. Cancelling ctx breaks off the exchange.
// If the answer has a Rest, it must be read to its end or closed.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Answer, error) {
	c, err := p.connect(ctx, address, r.ReuseOnly)
	if err != nil {
		return nil, err
	}
	c.written = false
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) }) // a closed connection needs no deadline
	a, keep, err := p.exchange(c, r)
	if err != nil {
		stop()
		p.abandon(address, c)
		if !c.written {
			return nil, errors.Wrap(ErrUnsent, err.Error())
		}
		return nil, errors.Wrap(ErrBroken, err.Error())
	}
	finish := func(whole bool) {
		if !stop() || !whole || !keep || c.reader.Buffered() > 0 {
			p.abandon(address, c)
			return
		}
		p.put(address, c, time.Now(), r.MaxIdle)
	}
	if a.Remainder != nil {
		a.Remainder = &rest{ReadCloser: a.Remainder, finish: finish}
		return a, nil
	}
	finish(true)
	return a, nil
}

// abandon closes a connection in the midst of an exchange; its target stops the work.
func (p *Pool) abandon(address string, c *conn) {
	c.reset()
	p.forget(address)
}

// exchange writes the request and reads the head of the answer and as much of the body as is kept.
func (p *Pool) exchange(c *conn, r *Request) (a *Answer, keep bool, err error) {
	sendErr := send(c, r)
	if sendErr != nil && (!c.written || errors.Is(sendErr, errBody)) {
		return nil, false, sendErr
	}
	for range maxStale {
		resp, err := receive(c, r.Method) //nolint:bodyclose // read to its end by read or skip, or closed with the connection
		if err != nil {
			return nil, false, err
		}
		if id := resp.Header.Get(p.settings.RequestIDHeader); r.ID != "" && id != "" && id != r.ID {
			if err := p.skip(resp); err != nil {
				return nil, false, err
			}
			continue
		}
		a, keep, err := p.read(c, resp)
		// After a broken write the target may have answered early, but waits for the rest of the request.
		return a, keep && sendErr == nil, err
	}
	return nil, false, errors.New("too many answers to other requests")
}
