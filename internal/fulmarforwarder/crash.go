package fulmarforwarder

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarbend/fulmarbend/internal/fulmarlink"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcrash"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarfingerprint"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// credentials are the headers by which callers identify themselves. Requests of two callers are different work, even if they
// are alike otherwise.
var credentials = []string{"Authorization", "Cookie"}

// works are the fingerprints by which a request that crashes targets is recognised when it comes again.
type works [2]uint64

// works returns the fingerprints of the request: of its content, which is the same when a caller sends it again under another id,
// and of its content and the address of its caller. Callers that send no credentials are told apart by their addresses only, and what
// crashes targets may be a header that the others do not send; their answers say nothing of it then. An address may be that of many
// callers, or change, so that the content counts as well.
func (x *exchange) works() works {
	if x.fingerprints == (works{}) {
		r := x.request
		fields := append(make([]string, 0, 4+len(credentials)), r.Method, strings.ToLower(r.Host), r.RequestURI, r.Header.Get(x.forwarder.deps.HeaderNames.Key))
		for _, name := range credentials {
			fields = append(fields, strings.Join(r.Header.Values(name), "\n"))
		}
		content := fulmarfingerprint.New(r.Payload.Prefix(), fields...)
		x.fingerprints = works{content, fulmarfingerprint.New(nil, strconv.FormatUint(content, 16), callerHost(r.RemoteAddress))}
	}
	return x.fingerprints
}

// callerHost returns the address of a caller without the port, which differs between its connections.
func callerHost(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// recordUnanswered records that a target has not answered the request that was sent to it. If the target's process has ended
// meanwhile, the request may have crashed it. A target that falls silent is known to have ended only later; see
// RecordEndedTargets.
func (x *exchange) recordUnanswered(ctx context.Context, t fulmarcatalog.Target) {
	f := x.forwarder
	c, target := f.deps.Views.Get().Catalog, t.Incarnation()
	if t.Leaving || f.hasLeft(c, target) {
		return
	}
	// A hedged request is not kept waiting for the check: the answer of its other target may have come.
	isOver := x.hedged != "" || ctx.Err() != nil
	if _, isListed := c.Target(target.ID); !isListed && !isOver && !errors.Is(x.lastError, fulmarlink.ErrUnacknowledged) {
		return // the target was alive until now, without an entry: it has left without saying so
	}
	s := unansweredSend{works: x.works(), target: target, at: f.deps.Clock(), address: t.Address, health: x.service.Health}
	if isOver || !f.deps.Pool.Refuses(ctx, t.Address) {
		f.unanswered.add(s)
		return
	}
	f.recordCrash(s, "id", x.id, "key", x.key, "cause", x.lastError)
}

// hasLeft reports whether a target has said that it leaves. Its end is not due to a request then.
func (f *Forwarder) hasLeft(c *fulmarcatalog.Catalog, target fulmarrange.Incarnation) bool {
	if f.deps.Notices.Get(target).IsLeaving() {
		return true
	}
	listed, ok := c.Target(target.ID)
	return ok && listed.Incarnation() == target && listed.Leaving
}

// recordSurvival records that a target has run a request that was sent at the given time. Requests that it had left unanswered
// before have not crashed it, nor has one that any daemon took for the cause of its end.
func (f *Forwarder) recordSurvival(target fulmarrange.Incarnation, sentAt time.Time) {
	if f.deps.Crashes.RecordLife(target, sentAt) {
		f.deps.Metrics.Count("relay.target_end_withdrawn")
		f.deps.Log.Info("target that had counted as ended runs requests", "target", target.ID, "born", target.Born)
	}
	if !f.unanswered.isEmpty() {
		f.unanswered.drop(func(s unansweredSend) bool { return s.target == target && s.at.Before(sentAt) })
	}
}

// recordCrash records that a target has ended during a request; fields are those of the line in the log.
func (f *Forwarder) recordCrash(s unansweredSend, fields ...any) {
	crashes := 0
	for _, work := range s.works {
		if work != answered {
			record := f.deps.Crashes.RecordCrash(work, fulmarcrash.Crash{Target: s.target, At: s.at})
			crashes = max(crashes, len(record.Crashes))
		}
	}
	f.deps.Metrics.Count("relay.target_ended")
	fields = append(fields, "target", s.target.ID, "born", s.target.Born, "work", s.works[0], "of_caller", s.works[1], "crashes", crashes)
	f.deps.Log.Info("target ended during a request", fields...)
}

// RecordEndedTargets records which of the targets that have left requests without an answer have ended by now, unless they have said
// that they leave. The entry of a target may also lapse while it serves, so one without an entry is asked. It is to be called
// regularly, and waits for the answers.
func (f *Forwarder) RecordEndedTargets(ctx context.Context, c *fulmarcatalog.Catalog) {
	now := f.deps.Clock()
	f.unanswered.drop(func(s unansweredSend) bool { return s.at.Before(now.Add(-endWindow)) || f.hasLeft(c, s.target) })
	gone := f.unanswered.take(func(s unansweredSend) bool {
		listed, ok := c.Target(s.target.ID)
		return !ok || listed.Incarnation() != s.target
	})
	var group errgroup.Group
	group.SetLimit(maxInquiries)
	for target, sends := range gone {
		group.Go(func() error {
			if _, replaced := c.Target(target.ID); !replaced && f.isAlive(ctx, sends[0]) {
				f.deps.Metrics.Count("relay.target_unlisted")
				f.deps.Log.Info("target without an entry answers", "target", target.ID, "born", target.Born, "unanswered", len(sends))
				return nil
			}
			for _, s := range sends {
				f.recordCrash(s, "after", now.Sub(s.at))
			}
			return nil
		})
	}
	_ = group.Wait()
}

// isAlive asks the target of a request whether it runs. A target answers a health check whatever its state, and another one at
// its address says so.
func (f *Forwarder) isAlive(ctx context.Context, s unansweredSend) bool {
	if s.health == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	defer cancel()
	a, err := f.deps.Pool.Do(ctx, s.address, &fulmarlink.Request{
		Method: http.MethodGet, URI: s.health, Host: s.address, Lane: "health",
		Header:     http.Header{http.CanonicalHeaderKey(f.deps.HeaderNames.ExpectedTarget): {s.target.ID}},
		CloseAfter: func(int) bool { return true },
	})
	if err != nil {
		return errors.Is(err, fulmarlink.ErrNoRoom)
	}
	if a.Remainder != nil {
		a.Remainder.Close()
	}
	return a.Status != http.StatusMisdirectedRequest
}

// isCondemned reports whether the request is refused, as the targets that ran the same request have ended.
func (x *exchange) isCondemned() bool {
	d := &x.forwarder.deps
	if d.Crashes.IsEmpty() {
		return false
	}
	for _, work := range x.works() {
		if left, condemned := d.Crashes.Condemned(d.Clock(), work); condemned {
			x.retryAfter = left
			return true
		}
	}
	return false
}

// clearSuspicion records that a target has answered the request, so that it is not one that crashes targets. That includes those
// that have not answered it and whose end is not known yet, here or at another daemon.
func (x *exchange) clearSuspicion() {
	d := &x.forwarder.deps
	if unanswered := &x.forwarder.unanswered; !unanswered.isEmpty() {
		unanswered.answer(x.works())
	}
	for _, work := range x.works() {
		if d.Crashes.RecordAnswer(d.Clock(), work) {
			d.Log.Info("request answered after a target had ended during the same one", "id", x.id, "work", work)
		}
	}
}
