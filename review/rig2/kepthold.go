package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// overlap returns a range of keys that two upstreams hold now by grants that were not carried out late.
func overlap(a, b *upstream) (x, y hold, found bool) {
	now := time.Now()
	a.mu.Lock()
	left := append([]hold{}, a.holds...)
	a.mu.Unlock()
	b.mu.Lock()
	right := append([]hold{}, b.holds...)
	b.mu.Unlock()
	for _, x := range left {
		for _, y := range right {
			if !x.late && !y.late && x.until.After(now) && y.until.After(now) && x.from <= y.to && y.from <= x.to {
				return x, y, true
			}
		}
	}
	return x, y, false
}

// keptHold lets the store be silent for a moment, and then one upstream leave orders unanswered. No two upstreams may hold the same keys
// for over half a second.
func keptHold(record string, trouble bool) int {
	const longest = 500 * time.Millisecond
	r, err := newRig(record)
	if err != nil {
		return fail(nil, "%v", err)
	}
	zones := []string{"za", "zb"}
	for i := range 4 {
		if _, err := r.addDaemon(zones[i%2], 0.224, 206); err != nil {
			return fail(r, "%v", err)
		}
	}
	var owners []*upstream
	for i := range 6 {
		u, err := r.addUpstream([]string{"board", "desk"}[i/4], zones[i%2], i < 4, 20*time.Millisecond)
		if err != nil {
			return fail(r, "%v", err)
		}
		if i < 4 {
			owners = append(owners, u)
		}
	}
	var ignoring [4]atomic.Int32 // by upstream: -1 to ignore all orders, else the number of grants to ignore
	for i, u := range owners {
		u.ignores = func(req *http.Request) bool {
			if !strings.HasPrefix(req.URL.Path, "/fulmarbend/") {
				return false
			}
			switch n := ignoring[i].Load(); {
			case n < 0:
				return true
			case n > 0 && req.URL.Path == "/fulmarbend/grant":
				ignoring[i].Add(-1)
				return true
			}
			return false
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
	var results tally
	var group sync.WaitGroup
	for _, d := range r.daemons {
		group.Go(func() {
			c := &consumer{address: d.ip + ":8548"}
			defer c.close()
			for {
				select {
				case <-r.stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				a := c.do("GET", "/kr/x", newID(), fmt.Sprint(rand.Intn(65536)), 1500*time.Millisecond, nil)
				results.add(fmt.Sprint(a.status))
			}
		})
	}
	var broken atomic.Int32
	group.Go(func() {
		since := map[[2]int]time.Time{}
		told := map[[2]int]bool{}
		for {
			select {
			case <-r.stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			for i := range owners {
				for j := range i {
					pair := [2]int{i, j}
					x, y, found := overlap(owners[i], owners[j])
					if !found {
						delete(since, pair)
						delete(told, pair)
						continue
					}
					if since[pair].IsZero() {
						since[pair] = time.Now()
					}
					if held := time.Since(since[pair]); held > longest && !told[pair] {
						told[pair] = true
						broken.Add(1)
						r.note("OWNER: %s holds %d to %d (fence %d) for %v more, and %s holds %d to %d (fence %d), for %v so far", owners[i].id, x.from, x.to, x.fence,
							time.Until(x.until).Round(time.Millisecond), owners[j].id, y.from, y.to, y.fence, held.Round(time.Millisecond))
					}
				}
			}
		}
	})
	time.Sleep(6 * time.Second)
	for round := range 5 {
		if trouble {
			i := round % len(owners)
			r.note("round %d: the store is silent for 0.7 s", round)
			r.store.setAway(true)
			time.Sleep(700 * time.Millisecond)
			r.store.setAway(false)
			time.Sleep(300 * time.Millisecond)
			r.note("round %d: %s leaves a grant unanswered", round, owners[i].id)
			ignoring[i].Store(1)
			time.Sleep(1300 * time.Millisecond)
			r.note("round %d: %s leaves all orders unanswered for 4 s and goes on with requests", round, owners[i].id)
			ignoring[i].Store(-1)
			time.Sleep(4 * time.Second)
			ignoring[i].Store(0)
		} else {
			time.Sleep(6500 * time.Millisecond)
		}
		time.Sleep(6 * time.Second)
		r.note("round %d: answers by status: %s", round, results.String())
		if broken.Load() > 0 {
			break
		}
	}
	n := broken.Load()
	fmt.Printf("keys that two upstreams held for over half a second: %d times\n", n)
	r.close(os.Getenv("KEEP") != "")
	group.Wait()
	if n > 0 {
		return 1
	}
	return 0
}
