package fulmarnetwork

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Mode is the state of the connections between two servers.
type Mode int

const (
	// Open passes everything on.
	Open Mode = iota
	// Refuse breaks the existing connections and those that are opened.
	Refuse
	// Swallow accepts connections and passes nothing on; what was held back
	// arrives late after the link is open again.
	Stall
)

const (
	chunk       = 32 << 10
	dialTimeout = time.Second
	// settleWithin is longer than the end of a process takes to be noticed.
	settleWithin = 20 * time.Millisecond
)

// pair names two servers in ascending order.
type pair struct{ a, b string }

func pairOf(a, b string) pair {
	if b < a {
		a, b = b, a
	}
	return pair{a, b}
}

// link is the state of one pair.
type link struct {
	mode    Mode
	changed chan struct{} // closed and replaced when the mode changes
}

// Network passes connections on between the servers of a fleet; it is safe for
// concurrent use.
type Network struct {
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu    sync.Mutex
	names map[string]string // of the daemons, by source address
	links map[pair]*link
}

// New returns a network without servers.
func New() *Network {
	n := &Network{names: map[string]string{}, links: map[pair]*link{}}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n
}

// Close ends the forwarders and their connections.
func (n *Network) Close() {
	n.cancel()
	n.group.Wait()
}

// Know names the server that opens connections from source.
func (n *Network) SetSourceName(source, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[source] = name
}

// link returns the mode between two servers and a channel that is closed when it changes.
func (n *Network) link(p pair) (Mode, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.at(p)
	return l.mode, l.changed
}

// at returns the link of a pair; mu must be held.
func (n *Network) at(p pair) *link {
	l, ok := n.links[p]
	if !ok {
		l = &link{changed: make(chan struct{})}
		n.links[p] = l
	}
	return l
}

// Set puts the connections between a and b into the mode, in both directions.
func (n *Network) SetMode(mode Mode, a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.at(pairOf(a, b))
	l.mode = mode
	close(l.changed)
	l.changed = make(chan struct{})
}

// Restore opens all connections.
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

// Forward passes connections to address on to the server name at the address to
// until the server ends, after which address refuses connections.
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
				n.group.Go(func() { n.pass(conn, name, to, ended) })
			}
		}
	})
	return nil
}

// pass serves one connection until its ends or the link close it.
func (n *Network) pass(in net.Conn, name, to string, ended <-chan struct{}) {
	defer func() { _ = in.Close() }()
	source, _, _ := net.SplitHostPort(in.RemoteAddr().String())
	n.mu.Lock()
	p := pairOf(n.names[source], name)
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { abort(in) })()
	if !n.wait(ctx, p) {
		cancel()
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	out, err := dialer.DialContext(ctx, "tcp", to)
	if err != nil {
		n.settle(ctx, ended)
		cancel()
		return
	}
	defer func() { _ = out.Close() }()
	defer context.AfterFunc(ctx, func() { abort(out) })()
	watched := make(chan struct{})
	watchCtx, unwatch := context.WithCancel(ctx)
	go func() {
		defer close(watched)
		if n.broken(watchCtx, p) {
			cancel()
		}
	}()
	var group sync.WaitGroup
	group.Go(func() {
		if !n.copy(ctx, p, out, in, nil) {
			n.settle(ctx, ended)
			cancel()
		}
	})
	group.Go(func() {
		if !n.copy(ctx, p, in, out, ended) {
			n.settle(ctx, ended)
			cancel()
		}
	})
	group.Wait()
	unwatch()
	<-watched
}

// settle waits a little for the end of a server whose connection broke. A
// process that ends closes its listener before its connections, so that who
// notices the break is refused from then on.
func (n *Network) settle(ctx context.Context, ended <-chan struct{}) {
	timer := time.NewTimer(settleWithin)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// wait waits until the link is open and reports false if it breaks or ctx ends.
func (n *Network) wait(ctx context.Context, p pair) bool {
	for {
		mode, changed := n.link(p)
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

// broken waits until the link breaks, and reports false if ctx ends before.
func (n *Network) broken(ctx context.Context, p pair) bool {
	for {
		mode, changed := n.link(p)
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

// copy passes bytes on until src ends in order, or returns false. Each chunk
// waits for the link, and so does the end, which must not overtake the bytes.
// If src is a server, ended is closed when its process has ended, else it is nil.
func (n *Network) copy(ctx context.Context, p pair, dst, src net.Conn, ended <-chan struct{}) bool {
	buffer := make([]byte, chunk)
	for {
		k, err := src.Read(buffer)
		if err != nil && !errors.Is(err, io.EOF) || !n.wait(ctx, p) {
			return false
		}
		if _, writeErr := dst.Write(buffer[:k]); writeErr != nil {
			return false
		}
		if err != nil {
			if ended != nil {
				n.settle(ctx, ended)
			}
			t, ok := dst.(*net.TCPConn)
			return ok && t.CloseWrite() == nil
		}
	}
}

// abort closes a connection with a reset, as a lost server or link would.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
