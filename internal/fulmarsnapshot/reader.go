package fulmarsnapshot

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
)

// Registry decodes what operators and targets write.
type Decoder struct {
	ConfigKey    string
	TargetPrefix string
	Config       func(value []byte) (fulmarroute.Config, error)
	Target       func(key string, value []byte) (fulmarcatalog.Target, error)
}

// Snapshot is the state at one read.
type Snapshot struct {
	ReadAt         time.Time // when the read began
	Leader         *Leader   // nil if nobody leads
	LeaderRevision int64
	Fleet          Fleet
	Tables         map[string]fulmarrange.Table
	TablesRevision int64
	TablesWriter   Writer
	Routes         *fulmarroute.Table // nil if there is no valid configuration
	Catalog        *fulmarcatalog.Catalog
}

// Reader reads snapshots; it is not safe for concurrent use.
type Reader struct {
	store    fulmarkv.Store
	registry Decoder
	tracker  *fulmarcatalog.Tracker
	log      *slog.Logger
	now      func() time.Time

	configRevision int64
	routes         *fulmarroute.Table
	tablesRevision int64
	tablesWriter   Writer
	tables         map[string]fulmarrange.Table
	damaged        map[string]int64 // revisions of values that were reported
	failing        bool
}

// New returns a reader of the store.
func New(store fulmarkv.Store, registry Decoder, log *slog.Logger, now func() time.Time) *Reader {
	return &Reader{
		store: store, registry: registry, tracker: fulmarcatalog.NewTracker(), log: log, now: now,
		damaged: make(map[string]int64),
	}
}

// Read returns the present state. former is the list of targets of before, which contained all changes up to known.
func (r *Reader) Read(ctx context.Context, former *fulmarcatalog.Catalog, known time.Time) (*Snapshot, error) {
	taken := r.now()
	items, err := r.store.Scan(ctx, "")
	if err != nil {
		if !r.failing {
			r.log.Warn("store lost", "error", err)
		}
		r.failing = true
		r.tracker.Failed(taken)
		return nil, errors.Wrap(err, "fulmarsnapshot: read")
	}
	if r.failing {
		r.log.Info("store regained")
		r.failing = false
	}
	s := &Snapshot{ReadAt: taken, Tables: map[string]fulmarrange.Table{}}
	var targets []fulmarcatalog.Target
	for _, item := range items {
		switch {
		case item.Key == LeaderKey:
			l, err := decodeLeader(item.Value)
			if err != nil {
				r.report(item, err)
				continue
			}
			s.Leader, s.LeaderRevision = &l, item.Revision
		case item.Key == FleetKey:
			if s.Fleet, err = decodeFleet(item.Value); err != nil {
				r.report(item, err)
			}
		case item.Key == TablesKey:
			if err := r.readTables(item); err != nil {
				return nil, err
			}
		case item.Key == r.registry.ConfigKey:
			r.readConfig(item)
		case strings.HasPrefix(item.Key, r.registry.TargetPrefix):
			t, err := r.registry.Target(item.Key, item.Value)
			if err != nil {
				r.report(item, err)
				continue
			}
			targets = append(targets, t)
		}
	}
	s.Routes = r.routes
	if r.tables != nil {
		s.Tables, s.TablesRevision, s.TablesWriter = r.tables, r.tablesRevision, r.tablesWriter
	}
	s.Catalog = r.tracker.Read(taken, targets, former, known)
	return s, nil
}

// Leader returns who leads, as it was at some time within the last seconds, or nil if nobody did.
func (r *Reader) Leader(ctx context.Context) (*Leader, error) {
	item, ok, err := r.store.Peek(ctx, LeaderKey)
	if err != nil || !ok {
		return nil, errors.Wrap(err, "fulmarsnapshot: leader")
	}
	l, err := decodeLeader(item.Value)
	if err != nil {
		return nil, err
	}
	return &l, nil
}

// readTables decodes the tables if they have changed. Without them nobody may grant keys.
func (r *Reader) readTables(item fulmarkv.Item) error {
	if item.Revision == r.tablesRevision {
		return nil
	}
	tables, by, err := decodeTables(item.Value)
	if err != nil {
		r.report(item, err)
		return err
	}
	r.tables, r.tablesRevision, r.tablesWriter = tables, item.Revision, by
	return nil
}

// readConfig decodes the configuration if it has changed. A damaged one leaves the former in force.
func (r *Reader) readConfig(item fulmarkv.Item) {
	if item.Revision == r.configRevision {
		return
	}
	config, err := r.registry.Config(item.Value)
	if err == nil {
		var routes *fulmarroute.Table
		if routes, err = fulmarroute.New(config); err == nil {
			r.configRevision = item.Revision
			if r.routes == nil || routes.Version() >= r.routes.Version() {
				r.routes = routes
				r.log.Info("configuration in force", "version", config.Version, "routes", len(config.Routes), "source", "store")
			}
			return
		}
	}
	r.report(item, err)
}

// report logs a damaged value once for each of its revisions.
func (r *Reader) report(item fulmarkv.Item, err error) {
	if r.damaged[item.Key] == item.Revision {
		return
	}
	r.damaged[item.Key] = item.Revision
	r.log.Warn("value in the store is damaged", "key", item.Key, "revision", item.Revision, "error", err)
}

// Spans returns how requests are routed by the tables alone: keys without earlier owners are taken as held.
func (s *Snapshot) Spans() map[string]fulmarview.Spans {
	out := make(map[string]fulmarview.Spans, len(s.Tables))
	for name, t := range s.Tables {
		spans := make(fulmarview.Spans, 0, t.Len())
		for _, g := range t.Segments() {
			spans = append(spans, fulmarview.Span{
				From: g.From, To: g.To, Target: g.Owner.Incarnation.ID, Ready: g.HasOwner() && len(g.PriorClaims) == 0,
			})
		}
		out[name] = spans
	}
	return out
}
