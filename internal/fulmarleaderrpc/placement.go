package fulmarleaderrpc

import (
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarbalancer"
)

// PlacementRequest states what a daemon does at the targets that it uses, and asks the leader for the targets of requests.
type PlacementRequest struct {
	Daemon   string      `cbor:"daemon"` // id
	DC       string      `cbor:"dc"`
	Whole    bool        `cbor:"whole,omitempty"` // the daemon has no requests in flight at other targets
	Uses     []TargetUse `cbor:"uses,omitempty"`
	Services []string    `cbor:"asks,omitempty"` // of each request that needs a target
}

// TargetUse is what a daemon does at a target and has learnt of it since its last request. Clocks of daemons differ, so it has
// an age in place of a time.
type TargetUse struct {
	Target     string        `cbor:"target"`
	InFlight   int           `cbor:"flight,omitempty"`
	Served     int           `cbor:"count,omitempty"`
	ServedTime time.Duration `cbor:"sum,omitempty"`
	Failed     int           `cbor:"failed,omitempty"`
	Running    int           `cbor:"running,omitempty"`
	Waiting    int           `cbor:"waiting,omitempty"`
	Slots      int           `cbor:"slots,omitempty"` // 0 if the target has reported no load
	Slowdown   float64       `cbor:"slow,omitempty"`
	Age        time.Duration `cbor:"age,omitempty"` // of the report of the load
}

// PackUse returns the use as it is at now.
func PackUse(now time.Time, u fulmarbalancer.Use) TargetUse {
	out := TargetUse{
		Target: u.Target, InFlight: u.InFlight, Served: u.Served, ServedTime: u.ServedTime, Failed: u.Failed,
		Running: u.Load.Running, Waiting: u.Load.Waiting, Slots: u.Load.Slots, Slowdown: u.Load.Slowdown,
	}
	if !u.LoadAt.IsZero() {
		out.Age = max(0, now.Sub(u.LoadAt))
	}
	return out
}

// Unpack returns the use that was received at now.
func (u TargetUse) Unpack(now time.Time) fulmarbalancer.Use {
	return fulmarbalancer.Use{
		Target: u.Target, InFlight: max(0, u.InFlight), Served: max(0, u.Served), ServedTime: max(0, u.ServedTime), Failed: max(0, u.Failed),
		Load:   fulmarbalancer.Load{Running: u.Running, Waiting: u.Waiting, Slots: u.Slots, Slowdown: u.Slowdown},
		LoadAt: now.Add(-max(0, u.Age)),
	}
}

// PlacementAnswer has a target for each service that was asked for, in the same order; empty if there is none.
type PlacementAnswer struct {
	Targets []string `cbor:"targets,omitempty"`
}
