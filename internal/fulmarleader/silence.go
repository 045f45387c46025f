package fulmarleader

import (
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarorder"
)

// silentCheckInterval is the time after which a worker in a silent data centre looks again, unless an answer wakes it.
const silentCheckInterval = 500 * time.Millisecond

// minOrderWait is the time that an order must have waited for an answer before it counts as one to a silent data centre.
const minOrderWait = 250 * time.Millisecond

// recordOutcome records whether an order that was sent at the given time was answered by its target, and so by its data centre.
// The caller holds mu.
func (t *Term) recordOutcome(sent, now time.Time, w *worker, o fulmarorder.Order, err error) {
	t.recordReach(now, w, o, err)
	t.recordSilence(sent, now, w.target.DC, o, err)
}

// recordReach records whether the target of an order answers. The caller holds mu.
func (t *Term) recordReach(now time.Time, w *worker, o fulmarorder.Order, err error) {
	reach := t.services[w.target.Service].reach
	switch {
	case err == nil && o.Kind == fulmarorder.Grant:
		reach.RecordGrant(now, o.Incarnation)
	case err == nil || errors.Is(err, fulmarorder.ErrRefused):
		reach.RecordAnswer(now, o.Incarnation)
	default:
		reach.RecordFailure(now, o.Incarnation, !errors.Is(err, fulmarorder.ErrUnanswered))
	}
}

// recordSilence records whether the data centre of an order's target answers. A connection that is refused at once, or that does
// not exist any more, tells nothing of the other targets, nor does a failed probe: its target had been lost before. The caller
// holds mu.
func (t *Term) recordSilence(sent, now time.Time, dc string, o fulmarorder.Order, err error) {
	silent := errors.Is(err, fulmarorder.ErrUnsent) || errors.Is(err, fulmarorder.ErrUnanswered) && !errors.Is(err, fulmarorder.ErrUncertain)
	switch {
	case silent && o.Probe:
	case silent && now.Sub(sent) >= minOrderWait:
		wasSilent := t.silence.IsSilent(now, dc)
		t.silence.RecordFailure(sent, now, dc)
		if !wasSilent && t.silence.IsSilent(now, dc) {
			t.deps.Metrics.Count("order.silent_dc")
			t.deps.Log.Warn("data centre answers no orders", "dc", dc)
		}
	case !silent && t.silence.RecordAnswer(now, dc):
		t.deps.Log.Info("data centre answers orders again", "dc", dc)
		for _, w := range t.workers {
			if w.target.DC == dc {
				w.wake()
			}
		}
	}
}
