package fulmarplan

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

const (
	hotShare           = 8  // a key is hot above 1/8 of the mean target load
	coldShare          = 32 // a hot key is cold below 1/32 of the mean target load
	maxCooldownRepeats = 4  // maximum number of times that a cooldown is multiplied by 4
)

// cooldown delays the next rebalancing move of a slot.
type cooldown struct {
	notBefore     time.Time // earliest time of the next move
	expires       time.Time // when the cooldown is dropped
	previousOwner string    // the slot does not return to this target before expires
	repeats       int
}

// inCooldown reports whether the cooldown of a slot forbids a rebalancing move to a target.
func (s *step) inCooldown(ref slotRef, to string) bool {
	h, ok := s.cooldowns[ref]
	return ok && (s.now.Before(h.notBefore) || s.now.Before(h.expires) && h.previousOwner == to)
}

// moveForBalance starts a rebalancing move and reports whether it did. Each move multiplies the slot's cooldown by 4, so
// that alternating load reports do not move a key back and forth.
func (s *step) moveForBalance(ref slotRef, from, to, reason string) bool {
	if s.inCooldown(ref, to) || !s.startMove(ref, from, to, reason) {
		return false
	}
	h := s.cooldowns[ref]
	if s.now.Before(h.expires) {
		h.repeats = min(h.repeats+1, maxCooldownRepeats)
	} else {
		h.repeats = 0
	}
	h.notBefore = s.now.Add(s.policy.RebalanceInterval << (2 * h.repeats))
	h.expires = s.now.Add(2 * samplesPerInterval * s.policy.RebalanceInterval << (2 * h.repeats))
	h.previousOwner = from
	s.cooldowns[ref] = h
	return true
}

// balance gives hot keys their own slots and moves slots from the most to the least loaded targets, once per load sample.
func (s *step) balance() {
	for _, service := range s.table.Services() {
		l := s.loads[service]
		if !l.sampledNow {
			continue
		}
		s.sumTargetRates(service, l)
		s.removeColdKeys(service, l)
		if l.imbalancedSamples < minImbalancedSamples || len(l.targetRate) < 2 || !s.reached(s.startedAt.Add(s.policy.RebalanceInterval)) {
			continue
		}
		split := s.addHotKeys(service, l)
		for _, id := range s.targetsByLoad(service, l) {
			if !split[id] {
				s.offload(service, id, l)
			}
		}
	}
	s.dropExpired()
}

// dropExpired removes expired cooldowns and backoffs.
func (s *step) dropExpired() {
	for ref, h := range s.cooldowns {
		if s.now.After(h.expires) {
			delete(s.cooldowns, ref)
		}
	}
	for ref, b := range s.backoffs {
		if s.now.After(b.until.Add(s.policy.MoveTimeout << maxBackoff)) {
			delete(s.backoffs, ref)
		}
	}
}

// offload moves slots away from a target until its load is halfway between the mean and the limit of Policy.MaxImbalance.
// A slot moves only if that lowers the higher load of the two targets.
func (s *step) offload(service, id string, l *loads) {
	goal := l.meanRate * (1 + (s.policy.MaxImbalance-1)/2)
	if l.targetRate[id] <= goal {
		return
	}
	slots := s.table.OwnedBy(nil, id)
	slices.SortStableFunc(slots, func(a, b int) int { return cmp.Compare(l.rate[b], l.rate[a]) })
	to := s.leastLoaded(service, l)
	for _, slot := range slots {
		if l.targetRate[id] <= goal || s.movingCount >= s.policy.MaxMoving || l.rate[slot] <= 0 {
			return
		}
		if l.rate[slot] > (l.targetRate[id]-l.targetRate[to])/2 || !s.moveForBalance(slotRef{service, slot}, id, to, "balance") {
			continue
		}
		l.targetRate[id] -= l.rate[slot]
		l.targetRate[to] += l.rate[slot]
		to = s.leastLoaded(service, l)
	}
}

// leastLoaded returns the least loaded usable target of a service.
func (s *step) leastLoaded(service string, l *loads) string {
	return slices.MinFunc(s.usableTargets[service], func(a, b string) int { return cmp.Compare(l.targetRate[a], l.targetRate[b]) })
}

// addHotKeys gives hot keys of overloaded targets their own slots and returns these targets.
func (s *step) addHotKeys(service string, l *loads) map[string]bool {
	split := map[string]bool{}
	count := 0
	for _, name := range s.table.Services() {
		for range s.table.HotKeys(name) {
			count++
		}
	}
	for _, hash := range l.hotKeyCandidates() {
		if count >= s.policy.MaxHotKeys {
			break
		}
		ref := slotRef{service, int(hash % uint64(s.table.PlainSlots(service)))}
		if min(l.keyRate[hash], l.rate[ref.slot])*hotShare <= l.meanRate {
			continue
		}
		a := s.table.Assignment(service, ref.slot)
		if a.Next != "" || l.targetRate[a.Owner] <= s.policy.MaxImbalance*l.meanRate || !s.claimSlot(ref) {
			continue
		}
		count++
		split[a.Owner] = true
		s.add("hot-add", fulmarslot.AddHotKey(service, hash))
	}
	return split
}

// removeColdKeys removes the slots of keys that are no longer hot. Such a slot first moves to the owner of the key's plain slot.
func (s *step) removeColdKeys(service string, l *loads) {
	for slot, hash := range s.table.HotKeys(service) {
		if l.rate[slot]*coldShare >= l.meanRate {
			l.cold[slot] = 0
			continue
		}
		l.cold[slot]++
		if l.cold[slot] < coldSamples {
			continue
		}
		ref, parent := slotRef{service, slot}, slotRef{service, int(hash % uint64(s.table.PlainSlots(service)))}
		a, b := s.table.Assignment(service, ref.slot), s.table.Assignment(service, parent.slot)
		switch {
		case a.Next != "" || b.Next != "" || s.changedSlots[ref] || s.changedSlots[parent]:
		case a.Owner == b.Owner:
			s.claimSlot(ref)
			s.claimSlot(parent)
			s.add("hot-remove", fulmarslot.RemoveHotKey(service, hash))
		case s.isUsable(b.Owner):
			s.startMove(ref, a.Owner, b.Owner, "hot-return")
		}
	}
}
