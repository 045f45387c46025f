package fulmarbalancer

import (
	"slices"
	"strings"
	"time"
)

// maxMerged bounds the answers of a use that count one by one; more of them don't change the averages further.
const maxMerged = 16

// Use is what one daemon does at a target and learns of it. Served, ServedTime, Failed and Load are of the time since the last
// call of TakeUses.
type Use struct {
	Target     string
	InFlight   int // requests of the daemon
	Served     int
	ServedTime time.Duration // sum of the response times
	Failed     int           // requests that the target failed or rejected
	Load       Load          // latest report, without slots if there is none
	LoadAt     time.Time     // of the report; failures without one count from it as well
}

// TakeUses returns the uses of the targets for which keep returns true, in the order of their ids, and resets what they count:
// all those with requests in flight if whole is true, and those that have changed since the last call.
func (b *Balancer) TakeUses(whole bool, keep func(id string) bool) []Use {
	b.mu.Lock()
	defer b.mu.Unlock()
	if whole {
		for id, t := range b.targets {
			if t.inFlight > 0 {
				b.used[id] = true
			}
		}
	}
	var out []Use
	for id := range b.used {
		if t := b.targets[id]; t != nil && keep(id) {
			u := t.use
			u.Target, u.InFlight, t.use = id, t.inFlight, Use{}
			out = append(out, u)
		}
	}
	clear(b.used)
	slices.SortFunc(out, func(x, y Use) int { return strings.Compare(x.Target, y.Target) })
	return out
}

// Touch lets the next call of TakeUses return the use of a target, whether or not it has changed.
func (b *Balancer) Touch(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.target(id)
	b.used[id] = true
}

// Merge records the use of another daemon. inFlight is the number by which its requests in flight at the target have changed
// since its last use.
func (b *Balancer) Merge(u Use, inFlight int) {
	b.Add(u.Target, inFlight)
	for range min(u.Served, maxMerged) {
		b.RecordServed(u.Target, u.ServedTime/time.Duration(u.Served))
	}
	for range min(u.Failed, maxMerged) {
		b.RecordFailure(u.LoadAt, u.Target)
	}
	if u.Load.Slots > 0 {
		b.RecordLoad(u.LoadAt, u.Target, u.Load)
	}
}

// Add adds n to the number of requests in flight at a target; n may be negative.
func (b *Balancer) Add(id string, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.target(id)
	t.inFlight = max(t.inFlight+n, 0)
}
