package fulmarleaderrpc

import (
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcrash"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarera"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrelay"
)

// Versions identifies the state of the fleet that a daemon has received from another one, the leader or a relay. The
// numbers of different sources cannot be compared, except Term and Config.
type Versions struct {
	Source  uint64             `cbor:"source,omitempty"` // the process that numbers its states; 0 for a leader of an earlier build
	Term    fulmarera.Revision `cbor:"term"`             // of the leader that the state comes from
	Config  uint64             `cbor:"config"`
	Targets int64              `cbor:"targets"`
	Owners  int64              `cbor:"owners"`
	Limits  int64              `cbor:"limits,omitempty"`
	Relays  int64              `cbor:"relays,omitempty"` // of the relays and the number of contacts
	Crashes int64              `cbor:"crashes,omitempty"`
}

// KeyCount is the number of requests for a key since the last report.
type KeyCount struct {
	Key   int `cbor:"key"`
	Count int `cbor:"count"`
}

// TargetLoad is the load on one target that a daemon observes.
type TargetLoad struct {
	Target       string        `cbor:"target"`
	Answered     int           `cbor:"count"` // requests answered since the last report
	ResponseTime time.Duration `cbor:"sum"`   // sum over these requests, without queueing
	// Abandoned is the number of requests given up without an answer since the last report, and AbandonedTime the
	// total time that they had waited.
	Abandoned     int           `cbor:"abandoned,omitempty"`
	AbandonedTime time.Duration `cbor:"waited,omitempty"`
}

// MemberReport is what a relay reports of a daemon that follows it.
type MemberReport struct {
	ID       string        `cbor:"id"`
	Address  string        `cbor:"address,omitempty"`
	DC       string        `cbor:"dc,omitempty"`
	CPUShare float64       `cbor:"power"`
	Age      time.Duration `cbor:"age,omitempty"` // since the daemon's report
}

// Report is a daemon's message to the leader or to a relay.
type Report struct {
	ID       string  `cbor:"id"`
	Address  string  `cbor:"address,omitempty"` // at which other daemons reach the daemon
	DC       string  `cbor:"dc,omitempty"`
	CPUShare float64 `cbor:"power"` // usable share of a CPU core
	// Versions identifies the state that the sender has. A receiver that does not lead answers when the grants of the
	// term in it lapse.
	Versions Versions              `cbor:"have"`
	Keys     map[string][]KeyCount `cbor:"keys,omitempty"` // by service
	Targets  []TargetLoad          `cbor:"targets,omitempty"`
	Limits   []TargetLimit         `cbor:"limits,omitempty"` // those that differ from what the leader has sent
	// Leaving are the targets that have said that they leave, of which the sender has not heard back.
	Leaving []LeavingTarget `cbor:"leaving,omitempty"`
	// Members are the daemons that have reported to the sender, a relay, since its last report. Keys and Targets include
	// their load.
	Members []MemberReport `cbor:"members,omitempty"`
	// Crashes are the records of work that differ from what the receiver has sent and from what it was told before.
	Crashes []fulmarcrash.Aged `cbor:"crashes,omitempty"`
	// KnowsCrashes states that the sender returns Versions.Crashes; daemons of earlier builds do not.
	KnowsCrashes bool `cbor:"crashing,omitempty"`
	// KnowsRelays states that the sender can follow a relay; daemons of earlier builds cannot.
	KnowsRelays bool `cbor:"knows,omitempty"`
	// ToRelay asks the receiver to pass its state on even if it does not lead.
	ToRelay bool `cbor:"relay,omitempty"`
	// Direct asks the leader not to refer the sender to a relay, as it has reached none.
	Direct bool `cbor:"direct,omitempty"`
}

// LeavingTarget is a target that has said that it leaves.
type LeavingTarget struct {
	Target string        `cbor:"target"`
	Born   int64         `cbor:"born"`
	Age    time.Duration `cbor:"age,omitempty"` // since it first said so
}

// Update is the leader's answer to a report. It omits the state that the daemon has already.
type Update struct {
	Versions Versions      `cbor:"have"`
	Age      time.Duration `cbor:"age"` // time since the read of the store on which the state is based
	// ConfigLead is the time by which the configuration was read later than the rest; 0 from daemons of earlier builds.
	ConfigLead time.Duration `cbor:"ahead,omitempty"`
	// Waited is the time between the arrival of the report and the answer. The rest of the duration of the call was spent
	// on the way.
	Waited  time.Duration `cbor:"waited,omitempty"`
	Daemons int           `cbor:"daemons"`
	// MaxCPUShare is the largest CPU share of a daemon other than the leader.
	MaxCPUShare float64 `cbor:"strongest,omitempty"`
	// EndedTerm is set by a daemon that no longer leads; all other fields are empty then.
	EndedTerm *EndedTerm `cbor:"past,omitempty"`
	// Referral states that the receiver is to follow one of Relays; all other fields are empty then.
	Referral bool            `cbor:"refer,omitempty"`
	Relays   fulmarrelay.Set `cbor:"relays,omitempty"` // sent if Versions.Relays has changed
	Leader   string          `cbor:"leader,omitempty"` // address of the leader, empty if the sender has none
	Hops     int             `cbor:"hops,omitempty"`   // daemons between the sender and the leader, or the store
	// Contacts are addresses of some daemons besides the leader.
	Contacts       []string                    `cbor:"contacts,omitempty"`
	Config         PackedConfig                `cbor:"config,omitempty"`
	Targets        []fulmarcatalog.Target      `cbor:"targets,omitempty"` // new or changed
	RemovedTargets []string                    `cbor:"gone,omitempty"`    // ids
	Owners         map[string]fulmarview.Spans `cbor:"owners,omitempty"`  // keys with changed routing, by service
	Limits         []TargetLimit               `cbor:"limits,omitempty"`  // all that are known, if they have changed
	Crashes        []fulmarcrash.Aged          `cbor:"crashes,omitempty"` // those that have changed
	// Complete states that Targets and Owners are the full state, which replaces that of the daemon.
	Complete bool `cbor:"all,omitempty"`
}

// EndedTerm tells when the grants of an ended term lapse.
type EndedTerm struct {
	Term          fulmarera.Revision `cbor:"term"`
	GrantsLapseIn time.Duration      `cbor:"left"` // until all of its grants have lapsed
}

// CrashExchange are the records of work that a daemon knows. Daemons without a leader exchange them.
type CrashExchange struct {
	Crashes []fulmarcrash.Aged `cbor:"crashes,omitempty"`
}

// StoreCall is a call to the store that a daemon forwards for another one. Exactly one field is set.
type StoreCall struct {
	Scan        *string         `cbor:"scan,omitempty"`   // prefix
	ReadStale   *string         `cbor:"peek,omitempty"`   // key
	Commit      *fulmarkv.Txn   `cbor:"commit,omitempty"` // change
	CreateLease *time.Duration  `cbor:"open,omitempty"`   // time to live of the lease
	RenewLease  *fulmarkv.Lease `cbor:"keep,omitempty"`
	RevokeLease *fulmarkv.Lease `cbor:"end,omitempty"`
}

// StoreAnswer is the outcome of a StoreCall.
type StoreAnswer struct {
	Items    []fulmarkv.Item    `cbor:"items,omitempty"` // result of Scan; result of ReadStale, if the key exists
	Revision fulmarera.Revision `cbor:"revision,omitempty"`
	Lease    fulmarkv.Lease     `cbor:"lease,omitempty"`
	Fault    Fault              `cbor:"fault,omitempty"`
	// Era is that in which the store has answered, as far as the sender knows.
	Era fulmarera.Era `cbor:"era,omitempty"`
}

// Fault is the encoded form of an error of the store.
type Fault int

// Faults, which correspond to the errors of fulmarkv. The values are sent.
const (
	NoFault Fault = iota
	Unavailable
	Ambiguous
	Conflict
	NoLease
)
