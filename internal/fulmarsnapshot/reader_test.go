package fulmarsnapshot_test

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarmemory"
	"github.com/fulmarbend/fulmarbend/internal/fulmarsnapshot"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
)

// fixture reads a store whose entries of targets hold addresses.
type fixture struct {
	*WithT
	store   *fulmarmemory.Store
	sizes   sizes
	reader  *fulmarsnapshot.Reader
	decoded int // entries
}

// sizes records the items of each answer.
type sizes struct {
	fulmarkv.Store
	items []int
}

func (s *sizes) Since(ctx context.Context, revision int64) (fulmarkv.Changes, error) {
	c, err := s.Store.Since(ctx, revision)
	s.items = append(s.items, len(c.Items))
	return c, err
}

func start(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{WithT: NewWithT(t), store: fulmarmemory.New(time.Now)}
	f.sizes.Store = f.store
	f.reader = fulmarsnapshot.New(&f.sizes, fulmarsnapshot.Registry{
		ConfigKey: "config", TargetPrefix: "targets/",
		Config: func([]byte) (fulmarroute.Config, error) { return fulmarroute.Config{}, nil },
		Target: func(key string, value []byte) (fulmarcatalog.Target, error) {
			f.decoded++
			return fulmarcatalog.Target{ID: key, Born: 1, Service: "s", Address: string(value)}, nil
		},
	}, slog.New(slog.DiscardHandler), time.Now)
	for i := range 100 {
		f.store.Set(fmt.Sprintf("targets/%d", i), []byte("a"))
	}
	return f
}

func (f *fixture) read(t *testing.T) *fulmarsnapshot.Snapshot {
	t.Helper()
	s, err := f.reader.Read(t.Context(), nil, time.Time{})
	f.Expect(err).NotTo(HaveOccurred())
	return s
}

func TestRead(t *testing.T) {
	// Guards against a leader that reads and decodes everything twice a second: with a configuration of 1,456 routes
	// reads took up to a second, so that all daemons left the leader and read the store as well.
	t.Run("transfers and decodes only what has changed", func(t *testing.T) {
		f := start(t)
		f.read(t)
		f.store.Set("targets/7", []byte("b"))
		s := f.read(t)
		f.read(t)
		f.Expect(f.sizes.items).To(Equal([]int{100, 1, 0}))
		f.Expect(f.decoded).To(Equal(101))
		target, ok := s.Catalog.Target("targets/7")
		f.Expect(ok).To(BeTrue())
		f.Expect(target.Address).To(Equal("b"))
	})

	t.Run("drops what was removed", func(t *testing.T) {
		f := start(t)
		f.read(t)
		f.store.Remove("targets/7")
		f.store.Remove("targets/8")
		f.store.Set("targets/8", []byte("c"))
		s := f.read(t)
		f.Expect(s.Catalog.Len()).To(Equal(99))
		target, ok := s.Catalog.Target("targets/8")
		f.Expect(ok).To(BeTrue())
		f.Expect(target.Address).To(Equal("c"))
	})

	// Guards against a reader that knows less than the store after the store has dropped its history.
	t.Run("reads all again when the history is gone", func(t *testing.T) {
		f := start(t)
		f.read(t)
		f.store.Remove("targets/7")
		f.store.Set("targets/200", []byte("d"))
		f.store.Forget()
		s := f.read(t)
		f.Expect(s.Catalog.Len()).To(Equal(100))
		_, ok := s.Catalog.Target("targets/7")
		f.Expect(ok).To(BeFalse())
	})
}
