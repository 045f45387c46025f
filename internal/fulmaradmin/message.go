package fulmaradmin

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarconfig"
)

// Member is a daemon as another one knows it.
type Member struct {
	ID            string `json:"id"`
	Incarnation   uint64 `json:"incarnation"`
	DataCentre    string `json:"dc"`
	State         string `json:"state"`  // live, leaving or down
	InRoster      bool   `json:"roster"` // counts for the majority
	Epoch         uint64 `json:"epoch"`  // of the table in force
	ConfigVersion uint64 `json:"config"` // version in force
}

// States of the key-value service.
const (
	StoreUp   = "up"
	StoreDown = "down"
)

// Status is what a daemon knows of itself and the fleet.
type Status struct {
	Instance             string   `json:"instance"`
	Incarnation          uint64   `json:"incarnation"`
	DataCentre           string   `json:"dc"`
	Epoch                uint64   `json:"epoch"`
	ConfigVersion        uint64   `json:"config"`
	StoreState           string   `json:"store"`
	CanGrant             bool     `json:"current"`          // may send grants
	RefusalReason        string   `json:"refusing"`         // reason for which callers are refused, empty if accepted
	Planner              string   `json:"planner"`          // instance, empty if unknown
	HeldTargets          []string `json:"held"`             // targets for which the daemon dispatches
	Members              []Member `json:"members"`          // the daemon itself included
	StallReason          string   `json:"stalled"`          // why moves wait, empty if they do not
	AwaitingConfirmation []string `json:"confirm,omitzero"` // lost members that wait for an operator's confirmation
}

// Config is a configuration as the API shows and accepts it.
type Config struct {
	Version     uint64 `json:"version"`
	OperationID string `json:"operation"`
	Author      string `json:"author"`
	Text        string `json:"text"`
}

// Check asks for the faults of a text.
type CheckRequest struct {
	Text string `json:"text"`
}

// Checked is the answer to a check without faults.
type CheckResult struct {
	Version uint64   `json:"version"` // in force, with which the text was compared
	Diff    []string `json:"diff"`
}

// Put replaces the configuration if its version is still base.
type PutRequest struct {
	BaseVersion uint64 `json:"base"`
	OperationID string `json:"operation"`
	Author      string `json:"author"`
	Text        string `json:"text"`
}

// Done is the answer to a put that took effect.
type PutResult struct {
	Version uint64 `json:"version"`
}

// Table is a summary of the slot table.
type Table struct {
	Epoch    uint64    `json:"epoch"`
	Services []Service `json:"services"`
	Roster   []string  `json:"roster"`
}

// Service is the ownership of the slots of a service.
type Service struct {
	Name    string         `json:"name"`
	Slots   int            `json:"slots"`
	Unowned int            `json:"unowned"`
	Owners  map[string]int `json:"owners"` // by target: number of slots
	Moving  []Move         `json:"moving"`
}

// Move is a slot on its way to another target.
type Move struct {
	Slot   int    `json:"slot"`
	Owner  string `json:"owner"`
	Next   string `json:"next"`
	Forced bool   `json:"forced"`
}

// Target is a target with the daemon that dispatches for it.
type Target struct {
	ID          string `json:"id"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	DataCentre  string `json:"dc"`
	Fenced      bool   `json:"fenced"`
	Leaving     bool   `json:"leaving"`
	Dispatcher  string `json:"dispatcher"` // best knowledge, empty if unknown
	OwnedSlots  int    `json:"slots"`      // owned
	DrainReason string `json:"drain"`      // reason, empty if the target is not drained
}

// Limits are the values in force for a group at a service.
type Limits struct {
	Weight     float64           `json:"weight"`
	MaxQueue   int               `json:"queue"`
	Timeout    string            `json:"timeout"`
	MaxTimeout string            `json:"maxtimeout"`
	MaxBody    int64             `json:"body"`
	Source     map[string]string `json:"source"`
}

// Explanation tells how a request with a key is routed.
type Explanation struct {
	Service       string  `json:"service"`
	Key           string  `json:"key"`
	Group         string  `json:"group"`
	Epoch         uint64  `json:"epoch"`
	ConfigVersion uint64  `json:"config"`
	Slot          int     `json:"slot"`
	HasOwnSlot    bool    `json:"hot"` // the key has a slot of its own
	Owner         string  `json:"owner"`
	Next          string  `json:"next"` // set while the slot moves
	Dispatcher    string  `json:"dispatcher"`
	Limits        *Limits `json:"limits"` // absent without a group
}

// Quarantined is a fingerprint under quarantine.
type QuarantineEntry struct {
	Fingerprint string    `json:"fingerprint"` // 16 hexadecimal digits
	Condemned   bool      `json:"condemned"`
	Until       time.Time `json:"until"`
}

// Confirm states that a member is lost for good.
type ConfirmRequest struct {
	Member string `json:"member"`
}

// FormatFingerprint returns the form in which fingerprints are shown.
func FormatFingerprint(f uint64) string { return fmt.Sprintf("%016x", f) }

// ParseFingerprint reads the form of FormatFingerprint.
func ParseFingerprint(s string) (uint64, error) {
	return strconv.ParseUint(strings.ToLower(s), 16, 64)
}

// Error is a failed request.
type Error struct {
	Status         int                  `json:"status"`
	Message        string               `json:"message"`
	Faults         []fulmarconfig.Fault `json:"faults,omitempty"`
	CurrentVersion uint64               `json:"current,omitempty"`   // with a conflict: the version in force
	CurrentAuthor  string               `json:"author,omitempty"`    // with a conflict: of the version in force
	Diff           []string             `json:"diff,omitempty"`      // with a conflict: from the version in force to the one put
	OperationID    string               `json:"operation,omitempty"` // with an ambiguous put
}

// Error returns the message.
func (e *Error) Error() string { return "fulmaradmin: " + e.Message }
