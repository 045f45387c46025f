package fulmarplan

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

const (
	hotShare  = 8  // a key is hot if it has more than 1/8 of the mean load of a target
	coldShare = 32 // a hot key is cold again below 1/32 of it
	maxHold   = 4  // how often the time between moves of one slot is multiplied by 4
)

// hold keeps a slot from moving for balance again.
type hold struct {
	until   time.Time // no move before
	expires time.Time // the slot's moves are forgotten
	from    string    // where the slot came from; it does not return there before expires
	count   int
}

// onHold reports whether a slot may not move to a target for balance yet.
func (s *step) onHold(at place, to string) bool {
	h, ok := s.held[at]
	return ok && (s.now.Before(h.until) || s.now.Before(h.expires) && h.from == to)
}

// moveForBalance moves a slot for balance. Each move multiplies the time until the slot's next one by 4, so that alternating
// reports do not move a key back and forth.
func (s *step) moveForBalance(at place, from, to, reason string) bool {
	if s.onHold(at, to) || !s.startMove(at, from, to, reason) {
		return false
	}
	h := s.held[at]
	if s.now.Before(h.expires) {
		h.count = min(h.count+1, maxHold)
	} else {
		h.count = 0
	}
	h.until = s.now.Add(s.policy.RebalanceInterval << (2 * h.count))
	h.expires = s.now.Add(2 * samples * s.policy.RebalanceInterval << (2 * h.count))
	h.from = from
	s.held[at] = h
	return true
}

// balance gives hot keys slots of their own and moves slots from the most to the least loaded targets, once for each sample.
func (s *step) balance() {
	for _, service := range s.table.Services() {
		l := s.loads[service]
		if !l.fresh {
			continue
		}
		s.sumLoads(service, l)
		s.removeColdKeys(service, l)
		if l.unsteady < steady || len(l.target) < 2 || !s.passed(s.began.Add(s.policy.RebalanceInterval)) {
			continue
		}
		split := s.addHotKeys(service, l)
		for _, id := range s.byLoad(service, l) {
			if !split[id] {
				s.unload(service, id, l)
			}
		}
	}
	s.forget()
}

// forget drops what is known of slots that have not moved for long.
func (s *step) forget() {
	for at, h := range s.held {
		if s.now.After(h.expires) {
			delete(s.held, at)
		}
	}
	for at, b := range s.retry {
		if s.now.After(b.until.Add(s.policy.MoveTimeout << maxBackoff)) {
			delete(s.retry, at)
		}
	}
}

// unload moves slots away from a target until its load is calm. A slot moves only if that lowers the higher load of
// the two targets.
func (s *step) unload(service, id string, l *loads) {
	goal := l.mean * (1 + (s.policy.MaxImbalance-1)/2)
	if l.target[id] <= goal {
		return
	}
	slots := s.table.OwnedBy(nil, id)
	slices.SortStableFunc(slots, func(a, b int) int { return cmp.Compare(l.rate[b], l.rate[a]) })
	to := s.leastLoaded(service, l)
	for _, slot := range slots {
		if l.target[id] <= goal || s.moving >= s.policy.MaxMoving || l.rate[slot] <= 0 {
			return
		}
		if l.rate[slot] > (l.target[id]-l.target[to])/2 || !s.moveForBalance(place{service, slot}, id, to, "balance") {
			continue
		}
		l.target[id] -= l.rate[slot]
		l.target[to] += l.rate[slot]
		to = s.leastLoaded(service, l)
	}
}

// leastLoaded returns the least loaded usable target of a service.
func (s *step) leastLoaded(service string, l *loads) string {
	return slices.MinFunc(s.usable[service], func(a, b string) int { return cmp.Compare(l.target[a], l.target[b]) })
}

// addHotKeys gives hot keys of overloaded targets slots of their own and returns these targets.
func (s *step) addHotKeys(service string, l *loads) map[string]bool {
	split := map[string]bool{}
	count := 0
	for _, name := range s.table.Services() {
		for range s.table.HotKeys(name) {
			count++
		}
	}
	for _, hash := range l.heaviest() {
		if count >= s.policy.MaxHotKeys {
			break
		}
		at := place{service, int(hash % uint64(s.table.PlainSlots(service)))}
		if min(l.keyRate[hash], l.rate[at.slot])*hotShare <= l.mean {
			continue
		}
		a := s.table.Assignment(service, at.slot)
		if a.Next != "" || l.target[a.Owner] <= s.policy.MaxImbalance*l.mean || !s.claim(at) {
			continue
		}
		count++
		split[a.Owner] = true
		s.add("hot-add", fulmarslot.AddHotKey(service, hash))
	}
	return split
}

// removeColdKeys removes the slots of keys that are no longer hot, and moves them back to their plain slots' owners first.
func (s *step) removeColdKeys(service string, l *loads) {
	for slot, hash := range s.table.HotKeys(service) {
		if l.rate[slot]*coldShare >= l.mean {
			l.cold[slot] = 0
			continue
		}
		l.cold[slot]++
		if l.cold[slot] < coldAge {
			continue
		}
		at, parent := place{service, slot}, place{service, int(hash % uint64(s.table.PlainSlots(service)))}
		a, b := s.table.Assignment(service, at.slot), s.table.Assignment(service, parent.slot)
		switch {
		case a.Next != "" || b.Next != "" || s.claimed[at] || s.claimed[parent]:
		case a.Owner == b.Owner:
			s.claim(at)
			s.claim(parent)
			s.add("hot-remove", fulmarslot.RemoveHotKey(service, hash))
		case s.ready(b.Owner):
			s.startMove(at, a.Owner, b.Owner, "hot-return")
		}
	}
}
