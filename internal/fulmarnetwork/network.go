package fulmarnetwork

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/fulmarbend/fulmarbend/internal/fulmarconn"
)

// Mode is the state of the connections between two servers.
type Mode int

const (
	// Open forwards all data.
	Open Mode = iota
	// Refuse resets existing and new connections.
	Refuse
	// Stall accepts connections but forwards nothing until the link is open
	// again; the delayed data is then delivered, unless its sender has reset the
	// connection.
	Stall
)

const (
	bufferSize  = 32 << 10 // bytes
	dialTimeout = time.Second
	// exitWait is the time for which a broken connection waits for its server
	// to be reported as ended; it exceeds the usual delay of that report.
	exitWait = 20 * time.Millisecond
)

// serverPair is an unordered pair of server names: a is not greater than b.
type serverPair struct{ a, b string }

func pairOf(a, b string) serverPair {
	if b < a {
		a, b = b, a
	}
	return serverPair{a, b}
}

// link is the state of the connections between two servers.
type link struct {
	mode    Mode
	changed chan struct{} // closed and replaced when the mode changes
}

// Network forwards connections between the servers of a test; it is safe for
// concurrent use.
type Network struct {
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu          sync.Mutex
	serverNames map[string]string // by source address of their connections
	links       map[serverPair]*link
}

// New returns a network that forwards nothing yet.
func New() *Network {
	n := &Network{serverNames: map[string]string{}, links: map[serverPair]*link{}}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n
}

// Close stops all listeners and connections.
func (n *Network) Close() {
	n.cancel()
	n.group.Wait()
}

// SetSourceName sets the name of the server whose connections come from the IP
// address source.
func (n *Network) SetSourceName(source, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.serverNames[source] = name
}

// linkState returns the mode between two servers and a channel that is closed when it changes.
func (n *Network) linkState(p serverPair) (Mode, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.linkLocked(p)
	return l.mode, l.changed
}

// linkLocked returns the link of a pair and creates it if needed; mu must be
// held.
func (n *Network) linkLocked(p serverPair) *link {
	l, ok := n.links[p]
	if !ok {
		l = &link{changed: make(chan struct{})}
		n.links[p] = l
	}
	return l
}

// SetMode sets the mode of the connections between a and b, in both directions.
func (n *Network) SetMode(mode Mode, a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.linkLocked(pairOf(a, b))
	l.mode = mode
	close(l.changed)
	l.changed = make(chan struct{})
}

// Restore sets the mode of all links to Open.
func (n *Network) Restore() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		if l.mode != Open {
			l.mode = Open
			close(l.changed)
			l.changed = make(chan struct{})
		}
	}
}

// Forward listens on address and forwards connections to the server name, which
// listens on to. It closes the listener when ended is closed, so that later
// connections are refused as by a server that has ended.
func (n *Network) Forward(name, address, to string, ended <-chan struct{}) error {
	var config net.ListenConfig
	l, err := config.Listen(n.ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "fulmarnetwork: listen")
	}
	n.group.Go(func() {
		select {
		case <-n.ctx.Done():
		case <-ended:
		}
		_ = l.Close()
	})
	n.group.Go(func() {
		for {
			conn, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				n.group.Go(func() { n.forwardConn(conn, name, to, ended) })
			}
		}
	})
	return nil
}

// forwardConn forwards one connection until either end closes it or the link
// refuses connections.
func (n *Network) forwardConn(in net.Conn, name, to string, ended <-chan struct{}) {
	defer func() { _ = in.Close() }()
	source, _, _ := net.SplitHostPort(in.RemoteAddr().String())
	n.mu.Lock()
	p := pairOf(n.serverNames[source], name)
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { resetConn(in) })()
	if !n.waitOpen(ctx, p) || isReset(in) {
		cancel()
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	out, err := dialer.DialContext(ctx, "tcp", to)
	if err != nil {
		n.waitForExit(ctx, ended)
		cancel()
		return
	}
	defer func() { _ = out.Close() }()
	defer context.AfterFunc(ctx, func() { resetConn(out) })()
	watched := make(chan struct{})
	watchCtx, unwatch := context.WithCancel(ctx)
	go func() {
		defer close(watched)
		if n.waitRefused(watchCtx, p) {
			cancel()
		}
	}()
	caller, server := fulmarconn.New(in), fulmarconn.New(out)
	var group sync.WaitGroup
	group.Go(func() {
		if !n.copy(ctx, p, server, caller, nil) {
			n.waitForExit(ctx, ended)
			cancel()
		}
	})
	group.Go(func() {
		if !n.copy(ctx, p, caller, server, ended) {
			n.waitForExit(ctx, ended)
			cancel()
		}
	})
	group.Wait()
	unwatch()
	<-watched
}

// waitForExit waits up to exitWait for ended after a connection broke. A server
// that ends closes its listener before its connections. The delay keeps this
// order here: a peer that sees its connection break must find that new ones are
// refused.
func (n *Network) waitForExit(ctx context.Context, ended <-chan struct{}) {
	timer := time.NewTimer(exitWait)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// waitOpen waits until the link is open. It returns false if the link refuses
// connections or ctx ends.
func (n *Network) waitOpen(ctx context.Context, p serverPair) bool {
	for {
		mode, changed := n.linkState(p)
		switch mode {
		case Open:
			return ctx.Err() == nil
		case Refuse:
			return false
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// waitRefused waits until the link refuses connections, and returns false if ctx
// ends first.
func (n *Network) waitRefused(ctx context.Context, p serverPair) bool {
	for {
		mode, changed := n.linkState(p)
		if mode == Refuse {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// copy forwards data until src is closed for writing, and returns false after an
// error. Data waits until the link is open, and so does the end of the stream,
// which must not overtake the data. Data that waits is lost if its sender resets
// the connection meanwhile. If src is a server, ended is closed when its
// process has ended; otherwise ended is nil.
func (n *Network) copy(ctx context.Context, p serverPair, dst, src *fulmarconn.Conn, ended <-chan struct{}) bool {
	buffer := make([]byte, bufferSize)
	for {
		k, err := src.Read(buffer)
		if err != nil && !errors.Is(err, io.EOF) || !n.waitOpen(ctx, p) || isReset(src.Conn) {
			return false
		}
		if _, writeErr := dst.Write(buffer[:k]); writeErr != nil {
			return false
		}
		if err != nil {
			if ended != nil {
				n.waitForExit(ctx, ended)
			}
			t, ok := dst.Conn.(*net.TCPConn)
			return ok && t.CloseWrite() == nil
		}
	}
}

// isReset reports whether the peer has reset a connection, of which unread data can still be read.
func isReset(c net.Conn) bool {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return true
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		code, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		reset = err != nil || code != 0
	})
	return err != nil || reset
}

// resetConn closes a connection with a TCP reset, as a lost server or link would.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
