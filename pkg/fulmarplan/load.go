package fulmarplan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

const (
	samples = 8    // load samples in Policy.Settle
	fast    = 0.3  // weight of the newest sample in the fast average
	slow    = 0.15 // and in the slow average
	steady  = 2    // samples in a row that must show an imbalance before slots move
	coldAge = 16   // samples in a row after which a hot key that is no longer hot loses its slot
	maxKeys = 1024 // candidates for hot keys of one service
)

// loads is the smoothed load of a service. Load is kept by slot, so a report that lags behind a move counts
// for the target that the slot went to. A slot's load is the lower one of a fast and a slow average, so that neither a
// short burst of reports nor load that is gone moves slots.
type loads struct {
	used     []float64 // seconds used by each slot since the last sample
	fast     []float64 // averages of seconds used in a second
	slow     []float64
	rate     []float64 // the lower average
	keyUsed  map[uint64]float64
	keyRate  map[uint64]float64
	hot      map[int]uint64 // hot keys whose load has a slot of its own
	cold     map[int]int    // samples in a row in which a hot key's slot was cold
	sampled  time.Time
	fresh    bool // a sample was taken in this step
	target   map[string]float64
	mean     float64
	unsteady int // samples in a row that show an imbalance
}

// observeLoads adds the reported loads and takes a sample when it is time.
func (s *step) observeLoads() {
	for _, service := range s.table.Services() {
		l := s.loads[service]
		if l == nil {
			l = &loads{
				keyUsed: map[uint64]float64{}, keyRate: map[uint64]float64{}, hot: map[int]uint64{}, cold: map[int]int{},
				sampled: s.now, target: map[string]float64{},
			}
			s.loads[service] = l
		}
		l.fit(s.table, service)
		l.fresh = false
	}
	for _, r := range s.in.Loads {
		if l := s.loads[r.Service]; l != nil {
			l.add(s.table, r)
		}
	}
	for _, service := range s.table.Services() {
		if l := s.loads[service]; s.now.Sub(l.sampled) >= s.policy.RebalanceInterval/samples && s.now.After(l.sampled) {
			l.sample(s.now)
		}
		if len(s.in.Loads) > 0 {
			s.wake(s.loads[service].sampled.Add(s.policy.RebalanceInterval / samples))
		}
	}
}

// fit gives new hot keys' slots their load and returns that of removed ones to the plain slots.
func (l *loads) fit(t fulmarslot.Table, service string) {
	for n := t.Slots(service); len(l.rate) < n; {
		l.rate, l.used = append(l.rate, 0), append(l.used, 0)
		l.fast, l.slow = append(l.fast, 0), append(l.slow, 0)
	}
	plain := uint64(t.PlainSlots(service))
	for slot, hash := range l.hot {
		if now, ok := t.HotKeySlot(service, hash); !ok || now != slot {
			l.pass(slot, int(hash%plain), 1)
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
			l.pass(parent, slot, min(1, l.keyRate[hash]/l.rate[parent]))
		}
		delete(l.keyRate, hash)
		delete(l.keyUsed, hash)
	}
}

// pass moves a part of the load of one slot to another one.
func (l *loads) pass(from, to int, part float64) {
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
	_, known := l.keyRate[r.Hash]
	if _, hot := t.HotKeySlot(r.Service, r.Hash); !hot && (used || known || len(l.keyUsed)+len(l.keyRate) < maxKeys) {
		l.keyUsed[r.Hash] += r.Used.Seconds()
	}
}

// sample turns the use since the last sample into smoothed rates.
func (l *loads) sample(now time.Time) {
	elapsed := now.Sub(l.sampled).Seconds()
	for i, used := range l.used {
		l.fast[i] += fast * (used/elapsed - l.fast[i])
		l.slow[i] += slow * (used/elapsed - l.slow[i])
		l.rate[i] = min(l.fast[i], l.slow[i])
		l.used[i] = 0
	}
	for hash := range l.keyRate {
		l.keyUsed[hash] += 0 // a key that was not reported is sampled as unused
	}
	for hash, used := range l.keyUsed {
		l.keyRate[hash] += slow * (used/elapsed - l.keyRate[hash])
		if used == 0 && l.keyRate[hash] < 1e-6 {
			delete(l.keyRate, hash)
		}
	}
	clear(l.keyUsed)
	l.sampled, l.fresh = now, true
}

// sumLoads computes the load of the usable targets, moves under way taken as done.
func (s *step) sumLoads(service string, l *loads) {
	clear(l.target)
	for _, id := range s.usable[service] {
		l.target[id] = 0
	}
	total := 0.0
	for slot, rate := range l.rate {
		if rate <= 0 || slot >= s.table.Slots(service) {
			continue
		}
		a := s.table.Assignment(service, slot)
		to := cmp.Or(a.Next, a.Owner)
		if _, ok := l.target[to]; ok {
			l.target[to] += rate
			total += rate
		}
	}
	l.mean = total / float64(max(1, len(l.target)))
	highest := 0.0
	for _, v := range l.target {
		highest = max(highest, v)
	}
	calm := 1 + (s.policy.MaxImbalance-1)/2 // balance goes on to this ratio once it has begun
	switch {
	case highest > s.policy.MaxImbalance*l.mean, l.unsteady >= steady && highest > calm*l.mean:
		l.unsteady++
	default:
		l.unsteady = 0
	}
}

// byLoad returns the usable targets of a service, the most loaded first.
func (s *step) byLoad(service string, l *loads) []string {
	ids := slices.Clone(s.usable[service])
	slices.SortStableFunc(ids, func(a, b string) int { return cmp.Compare(l.target[b], l.target[a]) })
	return ids
}

// heaviest returns the hot key candidates, the most used first.
func (l *loads) heaviest() []uint64 {
	return slices.SortedFunc(maps.Keys(l.keyRate), func(a, b uint64) int {
		return cmp.Or(cmp.Compare(l.keyRate[b], l.keyRate[a]), cmp.Compare(a, b))
	})
}
