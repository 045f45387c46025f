package fulmarorder

import (
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// Errors of an order that was sent; compare with errors.Is.
var (
	// ErrUnsent states that no byte of the order was sent.
	ErrUnsent = errors.New("fulmarorder: order not sent")
	// ErrRefused states that the target has seen a greater fence on one of the keys.
	ErrRefused = errors.New("fulmarorder: a greater fence was seen")
	// ErrEnded states that the target's life has ended, so that it holds no keys any more.
	ErrTargetEnded = errors.New("fulmarorder: target has ended")
	// ErrMisdirected states that the address belongs to another target.
	ErrMisdirected = errors.New("fulmarorder: address belongs to another target")
	// ErrUnanswered states that the order may be carried out, now or later.
	ErrUnanswered = errors.New("fulmarorder: no answer")
)

// Kind says what an order asks for.
type Kind int

// Kinds of orders.
const (
	Grant   Kind = iota // own the keys for a time
	Release             // stop work on the keys
)

// String returns the name of the kind.
func (k Kind) String() string {
	if k == Grant {
		return "grant"
	}
	return "release"
}

// Order is a message to one target about a range of keys.
type Order struct {
	Kind        Kind
	Incarnation fulmarrange.Incarnation
	From, To    int // inclusive
	Fence       int64
	TTL         time.Duration // of a grant
	Handover    string        // what the last holder gave for the new one; may be empty
	// Kept asks for a connection on which this life has answered before: another life under the same id
	// must not get the fence of this one.
	RequireKnownConnection bool
}
