package fulmarsync

import (
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
)

// Versions tell which state of a leader a daemon has. They compare only within one term.
type Versions struct {
	Term    int64  `cbor:"term"`
	Config  uint64 `cbor:"config"`
	Targets int64  `cbor:"targets"`
	Owners  int64  `cbor:"owners"`
}

// KeyCount is the number of requests for a key since the last report.
type KeyCount struct {
	Key   int `cbor:"key"`
	Count int `cbor:"count"`
}

// TargetLoad is what a daemon sees of one target.
type TargetLoad struct {
	Target       string        `cbor:"target"`
	Answered     int           `cbor:"count"` // requests answered since the last report
	ResponseTime time.Duration `cbor:"sum"`   // of their times without the wait for others
	// Abandoned requests were given up without an answer since the last report, after Waited in all.
	Abandoned     int           `cbor:"abandoned,omitempty"`
	AbandonedTime time.Duration `cbor:"waited,omitempty"`
}

// Report is what a daemon tells the leader.
type Report struct {
	ID       string  `cbor:"id"`
	Address  string  `cbor:"address,omitempty"` // under which other daemons reach the daemon
	CPUShare float64 `cbor:"power"`             // share of a core that the daemon has
	// Have is what the daemon knows already. One that does not lead tells of the term in it when its grants lapse.
	Versions Versions              `cbor:"have"`
	Keys     map[string][]KeyCount `cbor:"keys,omitempty"` // by service
	Targets  []TargetLoad          `cbor:"targets,omitempty"`
}

// Update is the leader's answer. What the daemon has already is left out.
type Update struct {
	Versions Versions      `cbor:"have"`
	Age      time.Duration `cbor:"age"` // of the read of the store that the leader's state follows from
	Daemons  int           `cbor:"daemons"`
	// Strongest is the largest share of a core that a daemon has which is not the leader.
	MaxCPUShare float64 `cbor:"strongest,omitempty"`
	// Past tells of the last term of a daemon that does not lead any more; all else is empty then.
	EndedTerm *EndedTerm `cbor:"past,omitempty"`
	// Contacts are addresses of some daemons besides the leader.
	Contacts       []string                    `cbor:"contacts,omitempty"`
	Config         PackedConfig                `cbor:"config,omitempty"`
	Targets        []fulmarcatalog.Target      `cbor:"targets,omitempty"` // that are new or have changed
	RemovedTargets []string                    `cbor:"gone,omitempty"`    // ids of targets that are no longer there
	Owners         map[string]fulmarview.Spans `cbor:"owners,omitempty"`  // keys that are routed differently, by service
	// All says that targets and owners are complete; what the daemon had before is void.
	Complete bool `cbor:"all,omitempty"`
}

// Past is a term that has ended.
type EndedTerm struct {
	Term          int64         `cbor:"term"`
	GrantsLapseIn time.Duration `cbor:"left"` // until all of its grants have lapsed
}

// StoreCall is a call of the store that a daemon makes through another one.
type StoreCall struct {
	Scan   *string         `cbor:"scan,omitempty"`   // prefix
	Peek   *string         `cbor:"peek,omitempty"`   // key
	Commit *fulmarkv.Txn   `cbor:"commit,omitempty"` // change
	Open   *time.Duration  `cbor:"open,omitempty"`   // time of the lease
	Keep   *fulmarkv.Lease `cbor:"keep,omitempty"`
	End    *fulmarkv.Lease `cbor:"end,omitempty"`
}

// StoreAnswer is the outcome of a StoreCall.
type StoreAnswer struct {
	Items    []fulmarkv.Item `cbor:"items,omitempty"` // of Scan, and the one of Peek if there is one
	Revision int64           `cbor:"revision,omitempty"`
	Lease    fulmarkv.Lease  `cbor:"lease,omitempty"`
	Fault    Fault           `cbor:"fault,omitempty"`
}

// Fault stands for an error of the store in a StoreAnswer.
type Fault int

// Faults.
const (
	NoFault Fault = iota
	Unavailable
	Ambiguous
	Conflict
	NoLease
)
