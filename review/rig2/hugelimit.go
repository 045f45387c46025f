package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// hugeLimit is the limit that the upstreams state: the largest whole number of 64 bits, for one that is none in effect.
const hugeLimit = "9223372036854775807"

// cutRequest is a request of a kept connection that ended without an answer.
type cutRequest struct {
	daemon *daemon
	id     string
}

// hugeLimitCase lets the upstreams of a service state a very high limit, and kills the daemon that leads. No other daemon may end, or
// close kept connections without an answer to requests that it has passed on.
func hugeLimitCase(record string, trouble bool) int {
	r, err := newRig(record)
	if err != nil {
		return fail(nil, "%v", err)
	}
	zones := []string{"za", "zb"}
	for i := range 5 {
		if _, err := r.addDaemon(zones[i%2], 0.224, 206); err != nil {
			return fail(r, "%v", err)
		}
	}
	for i := range 18 {
		service := "desk"
		if i < 3 {
			service = "board"
		}
		u, err := r.addUpstream(service, zones[i%2], i < 3, 150*time.Millisecond)
		if err != nil {
			return fail(r, "%v", err)
		}
		if i >= 3 {
			u.intercept = func(_ *upstream, w http.ResponseWriter, _ *http.Request) bool {
				w.Header().Set("Server-Limit", hugeLimit)
				return false
			}
		}
	}
	go r.beat()
	time.Sleep(300 * time.Millisecond)
	r.configure("board", "desk")
	for _, d := range r.daemons {
		if err := r.startDaemon(d); err != nil {
			return fail(r, "%v", err)
		}
	}
	if !r.awaitReady(20 * time.Second) {
		return fail(r, "daemons are not ready")
	}
	time.Sleep(3 * time.Second)
	var results tally
	var group sync.WaitGroup
	var mu sync.Mutex
	var cut []cutRequest
	for _, d := range r.daemons {
		for range 10 {
			group.Go(func() {
				c := &consumer{address: d.ip + ":8548"}
				defer c.close()
				for answered := 0; ; {
					select {
					case <-r.stop:
						return
					case <-time.After(30 * time.Millisecond):
					}
					kept, id := c.conn != nil && answered > 0, newID()
					a := c.do("GET", "/pr/x", id, "", 1500*time.Millisecond, nil)
					results.add(fmt.Sprint(a.status))
					answered++
					if a.status == 0 {
						answered = 0
						if kept {
							mu.Lock()
							cut = append(cut, cutRequest{d, id})
							mu.Unlock()
						}
					}
				}
			})
		}
	}
	time.Sleep(6 * time.Second)
	r.note("answers by status after 6 s, with Server-Limit: %s in the answers of the service: %s", hugeLimit, results.String())
	var killed *daemon
	if trouble {
		killed = r.byName(r.store.lastWriter())
		r.note("SIGKILL for %s, which last wrote under a condition", killed.name)
		r.signal(killed, syscall.SIGKILL)
	}
	time.Sleep(4 * time.Second)
	r.note("answers by status: %s", results.String())
	crashes, lost, most := r.crashed(), 0, 0
	byDaemon := map[*daemon]int{}
	mu.Lock()
	for _, c := range cut {
		r.mu.Lock()
		ran := len(r.runs[c.id]) > 0
		r.mu.Unlock()
		if c.daemon != killed && ran {
			lost++
			byDaemon[c.daemon]++
			most = max(most, byDaemon[c.daemon])
			r.note("request %s to %s ran at an upstream and its kept connection was closed without an answer", c.id, c.daemon.name)
		}
	}
	mu.Unlock()
	r.note("processes that ended by themselves: %d; requests that were passed on and lost by machines in touch: %d, by one of them %d (three are allowed)", len(crashes), lost, most)
	for _, d := range r.daemons {
		r.notePanic(d)
	}
	for _, c := range crashes {
		fmt.Println("ended by itself: " + c)
	}
	fmt.Printf("requests lost by machines in touch: %d, by one of them %d\n", lost, most)
	r.close(false)
	group.Wait()
	if most > 3 {
		return 1
	}
	return 0
}
