package fulmarforwarder_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// serveFrom makes the targets those of the service without keys, and the first one the owner of all keys.
func (f *fixture) serveFrom(targets ...*target) {
	owner := targets[0].entry("keyed")
	owner.ID = "owner of " + owner.ID
	list := []fulmarcatalog.Target{owner}
	for _, s := range targets {
		list = append(list, s.entry("free"))
	}
	f.views.Update(func(v *fulmarview.View) {
		v.Catalog = fulmarcatalog.New(list)
		v.Owners = map[string]fulmarview.Spans{"keyed": {{From: 0, To: fulmarrange.MaxKey, Target: owner.ID, Ready: true}}}
	})
}

// crashed numbers the targets that tests have crashed, so that no two count as one.
var crashed atomic.Int64

// crashTargets sends the same request n times, each time under another id and to another target, which ends when it gets it.
func crashTargets(t *testing.T, f *fixture, n int, path, body string, headers ...string) {
	t.Helper()
	for i := range n {
		s := newTarget(t, fmt.Sprint("crashing", crashed.Add(1)), crashTarget)
		f.serveFrom(s)
		a := f.forwarder.Serve(t.Context(), request(t, path, body, append(headers, "Id", fmt.Sprint("crash-", i))...))
		expectStatus(NewWithT(t), a, http.StatusBadGateway)
	}
}

// Guards against a request that crashes one target after another.
func TestCrashingRequest(t *testing.T) {
	for _, c := range []struct {
		name       string
		idempotent bool
		path       string
	}{{"idempotent", true, "/f/1"}, {"not idempotent", false, "/f/1"}, {"with a key", true, "/k/1"}} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			f := start(t, c.idempotent, newTarget(t, "x"))
			crashTargets(t, f, 3, c.path, "body", "Key", "7")
			s := newTarget(t, "y")
			f.serveFrom(s)
			a := f.forwarder.Serve(t.Context(), request(t, c.path, "body", "Key", "7", "Id", "again"))
			expectStatus(g, a, http.StatusServiceUnavailable)
			g.Expect(string(a.Body)).To(Equal("crash"))
			after, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(after).To(BeNumerically(">", 60))
			g.Expect(s.requests()).To(BeEmpty())
			for name, innocent := range map[string][]string{
				"path":   {c.path + "2", "body", "Key", "7"},
				"body":   {c.path, "other", "Key", "7"},
				"key":    {c.path, "body", "Key", "8"},
				"caller": {c.path, "body", "Key", "7", "Cookie", "user=other"},
			} {
				a := f.forwarder.Serve(t.Context(), request(t, innocent[0], innocent[1], innocent[2:]...))
				g.Expect(a.Status).To(Equal(http.StatusOK), "another "+name)
			}
		})
	}
}

// Guards against refusals of requests that are only at the same targets as one that crashes them.
func TestInnocentRequest(t *testing.T) {
	t.Run("answered in between", func(t *testing.T) {
		g := NewWithT(t)
		f := start(t, true, newTarget(t, "x"))
		for range 3 {
			crashTargets(t, f, 2, "/f/1", "")
			f.serveFrom(newTarget(t, "y"))
			expectStatus(g, f.forwarder.Serve(t.Context(), request(t, "/f/1", "")), http.StatusOK)
		}
	})
	t.Run("answered before the entries of targets that fell silent together are gone", func(t *testing.T) {
		g := NewWithT(t)
		f := start(t, true, newTarget(t, "x"))
		for n := range 3 {
			f.serveFrom(newTarget(t, fmt.Sprint("silent", n), noAnswer))
			expectStatus(g, f.forwarder.Serve(t.Context(), request(t, "/f/1", "")), http.StatusGatewayTimeout)
		}
		f.serveFrom(newTarget(t, "y"))
		for range 2 {
			expectStatus(g, f.forwarder.Serve(t.Context(), request(t, "/f/1", "")), http.StatusOK)
			f.forwarder.RecordEndedTargets(t.Context(), f.views.Get().Catalog)
		}
	})
	t.Run("connections end, but the targets live", func(t *testing.T) {
		g := NewWithT(t)
		f := start(t, true, newTarget(t, "x"))
		for n := range 4 {
			f.serveFrom(newTarget(t, fmt.Sprint("t", n), closeConnection))
			expectStatus(g, f.forwarder.Serve(t.Context(), request(t, "/f/1", "")), http.StatusBadGateway)
		}
		f.serveFrom(newTarget(t, "y"))
		expectStatus(g, f.forwarder.Serve(t.Context(), request(t, "/f/1", "")), http.StatusOK)
	})
}

// Guards against crashes that are not noticed, as the target falls silent in place of closing its connections.
func TestSilentCrash(t *testing.T) {
	g := NewWithT(t)
	f := start(t, false, newTarget(t, "x"))
	for n := range 3 {
		f.serveFrom(newTarget(t, fmt.Sprint("silent", n), noAnswer))
		expectStatus(g, f.forwarder.Serve(t.Context(), request(t, "/f/1", "")), http.StatusGatewayTimeout)
		f.forwarder.RecordEndedTargets(t.Context(), f.views.Get().Catalog)
	}
	_, ok := f.deps.Crashes.Condemned(time.Now(), f.deps.Crashes.Records()[0].Work)
	g.Expect(ok).To(BeFalse(), "the last target has not ended")
	f.serveFrom(newTarget(t, "y"))
	f.forwarder.RecordEndedTargets(t.Context(), f.views.Get().Catalog)
	expectStatus(g, f.forwarder.Serve(t.Context(), request(t, "/f/1", "")), http.StatusServiceUnavailable)
}

// serveFor serves a request of the caller with the given address.
func serveFor(t *testing.T, f *fixture, address string, headers ...string) int {
	t.Helper()
	r := request(t, "/f/1", "", headers...)
	r.RemoteAddress = address
	return f.forwarder.Serve(t.Context(), r).Status
}

// Guards against a request that goes on crashing targets while others read the same path: what crashes the targets is a header that
// they do not send, and each answer to them ended the suspicion.
func TestCrashesOfOneCaller(t *testing.T) {
	g := NewWithT(t)
	f := start(t, false, newTarget(t, "x"))
	for n := range 3 {
		f.serveFrom(newTarget(t, fmt.Sprint("others", n)))
		g.Expect(serveFor(t, f, "10.0.0.2:1001")).To(Equal(http.StatusOK))
		f.serveFrom(newTarget(t, fmt.Sprint("crashing", crashed.Add(1)), crashTarget))
		g.Expect(serveFor(t, f, fmt.Sprint("10.0.0.1:", 2000+n), "Accept-Language", "xx")).To(Equal(http.StatusBadGateway))
	}
	f.serveFrom(newTarget(t, "y"))
	g.Expect(serveFor(t, f, "10.0.0.2:1002")).To(Equal(http.StatusOK))
	g.Expect(serveFor(t, f, "10.0.0.1:3000", "Accept-Language", "xx")).To(Equal(http.StatusServiceUnavailable))
	g.Expect(serveFor(t, f, "10.0.0.2:1003")).To(Equal(http.StatusOK), "another caller")
}

// Guards against a request that is recognised only while its caller keeps its address.
func TestCrashesOfCallersWithChangingAddresses(t *testing.T) {
	g := NewWithT(t)
	f := start(t, false, newTarget(t, "x"))
	for n := range 3 {
		f.serveFrom(newTarget(t, fmt.Sprint("crashing", crashed.Add(1)), crashTarget))
		g.Expect(serveFor(t, f, fmt.Sprintf("10.0.0.%d:1000", n))).To(Equal(http.StatusBadGateway))
	}
	f.serveFrom(newTarget(t, "y"))
	g.Expect(serveFor(t, f, "10.0.0.9:1000")).To(Equal(http.StatusServiceUnavailable))
}
