package fulmardispatch_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmardispatch"
	"github.com/fulmarbend/fulmarbend/internal/fulmartarget"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarconfig"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcost"
	"github.com/fulmarbend/fulmarbend/pkg/fulmardedup"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarguard"
	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

// startCopying returns the address of a target that refuses the first order on a connection, and runs the second one but
// writes the refusal once more before its answer. It passes the ids of the orders that it ran to ran.
func startCopying(t *testing.T, status int, ran chan<- string) string {
	t.Helper()
	g := NewWithT(t)
	answer := func(status string, order *http.Request) string {
		return "HTTP/1.1 " + status + "\r\n" + fulmaroutcome.HeaderExchange + ": " +
			order.Header.Get(fulmaroutcome.HeaderExchange) + "\r\nContent-Length: 0\r\n\r\n"
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	served := make(chan struct{})
	go func() {
		defer close(served)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		r := bufio.NewReader(conn)
		order, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		refusal := answer(strconv.Itoa(status)+" Refused\r\nFulmarbend-Outcome: not-run", order)
		_, _ = io.WriteString(conn, refusal)
		if order, err = http.ReadRequest(r); err != nil {
			return
		}
		ran <- order.Header.Get(fulmaroutcome.HeaderRequestID)
		_, _ = io.WriteString(conn, refusal+answer("200 OK", order))
		_, _ = http.ReadRequest(r)
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-served
	})
	return listener.Addr().String()
}

// newDispatcher returns a dispatcher of the target, with one connection to it. hasLease may be nil.
func newDispatcher(t *testing.T, target fulmarslot.Target, idempotent bool, hasLease func() bool) *fulmardispatch.Dispatcher {
	t.Helper()
	client := fulmartarget.New(1, nil)
	t.Cleanup(client.Close)
	table := fulmarslot.New(map[string]int{service: 1})
	var clockOffset atomic.Int64
	d := fulmardispatch.New(
		target,
		fulmardispatch.Deps{
			Client: client, HoldsLease: hasLease, Metrics: noMetrics{}, Guard: fulmarguard.New(time.Hour, 16), Cost: fulmarcost.New(8),
			Dedup: fulmardedup.Settings{Retention: 10 * time.Minute, MaxSkew: 100 * time.Millisecond, MaxBody: maxKeptBody},
			Limits: func(string, string) (fulmarconfig.Limits, bool) {
				return fulmarconfig.Limits{Weight: 1, MaxQueue: 1000}, true
			},
			Idempotent: func(string) bool { return idempotent },
			Table:      func() fulmarslot.Table { return table },
			Now:        func() time.Time { return time.Now().Add(time.Duration(clockOffset.Load())) },
		})
	t.Cleanup(func() { d.Close(fulmaroutcome.NotHolder) })
	clockOffset.Store(int64(-time.Minute)) // so that the deduplication records are complete for the ids of the test
	d.Open(1, 3, []int{0})
	clockOffset.Store(0)
	return d
}

// Guards against an order that has run but is answered with not-run, because its target sends the refusal of an earlier
// order twice.
func TestExtraRefusal(t *testing.T) {
	for _, c := range []struct {
		name               string
		status             int
		idempotent, sameID bool
	}{
		{"503, the same request, at most once", http.StatusServiceUnavailable, false, true},
		{"503, the same request, idempotent", http.StatusServiceUnavailable, true, true},
		{"412, the same request, at most once", http.StatusPreconditionFailed, false, true},
		{"503, another request, at most once", http.StatusServiceUnavailable, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			ran := make(chan string, 1)
			target := fulmarslot.Target{ID: "t1", Service: service, Address: startCopying(t, c.status, ran), Fenced: true}
			d := newDispatcher(t, target, c.idempotent, nil)
			first, second := newID(), newID()
			if c.sameID {
				second = first
			}
			g.Expect(send(d, first)).To(HavePrefix("not-run "))
			got := send(d, second)
			g.Expect(ran).To(Receive(Equal(second)))
			g.Expect(got).To(Equal("unknown target-lost"))
		})
	}
}

// send sends a request with the id to the dispatcher and returns the outcome with its reason.
func send(d *fulmardispatch.Dispatcher, id string) string {
	r := httptest.NewRequest(http.MethodPost, "/"+service+"/", http.NoBody)
	r.Header.Set(fulmaroutcome.HeaderKey, key)
	r.Header.Set(fulmaroutcome.HeaderGroup, "g1")
	r.Header.Set(fulmaroutcome.HeaderSlot, "0")
	r.Header.Set(fulmaroutcome.HeaderDeadline, "2000")
	r.Header.Set(fulmaroutcome.HeaderRequestID, id)
	w := httptest.NewRecorder()
	d.ServeHTTP(w, r)
	return w.Header().Get(fulmaroutcome.HeaderOutcome) + " " + w.Header().Get(fulmaroutcome.HeaderReason)
}

// Guards against orders to a target without a fence from a dispatcher that has lost its lease: nothing else keeps them from
// running beside those of its successor.
func TestUnfencedTargetNeedsLease(t *testing.T) {
	var orders atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		orders.Add(1)
		w.Header().Set(fulmaroutcome.HeaderExchange, r.Header.Get(fulmaroutcome.HeaderExchange))
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	for _, c := range []struct {
		name          string
		fenced, lease bool
		want          string
		orders        int32
	}{
		{"no fence and no lease", false, false, "not-run stale", 0},
		{"no fence", false, true, "served ", 1},
		{"fence, which checks the term", true, false, "served ", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			orders.Store(0)
			target := fulmarslot.Target{ID: "t1", Service: service, Address: address, Fenced: c.fenced}
			g.Expect(send(newDispatcher(t, target, false, func() bool { return c.lease }), newID())).To(Equal(c.want))
			g.Expect(orders.Load()).To(Equal(c.orders))
		})
	}
}
