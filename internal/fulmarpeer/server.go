package fulmarpeer

import (
	"context"
	"log/slog"
	"net"
	"sync"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/fulmarbend/fulmarbend/internal/fulmarwire"
)

const maxMessageSize = 2 << 20 // bytes

const (
	rpcHeartbeat = "/fulmarbend.Peer/Heartbeat"
	rpcPull      = "/fulmarbend.Peer/Pull"
	rpcPush      = "/fulmarbend.Peer/Push"
	rpcTransfer  = "/fulmarbend.Peer/Transfer"
	rpcHandover  = "/fulmarbend.Peer/Handover"
)

// Handler serves the calls of peers.
type Handler interface {
	Heartbeat(ctx context.Context, s *fulmarwire.Status) (*fulmarwire.Status, error)
	Pull(ctx context.Context, w *fulmarwire.PullRequest) (*fulmarwire.Update, error)
	Push(ctx context.Context, b *fulmarwire.Update) (*fulmarwire.Status, error)
	Transfer(ctx context.Context, t *fulmarwire.Transfer) (*fulmarwire.Reply, error)
	Handover(ctx context.Context, h *fulmarwire.Handover) (*fulmarwire.Reply, error)
}

// method describes one call to drpc: its path, its receiver and the method expression of Handler.
type method struct {
	rpc        string
	receiver   drpc.Receiver
	methodExpr any
}

// description lists the calls for the drpc multiplexer; it implements drpc.Description.
type description struct {
	codec   fulmarwire.Codec
	methods []method
}

// unary returns a drpc receiver that decodes a request of type I and makes the call on the handler.
func unary[I, O any](call func(Handler, context.Context, *I) (*O, error)) drpc.Receiver {
	return func(srv any, ctx context.Context, in, _ any) (drpc.Message, error) {
		handler, ok := srv.(Handler)
		if !ok {
			return nil, ErrProtocol
		}
		message, ok := in.(*I)
		if !ok {
			return nil, ErrProtocol
		}
		return call(handler, ctx, message)
	}
}

func newDescription(codec fulmarwire.Codec) description {
	return description{codec: codec, methods: []method{
		{rpcHeartbeat, unary(Handler.Heartbeat), Handler.Heartbeat},
		{rpcPull, unary(Handler.Pull), Handler.Pull},
		{rpcPush, unary(Handler.Push), Handler.Push},
		{rpcTransfer, unary(Handler.Transfer), Handler.Transfer},
		{rpcHandover, unary(Handler.Handover), Handler.Handover},
	}}
}

// NumMethods returns the number of calls.
func (d description) NumMethods() int { return len(d.methods) }

// Method returns the nth call.
func (d description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n < 0 || n >= len(d.methods) {
		return "", nil, nil, nil, false
	}
	m := d.methods[n]
	return m.rpc, d.codec, m.receiver, m.methodExpr, true
}

// Server accepts connections of peers and serves their calls.
type Server struct {
	key     []byte
	server  *drpcserver.Server
	log     *slog.Logger
	traffic *Traffic
}

// New returns a server that passes calls of peers that know key to handler.
func New(key []byte, handler Handler, log *slog.Logger) (*Server, error) {
	codec, err := fulmarwire.New()
	if err != nil {
		return nil, err
	}
	mux := drpcmux.New()
	if err := mux.Register(handler, newDescription(codec)); err != nil {
		return nil, errors.Wrap(err, "fulmarpeer: register")
	}
	options := drpcserver.Options{Manager: managerOptions()}
	s := &Server{key: key, log: log}
	s.server = drpcserver.NewWithOptions(countingHandler{mux, s}, options)
	return s, nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageSize}}
}

// Serve accepts connections until ctx ends, then closes them, waits for their goroutines and returns.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	var connections sync.WaitGroup
	defer connections.Wait()
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "fulmarpeer: accept")
		}
		connections.Go(func() { s.serveConn(ctx, s.traffic.wrap(conn)) })
	}
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if err := handshake(conn, s.key, "server", "client"); err != nil {
		if ctx.Err() == nil {
			s.log.Warn("peer handshake failed", "remote", conn.RemoteAddr().String(), "error", err)
		}
		return
	}
	if err := s.server.ServeOne(ctx, conn); err != nil && ctx.Err() == nil {
		s.log.Debug("peer connection ended", "remote", conn.RemoteAddr().String(), "error", err)
	}
}
