package fulmarmember

import "time"

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

// View is a failure detector over peers' heartbeats; it is not safe for concurrent use.
type View struct{}

// New returns a view that takes a peer as down after timeout without a heartbeat.
func New(timeout time.Duration) *View { panic("fulmarmember: not implemented") }

// Learn adds a peer that has not been heard yet, as down, so that it is contacted.
func (v *View) Learn(p Peer) { panic("fulmarmember: not implemented") }

// Observe records a heartbeat; one from an older incarnation is ignored and reported as false.
func (v *View) Observe(now time.Time, p Peer) bool { panic("fulmarmember: not implemented") }

// Forget removes a peer.
func (v *View) Forget(id string) { panic("fulmarmember: not implemented") }

// State returns the state of a peer; an unknown peer is Down.
func (v *View) State(now time.Time, id string) State { panic("fulmarmember: not implemented") }

// Peers appends all known peers to dst in order of id.
func (v *View) Peers(dst []Peer) []Peer { panic("fulmarmember: not implemented") }

// Live appends the peers in state Live to dst in order of id.
func (v *View) Live(dst []Peer, now time.Time) []Peer { panic("fulmarmember: not implemented") }
