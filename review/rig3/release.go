package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

const (
	desks         = 8                       // upstreams of the service
	released      = 4                       // of them that are replaced: 0.5
	atOnce        = 2                       // that are replaced together
	releaseGap    = time.Second             // between two steps of the release
	patience      = 300 * time.Millisecond  // half the objective of the added route
	impatientTime = 5800 * time.Millisecond // for which consumers leave early
)

// playRelease replaces half of the upstreams of a service, two at a time, each with notice, while those consumers that read the one
// report leave before their time budget.
func playRelease(g *rig) (int, error) {
	work := func(path string) time.Duration {
		if path == "/report/today" {
			return 450 * time.Millisecond
		}
		return 60 * time.Millisecond
	}
	var list []*upstream
	for i := range desks {
		u, err := startUpstream(g.store, g.record, "desk", fmt.Sprintf("desk-%d", i), false, work)
		if err != nil {
			return failed, err
		}
		list = append(list, u)
	}
	keyed := map[string]bool{"desk": false}
	first := route{"first", "/first/", "desk", 1500 * time.Millisecond, 300 * time.Millisecond}
	g.configure(3, keyed, first)
	if err := g.start(9); err != nil {
		return failed, err
	}
	for i := range 21 {
		g.consume(&consumer{name: fmt.Sprintf("a%d", i), first: i, path: fmt.Sprintf("/first/%d", i), key: -1, period: 300 * time.Millisecond, deadline: 1500 * time.Millisecond})
	}
	time.Sleep(2 * time.Second)
	g.configure(7, keyed, first, route{"added", "/report/", "desk", 1500 * time.Millisecond, 600 * time.Millisecond})
	time.Sleep(2500 * time.Millisecond)
	var leaving atomic.Bool
	for i := range 9 { // of 30 consumers: 0.3
		g.consume(&consumer{
			name: fmt.Sprintf("b%d", i), first: i, path: "/report/today", key: -1, added: true, period: 300 * time.Millisecond, deadline: 1500 * time.Millisecond,
			leaves: func() time.Duration {
				if leaving.Load() {
					return patience
				}
				return 0
			},
		})
	}
	time.Sleep(5 * time.Second)
	if g.trouble {
		leaving.Store(true)
		g.record.note("9 of 30 consumers leave after %v from now on", patience)
		began := time.Now()
		time.Sleep(600 * time.Millisecond)
		for i := range released {
			if i > 0 && i%atOnce == 0 {
				time.Sleep(releaseGap)
			}
			if _, err := startUpstream(g.store, g.record, "desk", fmt.Sprintf("desk-%d", desks+i), false, work); err != nil {
				return failed, err
			}
			list[i].leave()
		}
		time.Sleep(time.Until(began.Add(impatientTime)))
		leaving.Store(false)
		g.record.note("all consumers wait for their time budget again")
	}
	time.Sleep(contact + 5*time.Second + steadySpan)
	return g.check(steadySpan), nil
}
