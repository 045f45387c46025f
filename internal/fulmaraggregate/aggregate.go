package fulmaraggregate

import (
	"sync"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
)

// maxKeysPerService bounds the keys of a service that are summed between two reports. There are 65,536 keys.
const maxKeysPerService = 65536

// Aggregate sums reports; it is safe for concurrent use.
type Aggregate struct {
	mu      sync.Mutex
	members map[string]member
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
	a := &Aggregate{}
	a.reset()
	return a
}

// reset drops all sums.
func (a *Aggregate) reset() {
	a.members, a.keys, a.targets = make(map[string]member), make(map[string]map[int]int), make(map[string]fulmarleaderrpc.TargetLoad)
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

// Fill adds the sums since the last call, and the daemons that have reported since then, to the relay's own report at now.
func (a *Aggregate) Fill(now time.Time, r *fulmarleaderrpc.Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.members) == 0 {
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
	for _, m := range a.members {
		m.Age = now.Sub(m.at)
		r.Members = append(r.Members, m.MemberReport)
	}
	a.reset()
}
