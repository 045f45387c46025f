package fulmarforwarder

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarlink"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarnotice"
)

// statesLeaving is the value of the header by which a target states that it leaves.
const statesLeaving = "1"

// recordNotices records what an answer of a target says of it: that it leaves, and that it wants no requests for a time.
func (x *exchange) recordNotices(t fulmarcatalog.Target, a *fulmarlink.Answer) {
	d := &x.forwarder.deps
	now := d.Clock()
	x.recordColdness(t, a.Header)
	if a.Header.Get(d.HeaderNames.Leaving) == statesLeaving && d.Notices.RecordLeaving(t.Incarnation(), now) {
		d.Metrics.Count("relay.leaving_stated")
		d.Log.Info("target leaves", "target", t.ID, "id", x.id, "source", "answer")
	}
	pause, ok := x.statedPause(t, a)
	if !ok {
		if d.Notices.RecordAnswer(t.Incarnation(), now) {
			d.Log.Info("target takes requests again", "target", t.ID, "id", x.id)
		}
		return
	}
	if d.Notices.RecordPause(t.Incarnation(), now.Add(pause)) {
		d.Metrics.Count("relay.pause_stated")
		d.Log.Info("target wants a pause", "target", t.ID, "id", x.id, "for", pause)
	}
}

// statedPause returns the pause for which a target asks in an answer; ok is false if it asks for none.
func (x *exchange) statedPause(t fulmarcatalog.Target, a *fulmarlink.Answer) (pause time.Duration, ok bool) {
	d := &x.forwarder.deps
	text := a.Header.Get(d.HeaderNames.RetryAfter)
	if a.Status != http.StatusServiceUnavailable || text == "" {
		return 0, false
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 || seconds > fulmarnotice.MaxPause.Seconds() {
		d.Metrics.Count("relay.pause_malformed")
		d.Log.Warn("target asks for a malformed pause", "target", t.ID, "id", x.id, "value", text)
		return 0, false
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// acceptsDeparting reports whether the target may get the request although it leaves or is evacuated, as far as its own answers
// and the view state.
func (x *exchange) acceptsDeparting(t fulmarcatalog.Target, n fulmarnotice.Notice) bool {
	d := &x.forwarder.deps
	if t.Evacuated && !t.AcceptsDuringEvacuation(d.Clock(), d.EvacuationTime()) {
		return false
	}
	received := d.Clock().Add(-d.Now().Sub(x.request.ReceivedAt))
	return t.AcceptsRequests(d.Clock(), d.DrainTime()) && n.AcceptsRequests(received, d.DrainTime())
}
