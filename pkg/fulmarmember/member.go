package fulmarmember

import (
	"cmp"
	"slices"
	"time"
)

// State is the state of a peer as seen by a Detector.
type State string

// The states of a peer.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Down    State = "down"
)

// Peer describes a peer, as reported in its heartbeats.
type Peer struct {
	ID          string
	Incarnation uint64
	Control     string // address for control calls
	Data        string // address for requests
	DataCentre  string
	Leaving     bool
}

// record holds a peer and the time of its last heartbeat, zero if there was none.
type record struct {
	Peer
	lastHeartbeat time.Time
}

// Detector is a failure detector based on the heartbeats of peers. It is not safe
// for concurrent use.
type Detector struct {
	timeout time.Duration
	records []record // ascending by id
}

// New returns a detector that reports a peer as down after timeout without a heartbeat.
func New(timeout time.Duration) *Detector { return &Detector{timeout: timeout} }

func (d *Detector) find(id string) (int, bool) {
	return slices.BinarySearchFunc(d.records, id, func(r record, id string) int { return cmp.Compare(r.ID, id) })
}

// Add adds a peer without a heartbeat, which is therefore down, so that it is
// contacted. A record with a heartbeat is replaced only by a newer incarnation, one
// without also by the same incarnation.
func (d *Detector) Add(p Peer) {
	i, ok := d.find(p.ID)
	switch {
	case !ok:
		d.records = slices.Insert(d.records, i, record{Peer: p})
	case p.Incarnation > d.records[i].Incarnation, d.records[i].lastHeartbeat.IsZero() && p.Incarnation == d.records[i].Incarnation:
		d.records[i] = record{Peer: p}
	}
}

// Observe records a heartbeat. It returns false for a heartbeat of an older
// incarnation, which it ignores.
func (d *Detector) Observe(now time.Time, p Peer) bool {
	i, ok := d.find(p.ID)
	if !ok {
		d.records = slices.Insert(d.records, i, record{Peer: p, lastHeartbeat: now})
		return true
	}
	r := &d.records[i]
	if p.Incarnation < r.Incarnation {
		return false
	}
	if p.Incarnation == r.Incarnation && now.Before(r.lastHeartbeat) {
		now = r.lastHeartbeat
	}
	*r = record{Peer: p, lastHeartbeat: now}
	return true
}

// Remove removes the peer with the given id, if there is one.
func (d *Detector) Remove(id string) {
	if i, ok := d.find(id); ok {
		d.records = slices.Delete(d.records, i, i+1)
	}
}

// State returns the state of a peer; an unknown peer is Down.
func (d *Detector) State(now time.Time, id string) State {
	if i, ok := d.find(id); ok {
		return d.stateOf(now, &d.records[i])
	}
	return Down
}

func (d *Detector) stateOf(now time.Time, r *record) State {
	switch {
	case r.lastHeartbeat.IsZero() || now.Sub(r.lastHeartbeat) >= d.timeout:
		return Down
	case r.Leaving:
		return Leaving
	}
	return Live
}

// Peers appends all peers to dst in order of id.
func (d *Detector) Peers(dst []Peer) []Peer {
	for i := range d.records {
		dst = append(dst, d.records[i].Peer)
	}
	return dst
}

// Live appends the peers in state Live to dst in order of id.
func (d *Detector) Live(dst []Peer, now time.Time) []Peer {
	for i := range d.records {
		if d.stateOf(now, &d.records[i]) == Live {
			dst = append(dst, d.records[i].Peer)
		}
	}
	return dst
}
