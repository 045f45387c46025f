package fulmarmember

import (
	"cmp"
	"slices"
	"time"
)

// State is what is known about a peer.
type State string

// States of a peer.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Down    State = "down"
)

// Peer is what a peer says of itself in a heartbeat.
type Peer struct {
	ID          string
	Incarnation uint64
	Control     string
	Data        string
	DataCentre  string
	Leaving     bool
}

// record is a peer with the time of its last heartbeat, zero if it was not heard.
type record struct {
	Peer
	heard time.Time
}

// View is a failure detector over peers' heartbeats; it is not safe for concurrent use.
type Detector struct {
	timeout time.Duration
	records []record // ascending by id
}

// New returns a view that takes a peer as down after timeout without a heartbeat.
func New(timeout time.Duration) *Detector { return &Detector{timeout: timeout} }

func (v *Detector) find(id string) (int, bool) {
	return slices.BinarySearchFunc(v.records, id, func(r record, id string) int { return cmp.Compare(r.ID, id) })
}

// Learn adds a peer that has not been heard yet, as down, so that it is contacted.
// The address of a peer that was heard is replaced only by a newer incarnation.
func (v *Detector) Add(p Peer) {
	i, ok := v.find(p.ID)
	switch {
	case !ok:
		v.records = slices.Insert(v.records, i, record{Peer: p})
	case p.Incarnation > v.records[i].Incarnation, v.records[i].heard.IsZero() && p.Incarnation == v.records[i].Incarnation:
		v.records[i] = record{Peer: p}
	}
}

// Observe records a heartbeat; one from an older incarnation is ignored and reported as false.
func (v *Detector) Observe(now time.Time, p Peer) bool {
	i, ok := v.find(p.ID)
	if !ok {
		v.records = slices.Insert(v.records, i, record{Peer: p, heard: now})
		return true
	}
	r := &v.records[i]
	if p.Incarnation < r.Incarnation {
		return false
	}
	if p.Incarnation == r.Incarnation && now.Before(r.heard) {
		now = r.heard
	}
	*r = record{Peer: p, heard: now}
	return true
}

// Forget removes a peer.
func (v *Detector) Remove(id string) {
	if i, ok := v.find(id); ok {
		v.records = slices.Delete(v.records, i, i+1)
	}
}

// State returns the state of a peer; an unknown peer is Down.
func (v *Detector) State(now time.Time, id string) State {
	if i, ok := v.find(id); ok {
		return v.state(now, &v.records[i])
	}
	return Down
}

func (v *Detector) state(now time.Time, r *record) State {
	switch {
	case r.heard.IsZero() || now.Sub(r.heard) >= v.timeout:
		return Down
	case r.Leaving:
		return Leaving
	}
	return Live
}

// Peers appends all known peers to dst in order of id.
func (v *Detector) Peers(dst []Peer) []Peer {
	for i := range v.records {
		dst = append(dst, v.records[i].Peer)
	}
	return dst
}

// Live appends the peers in state Live to dst in order of id.
func (v *Detector) Live(dst []Peer, now time.Time) []Peer {
	for i := range v.records {
		if v.state(now, &v.records[i]) == Live {
			dst = append(dst, v.records[i].Peer)
		}
	}
	return dst
}
