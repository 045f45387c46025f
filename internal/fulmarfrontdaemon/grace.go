package fulmarfrontdaemon

import "time"

const (
	// exitReserve is the part of the grace period that is reserved for the exit of the process, at most an exitShare of it.
	exitReserve = 400 * time.Millisecond
	exitShare   = 12
	// answerReserve is the part of the grace period before its end in which requests that still have no answer are answered
	// by the daemon, as its exit would cut them off, at most an answerShare of it. Targets are expected to finish their work
	// before the last sixth of the period.
	answerReserve = 800 * time.Millisecond
	answerShare   = 6
)

// lastExit returns the time after SIGTERM at which the process exits even if requests are in flight.
func lastExit(grace time.Duration) time.Duration { return grace - min(exitReserve, grace/exitShare) }

// interruptAfter returns the time after SIGTERM at which the requests in flight are answered.
func interruptAfter(grace time.Duration) time.Duration {
	return grace - min(answerReserve, grace/answerShare)
}
