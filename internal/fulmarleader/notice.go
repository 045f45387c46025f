package fulmarleader

import (
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// recordLeaving records which targets have told other daemons that they leave, so that the plan moves their keys at once. The
// caller holds mu.
func (t *Term) recordLeaving(now time.Time, targets []fulmarleaderrpc.LeavingTarget) {
	changed := false
	for _, l := range targets {
		incarnation := fulmarrange.Incarnation{ID: l.Target, Born: l.Born}
		if t.deps.Notices.RecordLeaving(incarnation, now.Add(-max(l.Age, 0))) {
			changed = true
			t.deps.Log.Info("target leaves", "target", l.Target, "age", l.Age, "source", "daemon")
		}
	}
	if !changed {
		return
	}
	next := *t.snapshot
	next.Catalog = next.Catalog.WithLeaving(now, t.deps.Notices.Leaving())
	t.snapshot = &next
	t.requestPublish()
}
