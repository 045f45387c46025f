package fulmarwire

import (
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmardedup"
)

// TargetLoss reports a target that its dispatcher can't reach, so that it no longer renews the target's grant.
// Suspects are the fingerprints of the requests that were in flight at the target.
type TargetLoss struct {
	Target   string   `cbor:"target"`
	Suspects []uint64 `cbor:"suspects,omitempty"`
}

// SlotRelease reports slots for which a target no longer holds a valid grant.
type SlotRelease struct {
	Target  string `cbor:"target"`
	Service string `cbor:"service"`
	Slots   []int  `cbor:"slots"`
	Epoch   uint64 `cbor:"epoch"`
}

// SlotLoad is the processing time that a target spent on a slot, or on one hot key of the slot.
type SlotLoad struct {
	Service string        `cbor:"service"`
	Slot    int           `cbor:"slot"`
	Hash    uint64        `cbor:"hash,omitempty"`
	Used    time.Duration `cbor:"used"`
}

// Status is a heartbeat and the answer to one. GrantRemaining and GrantSentTargets
// make it an acknowledgement of the table of its epoch. The fields from Losses on
// are sent only to the planner.
type Status struct {
	ID            string   `cbor:"id"`
	Incarnation   uint64   `cbor:"incarnation"`
	Leaving       bool     `cbor:"leaving,omitempty"`
	IsPlanner     bool     `cbor:"planner,omitempty"`
	Epoch         uint64   `cbor:"epoch"`
	ConfigVersion uint64   `cbor:"config"`
	HeldTargets   []string `cbor:"held,omitempty"`

	GrantRemaining     map[string]time.Duration `cbor:"lapses,omitempty"` // by target: longest remaining validity of a grant for moving slots
	GrantSentTargets   []string                 `cbor:"sent,omitempty"`   // targets with moving slots to which a grant was sent recently
	Losses             []TargetLoss             `cbor:"losses,omitempty"`
	Releases           []SlotRelease            `cbor:"releases,omitempty"`
	Loads              []SlotLoad               `cbor:"loads,omitempty"`
	ConfirmedLost      []string                 `cbor:"confirm,omitempty"`
	LiftedFingerprints []uint64                 `cbor:"lift,omitempty"`
}

// Member holds the identity and the addresses of a daemon.
type Member struct {
	ID             string `cbor:"id"`
	Incarnation    uint64 `cbor:"incarnation"`
	ControlAddress string `cbor:"control"`
	DataAddress    string `cbor:"data"`
	DataCentre     string `cbor:"dc"`
}

// PullRequest asks for a table and a configuration newer than the sender's versions.
type PullRequest struct {
	From          Member `cbor:"from"`
	Epoch         uint64 `cbor:"epoch"`
	ConfigVersion uint64 `cbor:"config"`
}

// Update carries an encoded table and configuration, each empty if it is not newer, and the known members.
type Update struct {
	Table   []byte   `cbor:"table,omitempty"`
	Config  []byte   `cbor:"config,omitempty"`
	Members []Member `cbor:"members,omitempty"`
}

// Transfer sends the deduplication memory of moving slots to the next dispatcher.
type Transfer struct {
	Target   string               `cbor:"target"`
	Since    map[int]uint64       `cbor:"since"` // by slot: epoch in which its move started
	Snapshot fulmardedup.Snapshot `cbor:"snapshot"`
}

// Handover offers a target, with its deduplication memory, to another dispatcher.
type Handover struct {
	Target   string               `cbor:"target"`
	Term     uint64               `cbor:"term"`
	Epoch    uint64               `cbor:"epoch"`
	Snapshot fulmardedup.Snapshot `cbor:"snapshot"`
}

// Reply reports whether a transfer or handover was accepted.
type Reply struct {
	Accepted bool   `cbor:"accepted"`
	Reason   string `cbor:"reason,omitempty"`
}
