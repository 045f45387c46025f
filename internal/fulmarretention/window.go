package fulmarretention

import (
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
)

// Window tracks the targets that were listed recently. It is not safe for concurrent use.
type Window struct {
	span         time.Duration
	rotatedAt    time.Time
	currentSpan  map[string]bool // ids of targets listed since rotatedAt
	previousSpan map[string]bool // ids of targets listed in the span before
}

// New returns a window that retains a target for one to two spans after it was last listed.
func New(now time.Time, span time.Duration) *Window {
	return &Window{span: span, rotatedAt: now, currentSpan: make(map[string]bool), previousSpan: make(map[string]bool)}
}

// Advance records the targets that are listed at now. It reports whether targets may have been dropped.
func (w *Window) Advance(now time.Time, c *fulmarcatalog.Catalog) bool {
	rotate := now.Sub(w.rotatedAt) >= w.span
	if rotate {
		w.rotatedAt, w.previousSpan, w.currentSpan = now, w.currentSpan, make(map[string]bool, len(w.currentSpan))
	}
	for _, t := range c.Targets() {
		w.currentSpan[t.ID] = true
	}
	return rotate
}

// Has reports whether the target is retained.
func (w *Window) Has(id string) bool { return w.currentSpan[id] || w.previousSpan[id] }
