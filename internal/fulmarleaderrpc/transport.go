package fulmarleaderrpc

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/internal/fulmarwire"
)

const (
	rpcSync             = "/fulmarbend.Leader/Sync"
	rpcForward          = "/fulmarbend.Leader/Forward"
	rpcPermits          = "/fulmarbend.Leader/Permits"
	rpcExchangeCrashes  = "/fulmarbend.Leader/ExchangeCrashes"
	rpcPlace            = "/fulmarbend.Leader/Place"
	maxMessageSize      = 2 << 20 // bytes
	dialTimeout         = 300 * time.Millisecond
	acceptRetryInterval = 10 * time.Millisecond
)

// ErrNotLeader is returned by a daemon that is not the leader.
var ErrNotLeader = errors.New("fulmarleaderrpc: this daemon is not the leader")

// Handler processes the calls of other daemons.
type Handler interface {
	// Sync answers a report. It may wait for a change.
	Sync(ctx context.Context, r *Report) (*Update, error)
	// Permits dispenses permits for requests to targets with a limit.
	Permits(ctx context.Context, r *PermitRequest) (*PermitAnswer, error)
	// Forward makes a call to the store on behalf of another daemon.
	Forward(ctx context.Context, c *StoreCall) (*StoreAnswer, error)
	// ExchangeCrashes takes over what another daemon knows of requests that crash targets, and answers with what all
	// daemons are to know.
	ExchangeCrashes(ctx context.Context, c *CrashExchange) (*CrashExchange, error)
	// Place takes over what a daemon does at targets, and chooses the targets of its requests.
	Place(ctx context.Context, r *PlacementRequest) (*PlacementAnswer, error)
}

// rpcDescription describes the methods to the drpc multiplexer.
type rpcDescription struct{ codec fulmarwire.Codec }

func (rpcDescription) NumMethods() int { return 5 }

func (d rpcDescription) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	switch n {
	case 0:
		return rpcSync, d.codec, receiver(Handler.Sync), Handler.Sync, true
	case 1:
		return rpcForward, d.codec, receiver(Handler.Forward), Handler.Forward, true
	case 2:
		return rpcPermits, d.codec, receiver(Handler.Permits), Handler.Permits, true
	case 3:
		return rpcExchangeCrashes, d.codec, receiver(Handler.ExchangeCrashes), Handler.ExchangeCrashes, true
	case 4:
		return rpcPlace, d.codec, receiver(Handler.Place), Handler.Place, true
	}
	return "", nil, nil, nil, false
}

// receiver adapts a Handler method to drpc.
func receiver[In, Out any](method func(Handler, context.Context, *In) (*Out, error)) drpc.Receiver {
	return func(srv any, ctx context.Context, in, _ any) (drpc.Message, error) {
		handler, ok := srv.(Handler)
		message, isInput := in.(*In)
		if !ok || !isInput {
			return nil, errors.New("fulmarleaderrpc: call has an unexpected handler or message type")
		}
		return method(handler, ctx, message)
	}
}

// drpcOptions limits the size of messages to maxMessageSize.
func drpcOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageSize}}
}

// Server serves the calls of other daemons.
type Server struct {
	server *drpcserver.Server
	log    *slog.Logger
}

// New returns a server that passes calls to handler.
func New(handler Handler, log *slog.Logger) (*Server, error) {
	codec, err := fulmarwire.New()
	if err != nil {
		return nil, err
	}
	mux := drpcmux.New()
	if err := mux.Register(handler, rpcDescription{codec}); err != nil {
		return nil, errors.Wrap(err, "fulmarleaderrpc: register rpc handler")
	}
	return &Server{server: drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: drpcOptions()}), log: log}, nil
}

// Serve accepts connections until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	var group sync.WaitGroup
	defer group.Wait()
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// Accept fails if file descriptors run out, for example. The daemon must keep serving callers then.
			s.log.Warn("accepting a connection from a daemon failed", "error", err)
			fulmarclock.Sleep(ctx, acceptRetryInterval)
			continue
		}
		group.Go(func() {
			defer conn.Close()
			end := context.AfterFunc(ctx, func() { conn.Close() })
			defer end()
			if err := s.server.ServeOne(ctx, conn); err != nil && ctx.Err() == nil {
				s.log.Debug("connection from a daemon failed", "remote", conn.RemoteAddr().String(), "error", err)
			}
		})
	}
}

// Client calls one daemon over one connection. It is not safe for concurrent use.
type Client struct {
	address string
	codec   fulmarwire.Codec
	conn    *drpcconn.Conn
}

// Dial connects to the daemon at address.
func Dial(ctx context.Context, address string) (*Client, error) {
	codec, err := fulmarwire.New()
	if err != nil {
		return nil, err
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "fulmarleaderrpc: connect to daemon")
	}
	return &Client{address: address, codec: codec, conn: drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: drpcOptions()})}, nil
}

// Sync sends a report and returns the leader's update.
func (c *Client) Sync(ctx context.Context, r *Report) (*Update, error) {
	return call[Update](ctx, c, rpcSync, r)
}

// Permits asks the leader for permits.
func (c *Client) Permits(ctx context.Context, r *PermitRequest) (*PermitAnswer, error) {
	return call[PermitAnswer](ctx, c, rpcPermits, r)
}

// ExchangeCrashes sends what this daemon knows of requests that crash targets, and returns what the other one knows.
func (c *Client) ExchangeCrashes(ctx context.Context, e *CrashExchange) (*CrashExchange, error) {
	return call[CrashExchange](ctx, c, rpcExchangeCrashes, e)
}

// Place states what this daemon does at targets and asks the leader for targets.
func (c *Client) Place(ctx context.Context, r *PlacementRequest) (*PlacementAnswer, error) {
	return call[PlacementAnswer](ctx, c, rpcPlace, r)
}

// Forward makes a call to the store through the daemon.
func (c *Client) Forward(ctx context.Context, s *StoreCall) (*StoreAnswer, error) {
	return call[StoreAnswer](ctx, c, rpcForward, s)
}

// call invokes a method of the daemon and returns its answer.
func call[Out any](ctx context.Context, c *Client, method string, in any) (*Out, error) {
	out := new(Out)
	if err := c.conn.Invoke(ctx, method, c.codec, in, out); err != nil {
		return nil, errors.Wrap(err, "fulmarleaderrpc: call daemon")
	}
	return out, nil
}

// Close closes the connection.
func (c *Client) Close() { c.conn.Close() }
