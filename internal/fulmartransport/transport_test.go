package fulmartransport_test

import (
	"context"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/fulmarbend/fulmarbend/internal/fulmartransport"
)

// start returns a transport and a server with the handler, and checks at the end that no goroutine remains.
func start(h http.HandlerFunc) (*fulmartransport.Transport, *httptest.Server) {
	before := goleak.IgnoreCurrent()
	s := httptest.NewUnstartedServer(h)
	s.Config.ErrorLog = log.New(io.Discard, "", 0)
	s.Start()
	t := fulmartransport.New(4, nil)
	DeferCleanup(func() {
		t.Close()
		s.CloseClientConnections()
		s.Close()
		Eventually(func() error { return goleak.Find(before) }).Should(Succeed())
	})
	return t, s
}

// send sends a request and reads the response.
func send(ctx context.Context, t *fulmartransport.Transport, method, url string, body io.Reader) error {
	r, err := http.NewRequestWithContext(ctx, method, url, body)
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Idempotency-Key", "1")
	resp, err := t.RoundTrip(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

var _ = Describe("Transport", func() {
	// Guards against retries by net/http, which would run an order twice (I5).
	DescribeTable("does not resend on a reused connection that breaks", func(method, body string) {
		var requests atomic.Int32
		t, s := start(func(w http.ResponseWriter, r *http.Request) {
			Expect(r.Header.Get("Idempotency-Key")).To(Equal("1"))
			if requests.Add(1) > 1 {
				panic(http.ErrAbortHandler)
			}
		})
		var reader io.Reader
		if body != "" {
			reader = strings.NewReader(body)
		}
		Expect(send(context.Background(), t, method, s.URL, nil)).To(Succeed())
		err := send(context.Background(), t, method, s.URL, reader)
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(fulmartransport.ErrUnsent))
		Expect(requests.Load()).To(BeEquivalentTo(2))
	},
		Entry("GET", http.MethodGet, ""), Entry("HEAD", http.MethodHead, ""),
		Entry("OPTIONS", http.MethodOptions, ""), Entry("POST", http.MethodPost, ""),
		Entry("PUT", http.MethodPut, "body"), Entry("DELETE", http.MethodDelete, ""),
	)

	// Guards against a request without a body that is sent with an empty chunked body.
	It("sends no body for a request without one", func() {
		t, s := start(func(w http.ResponseWriter, r *http.Request) {
			if r.ContentLength != 0 || len(r.TransferEncoding) > 0 {
				panic(http.ErrAbortHandler)
			}
		})
		for _, method := range []string{"GET", "HEAD", "POST", "PUT", "DELETE"} {
			Expect(send(context.Background(), t, method, s.URL, nil)).To(Succeed(), method)
		}
	})

	// Guards against a failed dial that is reported as a request that may have run.
	It("reports a failed dial as not sent", func() {
		t, s := start(func(http.ResponseWriter, *http.Request) {})
		s.Close()
		Expect(send(context.Background(), t, http.MethodPost, s.URL, nil)).To(MatchError(fulmartransport.ErrUnsent))
	})

	// Guards against a write that starts after the request was reported as not sent (I4).
	It("writes nothing to a sealed connection", func() {
		near, far := net.Pipe()
		DeferCleanup(far.Close)
		DeferCleanup(near.Close)
		go func() { _, _ = io.Copy(io.Discard, far) }()
		c, seal := fulmartransport.Seal(near)
		Expect(c.Write([]byte("abc"))).To(Equal(3))
		Expect(seal()).To(BeEquivalentTo(3))
		_, err := c.Write([]byte("d"))
		Expect(err).To(HaveOccurred())
		Expect(seal()).To(BeEquivalentTo(3))
	})

	// Guards against a request that arrives although it was reported as not sent (I4).
	It("never reports a request as not sent that arrives", func() {
		var arrived sync.Map
		t, s := start(func(_ http.ResponseWriter, r *http.Request) { arrived.Store(r.URL.Path, true) })
		src := rand.New(rand.NewPCG(1, 2))
		var unsent []string
		for i := range 2000 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(src.IntN(150))*time.Microsecond)
			path := "/" + strconv.Itoa(i)
			if err := send(ctx, t, http.MethodGet, s.URL+path, nil); err != nil {
				if isUnsent(err) {
					unsent = append(unsent, path)
				}
			}
			cancel()
		}
		Expect(len(unsent)).To(And(BeNumerically(">", 0), BeNumerically("<", 2000)))
		s.Close() // waits for the handlers
		for _, path := range unsent {
			_, found := arrived.Load(path)
			Expect(found).To(BeFalse(), path)
		}
	})
})

func isUnsent(err error) bool {
	ok, _ := MatchError(fulmartransport.ErrUnsent).Match(err)
	return ok
}
