package main

import (
	"fmt"
	"time"
)

// playZones lets the upstreams of one zone after another fall silent and crash. New ones start in their place, with new ids.
func playZones(g *rig) (int, error) {
	const (
		silent = 4500 * time.Millisecond // for which the upstreams of a zone are silent
		pause  = 5500 * time.Millisecond // between the start of the new ones and the next zone
		tables = 264                     // consumers of the added route, with a key each; 0.8 of what the upstreams can do
	)
	zones := []struct {
		name      string
		upstreams int
	}{{"odda", 3}, {"norheimsund", 3}, {"eidfjord", 3}, {"ulvik", 2}}
	slow := func(string) time.Duration { return 200 * time.Millisecond }
	quick := func(string) time.Duration { return 60 * time.Millisecond }
	running := make(map[string][]*upstream)
	n := 0
	start := func(zone string) error {
		n++
		u, err := startUpstreamIn(zone, g.store, g.record, "board", fmt.Sprintf("board-%d", n), true, slow)
		running[zone] = append(running[zone], u)
		return err
	}
	for _, z := range zones {
		for range z.upstreams {
			if err := start(z.name); err != nil {
				return failed, err
			}
		}
	}
	for i := range 3 {
		if _, err := startUpstream(g.store, g.record, "desk", fmt.Sprintf("desk-%d", i), false, quick); err != nil {
			return failed, err
		}
	}
	keyed := map[string]bool{"board": true, "desk": false}
	first := route{"first", "/first/", "desk", 1500 * time.Millisecond, 400 * time.Millisecond}
	g.configure(3, keyed, first)
	if err := g.start(4); err != nil {
		return failed, err
	}
	for i := range 6 {
		g.consume(&consumer{name: fmt.Sprintf("a%d", i), first: i, path: fmt.Sprintf("/first/%d", i), key: -1, period: 250 * time.Millisecond, deadline: 1500 * time.Millisecond})
	}
	time.Sleep(2 * time.Second)
	g.configure(7, keyed, first, route{"added", "/added/", "board", 1500 * time.Millisecond, 400 * time.Millisecond})
	time.Sleep(2500 * time.Millisecond)
	for i := range tables {
		g.consume(&consumer{name: fmt.Sprintf("b%d", i), first: i, path: fmt.Sprintf("/added/%d", i), key: i * (lastKey + 1) / tables, added: true, period: 2 * time.Second, deadline: 1500 * time.Millisecond})
		time.Sleep(2 * time.Second / tables)
	}
	time.Sleep(5 * time.Second)
	if g.trouble {
		for _, z := range zones[:3] {
			old := running[z.name]
			running[z.name] = nil
			for _, u := range old {
				u.fallSilent()
			}
			time.Sleep(silent)
			for _, u := range old {
				u.end("crashes")
			}
			for range old {
				if err := start(z.name); err != nil {
					return failed, err
				}
			}
			time.Sleep(pause)
		}
	}
	time.Sleep(contact + 2*time.Second + steadySpan)
	for _, z := range zones {
		for _, u := range running[z.name] {
			g.record.note("upstream %s of zone %s is up and holds %d keys", u.id, z.name, u.holding())
		}
	}
	return g.check(steadySpan), nil
}
