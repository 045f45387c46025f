package fulmarevacuationmonitor

import (
	"log/slog"
	"sync"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
)

// Status is what is left in an evacuated data centre.
type Status struct {
	For      time.Duration // longest time for which it may have been evacuated
	Targets  int
	Keys     int // of all services, which its targets own
	Requests int // of this daemon in flight
}

// Metrics holds gauges.
type Metrics interface {
	RegisterGauges(name, label string, read func() map[string]float64)
}

// Monitor logs changes of the evacuations that a daemon knows; it is safe for concurrent use.
type Monitor struct {
	views    *fulmarview.Holder
	inFlight func(target string) int
	log      *slog.Logger
	now      func() time.Time

	mu   sync.Mutex
	last map[string]Status // by data centre
}

// New returns a monitor of the views; inFlight returns the number of this daemon's requests at a target.
func New(views *fulmarview.Holder, inFlight func(target string) int, log *slog.Logger, now func() time.Time) *Monitor {
	return &Monitor{views: views, inFlight: inFlight, log: log, now: now}
}

// Register adds the gauges of the statuses by data centre.
func (m *Monitor) Register(metrics Metrics) {
	for name, value := range map[string]func(Status) float64{
		"evacuation.seconds":  func(s Status) float64 { return s.For.Seconds() },
		"evacuation.targets":  func(s Status) float64 { return float64(s.Targets) },
		"evacuation.keys":     func(s Status) float64 { return float64(s.Keys) },
		"evacuation.requests": func(s Status) float64 { return float64(s.Requests) },
	} {
		metrics.RegisterGauges(name, "dc", func() map[string]float64 {
			out := make(map[string]float64)
			for dc, status := range m.Status() {
				out[dc] = value(status)
			}
			return out
		})
	}
}

// Status returns what is left in each evacuated data centre.
func (m *Monitor) Status() map[string]Status {
	view := m.views.Get()
	if view.Catalog == nil {
		return nil
	}
	now := m.now()
	out := make(map[string]Status)
	for t := range view.Catalog.All() {
		if !t.Evacuated {
			continue
		}
		s := out[t.DC]
		s.For = max(s.For, t.AsOf(now).EvacuatedFor)
		s.Targets++
		s.Requests += m.inFlight(t.ID)
		out[t.DC] = s
	}
	if len(out) == 0 {
		return nil
	}
	for _, spans := range view.Owners {
		for _, span := range spans {
			if t, ok := view.Catalog.Target(span.Target); ok && t.Evacuated {
				s := out[t.DC]
				s.Keys += span.To - span.From + 1
				out[t.DC] = s
			}
		}
	}
	return out
}

// Update logs which evacuations have begun or ended since the last call, and which data centres hold no keys any more.
func (m *Monitor) Update() {
	m.mu.Lock()
	defer m.mu.Unlock()
	status := m.Status()
	for dc, s := range status {
		old, known := m.last[dc]
		if !known {
			m.log.Info("data centre is evacuated", "dc", dc, "for", s.For, "targets", s.Targets, "keys", s.Keys, "requests", s.Requests)
		}
		if s.Keys == 0 && s.Requests == 0 && (!known || old.Keys+old.Requests > 0) {
			m.log.Info("evacuated data centre is empty", "dc", dc, "for", s.For, "targets", s.Targets)
		}
	}
	for dc, s := range m.last {
		if _, still := status[dc]; !still {
			m.log.Info("evacuation of data centre has ended", "dc", dc, "for", s.For)
		}
	}
	m.last = status
}
