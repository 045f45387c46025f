package fulmarhttpserver

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Limits holds the limits on the size and the duration of requests.
type Limits struct {
	HeaderBytes   int   // bytes
	BodyBytes     int64 // bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Memory admits the bytes that the server holds for its callers.
type Memory interface {
	// Reserve reserves n bytes for a caller and reports whether there was room.
	Reserve(caller string, n int64) bool
	// ReserveOptional is Reserve for bytes that the server can do without.
	ReserveOptional(caller string, n int64) bool
	// Add counts n bytes that are held already; n is negative for those that are no longer held.
	Add(n int64)
	// Release ends the count of n bytes of a caller.
	Release(caller string, n int64)
}

// Server serves the connections of a listener.
type Server struct {
	handler  Handler
	limits   func() Limits
	memory   Memory
	log      *slog.Logger
	draining atomic.Bool
	mu       sync.Mutex
	conns    map[*conn]struct{}
	inFlight atomic.Int64

	requests  context.Context // ends when the requests in flight are interrupted
	interrupt context.CancelFunc
}

// ErrInterrupted is the cause of the end of a request's context after Interrupt.
var ErrInterrupted = errors.New("fulmarhttpserver: request interrupted by the shutdown")

// New returns a server that calls limits for each request, and refuses those for whose bodies memory has no room.
func New(handler Handler, limits func() Limits, memory Memory, log *slog.Logger) *Server {
	s := &Server{handler: handler, limits: limits, memory: memory, log: log, conns: make(map[*conn]struct{})}
	s.requests, s.interrupt = context.WithCancel(context.Background())
	return s
}

// Serve accepts connections until ctx ends, and returns when all of them have ended.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	var group sync.WaitGroup
	defer group.Wait()
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	for {
		raw, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			var temporary net.Error
			if errors.As(err, &temporary) {
				s.log.Warn("accepting a caller's connection failed", "error", err)
				time.Sleep(acceptRetryDelay)
				continue
			}
			return errors.Wrap(err, "fulmarhttpserver: accept")
		}
		c := newConn(s, raw)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		group.Go(func() {
			c.run(ctx)
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		})
	}
}

// acceptRetryDelay is the wait after a failed accept, for example when no file descriptor is free.
const acceptRetryDelay = 10 * time.Millisecond

// InFlight returns the number of requests that were read and not yet answered.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Drain makes each later answer the last one of its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// Interrupt ends the contexts of the requests in flight and of later ones, whose answers are still written.
func (s *Server) Interrupt() { s.interrupt() }

// CloseIdle closes the connections without a request in flight.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	list := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	s.mu.Unlock()
	for _, c := range list {
		c.closeIfIdle()
	}
}
