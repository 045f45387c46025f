package fulmarconfigreader

import (
	"context"
	"log/slog"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarera"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
)

// Store is the part of a key-value service that a Reader needs.
type Store interface {
	Scan(ctx context.Context, prefix string) ([]fulmarkv.Item, error)
}

// Reader decodes the configuration and keeps its newest version; it is safe for concurrent use.
type Reader struct {
	store  Store
	key    string
	decode func(value []byte) (fulmarroute.Config, error)
	log    *slog.Logger

	mu       sync.Mutex
	revision fulmarera.Revision // of the value that was decoded last, valid or not
	routes   *fulmarroute.Table
	size     int // of the stored value, in bytes
}

// New returns a reader of the configuration that is stored under key.
func New(store Store, key string, decode func(value []byte) (fulmarroute.Config, error), log *slog.Logger) *Reader {
	return &Reader{store: store, key: key, decode: decode, log: log}
}

// Read reads the key and returns the newest valid configuration, nil if there has been none. Errors are those of the store.
func (r *Reader) Read(ctx context.Context) (*fulmarroute.Table, error) {
	items, err := r.store.Scan(ctx, r.key) // a linearizable read
	if err != nil {
		return nil, errors.Wrap(err, "fulmarconfigreader: read configuration")
	}
	if i := slices.IndexFunc(items, func(i fulmarkv.Item) bool { return i.Key == r.key }); i >= 0 {
		return r.Decode(items[i]), nil
	}
	return r.Newest(), nil
}

// Decode decodes an item that was read from the store and returns the newest valid configuration, nil if there has been none.
// An invalid value, and a version that is older than a former one, leave that in force.
func (r *Reader) Decode(item fulmarkv.Item) *fulmarroute.Table {
	r.mu.Lock()
	defer r.mu.Unlock()
	if item.Revision == r.revision {
		return r.routes
	}
	concurrent := item.Revision < r.revision // a read that began earlier has ended later
	r.revision, r.size = item.Revision, len(item.Value)
	config, err := r.decode(item.Value)
	var routes *fulmarroute.Table
	if err == nil {
		routes, err = fulmarroute.New(config)
	}
	switch {
	case err != nil:
		r.log.Warn("stored value is invalid", "key", item.Key, "revision", item.Revision, "error", err)
	case r.routes != nil && routes.Version() < r.routes.Version():
		if !concurrent {
			r.log.Warn("stored configuration is older than the one in force", "version", config.Version, "newest", r.routes.Version())
		}
	default:
		r.routes = routes
		r.log.Info("configuration in force", "version", config.Version, "routes", len(config.Routes), "source", "store")
		if names := routes.UnknownKinds(); len(names) > 0 {
			r.log.Warn("routes of an unknown kind are served at most once", "version", config.Version, "routes", names)
		}
	}
	return r.routes
}

// Newest returns the newest valid configuration that was read, nil if there has been none.
func (r *Reader) Newest() *fulmarroute.Table {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.routes
}

// Size returns the size in bytes of the value that was read last, 0 before the first one.
func (r *Reader) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.size
}
