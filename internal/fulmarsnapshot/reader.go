package fulmarsnapshot

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarconfigreader"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcrash"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarera"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
)

// Decoder decodes the records that operators and targets write, and names their keys.
type Decoder struct {
	ConfigKey    string
	TargetPrefix string
	// EvacuationPrefix is the prefix of the keys by which operators ask for evacuations; empty if the deployment has none.
	EvacuationPrefix string
	Config           func(value []byte) (fulmarroute.Config, error)
	Target           func(key string, value []byte) (fulmarcatalog.Target, error)
	// Evacuation returns the data centre that an entry asks to evacuate, also with an error about the rest of the entry. It is
	// empty if the key names none.
	Evacuation func(key string, value []byte) (dc string, err error)
}

// Snapshot is the state of the fleet at one read of the store.
type Snapshot struct {
	ReadAt         time.Time // when the read began
	Leader         *Leader   // nil if there is no leader
	LeaderRevision fulmarera.Revision
	Fleet          Fleet
	Crashes        []fulmarcrash.Aged // those that were stored since the reader's last read
	Tables         map[string]fulmarrange.Table
	TablesRevision fulmarera.Revision
	TablesWriter   Writer
	Routes         *fulmarroute.Table // nil if there is no valid configuration
	Catalog        *fulmarcatalog.Catalog
}

// Store is a store whose outages are known.
type Store interface {
	fulmarkv.Store
	// OutageEnd returns when the latest outage ended, in which entries of running targets may have expired; the zero time
	// if there was none.
	OutageEnd() time.Time
}

// Reader reads snapshots; it is not safe for concurrent use.
type Reader struct {
	store   Store
	decoder Decoder
	log     *slog.Logger
	now     func() time.Time

	config            *fulmarconfigreader.Reader
	tablesRevision    fulmarera.Revision
	tablesWriter      Writer
	tables            map[string]fulmarrange.Table
	crashesRevision   fulmarera.Revision
	restored          restoredTargets
	reportedRevisions map[string]fulmarera.Revision // by key: revision of the value that was logged as damaged
	storeFailing      bool
}

// New returns a reader of store, which decodes configurations by config.
func New(store Store, registry Decoder, config *fulmarconfigreader.Reader, log *slog.Logger, now func() time.Time) *Reader {
	return &Reader{
		store: store, decoder: registry, config: config, log: log, now: now,
		reportedRevisions: make(map[string]fulmarera.Revision),
	}
}

// Read returns the current state. former is the previous list of targets, which contained all changes up to formerAsOf.
func (r *Reader) Read(ctx context.Context, former *fulmarcatalog.Catalog, formerAsOf time.Time) (*Snapshot, error) {
	readAt := r.now()
	items, err := r.store.Scan(ctx, "")
	if err != nil {
		if !r.storeFailing {
			r.log.Warn("read of the store failed", "error", err)
		}
		r.storeFailing = true
		return nil, errors.Wrap(err, "fulmarsnapshot: read store")
	}
	if r.storeFailing {
		r.log.Info("store can be read again")
		r.storeFailing = false
	}
	s := &Snapshot{ReadAt: readAt, Tables: map[string]fulmarrange.Table{}}
	var found fulmarcatalog.Entries
	hasTables := false
	for _, item := range items {
		switch {
		case item.Key == LeaderKey:
			l, err := DecodeLeader(item.Value)
			if err != nil {
				r.reportDamaged(item, err)
				continue
			}
			s.Leader, s.LeaderRevision = &l, item.Revision
		case item.Key == FleetKey:
			if s.Fleet, err = decodeFleet(item.Value); err != nil {
				r.reportDamaged(item, err)
			}
		case item.Key == CrashesKey && item.Revision != r.crashesRevision:
			if s.Crashes, err = decodeCrashes(item.Value); err != nil {
				r.reportDamaged(item, err)
			}
			r.crashesRevision = item.Revision
		case item.Key == TablesKey:
			hasTables = true
			if err := r.readTables(item); err != nil {
				return nil, err
			}
		case item.Key == r.decoder.ConfigKey:
			r.config.Decode(item)
		case strings.HasPrefix(item.Key, r.decoder.TargetPrefix):
			r.addTarget(item, &found)
		case r.decoder.EvacuationPrefix != "" && strings.HasPrefix(item.Key, r.decoder.EvacuationPrefix):
			r.addEvacuation(item, &found)
		}
	}
	s.Routes = r.config.Newest()
	if !hasTables {
		r.forgetTables()
	}
	if r.tables != nil {
		s.Tables, s.TablesRevision, s.TablesWriter = r.tables, r.tablesRevision, r.tablesWriter
	}
	s.Catalog = r.readCatalog(readAt, eraOf(items), found, former, formerAsOf)
	return s, nil
}

// Leader returns the leader, or nil if there is none. The result may be some seconds old.
func (r *Reader) Leader(ctx context.Context) (*Leader, error) {
	item, ok, err := r.store.ReadStale(ctx, LeaderKey)
	if err != nil || !ok {
		return nil, errors.Wrap(err, "fulmarsnapshot: read leader record")
	}
	l, err := DecodeLeader(item.Value)
	if err != nil {
		return nil, err
	}
	return &l, nil
}

// Fleet returns what leaders know about the daemons, the zero value if that is not stored. The result may be some seconds
// old.
func (r *Reader) Fleet(ctx context.Context) (Fleet, error) {
	item, ok, err := r.store.ReadStale(ctx, FleetKey)
	if err != nil || !ok {
		return Fleet{}, errors.Wrap(err, "fulmarsnapshot: read fleet record")
	}
	return decodeFleet(item.Value)
}

// readTables decodes the tables if they have changed. An error fails the whole read, as no keys may be granted without
// the tables.
func (r *Reader) readTables(item fulmarkv.Item) error {
	if item.Revision == r.tablesRevision {
		return nil
	}
	tables, writer, err := decodeTables(item.Value)
	if err != nil {
		r.reportDamaged(item, err)
		return err
	}
	r.tables, r.tablesRevision, r.tablesWriter = tables, item.Revision, writer
	return nil
}

// addTarget records the target that an entry describes.
func (r *Reader) addTarget(item fulmarkv.Item, found *fulmarcatalog.Entries) {
	t, err := r.decoder.Target(item.Key, item.Value)
	if err != nil {
		r.reportDamaged(item, err)
		return
	}
	found.Targets = append(found.Targets, t)
}

// addEvacuation records the evacuation for which an entry asks. An entry whose value is damaged asks for it as well: to keep
// requests away from targets that take them is the smaller error.
func (r *Reader) addEvacuation(item fulmarkv.Item, found *fulmarcatalog.Entries) {
	dc, err := r.decoder.Evacuation(item.Key, item.Value)
	if err != nil {
		r.reportDamaged(item, err)
	}
	if dc == "" {
		return
	}
	if found.Evacuated == nil {
		found.Evacuated = make(map[string]bool, 1)
	}
	found.Evacuated[dc] = true
}

// reportDamaged logs a value that cannot be decoded, once per revision.
func (r *Reader) reportDamaged(item fulmarkv.Item, err error) {
	if r.reportedRevisions[item.Key] == item.Revision {
		return
	}
	r.reportedRevisions[item.Key] = item.Revision
	r.log.Warn("stored value is invalid", "key", item.Key, "revision", item.Revision, "error", err)
}

// Spans returns the routing by service that follows from the tables alone. It assumes that an owner holds its keys if
// the table lists no prior owners of them.
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
