package fulmarview

import (
	"slices"
	"sync"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarera"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrelay"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
)

// View is a snapshot of the fleet; it is immutable. Routes and Catalog are nil until they are known.
type View struct {
	Routes  *fulmarroute.Table
	Catalog *fulmarcatalog.Catalog
	Owners  map[string]Spans // by service
	Daemons int              // number of instances that accept requests, at least 1
	// MaxCPUShare is the largest usable share of a CPU core of an instance other than the leader, 0 if it is not known.
	MaxCPUShare float64
	// Contacts are addresses of some other instances, at which their peers reach them.
	Contacts []string
	Relays   fulmarrelay.Set
	Leader   string             // address of the leader, empty if there is none
	Term     fulmarera.Revision // of the leader that the view comes from
	Hops     int                // number of instances that passed the view on; 0 for the leader's own and for one read from the store
	AsOf     time.Time          // the view contains all changes up to this time
	// ConfigAsOf is the same for Routes alone; it is never before AsOf.
	ConfigAsOf time.Time
}

// Ready reports whether requests can be routed.
func (v *View) Ready() bool { return v != nil && v.Routes != nil && v.Catalog != nil }

// Peers returns the addresses of the other instances that the view names, without the instance's own address.
func (v *View) Peers(own string) []string {
	out := slices.Clone(v.Contacts)
	for _, r := range v.Relays {
		out = append(out, r.Address)
	}
	slices.Sort(out)
	return slices.DeleteFunc(slices.Compact(out), func(address string) bool { return address == own })
}

// Holder holds the newest view. It is safe for concurrent use.
type Holder struct {
	mu      sync.Mutex
	view    *View
	changed chan struct{}
}

// New returns a holder of an empty view.
func New() *Holder {
	return &Holder{view: &View{Daemons: 1, Owners: map[string]Spans{}}, changed: make(chan struct{})}
}

// Get returns the newest view.
func (h *Holder) Get() *View {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view
}

// Watch returns the newest view and a channel that is closed when it is replaced.
func (h *Holder) Watch() (*View, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view, h.changed
}

// Update replaces the view by a copy that change has modified. It never replaces a configuration by an older version, nor
// AsOf and ConfigAsOf by earlier times.
func (h *Holder) Update(change func(v *View)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := *h.view
	change(&next)
	if old := h.view.Routes; old != nil && (next.Routes == nil || next.Routes.Version() < old.Version()) {
		next.Routes = old
	}
	next.AsOf = latest(next.AsOf, h.view.AsOf)
	next.ConfigAsOf = latest(next.ConfigAsOf, h.view.ConfigAsOf, next.AsOf)
	next.Daemons = max(next.Daemons, 1)
	h.view = &next
	close(h.changed)
	h.changed = make(chan struct{})
}

// latest returns the latest of the times.
func latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }
