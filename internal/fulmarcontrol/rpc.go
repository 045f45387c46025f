package fulmarcontrol

import (
	"context"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarwire"
	"github.com/fulmarbend/fulmarbend/pkg/fulmardedup"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarmember"
)

// PeerHandler handles the calls of peers; it implements fulmarpeer.Handler.
type PeerHandler struct {
	*Controller
	baseCtx context.Context // of the loops that a call starts
}

// PeerHandler returns a handler for the calls of peers. Loops that a call starts end
// when baseCtx is done.
func (c *Controller) PeerHandler(baseCtx context.Context) *PeerHandler {
	return &PeerHandler{Controller: c, baseCtx: baseCtx}
}

// Heartbeat records the status of a peer and returns the status of this daemon.
func (h *PeerHandler) Heartbeat(_ context.Context, s *fulmarwire.Status) (*fulmarwire.Status, error) {
	h.recordStatus(s, time.Time{})
	return h.status(s.ID), nil
}

// Pull adds the calling peer and returns the live members, and the table and
// configuration if they are newer than those of the peer.
func (h *PeerHandler) Pull(_ context.Context, w *fulmarwire.PullRequest) (*fulmarwire.Update, error) {
	c := h.Controller
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addPeer(h.baseCtx, toSlotMember(w.From))
	bundle := &fulmarwire.Update{Members: []fulmarwire.Member{toWireMember(c.Self)}}
	for _, p := range c.detector.Live(nil, time.Now()) {
		bundle.Members = append(bundle.Members, fulmarwire.Member{
			ID: p.ID, Incarnation: p.Incarnation, ControlAddress: p.Control, DataAddress: p.Data, DataCentre: p.DataCentre,
		})
	}
	if c.table.Epoch() > w.Epoch {
		bundle.Table = c.encodedTable
	}
	if c.versionedConfig.Version > w.ConfigVersion {
		bundle.Config = c.encodedConfig
	}
	return bundle, nil
}

// Push applies a table or configuration and returns the resulting status.
func (h *PeerHandler) Push(_ context.Context, b *fulmarwire.Update) (*fulmarwire.Status, error) {
	if err := h.applyBundle(h.baseCtx, b); err != nil {
		return nil, err
	}
	from := ""
	if len(b.Members) > 0 {
		from = b.Members[0].ID
	}
	return h.status(from), nil
}

// Transfer stores the deduplication records of slots until their move to the target ends.
func (h *PeerHandler) Transfer(_ context.Context, t *fulmarwire.Transfer) (*fulmarwire.Reply, error) {
	c := h.Controller
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.grantManagers[t.Target]
	if !ok || !m.holdsTarget {
		return &fulmarwire.Reply{Reason: "not the dispatcher"}, nil
	}
	slots := c.pendingImports[t.Target]
	if slots == nil {
		slots = make(map[int]pendingImport)
		c.pendingImports[t.Target] = slots
	}
	for slot, since := range t.Since {
		slots[slot] = pendingImport{moveEpoch: since, snapshot: snapshotOf(t.Snapshot, slot)}
	}
	c.dropStaleImports()
	return &fulmarwire.Reply{Accepted: true}, nil
}

// snapshotOf returns the part of a snapshot for one slot.
func snapshotOf(s fulmardedup.Snapshot, slot int) fulmardedup.Snapshot {
	part := fulmardedup.Snapshot{Horizons: make(map[int]time.Time)}
	if horizon, ok := s.Horizons[slot]; ok {
		part.Horizons[slot] = horizon
	}
	for _, r := range s.Records {
		if r.Slot == slot {
			part.Records = append(part.Records, r)
		}
	}
	return part
}

// Handover takes a target over from its current dispatcher, which offers it.
func (h *PeerHandler) Handover(ctx context.Context, o *fulmarwire.Handover) (*fulmarwire.Reply, error) {
	c := h.Controller
	c.mu.Lock()
	m, ok := c.grantManagers[o.Target]
	leaving := c.leaving
	c.mu.Unlock()
	if !ok || leaving {
		return &fulmarwire.Reply{Reason: "not available"}, nil
	}
	reason := m.offerHandover(ctx, o)
	return &fulmarwire.Reply{Accepted: reason == "", Reason: reason}, nil
}

// liveMembers returns the live daemons that are not leaving, including this one; mu must
// be held.
func (c *Controller) liveMembers(now time.Time) []fulmarmember.Peer {
	live := c.detector.Live(nil, now)
	if !c.leaving {
		live = append(live, fulmarmember.Peer{
			ID: c.Self.ID, Incarnation: c.Self.Incarnation, Control: c.Self.ControlAddress,
			Data: c.Self.DataAddress, DataCentre: c.Self.DataCentre,
		})
	}
	return live
}
