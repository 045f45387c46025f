package fulmarrotation

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// share is the part of a limit that all daemons without a leader use together.
	share = 0.5
	// maxTurn is the longest duration of a turn.
	maxTurn = 500 * time.Millisecond
	// minRate is the least rate to which a limit is taken to amount, in requests per second; see fulmarpermit.
	minRate = 0.25
	// minPeriod is the least time between two turns of a daemon that bounds its requests: no daemon sends a million of them in a
	// second. A target may state any limit, and the period of the highest ones rounds to zero.
	minPeriod = time.Microsecond
)

// use is the latest turn at a target that a daemon has used.
type use struct {
	turn int64
	at   time.Time
}

// Rotation holds the turns of one daemon; it is safe for concurrent use.
type Rotation struct {
	id   string
	mu   sync.Mutex
	used map[string]use // by target
}

// New returns the turns of the daemon with the given id.
func New(id string) *Rotation { return &Rotation{id: id, used: make(map[string]use)} }

// Take reports whether the daemon has a turn at now at a target whose limit is rate, in requests per second, and uses it.
// daemons is the number of daemons that share the limit. Daemons have their turns at different times.
func (r *Rotation) Take(now time.Time, target string, rate float64, daemons int) bool {
	period := time.Duration(float64(time.Second) * float64(max(daemons, 1)) / (share * max(rate, minRate)))
	if period < minPeriod {
		return true
	}
	length := min(maxTurn, period/2)
	phase := float64(xxhash.Sum64String(r.id+"\x00"+target)) / math.MaxUint64
	since := now.UnixNano() + int64(phase*float64(period))
	turn := since / int64(period)
	if time.Duration(since%int64(period)) >= length {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// The number of daemons and the limit change, and turns with them, so the time since the last use counts as well.
	if last, ok := r.used[target]; ok && (last.turn == turn || now.Sub(last.at) < period-length) {
		return false
	}
	r.used[target] = use{turn, now}
	return true
}

// Retain drops the state of targets for which keep returns false.
func (r *Rotation) Retain(keep func(target string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for target := range r.used {
		if !keep(target) {
			delete(r.used, target)
		}
	}
}
