package fulmardispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmartarget"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarconfig"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcost"
	"github.com/fulmarbend/fulmarbend/pkg/fulmardedup"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarguard"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarqueue"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

// Client sends requests to targets; *fulmartarget.Client implements it.
type Client interface {
	Do(ctx context.Context, address string, req fulmartarget.Order) (*http.Response, error)
}

// Metrics counts events by name; *fulmarmetric.Metrics implements it.
type Metrics interface {
	Count(name string)
}

// Names of the counters.
const (
	CountDispatched       = "dispatch.order"     // requests sent to the target
	CountConnectionBroken = "dispatch.broken"    // requests whose connection broke after they were sent
	CountDuplicate        = "dispatch.duplicate" // duplicates that waited for the execution in flight
	CountReplay           = "dispatch.replay"    // duplicates answered with a recorded response
)

// Deps holds the settings and dependencies of a dispatcher. HoldsLease,
// OnSuspectCleared, OnFenced and Discipline are optional.
type Deps struct {
	Self               string // id of this instance, sent to targets
	Client             Client
	Dedup              fulmardedup.Settings
	Guard              *fulmarguard.Guard
	Cost               *fulmarcost.Estimator
	Metrics            Metrics
	Limits             func(service, group string) (fulmarconfig.Limits, bool)
	Idempotent         func(service string) bool
	Table              func() fulmarslot.Table // returns the latest table, which assigns the slots of hot keys
	Now                func() time.Time
	MaxUnfencedTimeout time.Duration // maximum timeout of a request to a target that does not check fencing tokens
	HoldsLease         func() bool   // whether this instance may send requests to a target that does not check fencing tokens; called with the lock held
	Discipline         fulmarqueue.Discipline
	OnSuspectCleared   func(fingerprint uint64) // called without the lock when a suspect request has completed
	OnFenced           func(target string)      // called without the lock when the target has rejected a request by its fencing token
}
