package fulmardispatch

import (
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarplan"
)

const (
	hotKeys  = 128 // most keys followed at once
	hotShare = 32  // a key that uses at least 1/hotShare of the time is reported
)

// place is a key within a slot.
type place struct {
	slot int
	hash uint64
}

// loads counts server time by slot, and by key with the Misra-Gries summary, which bounds the
// number of keys that are followed and never misses a key with a large share.
type loads struct {
	slots map[int]time.Duration
	keys  map[place]time.Duration
	total time.Duration
}

func (l *loads) add(slot int, hash uint64, used time.Duration) {
	if l.slots == nil {
		l.slots, l.keys = make(map[int]time.Duration), make(map[place]time.Duration, hotKeys)
	}
	l.slots[slot] += used
	l.total += used
	p := place{slot, hash}
	if _, ok := l.keys[p]; ok || len(l.keys) < hotKeys {
		l.keys[p] += used
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
		l.keys[p] = used - least
	}
}

// take returns the loads and starts anew.
func (l *loads) take(service string) []fulmarplan.Load {
	dst := make([]fulmarplan.Load, 0, len(l.slots))
	for n, used := range l.slots {
		dst = append(dst, fulmarplan.Load{Service: service, Slot: n, Used: used})
	}
	for p, used := range l.keys {
		if used*hotShare >= l.total {
			dst = append(dst, fulmarplan.Load{Service: service, Slot: p.slot, Hash: p.hash, Used: used})
		}
	}
	*l = loads{}
	return dst
}
