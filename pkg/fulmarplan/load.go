package fulmarplan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

const (
	samplesPerInterval   = 8    // load samples per Policy.RebalanceInterval
	fastWeight           = 0.3  // weight of the newest sample in the fast moving average
	slowWeight           = 0.15 // weight of the newest sample in the slow moving average
	minImbalancedSamples = 2    // consecutive samples that must show an imbalance before slots move
	coldSamples          = 16   // consecutive cold samples after which a hot key loses its slot
	maxHotKeyCandidates  = 1024 // maximum number of tracked hot key candidates of a service
)

// loads holds the smoothed load of a service. Load is tracked by slot, so a report that arrives after a move counts for
// the new owner. The load of a slot is the lower of a fast and a slow moving average, so that neither a short burst nor
// load that has ended causes moves.
type loads struct {
	used              []float64 // by slot: seconds used since the last sample
	fast              []float64 // by slot: moving averages of seconds used per second
	slow              []float64
	rate              []float64 // by slot: the lower of the two averages
	keyUsed           map[uint64]float64
	keyRate           map[uint64]float64
	hot               map[int]uint64 // by slot: hot keys whose load is tracked in their own slot
	cold              map[int]int    // by slot of a hot key: consecutive cold samples
	sampled           time.Time
	sampledNow        bool // whether this step took a sample
	targetRate        map[string]float64
	meanRate          float64
	imbalancedSamples int // consecutive samples that show an imbalance
}

// observeLoads adds the reported loads and takes a sample at each sampling interval.
func (s *step) observeLoads() {
	for _, service := range s.table.Services() {
		l := s.loads[service]
		if l == nil {
			l = &loads{
				keyUsed: map[uint64]float64{}, keyRate: map[uint64]float64{}, hot: map[int]uint64{}, cold: map[int]int{},
				sampled: s.now, targetRate: map[string]float64{},
			}
			s.loads[service] = l
		}
		l.matchSlots(s.table, service)
		l.sampledNow = false
	}
	for _, r := range s.in.Loads {
		if l := s.loads[r.Service]; l != nil {
			l.add(s.table, r)
		}
	}
	for _, service := range s.table.Services() {
		if l := s.loads[service]; s.now.Sub(l.sampled) >= s.policy.RebalanceInterval/samplesPerInterval && s.now.After(l.sampled) {
			l.sample(s.now)
		}
		if len(s.in.Loads) > 0 {
			s.requestStepBy(s.loads[service].sampled.Add(s.policy.RebalanceInterval / samplesPerInterval))
		}
	}
}

// matchSlots adapts the loads to the slots of the table: the slot of a new hot key takes over the key's load, and the
// load of a removed one returns to the plain slot.
func (l *loads) matchSlots(t fulmarslot.Table, service string) {
	for n := t.Slots(service); len(l.rate) < n; {
		l.rate, l.used = append(l.rate, 0), append(l.used, 0)
		l.fast, l.slow = append(l.fast, 0), append(l.slow, 0)
	}
	plain := uint64(t.PlainSlots(service))
	for slot, hash := range l.hot {
		if now, ok := t.HotKeySlot(service, hash); !ok || now != slot {
			l.transfer(slot, int(hash%plain), 1)
			l.used[slot] = 0
			delete(l.hot, slot)
			delete(l.cold, slot)
		}
	}
	for slot, hash := range t.HotKeys(service) {
		if _, ok := l.hot[slot]; ok {
			continue
		}
		l.hot[slot] = hash
		if parent := int(hash % plain); l.rate[parent] > 0 {
			l.transfer(parent, slot, min(1, l.keyRate[hash]/l.rate[parent]))
		}
		delete(l.keyRate, hash)
		delete(l.keyUsed, hash)
	}
}

// transfer moves a fraction of the load of one slot to another.
func (l *loads) transfer(from, to int, part float64) {
	for _, rates := range [][]float64{l.fast, l.slow, l.rate} {
		rates[to] += part * rates[from]
		rates[from] -= part * rates[from]
	}
}

func (l *loads) add(t fulmarslot.Table, r Load) {
	if r.Slot < 0 || r.Slot >= len(l.used) || r.Used <= 0 {
		return
	}
	if r.Hash == 0 {
		l.used[r.Slot] += r.Used.Seconds()
		return
	}
	_, used := l.keyUsed[r.Hash]
	_, tracked := l.keyRate[r.Hash]
	if _, hot := t.HotKeySlot(r.Service, r.Hash); !hot && (used || tracked || len(l.keyUsed)+len(l.keyRate) < maxHotKeyCandidates) {
		l.keyUsed[r.Hash] += r.Used.Seconds()
	}
}

// sample updates the moving averages with the time used since the last sample.
func (l *loads) sample(now time.Time) {
	elapsed := now.Sub(l.sampled).Seconds()
	for i, used := range l.used {
		l.fast[i] += fastWeight * (used/elapsed - l.fast[i])
		l.slow[i] += slowWeight * (used/elapsed - l.slow[i])
		l.rate[i] = min(l.fast[i], l.slow[i])
		l.used[i] = 0
	}
	for hash := range l.keyRate {
		l.keyUsed[hash] += 0 // samples an unreported key as unused
	}
	for hash, used := range l.keyUsed {
		l.keyRate[hash] += slowWeight * (used/elapsed - l.keyRate[hash])
		if used == 0 && l.keyRate[hash] < 1e-6 {
			delete(l.keyRate, hash)
		}
	}
	clear(l.keyUsed)
	l.sampled, l.sampledNow = now, true
}

// sumTargetRates computes the load of each usable target as if all moves in progress were done, and counts the
// consecutive samples that show an imbalance.
func (s *step) sumTargetRates(service string, l *loads) {
	clear(l.targetRate)
	for _, id := range s.usableTargets[service] {
		l.targetRate[id] = 0
	}
	total := 0.0
	for slot, rate := range l.rate {
		if rate <= 0 || slot >= s.table.Slots(service) {
			continue
		}
		a := s.table.Assignment(service, slot)
		to := cmp.Or(a.Next, a.Owner)
		if _, ok := l.targetRate[to]; ok {
			l.targetRate[to] += rate
			total += rate
		}
	}
	l.meanRate = total / float64(max(1, len(l.targetRate)))
	highest := 0.0
	for _, v := range l.targetRate {
		highest = max(highest, v)
	}
	calm := 1 + (s.policy.MaxImbalance-1)/2 // once started, rebalancing continues down to this ratio
	switch {
	case highest > s.policy.MaxImbalance*l.meanRate, l.imbalancedSamples >= minImbalancedSamples && highest > calm*l.meanRate:
		l.imbalancedSamples++
	default:
		l.imbalancedSamples = 0
	}
}

// targetsByLoad returns the usable targets of a service, the most loaded first.
func (s *step) targetsByLoad(service string, l *loads) []string {
	ids := slices.Clone(s.usableTargets[service])
	slices.SortStableFunc(ids, func(a, b string) int { return cmp.Compare(l.targetRate[b], l.targetRate[a]) })
	return ids
}

// hotKeyCandidates returns the hashes of the hot key candidates, the most loaded first.
func (l *loads) hotKeyCandidates() []uint64 {
	return slices.SortedFunc(maps.Keys(l.keyRate), func(a, b uint64) int {
		return cmp.Or(cmp.Compare(l.keyRate[b], l.keyRate[a]), cmp.Compare(a, b))
	})
}
