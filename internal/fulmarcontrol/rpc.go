package fulmarcontrol

import (
	"context"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarwire"
	"github.com/fulmarbend/fulmarbend/pkg/fulmardedup"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarmember"
)

// Calls answers the calls of peers; base bounds the loops that a call starts.
type PeerHandler struct {
	*Controller
	base context.Context
}

// Calls returns the handler of peers' calls. Loops that a call starts end with base.
func (c *Controller) PeerHandler(base context.Context) *PeerHandler {
	return &PeerHandler{Controller: c, base: base}
}

// Heartbeat takes in a peer's status and answers with the own one.
func (h *PeerHandler) Heartbeat(_ context.Context, s *fulmarwire.Status) (*fulmarwire.Status, error) {
	h.observe(s, time.Time{})
	return h.status(s.ID), nil
}

// Pull returns what is newer than the peer's versions.
func (h *PeerHandler) Pull(_ context.Context, w *fulmarwire.Want) (*fulmarwire.Bundle, error) {
	c := h.Controller
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learnPeer(h.base, slotMember(w.From))
	bundle := &fulmarwire.Bundle{Members: []fulmarwire.Member{wireMember(c.Self)}}
	for _, p := range c.view.Live(nil, time.Now()) {
		bundle.Members = append(bundle.Members, fulmarwire.Member{
			ID: p.ID, Incarnation: p.Incarnation, Control: p.Control, Data: p.Data, DC: p.DataCentre,
		})
	}
	if c.table.Epoch() > w.Epoch {
		bundle.Table = c.tableRaw
	}
	if c.versioned.Version > w.Config {
		bundle.Config = c.configRaw
	}
	return bundle, nil
}

// Push adopts a table or configuration and answers with the status after it.
func (h *PeerHandler) Push(_ context.Context, b *fulmarwire.Bundle) (*fulmarwire.Status, error) {
	if err := h.adopt(h.base, b); err != nil {
		return nil, err
	}
	from := ""
	if len(b.Members) > 0 {
		from = b.Members[0].ID
	}
	return h.status(from), nil
}

// Transfer keeps request memory until the slots' move ends at the target.
func (h *PeerHandler) Transfer(_ context.Context, t *fulmarwire.Transfer) (*fulmarwire.Reply, error) {
	c := h.Controller
	c.mu.Lock()
	defer c.mu.Unlock()
	k, ok := c.keepers[t.Target]
	if !ok || !k.holding {
		return &fulmarwire.Reply{Reason: "not the dispatcher"}, nil
	}
	slots := c.imports[t.Target]
	if slots == nil {
		slots = make(map[int]pendingImport)
		c.imports[t.Target] = slots
	}
	for slot, since := range t.Since {
		slots[slot] = pendingImport{since: since, snapshot: snapshotOf(t.Snapshot, slot)}
	}
	c.dropImports()
	return &fulmarwire.Reply{Accepted: true}, nil
}

// snapshotOf returns the part of a snapshot that concerns one slot.
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

// Handover takes over a target from a dispatcher that gives it up.
func (h *PeerHandler) Handover(ctx context.Context, o *fulmarwire.Handover) (*fulmarwire.Reply, error) {
	c := h.Controller
	c.mu.Lock()
	k, ok := c.keepers[o.Target]
	leaving := c.leaving
	c.mu.Unlock()
	if !ok || leaving {
		return &fulmarwire.Reply{Reason: "not available"}, nil
	}
	reason := k.accept(ctx, o)
	return &fulmarwire.Reply{Accepted: reason == "", Reason: reason}, nil
}

// liveMembers returns the live daemons that are not leaving, self included; mu must be held.
func (c *Controller) liveMembers(now time.Time) []fulmarmember.Peer {
	live := c.view.Live(nil, now)
	if !c.leaving {
		live = append(live, fulmarmember.Peer{
			ID: c.Self.ID, Incarnation: c.Self.Incarnation, Control: c.Self.ControlAddress,
			Data: c.Self.DataAddress, DataCentre: c.Self.DataCentre,
		})
	}
	return live
}
