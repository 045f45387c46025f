package fulmarcoldness

import (
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrate"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarwarmup"
)

// Coldness is the source of the rates of cold targets; a nil one bounds nothing. It is safe for concurrent use.
type Coldness struct {
	rule  fulmarwarmup.Rule
	said  *fulmarwarmup.Board
	views *fulmarview.Holder
	now   func() time.Time // the clock of the views
}

// New returns the coldness of the targets of the view.
func New(rule fulmarwarmup.Rule, views *fulmarview.Holder, now func() time.Time) *Coldness {
	return &Coldness{rule: rule, said: fulmarwarmup.New(), views: views, now: now}
}

// Left returns how much longer a target is cold at now, zero if it is not.
func (c *Coldness) Left(t fulmarcatalog.Target, now time.Time) time.Duration {
	if c == nil {
		return 0
	}
	return max(t.AsOf(now).WarmupLeft, c.said.Left(t.Incarnation(), now))
}

// IsCold reports whether a target of the service is cold at now and takes only the service's ColdRate meanwhile.
func (c *Coldness) IsCold(t fulmarcatalog.Target, service fulmarroute.Service, now time.Time) bool {
	return service.ColdRate > 0 && c.Left(t, now) > 0
}

// takenBy returns the rate that the target with the given id in the view takes as it is cold; ok is false if it takes any rate.
func (c *Coldness) takenBy(id string) (rate float64, ok bool) {
	if c == nil {
		return 0, false
	}
	view := c.views.Get()
	if !view.Ready() {
		return 0, false
	}
	t, known := view.Catalog.Target(id)
	if !known {
		return 0, false
	}
	service, _ := view.Routes.Service(t.Service)
	return service.ColdRate, c.IsCold(t, service, c.now())
}

// Rate implements fulmarrate.Source: it returns the rate of permits.
func (c *Coldness) Rate(target string) (perSecond float64, limited bool) {
	rate, cold := c.takenBy(target)
	if !cold {
		return 0, false
	}
	return c.rule.PermitRate(rate), true
}

// RateOf is Rate for a target that need not be in the view.
func (c *Coldness) RateOf(t fulmarcatalog.Target, service fulmarroute.Service, now time.Time) (perSecond float64, limited bool) {
	if !c.IsCold(t, service, now) {
		return 0, false
	}
	return c.rule.PermitRate(service.ColdRate), true
}

// turns is the source of the rates that daemons without a leader divide into turns.
type turns struct{ *Coldness }

// Rate implements fulmarrate.Source.
func (t turns) Rate(target string) (perSecond float64, limited bool) {
	rate, cold := t.takenBy(target)
	if !cold {
		return 0, false
	}
	return t.rule.TurnRate(rate), true
}

// Turns returns the source of the rates that daemons without a leader divide into turns.
func (c *Coldness) Turns() fulmarrate.Source { return turns{c} }

// Record records that a target has said that it is cold for some more time, and reports whether that is new.
func (c *Coldness) Record(target fulmarrange.Incarnation, now time.Time, left time.Duration) (began bool) {
	return c != nil && c.said.Record(target, now, now.Add(min(left, fulmarwarmup.MaxLeft)))
}

// Retain drops what the targets have said for whose ids keep returns false.
func (c *Coldness) Retain(keep func(id string) bool) { c.said.Retain(keep) }
