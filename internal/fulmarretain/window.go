package fulmarretain

import (
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
)

// Window holds the targets that were listed lately; it is not safe for concurrent use.
type Window struct {
	span   time.Duration
	turned time.Time
	seen   map[string]bool // since turned
	former map[string]bool // in the span before
}

// New returns a window in which targets count for one to two spans after they were listed last.
func New(now time.Time, span time.Duration) *Window {
	return &Window{span: span, turned: now, seen: make(map[string]bool), former: make(map[string]bool)}
}

// Advance records the targets that are listed at now. It reports whether some may no longer count.
func (w *Window) Advance(now time.Time, c *fulmarcatalog.Catalog) bool {
	turn := now.Sub(w.turned) >= w.span
	if turn {
		w.turned, w.former, w.seen = now, w.seen, make(map[string]bool, len(w.seen))
	}
	for _, t := range c.Targets() {
		w.seen[t.ID] = true
	}
	return turn
}

// Has reports whether the target was listed lately.
func (w *Window) Has(id string) bool { return w.seen[id] || w.former[id] }
