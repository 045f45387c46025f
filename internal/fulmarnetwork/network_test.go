package fulmarnetwork_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarconn"
	"github.com/fulmarbend/fulmarbend/internal/fulmarnetwork"
)

var _ = Describe("Network", func() {
	var (
		n      *fulmarnetwork.Network
		client *http.Client
		url    string
		ended  chan struct{}

		received chan string // paths of the requests that the server got
	)
	BeforeEach(func() {
		received = make(chan string, 8)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			received <- r.URL.Path
			_, _ = w.Write([]byte("ok"))
		}))
		DeferCleanup(server.Close)
		n = fulmarnetwork.New()
		DeferCleanup(n.Close)
		n.SetSourceName("127.0.1.1", "a")
		n.SetSourceName("127.0.1.2", "b")
		address, err := freeAddress()
		Expect(err).NotTo(HaveOccurred())
		ended = make(chan struct{})
		Expect(n.Forward("t", address, server.Listener.Addr().String(), ended)).To(Succeed())
		client, url = from("127.0.1.1"), "http://"+address
	})

	// Guards against faults that affect another pair of servers or persist after Restore.
	It("breaks the connections of one pair and restores them", func() {
		expectAnswer(client, url)
		n.SetMode(fulmarnetwork.Refuse, "t", "a")
		expectNoAnswer(client, url, time.Second)
		expectAnswer(from("127.0.1.2"), url)
		n.Restore()
		expectAnswer(client, url)
	})

	// Guards against a stalled link that the sender notices, and against data that it loses.
	It("holds bytes back and delivers them late", func() {
		expectAnswer(client, url)
		n.SetMode(fulmarnetwork.Stall, "a", "t")
		expectNoAnswer(client, url, 100*time.Millisecond)
		answers := make(chan error, 1)
		go func() { answers <- get(client, url, 5*time.Second) }()
		Consistently(answers, "100ms").ShouldNot(Receive())
		n.Restore()
		Eventually(answers, "5s").Should(Receive(BeNil()))
	})

	// Guards against bytes that arrive after their sender has reset the connection: a grant reached its target 1.5 s after the
	// sender had given up on it, and two targets held its keys.
	DescribeTable("drops the held bytes of a connection that its sender has reset", func(kept bool) {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP("127.0.1.1")}}
		if !kept {
			n.SetMode(fulmarnetwork.Stall, "a", "t")
		}
		c, err := dialer.Dial("tcp", strings.TrimPrefix(url, "http://"))
		Expect(err).NotTo(HaveOccurred())
		if kept {
			_, err = io.WriteString(c, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
			Eventually(received).Should(Receive(Equal("/first")))
			n.SetMode(fulmarnetwork.Stall, "a", "t")
		}
		_, err = io.WriteString(c, "GET /reset HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(50 * time.Millisecond)
		Expect(c.(*net.TCPConn).SetLinger(0)).To(Succeed())
		Expect(c.Close()).To(Succeed())
		time.Sleep(50 * time.Millisecond)
		n.Restore()
		Consistently(received, "300ms").ShouldNot(Receive())
	}, Entry("a new one", false), Entry("a kept one", true))

	// Guards against a reset that arrives as an orderly close, as a write to the server has got the error: a test of answers that are cut
	// short would find no fault in them.
	It("passes on that a server has reset a connection during an upload", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond) // until the buffers are full
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}()
		address, err := freeAddress()
		Expect(err).NotTo(HaveOccurred())
		Expect(n.Forward("t", address, l.Addr().String(), make(chan struct{}))).To(Succeed())
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		c := fulmarconn.New(conn)
		go func() { _, _ = c.Write(make([]byte, 64<<20)) }() // ends with the connection
		Expect(c.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		_, err = c.Read(make([]byte, 1))
		Expect(err).To(MatchError(syscall.ECONNRESET))
	})

	// Guards against a server that has ended but still seems to accept connections.
	It("refuses connections to a server that has ended", func() {
		close(ended)
		// A connection that is accepted just before the listener closes stays usable, because the server of this test
		// keeps running. Each request therefore opens a new one.
		Eventually(func() error { return get(from("127.0.1.1"), url, time.Second) }, "5s").Should(MatchError(ContainSubstring("refused")))
	})
})

// from returns a client whose connections come from source.
func from(source string) *http.Client {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}}
}

func get(client *http.Client, url string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return err
}

func expectAnswer(client *http.Client, url string) {
	GinkgoHelper()
	Expect(get(client, url, 5*time.Second)).To(Succeed())
}

func expectNoAnswer(client *http.Client, url string, timeout time.Duration) {
	GinkgoHelper()
	Expect(get(client, url, timeout)).NotTo(Succeed())
}

// freeAddress returns a loopback address that was free when checked.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}
