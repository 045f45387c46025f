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

// Client sends orders; *fulmartarget.Client implements it.
type Client interface {
	Do(ctx context.Context, address string, o fulmartarget.Order) (*http.Response, error)
}

// Metrics counts events by name; *fulmarmetric.Metrics implements it.
type Metrics interface {
	Count(name string)
}

// Names of the counters.
const (
	CountDispatched       = "dispatch.order"     // orders sent
	CountConnectionBroken = "dispatch.broken"    // orders whose connection broke after sending
	CountDuplicate        = "dispatch.duplicate" // duplicates that waited for an execution
	CountReplay           = "dispatch.replay"    // duplicates answered from the request memory
)

// Deps are what a dispatcher works with; all fields but Current, Cleared, Fenced and Discipline are required.
type Deps struct {
	Self               string // id of the own instance, named to targets
	Client             Client
	Dedup              fulmardedup.Settings
	Guard              *fulmarguard.Guard
	Cost               *fulmarcost.Estimator
	Metrics            Metrics
	Limits             func(service, group string) (fulmarconfig.Limits, bool)
	Idempotent         func(service string) bool
	Table              func() fulmarslot.Table // the newest table, for the slots of hot keys
	Now                func() time.Time
	MaxUnfencedTimeout time.Duration // longest deadline of an order to a target that checks no fence
	HoldsLease         func() bool   // whether this daemon may send orders to a target that checks no fence; called with the lock held
	Discipline         fulmarqueue.Discipline
	OnSuspectCleared   func(fingerprint uint64) // a suspect completed; called without a lock
	OnFenced           func(target string)      // a target refused an order by its fence; called without a lock
}
