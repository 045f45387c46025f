package fulmarclock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// epoch keeps the readings apart from the zero time.
const epoch = 1 << 30

// Now returns the reading of the clock. Only differences between readings of one process have a meaning.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had this clock since 2.6.39; without it no lease can be judged.
		panic("fulmarclock: " + err.Error())
	}
	return time.Unix(epoch+t.Sec, t.Nsec)
}

// Sleep waits for d, or until ctx ends, and reports whether ctx goes on.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
