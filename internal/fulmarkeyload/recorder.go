package fulmarkeyload

import (
	"sync"

	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarbalancer"
)

// maxKeysPerService bounds the keys of a service that are counted between two reports.
const maxKeysPerService = 4096

// Recorder records the load that a daemon reports. It is safe for concurrent use.
type Recorder struct {
	balancer      *fulmarbalancer.Balancer
	mu            sync.Mutex
	requestCounts map[string]map[int]int
}

// New returns a recorder that takes the load on targets from balancer.
func New(balancer *fulmarbalancer.Balancer) *Recorder {
	return &Recorder{balancer: balancer, requestCounts: make(map[string]map[int]int)}
}

// Note records a request for a key of a service.
func (l *Recorder) Note(service string, key int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.requestCounts[service]
	if m == nil {
		m = make(map[int]int)
		l.requestCounts[service] = m
	}
	if _, ok := m[key]; ok || len(m) < maxKeysPerService {
		m[key]++
	}
}

// Collect returns the load since the last call, by service and key and by target.
func (l *Recorder) Collect() (map[string][]fulmarleaderrpc.KeyCount, []fulmarleaderrpc.TargetLoad) {
	l.mu.Lock()
	keys := l.requestCounts
	l.requestCounts = make(map[string]map[int]int, len(keys))
	l.mu.Unlock()
	out := make(map[string][]fulmarleaderrpc.KeyCount, len(keys))
	for service, m := range keys {
		list := make([]fulmarleaderrpc.KeyCount, 0, len(m))
		for k, n := range m {
			list = append(list, fulmarleaderrpc.KeyCount{Key: k, Count: n})
		}
		out[service] = list
	}
	var targets []fulmarleaderrpc.TargetLoad
	for id, s := range l.balancer.TakeSamples() {
		targets = append(targets, fulmarleaderrpc.TargetLoad{
			Target: id, Answered: s.Served, ResponseTime: s.ServedTime, Abandoned: s.Abandoned, AbandonedTime: s.AbandonedTime,
		})
	}
	return out, targets
}
