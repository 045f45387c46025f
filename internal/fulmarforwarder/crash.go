package fulmarforwarder

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcrash"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarfingerprint"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// credentials are the headers by which callers identify themselves. Requests of two callers are different work, even if they
// are alike otherwise.
var credentials = []string{"Authorization", "Cookie"}

const (
	// endWindow is the time after a request without an answer in which the end of its target may be due to it. The entry of a
	// target that has fallen silent is removed after three intervals between its heartbeats, which are about a second.
	endWindow = 8 * time.Second
	// maxUnanswered bounds the requests that are remembered for that.
	maxUnanswered = 512
)

// unansweredSend is a request that a target has not answered.
type unansweredSend struct {
	work   uint64
	target fulmarrange.Incarnation
	at     time.Time
}

// unansweredSends holds the latest requests without an answer; it is safe for concurrent use.
type unansweredSends struct {
	mu    sync.Mutex
	sends []unansweredSend // by time
}

func (u *unansweredSends) add(s unansweredSend) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sends = append(u.sends[max(len(u.sends)+1-maxUnanswered, 0):], s)
}

// isEmpty reports whether no requests are remembered.
func (u *unansweredSends) isEmpty() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.sends) == 0
}

// drop removes the requests with the given work.
func (u *unansweredSends) drop(work uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sends = slices.DeleteFunc(u.sends, func(s unansweredSend) bool { return s.work == work })
}

// take removes and returns the requests for whose target ended returns true, and drops those before oldest.
func (u *unansweredSends) take(ended func(unansweredSend) bool, oldest time.Time) (out []unansweredSend) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sends = slices.DeleteFunc(u.sends, func(s unansweredSend) bool {
		if s.at.Before(oldest) {
			return true
		}
		if ended(s) {
			out = append(out, s)
			return true
		}
		return false
	})
	return out
}

// work returns the fingerprint of the request's content, which is the same when a caller sends the request again under
// another id.
func (x *exchange) work() uint64 {
	if x.fingerprint == 0 {
		r := x.request
		fields := append(make([]string, 0, 4+len(credentials)), r.Method, strings.ToLower(r.Host), r.RequestURI, r.Header.Get(x.forwarder.deps.HeaderNames.Key))
		for _, name := range credentials {
			fields = append(fields, strings.Join(r.Header.Values(name), "\n"))
		}
		x.fingerprint = fulmarfingerprint.New(r.Payload.Prefix(), fields...)
	}
	return x.fingerprint
}

// recordUnanswered records that a target has not answered the request that was sent to it. If the target's process has ended
// meanwhile, the request may have crashed it. A target that falls silent is known to have ended only once its entry is gone;
// see RecordEndedTargets.
func (x *exchange) recordUnanswered(ctx context.Context, t fulmarcatalog.Target) {
	d := &x.forwarder.deps
	if t.Leaving || d.Notices.Get(t.Incarnation()).IsLeaving() {
		return
	}
	s := unansweredSend{x.work(), t.Incarnation(), d.Clock()}
	// A hedged request is not kept waiting for the check: the answer of its other target may have come.
	if x.hedged != "" || ctx.Err() != nil || !d.Pool.Refuses(ctx, t.Address) {
		x.forwarder.unanswered.add(s)
		return
	}
	x.forwarder.recordCrash(s, "id", x.id, "key", x.key, "cause", x.lastError)
}

// recordCrash records that a target has ended during a request; fields are those of the line in the log.
func (f *Forwarder) recordCrash(s unansweredSend, fields ...any) {
	record := f.deps.Crashes.RecordCrash(s.work, fulmarcrash.Crash{Target: s.target, At: s.at})
	f.deps.Metrics.Count("relay.target_ended")
	fields = append(fields, "target", s.target.ID, "born", s.target.Born, "work", s.work, "crashes", len(record.Crashes))
	f.deps.Log.Info("target ended during a request", fields...)
}

// RecordEndedTargets records which of the targets that have left requests without an answer are gone by now. It is to be
// called regularly.
func (f *Forwarder) RecordEndedTargets(c *fulmarcatalog.Catalog) {
	now := f.deps.Clock()
	for _, s := range f.unanswered.take(func(s unansweredSend) bool {
		listed, ok := c.Target(s.target.ID)
		return !ok || listed.Incarnation() != s.target
	}, now.Add(-endWindow)) {
		f.recordCrash(s, "after", now.Sub(s.at))
	}
}

// isCondemned reports whether the request is refused, as the targets that ran the same request have ended.
func (x *exchange) isCondemned() bool {
	d := &x.forwarder.deps
	if d.Crashes.IsEmpty() {
		return false
	}
	left, condemned := d.Crashes.Condemned(d.Clock(), x.work())
	if condemned {
		x.retryAfter = left
	}
	return condemned
}

// clearSuspicion records that a target has answered the request, so that it is not one that crashes targets. That includes those
// that have not answered it and whose end is not known yet, here or at another daemon.
func (x *exchange) clearSuspicion() {
	d := &x.forwarder.deps
	if unanswered := &x.forwarder.unanswered; !unanswered.isEmpty() {
		unanswered.drop(x.work())
	}
	if d.Crashes.RecordAnswer(d.Clock(), x.work()) {
		d.Log.Info("request answered after a target had ended during the same one", "id", x.id, "work", x.work())
	}
}
