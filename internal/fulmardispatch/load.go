package fulmardispatch

import (
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarplan"
)

const (
	maxTrackedKeys     = 128 // bound on the number of tracked keys
	hotKeyShareDivisor = 32  // a key that uses at least 1/hotKeyShareDivisor of the server time is reported
)

// slotKey identifies a key within a slot by its hash.
type slotKey struct {
	slot int
	hash uint64
}

// loadCounter counts server time by slot and by key. The keys form a Misra-Gries
// summary, which bounds the number of tracked keys and never misses a key with
// a large share.
type loadCounter struct {
	slots map[int]time.Duration
	keys  map[slotKey]time.Duration
	total time.Duration
}

func (l *loadCounter) add(slot int, hash uint64, used time.Duration) {
	if l.slots == nil {
		l.slots, l.keys = make(map[int]time.Duration), make(map[slotKey]time.Duration, maxTrackedKeys)
	}
	l.slots[slot] += used
	l.total += used
	key := slotKey{slot, hash}
	if _, ok := l.keys[key]; ok || len(l.keys) < maxTrackedKeys {
		l.keys[key] += used
		return
	}
	least := used
	for _, v := range l.keys {
		least = min(least, v)
	}
	for k, v := range l.keys {
		if v <= least {
			delete(l.keys, k)
		} else {
			l.keys[k] = v - least
		}
	}
	if used > least {
		l.keys[key] = used - least
	}
}

// flush returns the loads and resets the counter.
func (l *loadCounter) flush(service string) []fulmarplan.Load {
	dst := make([]fulmarplan.Load, 0, len(l.slots))
	for n, used := range l.slots {
		dst = append(dst, fulmarplan.Load{Service: service, Slot: n, Used: used})
	}
	for key, used := range l.keys {
		if used*hotKeyShareDivisor >= l.total {
			dst = append(dst, fulmarplan.Load{Service: service, Slot: key.slot, Hash: key.hash, Used: used})
		}
	}
	*l = loadCounter{}
	return dst
}
