package fulmarleader

import (
	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// RecordLimits records what another daemon knows of limits.
func (d Deps) RecordLimits(limits []fulmarleaderrpc.TargetLimit, source string) {
	now := d.Now()
	for _, l := range limits {
		if d.Limits.Record(l.Unpack(now)) {
			d.Log.Info("limit of target changed", "target", l.Target, "limited", l.Limited, "rate", l.Rate, "source", source)
		}
	}
}

// RecordLeaving records which targets have told other daemons that they leave, and reports whether one of them is new.
func (d Deps) RecordLeaving(targets []fulmarleaderrpc.LeavingTarget) (changed bool) {
	now := d.Now()
	for _, l := range targets {
		if d.Notices.RecordLeaving(fulmarrange.Incarnation{ID: l.Target, Born: l.Born}, now.Add(-max(l.Age, 0))) {
			changed = true
			d.Log.Info("target leaves", "target", l.Target, "age", l.Age, "source", "daemon")
		}
	}
	return changed
}

// recordLeaving is Deps.RecordLeaving for the leader, whose plan moves the keys of the targets at once. The caller holds mu.
func (t *Term) recordLeaving(targets []fulmarleaderrpc.LeavingTarget) {
	if !t.deps.RecordLeaving(targets) {
		return
	}
	next := *t.snapshot
	next.Catalog = next.Catalog.WithLeaving(t.deps.Now(), next.ReadAt, t.deps.Notices.Leaving())
	t.snapshot = &next
	t.requestPublish()
}
