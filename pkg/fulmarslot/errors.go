package fulmarslot

import (
	"fmt"

	"github.com/pkg/errors"
)

// Reasons why a change does not apply.
var (
	ErrLimitExceeded    = errors.New("limit of the table exceeded")
	ErrExists           = errors.New("already exists")
	ErrTargetInUse      = errors.New("target owns slots or is the next owner of slots")
	ErrSlotMoving       = errors.New("slot is moving")
	ErrSlotNotMoving    = errors.New("slot is not moving")
	ErrStaleIncarnation = errors.New("incarnation is older than the one in the roster")
	ErrOutsideWith      = errors.New("change applied outside Table.With")
	ErrSlotOwned        = errors.New("slot already has an owner")
	ErrOwnerMismatch    = errors.New("hot key slot and plain slot have different owners")
	ErrSameTarget       = errors.New("next target already owns the slot")
	ErrServiceMismatch  = errors.New("target belongs to another service")
	ErrUnknownHotKey    = errors.New("no such hot key")
	ErrNotQuarantined   = errors.New("fingerprint is not quarantined")
	ErrUnknownMember    = errors.New("no such member")
	ErrUnknownService   = errors.New("no such service")
	ErrUnknownSlot      = errors.New("no such slot")
	ErrUnknownTarget    = errors.New("no such target")
	ErrSlotUnowned      = errors.New("slot has no owner")
)

// ChangeError describes a change that did not apply.
type ChangeError struct {
	Op      string // name of the operation, such as "assign" or "puttarget"
	Service string
	Slot    int // -1 if the change does not concern a single slot
	Name    string
	Err     error // one of the sentinel errors
}

// Error returns the message.
func (e *ChangeError) Error() string {
	if e.Slot < 0 {
		return fmt.Sprintf("fulmarslot: %s %s%s: %v", e.Op, e.Service, e.Name, e.Err)
	}
	return fmt.Sprintf("fulmarslot: %s %s/%d %s: %v", e.Op, e.Service, e.Slot, e.Name, e.Err)
}

// Unwrap returns the sentinel error.
func (e *ChangeError) Unwrap() error { return e.Err }

// DecodeError describes why a binary table could not be decoded.
type DecodeError struct {
	Reason string
	Err    error // underlying error, nil if there is none
}

// Error returns the message.
func (e *DecodeError) Error() string {
	if e.Err != nil {
		return "fulmarslot: decode: " + e.Reason + ": " + e.Err.Error()
	}
	return "fulmarslot: decode: " + e.Reason
}

// Unwrap returns the underlying error.
func (e *DecodeError) Unwrap() error { return e.Err }
