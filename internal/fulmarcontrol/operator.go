package fulmarcontrol

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarstore"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarconfig"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarmember"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

// MemberStatus describes a daemon as seen by another one.
type MemberStatus struct {
	fulmarmember.Peer
	State         fulmarmember.State
	Epoch         uint64
	ConfigVersion uint64
}

// Overview is the state of a daemon and its view of the fleet.
type Overview struct {
	Self          fulmarslot.Member
	Epoch         uint64
	ConfigVersion uint64
	StoreErr      error          // error of the last call to the key-value service
	HasLease      bool           // whether the quorum lease is held
	Planner       string         // id of the planner, empty if unknown
	HeldTargets   []string       // targets that this daemon dispatches
	Members       []MemberStatus // including this daemon, in order of id
	DownMembers   []string       // members of the roster that are down
}

// Overview returns the current overview.
func (c *Controller) Overview() Overview {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	o := Overview{
		Self: c.Self, Epoch: c.table.Epoch(), ConfigVersion: c.versionedConfig.Version,
		StoreErr: c.storeErr, HasLease: c.updateLease(now), HeldTargets: c.statusLocked("").HeldTargets,
	}
	if now.Before(c.plannerLeaseExpiry) {
		o.Planner = c.Self.ID
	}
	state := fulmarmember.Live
	if c.leaving {
		state = fulmarmember.Leaving
	}
	self := fulmarmember.Peer{
		ID: c.Self.ID, Incarnation: c.Self.Incarnation, Control: c.Self.ControlAddress, Data: c.Self.DataAddress,
		DataCentre: c.Self.DataCentre, Leaving: c.leaving,
	}
	o.Members = append(o.Members, MemberStatus{Peer: self, State: state, Epoch: o.Epoch, ConfigVersion: o.ConfigVersion})
	for _, id := range slices.Sorted(maps.Keys(c.peers)) {
		p := c.peers[id]
		state := c.detector.State(now, id)
		o.Members = append(o.Members, MemberStatus{Peer: p.Peer, State: state, Epoch: p.status.Epoch, ConfigVersion: p.status.ConfigVersion})
		if state != fulmarmember.Down && p.status.IsPlanner {
			o.Planner = id
		}
	}
	slices.SortFunc(o.Members, func(a, b MemberStatus) int { return strings.Compare(a.ID, b.ID) })
	for _, m := range c.table.Roster() {
		if m.ID != c.Self.ID && c.detector.State(now, m.ID) == fulmarmember.Down {
			o.DownMembers = append(o.DownMembers, m.ID)
		}
	}
	return o
}

// ConflictError reports that the stored configuration is not the one that a put was
// based on.
type ConflictError struct{ Current fulmarconfig.Versioned }

// Error returns a message with the stored version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("fulmarcontrol: conflict with stored configuration version %d", e.Current.Version)
}

// ReadConfig returns the stored configuration by a consistent read, or the zero value
// if none is stored.
func (c *Controller) ReadConfig(ctx context.Context) (fulmarconfig.Versioned, error) {
	v, _, err := c.readConfig(ctx)
	return v, err
}

// readConfig is like ReadConfig and also returns the index of the stored value.
func (c *Controller) readConfig(ctx context.Context) (fulmarconfig.Versioned, uint64, error) {
	value, err := c.Store.Get(ctx, keyConfig)
	c.recordStoreResult(err)
	if errors.Is(err, fulmarstore.ErrNotFound) {
		return fulmarconfig.Versioned{}, 0, nil
	}
	if err != nil {
		return fulmarconfig.Versioned{}, 0, err
	}
	v, err := fulmarconfig.DecodeVersioned(value.Data)
	return v, value.Index, err
}

// PutConfig stores v if the stored version is still base, and then applies it. It
// returns a *ConflictError if another version is stored.
func (c *Controller) PutConfig(ctx context.Context, v fulmarconfig.Versioned, base uint64) error {
	stored, index, err := c.readConfig(ctx)
	if err != nil {
		return err
	}
	if stored.Version != base {
		return &ConflictError{Current: stored}
	}
	raw, err := v.Encode()
	if err != nil {
		return err
	}
	err = c.Store.Put(ctx, keyConfig, raw, index)
	c.recordStoreResult(err)
	if errors.Is(err, fulmarstore.ErrConflict) {
		if stored, _, err = c.readConfig(ctx); err == nil {
			err = &ConflictError{Current: stored}
		}
	}
	if err != nil {
		return err
	}
	c.Log.Info("configuration stored", "version", v.Version, "author", v.Author, "operation", v.OperationID)
	return c.applyConfig(raw)
}
