package fulmarsnapshot_test

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarconfigreader"
	"github.com/fulmarbend/fulmarbend/internal/fulmarkvmonitor"
	"github.com/fulmarbend/fulmarbend/internal/fulmarmemory"
	"github.com/fulmarbend/fulmarbend/internal/fulmarsnapshot"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
)

// decoder decodes targets that are stored as their state, and configurations that are stored as one digit.
var decoder = fulmarsnapshot.Decoder{
	ConfigKey: "config", TargetPrefix: "targets/",
	Config: func(value []byte) (fulmarroute.Config, error) {
		return fulmarroute.Config{Version: uint64(value[0] - '0')}, nil
	},
	Target: func(key string, value []byte) (fulmarcatalog.Target, error) {
		return fulmarcatalog.Target{ID: key, Born: 1, Service: "board", Leaving: string(value) == "leaving"}, nil
	},
}

// reading is a daemon that reads a store which can be restored.
type reading struct {
	*WithT
	*testing.T
	store  *fulmarmemory.Store
	reader *fulmarsnapshot.Reader
	last   *fulmarsnapshot.Snapshot
}

func (r *reading) read() *fulmarsnapshot.Snapshot {
	r.Helper()
	s, err := r.reader.Read(r.Context(), r.last.Catalog, r.last.ReadAt)
	r.Expect(err).NotTo(HaveOccurred())
	r.last = s
	return s
}

// state returns "ready", "leaving" or "" for a target.
func (r *reading) state(id string) string {
	t, ok := r.read().Catalog.Target("targets/" + id)
	switch {
	case !ok:
		return ""
	case t.Leaving:
		return "leaving"
	}
	return "ready"
}

// Guards against a restored store that undoes what targets and operators have said: a target that leaves, or has left, got requests
// again, running ones were dropped, and an older configuration came into force.
func TestRestoredTargets(t *testing.T) {
	restored := func(t *testing.T, before, after func(store *fulmarmemory.Store), expect func(r *reading)) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			store, log := fulmarmemory.New(time.Now), slog.New(slog.DiscardHandler)
			store.SetEra(2)
			store.Set("config", []byte("1"))
			store.Set("targets/old", []byte("ready"))
			monitored := fulmarkvmonitor.New(store, time.Now)
			r := &reading{
				WithT: NewWithT(t), T: t, store: store, last: &fulmarsnapshot.Snapshot{},
				reader: fulmarsnapshot.New(monitored, decoder, fulmarconfigreader.New(monitored, "config", decoder.Config, log), log, time.Now),
			}
			r.read()
			copied := store.Copy()
			time.Sleep(time.Second)
			before(store)
			r.read()
			time.Sleep(time.Second)
			store.Restore(copied)
			after(store)
			expect(r)
		})
	}
	nothing := func(*fulmarmemory.Store) {}
	t.Run("a target that leaves", func(t *testing.T) {
		restored(t, func(s *fulmarmemory.Store) { s.Set("targets/old", []byte("leaving")) }, nothing, func(r *reading) {
			r.Expect(r.state("old")).To(Equal("leaving"))
			time.Sleep(10 * time.Second)
			r.Expect(r.state("old")).To(Equal("leaving"))
		})
	})
	t.Run("a target that was removed", func(t *testing.T) {
		restored(t, func(s *fulmarmemory.Store) { s.Remove("targets/old") }, nothing, func(r *reading) {
			r.Expect(r.state("old")).To(BeEmpty())
			time.Sleep(4 * time.Second)
			r.Expect(r.state("old")).To(BeEmpty())
			time.Sleep(2 * time.Second) // an entry that is still there is that of a running target
			r.Expect(r.state("old")).To(Equal("ready"))
		})
	})
	t.Run("a target that the copy lacks", func(t *testing.T) {
		restored(t, func(s *fulmarmemory.Store) { s.Set("targets/new", []byte("ready")) }, nothing, func(r *reading) {
			r.Expect(r.state("new")).To(Equal("ready"))
			time.Sleep(3 * time.Second)
			r.Expect(r.state("new")).To(BeEmpty())
		})
	})
	t.Run("configuration", func(t *testing.T) {
		restored(t, func(s *fulmarmemory.Store) { s.Set("config", []byte("3")) }, nothing, func(r *reading) {
			r.Expect(r.read().Routes.Version()).To(Equal(uint64(3)))
			r.store.Set("config", []byte("2")) // the revision of version 3 is given out again
			r.Expect(r.read().Routes.Version()).To(Equal(uint64(3)))
			r.store.Set("config", []byte("4"))
			r.Expect(r.read().Routes.Version()).To(Equal(uint64(4)))
		})
	})
	// Guards against contents that are taken for known, as their revision was given out before.
	t.Run("a revision for other contents", func(t *testing.T) {
		tables := func(fence int64) []byte {
			b, err := fulmarsnapshot.EncodeTables(fulmarsnapshot.Writer{Term: 1}, map[string]fulmarrange.Table{"board": fulmarrange.New().WithUsedFences(fence)})
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			return b
		}
		restored(t, func(s *fulmarmemory.Store) { s.Set(fulmarsnapshot.TablesKey, tables(7)) },
			func(s *fulmarmemory.Store) { s.Set(fulmarsnapshot.TablesKey, tables(9)) }, func(r *reading) {
				r.Expect(r.read().Tables["board"].MaxFence()).To(Equal(int64(9)))
			})
		restored(t, func(s *fulmarmemory.Store) { s.Set(fulmarsnapshot.TablesKey, tables(7)) }, nothing, func(r *reading) {
			r.Expect(r.read().Tables).To(BeEmpty())
		})
	})
}
