package fulmarkvmonitor

import (
	"context"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarera"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutage"
)

// Store passes calls on to another store and observes their outcomes; it is safe for concurrent use.
type Store struct {
	store    fulmarkv.Store
	now      func() time.Time
	detector fulmaroutage.Detector
}

var _ fulmarkv.Store = (*Store)(nil)

// New returns a store that passes calls on to s.
func New(s fulmarkv.Store, now func() time.Time) *Store { return &Store{store: s, now: now} }

// OutageEnd returns when the latest outage of the store ended, the zero time if there was none.
func (s *Store) OutageEnd() time.Time { return s.detector.EndedAt() }

// record records the outcome of a call that began at the given time.
func (s *Store) record(began time.Time, err error) {
	if fulmarkv.IsAnswered(err) {
		s.detector.Answered(s.now())
	} else {
		s.detector.Failed(began, s.now())
	}
}

// Scan implements fulmarkv.Store.
func (s *Store) Scan(ctx context.Context, prefix string) ([]fulmarkv.Item, error) {
	began := s.now()
	items, err := s.store.Scan(ctx, prefix)
	s.record(began, err)
	return items, err
}

// ReadStale implements fulmarkv.Store.
func (s *Store) ReadStale(ctx context.Context, key string) (item fulmarkv.Item, ok bool, err error) {
	began := s.now()
	item, ok, err = s.store.ReadStale(ctx, key)
	s.record(began, err)
	return item, ok, err
}

// Commit implements fulmarkv.Store.
func (s *Store) Commit(ctx context.Context, c fulmarkv.Txn) (fulmarera.Revision, error) {
	began := s.now()
	revision, err := s.store.Commit(ctx, c)
	s.record(began, err)
	return revision, err
}

// CreateLease implements fulmarkv.Store.
func (s *Store) CreateLease(ctx context.Context, ttl time.Duration) (fulmarkv.Lease, error) {
	began := s.now()
	lease, err := s.store.CreateLease(ctx, ttl)
	s.record(began, err)
	return lease, err
}

// RenewLease implements fulmarkv.Store.
func (s *Store) RenewLease(ctx context.Context, l fulmarkv.Lease) error {
	began := s.now()
	err := s.store.RenewLease(ctx, l)
	s.record(began, err)
	return err
}

// RevokeLease implements fulmarkv.Store.
func (s *Store) RevokeLease(ctx context.Context, l fulmarkv.Lease) error {
	began := s.now()
	err := s.store.RevokeLease(ctx, l)
	s.record(began, err)
	return err
}
