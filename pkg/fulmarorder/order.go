package fulmarorder

import (
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// Results of sending an order; compare with errors.Is.
var (
	// ErrUnsent means that no byte of the order was sent.
	ErrUnsent = errors.New("fulmarorder: order not sent")
	// ErrRefused means that the target has seen a greater fence for one of the keys.
	ErrRefused = errors.New("fulmarorder: target has seen a greater fence")
	// ErrTargetEnded means that this incarnation of the target has ended and holds no keys.
	ErrTargetEnded = errors.New("fulmarorder: target has ended")
	// ErrMisdirected means that the address belongs to another target.
	ErrMisdirected = errors.New("fulmarorder: address belongs to another target")
	// ErrUnanswered means that no answer was received; the target may apply the order now or later.
	ErrUnanswered = errors.New("fulmarorder: order not answered")
	// ErrUncertain means that an answer was received that may be the copy of an earlier one, and does not say that the order was
	// applied. It is a case of ErrUnanswered.
	ErrUncertain = errors.Wrap(ErrUnanswered, "answer may be that of another order")
)

// Kind is the type of an order.
type Kind int

// Kinds of orders.
const (
	Grant   Kind = iota // lets the target hold the keys until the grant expires
	Release             // makes the target stop work on the keys and give them up
)

// String returns the lower-case name of the kind.
func (k Kind) String() string {
	if k == Grant {
		return "grant"
	}
	return "release"
}

// Reply is the answer of a target that has carried out an order.
type Reply struct {
	Handover   string // data of a release for the next owner
	Connection int64  // number of the connection on which it came
	// Certain reports whether the answer is that of this grant. Otherwise it may be the copy of an earlier answer, and the target
	// may apply the grant later or refuse it. An answer to a release is always certain.
	Certain bool
	// Closing reports whether the target handles no further order on the connection.
	Closing bool
}

// Order is a request to one target to take or give up a range of keys.
type Order struct {
	Kind        Kind
	Incarnation fulmarrange.Incarnation
	From, To    int // inclusive
	Fence       int64
	TTL         time.Duration // duration of a grant; zero in a release
	Handover    string        // data that the previous holder passed on to the new owner; may be empty
	// RequireKnownConnection restricts the order to a connection on which this incarnation has answered before, so that
	// another incarnation with the same id cannot receive its fence.
	RequireKnownConnection bool
	// AfterGrants sends a release on the connection of the grants in place of one of its own. The target handles the orders of a
	// connection one after the other, so the answer proves that it has handled all grants that were sent on it before.
	AfterGrants bool
	// Probe marks a release of keys that the target does not hold. It changes nothing, and its answer shows that the target answers
	// orders.
	Probe bool
}
