package main

import (
	"fmt"
	"net/http"
	"time"
)

// playCaller lets one consumer send a request that crashes each upstream that runs it, again and again. Other consumers send requests
// of the same path, which crash nothing. The rule is BUDGET: such a request reaches upstreams in three retries at most, of those
// sent later than ContactMs after it has crashed the third.
func playCaller(g *rig) (int, error) {
	const (
		upstreams = 8
		back      = 3 * time.Second // after which a crashed upstream is back
		times     = 8               // that the request comes
		bad       = "Accept-Language: xx\r\n"
	)
	work := func(string) time.Duration { return 60 * time.Millisecond }
	n := 0
	var start func() error
	start = func() error {
		n++
		u, err := startUpstream(g.store, g.record, "desk", fmt.Sprintf("desk-%d", n), false, work)
		if err != nil {
			return err
		}
		u.deadly = func(r *http.Request) bool { return r.Header.Get("Accept-Language") == "xx" }
		return nil
	}
	for range upstreams {
		if err := start(); err != nil {
			return failed, err
		}
	}
	keyed := map[string]bool{"desk": false}
	first := route{"first", "/first/", "desk", 1500 * time.Millisecond, 300 * time.Millisecond}
	g.configure(3, keyed, first)
	if err := g.start(3); err != nil {
		return failed, err
	}
	for i := range 6 {
		g.consume(&consumer{name: fmt.Sprintf("a%d", i), first: i, path: fmt.Sprintf("/first/%d", i), key: -1, period: 300 * time.Millisecond, deadline: 1500 * time.Millisecond})
	}
	time.Sleep(2 * time.Second)
	g.configure(7, keyed, first, route{"added", "/report/", "desk", 1500 * time.Millisecond, 300 * time.Millisecond})
	time.Sleep(2500 * time.Millisecond)
	for i := range 15 {
		g.consume(&consumer{name: fmt.Sprintf("b%d", i), first: i, path: "/report/today", key: -1, added: true, period: 200 * time.Millisecond, deadline: 1500 * time.Millisecond})
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	if g.trouble {
		c := &consumer{name: "bad", path: "/report/today", key: -1, deadline: 1500 * time.Millisecond, header: bad, once: true}
		g.prepare(c)
		for range times {
			before := g.record.crashes()
			c.request()
			c.close()
			time.Sleep(back)
			for range g.record.crashes() - before {
				if err := start(); err != nil {
					return failed, err
				}
			}
		}
	}
	time.Sleep(3 * time.Second)
	close(g.stopped)
	g.group.Wait()
	return g.checkRetries("bad-"), nil
}

// checkRetries checks the rule BUDGET for the requests of a consumer, which crash upstreams.
func (g *rig) checkRetries(prefix string) int {
	third, retries := g.record.retriesAfterThird(prefix)
	t := g.record.tally(g.record.began, time.Now())
	text := fmt.Sprintf("%d upstreams crashed; %d retries reached upstreams later than ContactMs after the third (%v after the start); others: of %d requests of the same path %d were served, of %d on the first route %d",
		g.record.crashes(), retries, third, t.addedSent, t.addedServed, t.firstSent, t.firstServed)
	g.record.note("%s", text)
	fmt.Println(text)
	switch {
	case g.fleet.ended():
		fmt.Println("a daemon has ended by itself")
		return failed
	case retries > 3:
		fmt.Println("BUDGET is broken")
		return broken
	case t.firstServed*2 < t.firstSent:
		fmt.Println("too little was served to judge")
		return failed
	}
	fmt.Println("BUDGET holds")
	return held
}
