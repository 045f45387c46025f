package fulmarpeer_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarpeer"
	"github.com/fulmarbend/fulmarbend/internal/fulmarwire"
)

// echoHandler answers heartbeats with their own status, and pulls with the table that was pushed last.
type echoHandler struct{ table []byte }

func (e *echoHandler) Heartbeat(_ context.Context, s *fulmarwire.Status) (*fulmarwire.Status, error) {
	return s, nil
}

func (e *echoHandler) Pull(context.Context, *fulmarwire.PullRequest) (*fulmarwire.Update, error) {
	return &fulmarwire.Update{Table: e.table}, nil
}

func (e *echoHandler) Push(_ context.Context, b *fulmarwire.Update) (*fulmarwire.Status, error) {
	e.table = b.Table
	return &fulmarwire.Status{}, nil
}

func (e *echoHandler) Transfer(context.Context, *fulmarwire.Transfer) (*fulmarwire.Reply, error) {
	return &fulmarwire.Reply{Accepted: true}, nil
}

func (e *echoHandler) Handover(context.Context, *fulmarwire.Handover) (*fulmarwire.Reply, error) {
	return &fulmarwire.Reply{Reason: "no"}, nil
}

var _ = Describe("peer connection", func() {
	var (
		ctx           context.Context
		cancel        context.CancelFunc
		address       string
		done          chan struct{}
		serverTraffic *fulmarpeer.Traffic
	)
	key := []byte(strings.Repeat("k", 32))
	BeforeEach(func() {
		ctx, cancel = context.WithTimeout(context.Background(), 20*time.Second)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = listener.Addr().String()
		server, err := fulmarpeer.New(key, &echoHandler{}, slog.New(slog.DiscardHandler))
		Expect(err).NotTo(HaveOccurred())
		serverTraffic = new(fulmarpeer.Traffic)
		server.CountTraffic(serverTraffic)
		done = make(chan struct{})
		go func() {
			defer close(done)
			_ = server.Serve(ctx, listener)
		}()
	})
	AfterEach(func() {
		cancel()
		Eventually(done, "5s").Should(BeClosed(), "the server did not end with its context")
	})
	client := func(key []byte) *fulmarpeer.Client {
		c, err := fulmarpeer.NewClient(address, nil, key)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		return c
	}

	// Guards against message fields that are lost in encoding.
	It("carries messages both ways", func() {
		sent := &fulmarwire.Status{
			ID: "a", Incarnation: 7, Epoch: 3, HeldTargets: []string{"t1"}, GrantRemaining: map[string]time.Duration{"t1": time.Second},
			Losses: []fulmarwire.TargetLoss{{Target: "t2", Suspects: []uint64{9}}},
		}
		got, err := client(key).Heartbeat(ctx, sent)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(sent))
	})

	// Guards against control traffic that is not counted in the metrics.
	It("counts the same bytes and calls at both ends", func() {
		clientTraffic := new(fulmarpeer.Traffic)
		c := client(key).CountTraffic(clientTraffic)
		for range 3 {
			_, err := c.Heartbeat(ctx, &fulmarwire.Status{ID: "a"})
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(clientTraffic.CallsAnswered()).To(BeEquivalentTo(3))
		Expect(serverTraffic.CallsServed()).To(BeEquivalentTo(3))
		Expect(clientTraffic.BytesReceived()).To(BeNumerically(">", 0))
		// The last frames, which close the stream, may still be under way after the calls: both ends are compared anew each time.
		Eventually(func(g Gomega) {
			g.Expect(serverTraffic.BytesSent()).To(Equal(clientTraffic.BytesReceived()))
			g.Expect(serverTraffic.BytesReceived()).To(Equal(clientTraffic.BytesSent()))
		}, "5s").Should(Succeed())
	})

	// Guards against a limit of the message size that rejects large tables.
	It("carries a table of 1 MB", func() {
		c := client(key)
		_, err := c.Push(ctx, &fulmarwire.Update{Table: make([]byte, 1<<20)})
		Expect(err).NotTo(HaveOccurred())
		bundle, err := c.Pull(ctx, &fulmarwire.PullRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(bundle.Table).To(HaveLen(1 << 20))
	})

	// Guards against serving a peer that does not know the key.
	It("rejects a peer with another key", func() {
		_, err := client([]byte(strings.Repeat("x", 32))).Heartbeat(ctx, &fulmarwire.Status{})
		Expect(err).To(HaveOccurred())
	})

	// Guards against a panic or a blocked connection on bytes that are not a valid
	// handshake, and against a server that serves no other peer afterwards.
	DescribeTable("closes the connection on an invalid handshake",
		func(text string) {
			conn, err := net.Dial("tcp", address)
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			// The server may close the connection after reading part of the text, so errors of the write are ignored.
			_, _ = conn.Write([]byte(text))
			_ = conn.(*net.TCPConn).CloseWrite()
			Expect(conn.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
			_, _ = io.Copy(io.Discard, conn)
			_, err = client(key).Heartbeat(ctx, &fulmarwire.Status{})
			Expect(err).NotTo(HaveOccurred())
		},
		Entry("nothing", ""),
		Entry("another protocol", "GET / HTTP/1.1\r\nHost: x\r\n\r\n"+strings.Repeat("x", 64)),
		Entry("version 0", "FULM\x00"+strings.Repeat("n", 64)),
		Entry("a truncated nonce", "FULM\x01nn"),
		Entry("a wrong proof", "FULM\x01"+strings.Repeat("n", 64)),
		Entry("a newer version with a wrong proof", "FULM\x09"+strings.Repeat("n", 64)),
	)

	// Guards against a client that can't reconnect after its connection failed, as when the peer restarts.
	It("opens a new connection after an error", func() {
		c := client(key)
		short, stop := context.WithCancel(ctx)
		stop()
		_, err := c.Heartbeat(short, &fulmarwire.Status{})
		Expect(err).To(HaveOccurred())
		Eventually(func() error {
			_, err := c.Heartbeat(ctx, &fulmarwire.Status{})
			return err
		}, "5s").Should(Succeed())
	})
})
