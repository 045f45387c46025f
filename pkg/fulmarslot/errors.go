package fulmarslot

import (
	"fmt"

	"github.com/pkg/errors"
)

// Reasons for which a change does not apply.
var (
	ErrLimitExceeded    = errors.New("bound exceeded")
	ErrExists           = errors.New("exists already")
	ErrTargetInUse      = errors.New("target owns or awaits slots")
	ErrSlotMoving       = errors.New("slot is moving")
	ErrSlotNotMoving    = errors.New("slot is not moving")
	ErrStaleIncarnation = errors.New("incarnation is older than the one in the roster")
	ErrOutsideWith      = errors.New("change applied outside With")
	ErrSlotOwned        = errors.New("slot has an owner")
	ErrOwnerMismatch    = errors.New("slots have different owners")
	ErrSameTarget       = errors.New("next target owns the slot already")
	ErrServiceMismatch  = errors.New("target belongs to another service")
	ErrUnknownHot       = errors.New("no such hot key")
	ErrNotQuarantined   = errors.New("fingerprint is not under quarantine")
	ErrUnknownMember    = errors.New("no such member")
	ErrUnknownService   = errors.New("no such service")
	ErrUnknownSlot      = errors.New("no such slot")
	ErrUnknownTarget    = errors.New("no such target")
	ErrSlotUnowned      = errors.New("slot has no owner")
)

// ChangeError says which change did not apply.
type ChangeError struct {
	Op      string // name of the change's constructor in lower case
	Service string
	Slot    int // -1 if the change concerns no single slot
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

// Unwrap returns the reason.
func (e *ChangeError) Unwrap() error { return e.Err }

// DecodeError says why a binary table was refused.
type DecodeError struct {
	Reason string
	Err    error // nil unless the CBOR decoder refused it
}

// Error returns the message.
func (e *DecodeError) Error() string {
	if e.Err != nil {
		return "fulmarslot: decode: " + e.Reason + ": " + e.Err.Error()
	}
	return "fulmarslot: decode: " + e.Reason
}

// Unwrap returns the error of the CBOR decoder.
func (e *DecodeError) Unwrap() error { return e.Err }
