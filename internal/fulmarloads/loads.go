package fulmarloads

import (
	"sync"

	"github.com/fulmarbend/fulmarbend/internal/fulmarsync"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarpick"
)

// maxKeys bounds the keys of a service that are counted between two reports.
const maxKeys = 4096

// Loads is what a daemon reports; it is safe for concurrent use.
type Recorder struct {
	board *fulmarpick.Board
	mu    sync.Mutex
	keys  map[string]map[int]int
}

// New returns loads that take the state of targets from board.
func New(board *fulmarpick.Board) *Recorder {
	return &Recorder{board: board, keys: make(map[string]map[int]int)}
}

// Note records a request for a key of a service.
func (l *Recorder) Note(service string, key int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.keys[service]
	if m == nil {
		m = make(map[int]int)
		l.keys[service] = m
	}
	if _, ok := m[key]; ok || len(m) < maxKeys {
		m[key]++
	}
}

// Collect returns the load since the last call.
func (l *Recorder) Collect() (map[string][]fulmarsync.KeyCount, []fulmarsync.TargetLoad) {
	l.mu.Lock()
	keys := l.keys
	l.keys = make(map[string]map[int]int, len(keys))
	l.mu.Unlock()
	out := make(map[string][]fulmarsync.KeyCount, len(keys))
	for service, m := range keys {
		list := make([]fulmarsync.KeyCount, 0, len(m))
		for k, n := range m {
			list = append(list, fulmarsync.KeyCount{Key: k, Count: n})
		}
		out[service] = list
	}
	var targets []fulmarsync.TargetLoad
	for id, s := range l.board.Samples() {
		targets = append(targets, fulmarsync.TargetLoad{
			Target: id, Answered: s.Count, ResponseTime: s.Sum, Abandoned: s.Abandoned, AbandonedTime: s.Waited,
		})
	}
	return out, targets
}
