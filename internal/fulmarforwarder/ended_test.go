package fulmarforwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarforwarder"
	"github.com/fulmarbend/fulmarbend/internal/fulmarlink"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
)

// patience is the time after which an impatient caller leaves.
const patience = 50 * time.Millisecond

// leaveUnanswered sends the same request to a target, which does not answer it until the caller leaves.
func leaveUnanswered(t *testing.T, f *fixture) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	time.AfterFunc(patience, cancel)
	expectStatus(NewWithT(t), f.forwarder.Serve(ctx, request(t, "/f/1", "")), http.StatusGatewayTimeout)
}

// list makes the targets those of the service without keys, as their entries say.
func (f *fixture) list(entries ...fulmarcatalog.Target) {
	f.views.Update(func(v *fulmarview.View) { v.Catalog = fulmarcatalog.New(entries) })
}

// leaving returns the entry of a target that leaves.
func leaving(s *target) fulmarcatalog.Target {
	out := s.entry("free")
	out.Leaving = true
	return out
}

// expectVerdict sends the same request to a further target and checks whether it is served or refused.
func expectVerdict(t *testing.T, f *fixture, status int) {
	t.Helper()
	f.list(newTarget(t, "further").entry("free"))
	expectStatus(NewWithT(t), f.forwarder.Serve(t.Context(), request(t, "/f/1", "")), status)
}

// Guards against requests that are refused for ten minutes as their targets have ended for another reason, or have not ended: callers
// left before the answers, and the targets were replaced, or their entries lapsed.
func TestEndsForOtherReasons(t *testing.T) {
	for _, c := range []struct {
		name   string
		script []string
		end    func(t *testing.T, f *fixture, s *target) // lets the target lose its entry
	}{
		{"left with notice", []string{noAnswer}, func(t *testing.T, f *fixture, s *target) {
			f.list(leaving(s))
			f.forwarder.RecordEndedTargets(t.Context(), f.views.Get().Catalog)
			s.listener.Close()
		}},
		{"entry lapsed", []string{noAnswer, ordinary}, func(*testing.T, *fixture, *target) {}},
		{"entry lapsed, all slots taken", []string{noAnswer, "HTTP/1.1 503 x\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"}, func(*testing.T, *fixture, *target) {}},
		{"ran another request since", []string{noAnswer, ordinary}, func(t *testing.T, f *fixture, s *target) {
			expectStatus(NewWithT(t), f.forwarder.Serve(t.Context(), request(t, "/f/2", "")), http.StatusOK)
			s.listener.Close()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := start(t, false, newTarget(t, "x"))
			for n := range 4 {
				s := newTarget(t, fmt.Sprint("t", n), c.script...)
				f.list(s.entry("free"))
				leaveUnanswered(t, f)
				c.end(t, f, s)
				f.list()
				f.forwarder.RecordEndedTargets(t.Context(), f.views.Get().Catalog)
			}
			expectVerdict(t, f, http.StatusOK)
		})
	}
	t.Run("left without notice while the request ran", func(t *testing.T) {
		f := start(t, false, newTarget(t, "x"))
		for n := range 4 {
			s := &target{id: fmt.Sprint("t", n)}
			s.listener = listen(t, func(c net.Conn) {
				defer c.Close()
				_, _ = http.ReadRequest(bufio.NewReader(c)) // the target exits, whatever it has received
				f.list()
				s.listener.Close()
			})
			f.list(s.entry("free"))
			expectStatus(NewWithT(t), f.forwarder.Serve(t.Context(), request(t, "/f/1", "")), http.StatusBadGateway)
		}
		expectVerdict(t, f, http.StatusOK)
	})
}

// Guards against a request that goes on crashing targets, as its callers leave before the ends of the targets are known.
func TestCrashAfterCallerLeft(t *testing.T) {
	for name, replaced := range map[string]bool{"entry gone": false, "started again under the same id": true} {
		t.Run(name, func(t *testing.T) {
			f := start(t, false, newTarget(t, "x"))
			for n := range 3 {
				s := newTarget(t, fmt.Sprint("t", n), noAnswer)
				f.list(s.entry("free"))
				leaveUnanswered(t, f)
				if replaced {
					next := s.entry("free")
					next.Born++
					f.list(next)
				} else {
					s.listener.Close()
					f.list()
				}
				f.forwarder.RecordEndedTargets(t.Context(), f.views.Get().Catalog)
			}
			expectVerdict(t, f, http.StatusServiceUnavailable)
		})
	}
}

// Guards against a request that stays condemned although one of the targets that count as ended runs requests.
func TestCondemnationEnds(t *testing.T) {
	f := start(t, false, newTarget(t, "x"))
	for n := range 3 {
		s := newTarget(t, fmt.Sprint("t", n), crashTarget)
		f.list(s.entry("free"))
		expectStatus(NewWithT(t), f.forwarder.Serve(t.Context(), request(t, "/f/1", "")), http.StatusBadGateway)
	}
	expectVerdict(t, f, http.StatusServiceUnavailable)
	f.list(newTarget(t, "t0").entry("free")) // accepts connections again
	expectStatus(NewWithT(t), f.forwarder.Serve(t.Context(), request(t, "/f/2", "")), http.StatusOK)
	expectVerdict(t, f, http.StatusOK)
}

// Guards against a request that goes on crashing targets into silence, each of which loses its entry before its connection is given up:
// such a target has not left without saying so.
func TestSilentCrashAfterEntry(t *testing.T) {
	f := start(t, false, newTarget(t, "x"))
	f.deps.Pool = fulmarlink.New(fulmarlink.Settings{
		DialTimeout: time.Second, AcceptMargin: time.Millisecond, AckTimeout: 50 * time.Millisecond, IdleTimeout: time.Minute, BodyLimit: 1 << 20, RequestIDHeader: names.RequestID,
	})
	t.Cleanup(f.deps.Pool.Close)
	f.forwarder = fulmarforwarder.New(f.deps)
	config := f.views.Get().Routes.Config()
	config.Routes = slices.Clone(config.Routes)
	for i := range config.Routes {
		config.Routes[i].Timeout = 20 * time.Second // longer than it takes until the connection is given up
	}
	routes, err := fulmarroute.New(config)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	f.views.Update(func(v *fulmarview.View) { v.Routes = routes })
	body := strings.Repeat("b", 64<<20) // more than the buffers of both ends hold
	for n := range 3 {
		s := &target{id: fmt.Sprint("t", n)}
		s.listener = listen(t, func(net.Conn) { f.list() }) // reads nothing
		f.list(s.entry("free"))
		expectStatus(NewWithT(t), f.forwarder.Serve(t.Context(), request(t, "/f/1", body)), http.StatusBadGateway)
		s.listener.Close()
		f.forwarder.RecordEndedTargets(t.Context(), f.views.Get().Catalog)
	}
	f.list(newTarget(t, "further").entry("free"))
	expectStatus(NewWithT(t), f.forwarder.Serve(t.Context(), request(t, "/f/1", body)), http.StatusServiceUnavailable)
}
