package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// rotation is the platform's ingress: it asks each daemon once a second whether it is ready, and takes it out of the rotation
// after two misses.
type rotation struct {
	daemons []*daemon
	mu      sync.Mutex
	misses  []int
}

func startRotation(daemons []*daemon, stop <-chan struct{}) *rotation {
	r := &rotation{daemons: daemons, misses: make([]int, len(daemons))}
	for i, d := range daemons {
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
				}
				ready := d.isReady()
				r.mu.Lock()
				if r.misses[i]++; ready {
					r.misses[i] = 0
				}
				r.mu.Unlock()
			}
		}()
	}
	return r
}

// pick returns the index of a daemon that gets a new connection.
func (r *rotation) pick() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var in []int
	for i, n := range r.misses {
		if n < 2 {
			in = append(in, i)
		}
	}
	if 2*len(in) < len(r.daemons) {
		return rand.IntN(len(r.daemons))
	}
	return in[rand.IntN(len(in))]
}
