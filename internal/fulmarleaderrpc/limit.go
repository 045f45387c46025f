package fulmarleaderrpc

import (
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarlimit"
)

// TargetLimit is what a target stated about its limit, as far as the sender knows. Clocks of daemons differ, so it has
// ages in place of times.
type TargetLimit struct {
	Target   string        `cbor:"target"`
	Limited  bool          `cbor:"limited,omitempty"`
	Rate     float64       `cbor:"rate,omitempty"` // requests per second
	Sent     time.Duration `cbor:"sent"`           // since the answered request was sent
	Received time.Duration `cbor:"received"`       // since the answer was received
}

// PackLimit returns the statement with the ages that it has at now.
func PackLimit(now time.Time, s fulmarlimit.Statement) TargetLimit {
	return TargetLimit{Target: s.Target, Limited: s.Limited, Rate: s.Rate, Sent: now.Sub(s.SentAt), Received: now.Sub(s.ReceivedAt)}
}

// Unpack returns the statement of a limit that was received at now.
func (l TargetLimit) Unpack(now time.Time) fulmarlimit.Statement {
	return fulmarlimit.Statement{Target: l.Target, Limited: l.Limited, Rate: l.Rate, SentAt: now.Add(-l.Sent), ReceivedAt: now.Add(-l.Received)}
}

// PermitRequest asks the leader for permits to send requests to targets with a limit.
type PermitRequest struct {
	Limits  []TargetLimit `cbor:"limits"` // of the targets of the permits
	Permits []PermitAsk   `cbor:"asks"`
}

// PermitAsk asks for a permit for one request.
type PermitAsk struct {
	Target   string        `cbor:"target"`
	MaxWait  time.Duration `cbor:"wait"`               // longest time until the request may be sent
	Priority int           `cbor:"priority,omitempty"` // 0 is the most urgent
	// ColdRate is the rate of permits for a target that the sender takes for cold, in requests per second, zero otherwise.
	ColdRate float64 `cbor:"cold,omitempty"`
}

// PermitAnswer has a permit for each one that was asked for, in the same order.
type PermitAnswer struct {
	Permits []Permit `cbor:"permits"`
}

// Permit states whether a request may be sent.
type Permit struct {
	Granted bool `cbor:"granted,omitempty"`
	// Wait is the time until the request may be sent, or during which no permit becomes available.
	Wait time.Duration `cbor:"wait,omitempty"`
}
