package main

import (
	"fmt"
	"time"
)

const (
	boards     = 7                       // upstreams of the service that is divided by key; one of them is 0.143
	boardDown  = 4500 * time.Millisecond // for which an upstream is down
	boardPause = 3500 * time.Millisecond // between the return of one and the end of the next
	steadySpan = 20 * time.Second
	spread     = (lastKey + 1) / 16 // between the keys of two consumers
)

// playRestarts lets each upstream of a service that is divided by key crash once, one after another, and start again under its id at
// another address, as an upstream may.
func playRestarts(g *rig) (int, error) {
	work := func(string) time.Duration { return 60 * time.Millisecond }
	list := make([]*upstream, boards)
	for i := range list {
		var err error
		if list[i], err = startUpstream(g.store, g.record, "board", fmt.Sprintf("board-%d", i), true, work); err != nil {
			return failed, err
		}
	}
	for i := range 3 {
		if _, err := startUpstream(g.store, g.record, "desk", fmt.Sprintf("desk-%d", i), false, work); err != nil {
			return failed, err
		}
	}
	keyed := map[string]bool{"board": true, "desk": false}
	first := route{"first", "/first/", "desk", 800 * time.Millisecond, 300 * time.Millisecond}
	g.configure(3, keyed, first)
	if err := g.start(3); err != nil {
		return failed, err
	}
	for i := range 6 {
		g.consume(&consumer{name: fmt.Sprintf("a%d", i), first: i, path: fmt.Sprintf("/first/%d", i), key: -1, period: 250 * time.Millisecond, deadline: 800 * time.Millisecond})
	}
	time.Sleep(2 * time.Second)
	g.configure(7, keyed, first, route{"added", "/added/", "board", 800 * time.Millisecond, 300 * time.Millisecond})
	time.Sleep(2500 * time.Millisecond)
	for i := range 12 {
		g.consume(&consumer{name: fmt.Sprintf("b%d", i), first: i, path: fmt.Sprintf("/added/%d", i), key: i * spread, added: true, period: 250 * time.Millisecond, deadline: 800 * time.Millisecond})
	}
	time.Sleep(4 * time.Second)
	if g.trouble {
		for i, u := range list {
			u.crash()
			time.Sleep(boardDown)
			next, err := startUpstream(g.store, g.record, "board", u.id, true, work)
			if err != nil {
				return failed, err
			}
			list[i] = next
			time.Sleep(boardPause)
		}
	}
	time.Sleep(contact + 2*time.Second + steadySpan)
	for _, u := range list {
		g.record.note("upstream %s is up and holds %d keys", u.id, u.holding())
	}
	return g.check(steadySpan), nil
}
