package fulmarforwarder_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarforwarder"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
)

// Answers by which a target speaks of itself.
const (
	pausing    = "HTTP/1.1 503 x\r\nId: one\r\nNot-Run: 1\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n"
	leavingOK  = "HTTP/1.1 200 x\r\nId: one\r\nSign: s\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nok"
	leavingBad = "HTTP/1.1 421 x\r\nId: one\r\nLeaving: 1\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n"
)

// later makes the forwarder's clocks show a later time.
func (f *fixture) later(d time.Duration) {
	f.deps.Clock = func() time.Time { return time.Now().Add(d) }
	f.deps.Now = f.deps.Clock
	f.forwarder = fulmarforwarder.New(f.deps)
}

// serveAt serves a request that arrives at the forwarder's present time, and returns the status and the Retry-After value in
// seconds.
func (f *fixture) serveAt(t *testing.T, path string) (status int, retryAfter float64) {
	t.Helper()
	r := request(t, path, "", "Key", "7")
	r.ReceivedAt = f.deps.Now()
	a := f.forwarder.Serve(t.Context(), r)
	retryAfter, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	if err != nil {
		retryAfter = 0
	}
	return a.Status, retryAfter
}

// Guards against requests to a target that has asked for a pause.
func TestPauseOfAnswer(t *testing.T) {
	t.Run("without a key, elsewhere", func(t *testing.T) {
		g := NewWithT(t)
		a, b := newTarget(t, "a", pausing), newTarget(t, "b", ordinary)
		f := start(t, false, a, b)
		for range 8 {
			status, _ := f.serveAt(t, "/f/")
			g.Expect(status).To(Equal(http.StatusOK))
		}
		g.Expect(sends(a)).To(BeNumerically("<=", 1))
	})
	t.Run("without a key, all pause", func(t *testing.T) {
		g := NewWithT(t)
		a := newTarget(t, "a", pausing)
		f := start(t, false, a)
		for range 4 {
			status, retryAfter := f.serveAt(t, "/f/")
			g.Expect(status).To(Equal(http.StatusServiceUnavailable))
			g.Expect(retryAfter).To(BeNumerically(">", 29))
		}
		g.Expect(sends(a)).To(Equal(1))
	})
	t.Run("with a key, refused at once", func(t *testing.T) {
		g := NewWithT(t)
		a := newTarget(t, "a", pausing)
		f := start(t, true, a)
		began := time.Now()
		for range 4 {
			status, retryAfter := f.serveAt(t, "/k/")
			g.Expect(status).To(Equal(http.StatusServiceUnavailable))
			g.Expect(retryAfter).To(And(BeNumerically(">", 29), BeNumerically("<", 33)))
		}
		g.Expect(time.Since(began)).To(BeNumerically("<", 200*time.Millisecond/3), "shorter than the wait for an owner")
		g.Expect(sends(a)).To(Equal(1))
	})
	t.Run("one request after the end", func(t *testing.T) {
		g := NewWithT(t)
		a := newTarget(t, "a", pausing, noAnswer)
		f := start(t, false, a)
		f.serveAt(t, "/k/")
		f.later(31 * time.Second)
		first := request(t, "/k/", "", "Key", "7")
		first.ReceivedAt = f.deps.Now()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.forwarder.Serve(ctx, first)
		}()
		g.Eventually(func() int { return sends(a) }).Should(Equal(2))
		status, retryAfter := f.serveAt(t, "/k/")
		g.Expect(status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(retryAfter).To(BeNumerically("<", 1))
		g.Expect(sends(a)).To(Equal(2))
		cancel()
		<-done
	})
	for name, answer := range map[string]string{
		"negative":                 "HTTP/1.1 503 x\r\nId: one\r\nNot-Run: 1\r\nRetry-After: -1\r\nContent-Length: 0\r\n\r\n",
		"not a number":             "HTTP/1.1 503 x\r\nId: one\r\nNot-Run: 1\r\nRetry-After: NaN\r\nContent-Length: 0\r\n\r\n",
		"a date":                   "HTTP/1.1 503 x\r\nId: one\r\nNot-Run: 1\r\nRetry-After: Sat, 05 Dec 2026 07:28:00 GMT\r\nContent-Length: 0\r\n\r\n",
		"too long":                 "HTTP/1.1 503 x\r\nId: one\r\nNot-Run: 1\r\nRetry-After: 1000000000000\r\nContent-Length: 0\r\n\r\n",
		"another status":           "HTTP/1.1 429 x\r\nId: one\r\nNot-Run: 1\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n",
		"perhaps another target's": leavingBad,
	} {
		t.Run("no pause: "+name, func(t *testing.T) {
			a := newTarget(t, "a", answer, ordinary)
			f := start(t, false, a)
			f.serveAt(t, "/f/")
			status, _ := f.serveAt(t, "/f/")
			NewWithT(t).Expect(status).To(Equal(http.StatusOK))
		})
	}
	t.Run("without the statement that the request was not executed", func(t *testing.T) {
		g := NewWithT(t)
		a := newTarget(t, "a", "HTTP/1.1 503 x\r\nId: one\r\nSign: s\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n")
		f := start(t, false, a)
		answer := f.forwarder.Serve(t.Context(), request(t, "/f/", ""))
		expectStatus(g, answer, http.StatusBadGateway)
		g.Expect(answer.Header).NotTo(HaveKey(names.RetryAfter), "the caller may not repeat the request")
		status, retryAfter := f.serveAt(t, "/f/")
		g.Expect(status).To(Equal(http.StatusServiceUnavailable), "the target wants a pause all the same")
		g.Expect(retryAfter).To(BeNumerically(">", 29))
		g.Expect(sends(a)).To(Equal(1))
	})
}

// Guards against requests to a target that has said in an answer that it leaves.
func TestLeavingOfAnswer(t *testing.T) {
	t.Run("without a key, elsewhere at once", func(t *testing.T) {
		g := NewWithT(t)
		a, b := newTarget(t, "a", leavingOK), newTarget(t, "b", ordinary)
		f := start(t, false, a, b)
		for range 8 {
			status, _ := f.serveAt(t, "/f/")
			g.Expect(status).To(Equal(http.StatusOK))
		}
		g.Expect(sends(a)).To(BeNumerically("<=", 1))
	})
	t.Run("without a key, no other target", func(t *testing.T) {
		g := NewWithT(t)
		f := start(t, false, newTarget(t, "a", leavingOK))
		for range 3 {
			status, _ := f.serveAt(t, "/f/")
			g.Expect(status).To(Equal(http.StatusOK))
		}
		f.later(time.Second)
		status, _ := f.serveAt(t, "/f/")
		g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	})
	t.Run("with a key, until the drain time has passed", func(t *testing.T) {
		g := NewWithT(t)
		a := newTarget(t, "a", leavingOK)
		f := start(t, false, a)
		for range 3 {
			status, _ := f.serveAt(t, "/k/")
			g.Expect(status).To(Equal(http.StatusOK))
		}
		f.later(time.Second)
		began := time.Now()
		status, _ := f.serveAt(t, "/k/")
		g.Expect(status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(time.Since(began)).To(BeNumerically("<", 200*time.Millisecond/3), "nobody leads who could move the key")
		g.Expect(sends(a)).To(Equal(3))
	})
	// A request that a caller sent before may go at any later time, as long as the target holds its key.
	t.Run("with a key, sent before", func(t *testing.T) {
		g := NewWithT(t)
		f := start(t, false, newTarget(t, "a", leavingOK))
		f.serveAt(t, "/k/")
		f.later(1200 * time.Millisecond)
		r := request(t, "/k/", "", "Key", "7")
		r.ReceivedAt = f.deps.Now().Add(-350 * time.Millisecond)
		g.Expect(f.forwarder.Serve(t.Context(), r).Status).To(Equal(http.StatusOK))
	})
	t.Run("whatever the store says later", func(t *testing.T) {
		g := NewWithT(t)
		f := start(t, false, newTarget(t, "a", leavingOK))
		f.serveAt(t, "/k/")
		f.later(time.Second)
		f.views.Update(func(v *fulmarview.View) {
			v.Catalog = v.Catalog.With([]fulmarcatalog.Target{mustTarget(t, v.Catalog, "owner")}, nil)
		})
		status, _ := f.serveAt(t, "/k/")
		g.Expect(status).To(Equal(http.StatusServiceUnavailable))
		f.views.Update(func(v *fulmarview.View) {
			next := mustTarget(t, v.Catalog, "owner")
			next.Born++
			v.Catalog = v.Catalog.With([]fulmarcatalog.Target{next}, nil)
		})
		status, _ = f.serveAt(t, "/k/")
		g.Expect(status).To(Equal(http.StatusOK), "the target has been started again")
	})
	t.Run("perhaps another target's answer", func(t *testing.T) {
		g := NewWithT(t)
		f := start(t, false, newTarget(t, "a", leavingBad, ordinary))
		f.serveAt(t, "/k/")
		f.later(2 * time.Second)
		status, _ := f.serveAt(t, "/k/")
		g.Expect(status).To(Equal(http.StatusOK))
	})
}

func mustTarget(t *testing.T, c *fulmarcatalog.Catalog, id string) fulmarcatalog.Target {
	t.Helper()
	out, ok := c.Target(id)
	if !ok {
		t.Fatal("no target ", id)
	}
	return out
}

// Guards against a request that is sent again to a target that has left since the request arrived: a connection to a target
// that fell silent failed after 3 s, and the request went to one that had left for 2.3 s.
func TestRepeatAfterChange(t *testing.T) {
	g := NewWithT(t)
	var f *fixture
	x := &target{id: "x", listener: listen(t, func(c net.Conn) {
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		f.views.Update(func(v *fulmarview.View) {
			y := mustTarget(t, v.Catalog, "y")
			y.Leaving, y.LeavingFor, y.SeenAt = true, time.Hour, time.Now()
			v.Catalog = v.Catalog.With([]fulmarcatalog.Target{y}, nil)
		})
	})}
	y := newTarget(t, "y")
	f = start(t, true, x, y)
	f.views.Update(func(v *fulmarview.View) {
		remote := mustTarget(t, v.Catalog, "y")
		remote.DC = "b" // so that x is chosen first
		v.Catalog = v.Catalog.With([]fulmarcatalog.Target{remote}, nil)
	})
	expectStatus(g, f.forwarder.Serve(t.Context(), request(t, "/f/1", "")), http.StatusBadGateway)
	g.Expect(sends(y)).To(BeZero())
}
