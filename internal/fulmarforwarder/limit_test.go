package fulmarforwarder_test

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarforwarder"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarpermit"
)

// Answers of a target in need.
const (
	limitedAnswer   = "HTTP/1.1 200 x\r\nSign: s\r\nId: one\r\nLimit: 4.5\r\nContent-Length: 4\r\n\r\nfrom"
	malformedLimit  = "HTTP/1.1 200 x\r\nSign: s\r\nId: one\r\nLimit: many\r\nContent-Length: 4\r\n\r\nfrom"
	limitedNotRun   = "HTTP/1.1 503 x\r\nNot-Run: 1\r\nId: one\r\nLimit: 4.5\r\nContent-Length: 0\r\n\r\n"
	otherTarget     = "HTTP/1.1 421 x\r\nLimit: 4.5\r\nContent-Length: 0\r\n\r\n"
	unlimitedNotRun = "HTTP/1.1 503 x\r\nNot-Run: 1\r\nId: one\r\nContent-Length: 0\r\n\r\n"
)

// Guards against limits that a daemon does not notice, or takes as ended by an answer that the target did not sign.
func TestLimitOfAnswer(t *testing.T) {
	for _, c := range []struct {
		name    string
		script  []string
		limited bool
	}{
		{"none", []string{ordinary, ordinary}, false},
		{"answer", []string{limitedAnswer, limitedAnswer}, true},
		{"rejection", []string{limitedNotRun, unlimitedNotRun}, true},
		{"other target at the address", []string{otherTarget, otherTarget}, false},
		{"malformed", []string{malformedLimit, malformedLimit}, false},
		{"end", []string{limitedAnswer, ordinary}, false},
		{"rejection without a limit", []string{limitedAnswer, unlimitedNotRun}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			x := newTarget(t, "x", c.script...)
			f := start(t, false, x)
			for range 2 {
				f.forwarder.Serve(t.Context(), request(t, "/f/1", "body"))
			}
			rate, limited := f.deps.Limits.Rate("x")
			g.Expect(limited).To(Equal(c.limited))
			if limited {
				g.Expect(rate).To(Equal(4.5))
			}
		})
	}
}

// closedGate admits no request to the targets that it holds.
type closedGate map[string]time.Duration

func (c closedGate) Admit(_ context.Context, r fulmarpermit.Request) (time.Duration, bool) {
	after, closed := c[r.Target]
	return after, !closed
}

// slowGate admits no request, after some time.
type slowGate time.Duration

func (s slowGate) Admit(context.Context, fulmarpermit.Request) (time.Duration, bool) {
	time.Sleep(time.Duration(s))
	return 0, false
}

// Guards against requests for a hot key that its target can't do, and that wait there until their deadline: they are refused at
// once, with a time to come back.
func TestBoundedKey(t *testing.T) {
	g := NewWithT(t)
	x := newTarget(t, "x")
	f := start(t, false, x)
	f.views.Update(func(v *fulmarview.View) {
		v.Owners = map[string]fulmarview.Spans{"keyed": {
			{From: 0, To: 6, Target: "owner", Ready: true},
			{From: 7, To: 7, Target: "owner", Ready: true, Bounded: true},
		}}
	})
	deps := f.deps
	deps.Gate = boundedGate(300 * time.Millisecond)
	forwarder := fulmarforwarder.New(deps)
	for range 6 {
		a := forwarder.Serve(t.Context(), request(t, "/k/1", "", "Key", "7"))
		expectStatus(g, a, http.StatusServiceUnavailable)
		g.Expect(string(a.Body)).To(Equal("full"))
		after, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(after).To(BeNumerically("~", 0.45, 0.15))
	}
	g.Expect(sends(x)).To(BeZero())
	expectStatus(g, forwarder.Serve(t.Context(), request(t, "/k/1", "", "Key", "6")), http.StatusOK)
}

// boundedGate admits no request whose key is bounded for some time.
type boundedGate time.Duration

func (b boundedGate) Admit(_ context.Context, r fulmarpermit.Request) (time.Duration, bool) {
	return time.Duration(b), !r.Bounded
}

// Guards against requests that are held until every target of a large service has been asked for.
func TestOverLimitOfManyTargets(t *testing.T) {
	g := NewWithT(t)
	targets := make([]*target, 40)
	for i := range targets {
		targets[i] = newTarget(t, strconv.Itoa(i))
	}
	f := start(t, false, targets...)
	deps := f.deps
	deps.Gate = slowGate(5 * time.Millisecond)
	began := time.Now()
	expectStatus(g, fulmarforwarder.New(deps).Serve(t.Context(), request(t, "/f/1", "")), http.StatusServiceUnavailable)
	g.Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond), "half of the objective")
	g.Expect(sends(targets...)).To(BeZero())
}

// Guards against requests beyond a target's limit that are sent, refused although another target could serve them, or
// told to return when the target still admits none.
func TestOverLimit(t *testing.T) {
	for _, c := range []struct {
		name, path string
		closed     closedGate
		status     int
		sends      int
	}{
		{"another target serves it", "/f/1", closedGate{"x": time.Second}, http.StatusOK, 1},
		{"all targets", "/f/1", closedGate{"x": time.Second, "y": 2 * time.Second}, http.StatusServiceUnavailable, 0},
		{"owner of the key", "/k/1", closedGate{"owner": time.Second}, http.StatusServiceUnavailable, 0},
		{"another owner", "/k/1", closedGate{"y": time.Second}, http.StatusOK, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			x, y := newTarget(t, "x"), newTarget(t, "y")
			f := start(t, false, x, y)
			deps := f.deps
			deps.Gate = c.closed
			forwarder := fulmarforwarder.New(deps)
			// As many requests as may be in flight at a target show that refused ones do not count.
			for range 6 {
				a := forwarder.Serve(t.Context(), request(t, c.path, "", "Key", "7"))
				expectStatus(g, a, c.status)
				if c.status == http.StatusServiceUnavailable {
					after, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(after).To(BeNumerically(">=", 1))
				}
			}
			g.Expect(sends(x, y)).To(Equal(6 * c.sends))
		})
	}
}
