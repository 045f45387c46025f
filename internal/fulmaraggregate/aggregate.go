package fulmaraggregate

import (
	"maps"
	"sync"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
)

// maxKeysPerService bounds the keys of a service that are summed between two reports. There are 65,536 keys.
const maxKeysPerService = 65536

// memberInterval is the least time between two reports to the leader of the same daemon. A relay reports after each change of
// the state, up to 16 times a second; the leader counts daemons that have reported within 0.7 s.
const memberInterval = 150 * time.Millisecond

// Aggregate sums reports; it is safe for concurrent use.
type Aggregate struct {
	mu      sync.Mutex
	members map[string]member      // by id: those that have reported since they were passed on
	sentAt  map[string]time.Time   // by id: when a daemon was last passed on
	keys    map[string]map[int]int // by service and key
	targets map[string]fulmarleaderrpc.TargetLoad
}

// member is the latest report of a daemon.
type member struct {
	fulmarleaderrpc.MemberReport
	at time.Time
}

// New returns an empty aggregate.
func New() *Aggregate {
	a := &Aggregate{members: make(map[string]member), sentAt: make(map[string]time.Time)}
	a.reset()
	return a
}

// reset drops all sums.
func (a *Aggregate) reset() {
	a.keys, a.targets = make(map[string]map[int]int), make(map[string]fulmarleaderrpc.TargetLoad)
}

// Add adds the report of a daemon that was received at now.
func (a *Aggregate) Add(now time.Time, r *fulmarleaderrpc.Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.members[r.ID] = member{fulmarleaderrpc.MemberReport{ID: r.ID, Address: r.Address, DC: r.DC, CPUShare: r.CPUShare}, now}
	a.addLoad(r.Keys, r.Targets)
}

// addLoad adds a load. The caller holds mu.
func (a *Aggregate) addLoad(keys map[string][]fulmarleaderrpc.KeyCount, targets []fulmarleaderrpc.TargetLoad) {
	for service, counts := range keys {
		sums := a.keys[service]
		if sums == nil {
			sums = make(map[int]int, len(counts))
			a.keys[service] = sums
		}
		for _, k := range counts {
			if _, ok := sums[k.Key]; ok || len(sums) < maxKeysPerService {
				sums[k.Key] += k.Count
			}
		}
	}
	for _, l := range targets {
		sum := a.targets[l.Target]
		sum.Target = l.Target
		sum.Answered += l.Answered
		sum.ResponseTime += l.ResponseTime
		sum.Abandoned += l.Abandoned
		sum.AbandonedTime += l.AbandonedTime
		a.targets[l.Target] = sum
	}
}

// Fill adds the sums since the last call to the relay's own report at now, and the daemons that have reported since they were
// passed on, each at most every memberInterval.
func (a *Aggregate) Fill(now time.Time, r *fulmarleaderrpc.Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fillMembers(now, r)
	if len(a.keys) == 0 && len(a.targets) == 0 {
		return
	}
	a.addLoad(r.Keys, r.Targets)
	r.Keys, r.Targets = make(map[string][]fulmarleaderrpc.KeyCount, len(a.keys)), nil
	for service, sums := range a.keys {
		list := make([]fulmarleaderrpc.KeyCount, 0, len(sums))
		for key, count := range sums {
			list = append(list, fulmarleaderrpc.KeyCount{Key: key, Count: count})
		}
		r.Keys[service] = list
	}
	for _, sum := range a.targets {
		r.Targets = append(r.Targets, sum)
	}
	a.reset()
}

// fillMembers adds the daemons that are due to a report at now. The caller holds mu.
func (a *Aggregate) fillMembers(now time.Time, r *fulmarleaderrpc.Report) {
	maps.DeleteFunc(a.sentAt, func(_ string, at time.Time) bool { return now.Sub(at) >= memberInterval })
	for id, m := range a.members {
		if _, recent := a.sentAt[id]; recent {
			continue
		}
		m.Age = now.Sub(m.at)
		r.Members = append(r.Members, m.MemberReport)
		a.sentAt[id] = now
		delete(a.members, id)
	}
}
