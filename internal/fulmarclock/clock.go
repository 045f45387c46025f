package fulmarclock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// epochOffset, in seconds, is added to each reading so that none is the zero time or close to it.
const epochOffset = 1 << 30

// Now returns the time since boot, including suspensions, plus a fixed offset. Only differences
// between readings of one process are meaningful.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had this clock since 2.6.39. Without it the expiry of leases cannot be determined.
		panic("fulmarclock: " + err.Error())
	}
	return time.Unix(epochOffset+t.Sec, t.Nsec)
}

// Sleep waits for d or until ctx is canceled. It reports whether ctx is still active.
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
