package fulmaradmin

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarconfig"
)

// Member is the state of a daemon as known to the daemon that answers.
type Member struct {
	ID            string `json:"id"`
	Incarnation   uint64 `json:"incarnation"`
	DataCentre    string `json:"dc"`
	State         string `json:"state"`  // live, leaving or down
	InRoster      bool   `json:"roster"` // whether the member counts towards the majority
	Epoch         uint64 `json:"epoch"`  // of the table that is in force at the member
	ConfigVersion uint64 `json:"config"` // version that is in force at the member
}

// States of the key-value service.
const (
	StoreUp   = "up"
	StoreDown = "down"
)

// Status is the state of a daemon and of the fleet as known to it.
type Status struct {
	Instance             string   `json:"instance"`
	Incarnation          uint64   `json:"incarnation"`
	DataCentre           string   `json:"dc"`
	Epoch                uint64   `json:"epoch"`
	ConfigVersion        uint64   `json:"config"`
	StoreState           string   `json:"store"`
	CanGrant             bool     `json:"current"`          // whether the daemon may send grants
	RefusalReason        string   `json:"refusing"`         // reason why requests of callers are refused, empty if they are accepted
	Planner              string   `json:"planner"`          // instance of the planner, empty if unknown
	HeldTargets          []string `json:"held"`             // targets for which the daemon dispatches
	Members              []Member `json:"members"`          // including the daemon itself
	StallReason          string   `json:"stalled"`          // reason why slot moves wait, empty if they do not
	AwaitingConfirmation []string `json:"confirm,omitzero"` // lost members whose loss an operator has yet to confirm
}

// Config is a configuration as the API returns it.
type Config struct {
	Version     uint64 `json:"version"`
	OperationID string `json:"operation"`
	Author      string `json:"author"`
	Text        string `json:"text"`
}

// CheckRequest is a request to validate a configuration text.
type CheckRequest struct {
	Text string `json:"text"`
}

// CheckResult is the response to a check of a text without errors.
type CheckResult struct {
	Version uint64   `json:"version"` // version in force with which the text was compared
	Diff    []string `json:"diff"`
}

// PutRequest is a request to replace the configuration if its version equals BaseVersion.
type PutRequest struct {
	BaseVersion uint64 `json:"base"`
	OperationID string `json:"operation"`
	Author      string `json:"author"`
	Text        string `json:"text"`
}

// PutResult is the response to a put that took effect.
type PutResult struct {
	Version uint64 `json:"version"`
}

// Table is a summary of the slot table.
type Table struct {
	Epoch    uint64    `json:"epoch"`
	Services []Service `json:"services"`
	Roster   []string  `json:"roster"`
}

// Service summarises the ownership of the slots of a service.
type Service struct {
	Name    string         `json:"name"`
	Slots   int            `json:"slots"`
	Unowned int            `json:"unowned"`
	Owners  map[string]int `json:"owners"` // by target: number of slots
	Moving  []Move         `json:"moving"`
}

// Move is a slot that is moving from its owner to the target Next.
type Move struct {
	Slot   int    `json:"slot"`
	Owner  string `json:"owner"`
	Next   string `json:"next"`
	Forced bool   `json:"forced"`
}

// Target is a target with its dispatcher, its slots and its drain.
type Target struct {
	ID          string `json:"id"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	DataCentre  string `json:"dc"`
	Fenced      bool   `json:"fenced"`
	Leaving     bool   `json:"leaving"`
	Dispatcher  string `json:"dispatcher"` // daemon that dispatches for the target, as known to the daemon that answers; empty if unknown
	OwnedSlots  int    `json:"slots"`      // number of owned slots
	DrainReason string `json:"drain"`      // reason of the drain, empty if the target is not drained
}

// Limits are the effective settings of a group at a service.
type Limits struct {
	Weight     float64           `json:"weight"`
	MaxQueue   int               `json:"queue"`
	Timeout    string            `json:"timeout"`
	MaxTimeout string            `json:"maxtimeout"`
	MaxBody    int64             `json:"body"`
	Source     map[string]string `json:"source"`
}

// Explanation describes how a request with a key is routed.
type Explanation struct {
	Service       string  `json:"service"`
	Key           string  `json:"key"`
	Group         string  `json:"group"`
	Epoch         uint64  `json:"epoch"`
	ConfigVersion uint64  `json:"config"`
	Slot          int     `json:"slot"`
	HasOwnSlot    bool    `json:"hot"` // whether the key is hot and so has a slot of its own
	Owner         string  `json:"owner"`
	Next          string  `json:"next"` // target to which the slot moves, empty if it does not
	Dispatcher    string  `json:"dispatcher"`
	Limits        *Limits `json:"limits"` // absent without a group
}

// QuarantineEntry is a fingerprint under quarantine.
type QuarantineEntry struct {
	Fingerprint string    `json:"fingerprint"` // 16 hexadecimal digits
	Condemned   bool      `json:"condemned"`
	Until       time.Time `json:"until"`
}

// ConfirmRequest confirms that a member is permanently lost.
type ConfirmRequest struct {
	Member string `json:"member"`
}

// FormatFingerprint formats a fingerprint as 16 hexadecimal digits.
func FormatFingerprint(f uint64) string { return fmt.Sprintf("%016x", f) }

// ParseFingerprint parses a fingerprint in hexadecimal digits.
func ParseFingerprint(s string) (uint64, error) {
	return strconv.ParseUint(strings.ToLower(s), 16, 64)
}

// Error is the response to a failed request.
type Error struct {
	Status         int                  `json:"status"`
	Message        string               `json:"message"`
	Faults         []fulmarconfig.Fault `json:"faults,omitempty"`
	CurrentVersion uint64               `json:"current,omitempty"`   // on a conflict: the stored version
	CurrentAuthor  string               `json:"author,omitempty"`    // on a conflict: author of the stored version
	Diff           []string             `json:"diff,omitempty"`      // on a conflict: difference from the stored version to the submitted text
	OperationID    string               `json:"operation,omitempty"` // on a conflict or an ambiguous put: id of the put
}

// Error returns the message with the package prefix.
func (e *Error) Error() string { return "fulmaradmin: " + e.Message }
