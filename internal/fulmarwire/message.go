package fulmarwire

import (
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmardedup"
)

// Loss reports a target that its dispatcher can't reach and no longer renews.
type TargetLoss struct {
	Target   string   `cbor:"target"`
	Suspects []uint64 `cbor:"suspects,omitempty"`
}

// Release reports slots that are no longer in force at a target.
type SlotRelease struct {
	Target  string `cbor:"target"`
	Service string `cbor:"service"`
	Slots   []int  `cbor:"slots"`
	Epoch   uint64 `cbor:"epoch"`
}

// Load is the server time used by a slot, or by one hot key of it.
type SlotLoad struct {
	Service string        `cbor:"service"`
	Slot    int           `cbor:"slot"`
	Hash    uint64        `cbor:"hash,omitempty"`
	Used    time.Duration `cbor:"used"`
}

// Status is a heartbeat and its answer. With Lapses and Sent it acknowledges
// the table of its epoch. The fields from Losses on are sent only to the planner.
type Status struct {
	ID            string   `cbor:"id"`
	Incarnation   uint64   `cbor:"incarnation"`
	Leaving       bool     `cbor:"leaving,omitempty"`
	IsPlanner     bool     `cbor:"planner,omitempty"`
	Epoch         uint64   `cbor:"epoch"`
	ConfigVersion uint64   `cbor:"config"`
	HeldTargets   []string `cbor:"held,omitempty"`

	GrantRemaining     map[string]time.Duration `cbor:"lapses,omitempty"` // longest remaining life of a grant for slots that move, by target
	GrantSentTargets   []string                 `cbor:"sent,omitempty"`   // targets with slots that move to which a grant was sent lately
	Losses             []TargetLoss             `cbor:"losses,omitempty"`
	Releases           []SlotRelease            `cbor:"releases,omitempty"`
	Loads              []SlotLoad               `cbor:"loads,omitempty"`
	ConfirmedLost      []string                 `cbor:"confirm,omitempty"`
	LiftedFingerprints []uint64                 `cbor:"lift,omitempty"`
}

// Member says how to reach a daemon.
type Member struct {
	ID             string `cbor:"id"`
	Incarnation    uint64 `cbor:"incarnation"`
	ControlAddress string `cbor:"control"`
	DataAddress    string `cbor:"data"`
	DataCentre     string `cbor:"dc"`
}

// Want asks for everything newer than the asker's versions.
type PullRequest struct {
	From          Member `cbor:"from"`
	Epoch         uint64 `cbor:"epoch"`
	ConfigVersion uint64 `cbor:"config"`
}

// Bundle carries a table and a configuration, each empty if not newer.
type Update struct {
	Table   []byte   `cbor:"table,omitempty"`
	Config  []byte   `cbor:"config,omitempty"`
	Members []Member `cbor:"members,omitempty"`
}

// Transfer hands request memory of slots that move to the next dispatcher.
type Transfer struct {
	Target   string               `cbor:"target"`
	Since    map[int]uint64       `cbor:"since"` // epoch in which the move of each slot started
	Snapshot fulmardedup.Snapshot `cbor:"snapshot"`
}

// Handover offers a target with its request memory to another dispatcher.
type Handover struct {
	Target   string               `cbor:"target"`
	Term     uint64               `cbor:"term"`
	Epoch    uint64               `cbor:"epoch"`
	Snapshot fulmardedup.Snapshot `cbor:"snapshot"`
}

// Reply says whether a transfer or handover was accepted.
type Reply struct {
	Accepted bool   `cbor:"accepted"`
	Reason   string `cbor:"reason,omitempty"`
}
