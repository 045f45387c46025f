package fulmarleader

import (
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarorder"
)

// silentCheckInterval is the time after which a worker in a silent data centre looks again, unless an answer wakes it.
const silentCheckInterval = 500 * time.Millisecond

// recordOutcome records whether an order that was sent at the given time was answered by the data centre of its target. A
// connection that is refused at once, or that does not exist any more, tells nothing of the others. The caller holds mu.
func (t *Term) recordOutcome(sent, now time.Time, dc string, err error) {
	silent := errors.Is(err, fulmarorder.ErrUnsent) || errors.Is(err, fulmarorder.ErrUnanswered) && !errors.Is(err, fulmarorder.ErrUncertain)
	switch {
	case silent && now.Sub(sent) >= unreachableTimeout:
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
