package fulmarpeer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"github.com/fulmarbend/fulmarbend/internal/fulmarwire"
)

const dialTimeout = time.Second

// Client makes calls to one peer over one connection; it is safe for concurrent use.
type Client struct {
	address string
	source  net.IP
	key     []byte
	codec   fulmarwire.Codec
	traffic *Traffic

	mu   sync.Mutex
	conn *drpcconn.Conn
}

// NewClient returns a client of the peer at address. Connections are made from
// the local address source, or from any local address if it is nil.
func NewClient(address string, source net.IP, key []byte) (*Client, error) {
	codec, err := fulmarwire.New()
	if err != nil {
		return nil, err
	}
	return &Client{address: address, source: source, key: key, codec: codec}, nil
}

// Heartbeat sends a status and returns the peer's.
func (c *Client) Heartbeat(ctx context.Context, s *fulmarwire.Status) (*fulmarwire.Status, error) {
	return invoke[fulmarwire.Status](ctx, c, rpcHeartbeat, s)
}

// Pull fetches the peer's table and configuration if they are newer.
func (c *Client) Pull(ctx context.Context, w *fulmarwire.PullRequest) (*fulmarwire.Update, error) {
	return invoke[fulmarwire.Update](ctx, c, rpcPull, w)
}

// Push sends a table or configuration and returns the peer's status after it has applied them.
func (c *Client) Push(ctx context.Context, b *fulmarwire.Update) (*fulmarwire.Status, error) {
	return invoke[fulmarwire.Status](ctx, c, rpcPush, b)
}

// Transfer sends the deduplication memory of moving slots.
func (c *Client) Transfer(ctx context.Context, t *fulmarwire.Transfer) (*fulmarwire.Reply, error) {
	return invoke[fulmarwire.Reply](ctx, c, rpcTransfer, t)
}

// Handover offers a target to the peer.
func (c *Client) Handover(ctx context.Context, h *fulmarwire.Handover) (*fulmarwire.Reply, error) {
	return invoke[fulmarwire.Reply](ctx, c, rpcHandover, h)
}

// Close closes the connection; a later call reconnects.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeConn()
}

// closeConn closes the connection, if any; mu must be held.
func (c *Client) closeConn() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// connection returns the open connection, or dials and runs the handshake.
func (c *Client) connection(ctx context.Context) (*drpcconn.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		select {
		case <-c.conn.Closed():
			c.conn = nil
		default:
			return c.conn, nil
		}
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	if c.source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: c.source}
	}
	raw, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, errors.Wrap(err, "fulmarpeer: dial")
	}
	raw = c.traffic.wrap(raw)
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	err = handshake(raw, c.key, "client", "server")
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		raw.Close()
		return nil, err
	}
	c.conn = drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()})
	return c.conn, nil
}

// invoke makes one call over the client's connection.
func invoke[O, I any](ctx context.Context, c *Client, rpc string, in *I) (*O, error) {
	conn, err := c.connection(ctx)
	if err != nil {
		return nil, err
	}
	out := new(O)
	if err := conn.Invoke(ctx, rpc, c.codec, in, out); err != nil {
		return nil, errors.Wrap(err, "fulmarpeer: call")
	}
	c.traffic.addAnsweredCall()
	return out, nil
}
