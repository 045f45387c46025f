package fulmarstore_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarstore"
)

// newTestClient returns a client of a test server with the handler.
func newTestClient(timeout time.Duration, handler http.HandlerFunc) *fulmarstore.Client {
	server := httptest.NewServer(handler)
	client := &http.Client{Transport: &http.Transport{}}
	DeferCleanup(func() {
		client.CloseIdleConnections()
		server.CloseClientConnections()
		server.Close()
	})
	return fulmarstore.New(server.URL, timeout, client)
}

// abortConnection closes the connection without a response, as if the response were lost.
func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// raw returns a handler that sends the bytes and closes the connection.
func raw(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, text) // a client that has gone needs no answer
	}
}

// blockUntilCanceled blocks until the client cancels the request. It reads the body first, because the server detects
// the cancellation only afterwards.
func blockUntilCanceled(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

var _ = Describe("Client", func() {
	ctx := context.Background()

	// Guards against stale reads, and against returning the wrong index for compare-and-swap.
	It("reads consistently", func() {
		c := newTestClient(time.Second, func(w http.ResponseWriter, r *http.Request) {
			Expect(r.URL.Path).To(Equal("/v1/kv/fulmarbend/table"))
			Expect(r.URL.Query()).To(HaveKey("consistent"))
			w.Header().Set("X-Consul-Index", "99")
			fmt.Fprint(w, `[{"Key":"fulmarbend/table","Value":"aGk=","ModifyIndex":7}]`)
		})
		Expect(c.Get(ctx, "fulmarbend/table")).To(Equal(fulmarstore.Value{Data: []byte("hi"), Index: 7}))
	})

	// Guards against a missing key that is reported as an outage, and against a watch on it that returns in a busy loop.
	It("reports a missing key", func() {
		c := newTestClient(time.Second, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Consul-Index", "12")
			w.WriteHeader(http.StatusNotFound)
		})
		v, err := c.Watch(ctx, "k", 0, time.Second)
		Expect(err).To(MatchError(fulmarstore.ErrNotFound))
		Expect(v.Index).To(Equal(uint64(12)))
	})

	// Guards against reporting a definite outcome for a write that may or may not have taken effect.
	DescribeTable("classifies a write", func(handler http.HandlerFunc, want error) {
		c := newTestClient(200*time.Millisecond, handler)
		err := c.Put(ctx, "k", []byte("v"), 3)
		if want == nil {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		Expect(err).To(MatchError(want))
	},
		Entry("done", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			Expect(r.URL.Query().Get("cas")).To(Equal("3"))
			fmt.Fprint(w, "true\n")
		}), nil),
		Entry("conflict", response(200, "false"), fulmarstore.ErrConflict),
		Entry("lost response", http.HandlerFunc(abortConnection), fulmarstore.ErrAmbiguous),
		Entry("timeout of the response", http.HandlerFunc(blockUntilCanceled), fulmarstore.ErrAmbiguous),
		Entry("server error", response(500, "No cluster leader"), fulmarstore.ErrAmbiguous),
		Entry("status that is none", raw("HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n"), fulmarstore.ErrAmbiguous),
		Entry("field name that is none", raw("HTTP/1.1 200 x\r\nBad Name: x\r\nContent-Length: 4\r\n\r\ntrue"), fulmarstore.ErrAmbiguous),
		Entry("rate limit with a field name that is none", raw("HTTP/1.1 429 x\r\nBad : x\r\nContent-Length: 0\r\n\r\n"), fulmarstore.ErrAmbiguous),
		Entry("part of a body without a length", raw("HTTP/1.1 200 x\r\n\r\ntr"), fulmarstore.ErrAmbiguous),
		Entry("rate limit", response(429, ""), fulmarstore.ErrUnavailable),
		Entry("forbidden", response(403, "ACL"), &fulmarstore.StatusError{Status: 403, Text: "ACL"}),
		Entry("truncated body", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "4")
			fmt.Fprint(w, "tr")
		}), fulmarstore.ErrAmbiguous),
		Entry("nonsense", response(200, "perhaps"), fulmarstore.ErrAmbiguous),
	)

	// Guards against reporting a write that was never sent as ambiguous, which would make callers read back during an outage.
	It("reports unavailability without a connection", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		c := fulmarstore.New("http://"+address, time.Second, &http.Client{Transport: &http.Transport{}})
		err = c.Put(ctx, "k", nil, 0)
		Expect(err).To(MatchError(fulmarstore.ErrUnavailable))
		Expect(err).NotTo(MatchError(fulmarstore.ErrAmbiguous))
	})

	// Guards against a watch that is cut short by the timeout of other calls.
	It("watches until a change", func() {
		change := make(chan struct{})
		c := newTestClient(50*time.Millisecond, func(w http.ResponseWriter, r *http.Request) {
			Expect(r.URL.Query().Get("index")).To(Equal("7"))
			select {
			case <-change:
			case <-time.After(10 * time.Second):
			}
			fmt.Fprint(w, `[{"Value":"","ModifyIndex":8}]`)
		})
		time.AfterFunc(150*time.Millisecond, func() { close(change) })
		v, err := c.Watch(ctx, "k", 7, 10*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(v.Index).To(Equal(uint64(8)))
	})

	// Guards against calls that accumulate at a slow store, where each one uses part of its capacity.
	It("limits calls in flight to one of each kind", func() {
		var calls atomic.Int32
		c := newTestClient(500*time.Millisecond, func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			blockUntilCanceled(w, r)
		})
		first := make(chan error, 1)
		go func() {
			_, err := c.Get(ctx, "k")
			first <- err
		}()
		Eventually(calls.Load).Should(Equal(int32(1)))
		short, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
		defer cancel()
		_, err := c.Get(short, "k")
		Expect(err).To(MatchError(fulmarstore.ErrUnavailable))
		Expect(<-first).To(MatchError(fulmarstore.ErrUnavailable))
		Expect(calls.Load()).To(Equal(int32(1)))
	})

	// Guards against a response or a value that exhausts the memory of a small instance.
	It("limits the size of bodies", func() {
		c := newTestClient(time.Second, func(w http.ResponseWriter, _ *http.Request) {
			chunk := bytes.Repeat([]byte(" "), 1<<20)
			for range 5 {
				if _, err := w.Write(chunk); err != nil {
					return
				}
			}
		})
		_, err := c.Get(ctx, "k")
		Expect(err).To(MatchError(fulmarstore.ErrTooLarge))
		Expect(c.Put(ctx, "k", make([]byte, fulmarstore.MaxValueSize+1), 0)).To(MatchError(fulmarstore.ErrTooLarge))
	})

	// Guards against a planner that considers an expired session valid.
	It("manages sessions", func() {
		c := newTestClient(time.Second, func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/v1/session/create":
				fmt.Fprint(w, `{"ID":"s1"}`)
			case "/v1/session/renew/s1":
				w.WriteHeader(http.StatusNotFound)
			case "/v1/kv/lock":
				fmt.Fprint(w, r.URL.Query().Get("acquire") == "s1")
			default:
				fmt.Fprint(w, "true")
			}
		})
		session, err := c.NewSession(ctx, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Acquire(ctx, "lock", session, nil)).To(BeTrue())
		Expect(c.Acquire(ctx, "lock", "s2", nil)).To(BeFalse())
		Expect(c.Renew(ctx, session)).To(MatchError(fulmarstore.ErrNotFound))
		Expect(c.Destroy(ctx, session)).To(Succeed())
	})

	// Guards against rejecting catalog entries that have no service address.
	It("lists nodes", func() {
		c := newTestClient(time.Second, response(200, `[{"Address":"127.0.0.9","Datacenter":"odda","ServiceID":"t1","ServicePort":80,"ServiceMeta":{"service":"rota-board"}}]`))
		nodes, err := c.Nodes(ctx, "fulmarbend-target")
		Expect(err).NotTo(HaveOccurred())
		Expect(nodes).To(Equal([]fulmarstore.Node{{ID: "t1", Address: "127.0.0.9:80", DataCentre: "odda", Meta: map[string]string{"service": "rota-board"}}}))
	})
})

func response(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}
}
