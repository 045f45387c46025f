package main

import (
	"fmt"
	"math/rand"
	"os"
	"sync"
	"time"
)

const (
	// restartDelay is the time after which a killed process is started again.
	restartDelay = 1250 * time.Millisecond
	// The store takes usualStore for an answer, and slowStore, 80 times as long, for slowFor.
	usualStore = 4 * time.Millisecond
	slowStore  = 80 * usualStore
	slowFor    = 3200 * time.Millisecond
	// excused is the time after a disturbance on a machine in which the end of its process does not count.
	excused = time.Second
)

// firstReport kills the processes of the strongest machines of a fleet of 40, the one that leads first, and starts each again after a
// short delay, some times, while the store is slow. No process may end by itself later than a second after its start.
func firstReport(record string, trouble bool) int {
	const rounds, weak, strong, upstreams, keyed = 14, 34, 6, 220, 130
	r, err := newRig(record)
	if err != nil {
		return fail(nil, "%v", err)
	}
	zones := []string{"za", "zb"}
	for i := range weak + strong {
		cpu, memory := 0.112, 136
		if i >= weak {
			cpu, memory = 0.8, 536
		}
		if _, err := r.addDaemon(zones[i%2], cpu, memory); err != nil {
			return fail(r, "%v", err)
		}
	}
	for i := range upstreams {
		service := "board"
		if i >= keyed {
			service = "desk"
		}
		if _, err := r.addUpstream(service, zones[i%2], i < keyed, 20*time.Millisecond); err != nil {
			return fail(r, "%v", err)
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
	r.note("all %d daemons are ready", len(r.daemons))
	var results tally
	var group sync.WaitGroup
	for _, d := range r.daemons[:weak] {
		group.Add(1)
		go func() {
			defer group.Done()
			c := &consumer{address: d.ip + ":8548"}
			defer c.close()
			for n := 0; ; n++ {
				select {
				case <-r.stop:
					return
				case <-time.After(80 * time.Millisecond):
				}
				path, key := "/pr/x", ""
				if n%2 == 0 {
					path, key = "/kr/x", fmt.Sprint(rand.Intn(65536))
				}
				a := c.do("GET", path, newID(), key, 1500*time.Millisecond, nil)
				results.add(fmt.Sprint(a.status))
			}
		}()
	}
	time.Sleep(5 * time.Second)
	for round := range rounds {
		if trouble {
			leader := r.byName(r.store.lastWriter())
			r.note("round %d: SIGKILL for %s, which last wrote under a condition, and the other %d of the strongest machines", round, leader.name, strong-1)
			r.store.setLatency(slowStore)
			time.AfterFunc(slowFor, func() { r.store.setLatency(usualStore) })
			time.Sleep(200 * time.Millisecond)
			victims := []*daemon{leader}
			for _, d := range r.daemons[weak:] {
				if d != leader {
					victims = append(victims, d)
				}
			}
			victims = victims[:strong]
			var restarts sync.WaitGroup
			for _, d := range victims {
				restarts.Go(func() {
					r.kill(d)
					time.Sleep(restartDelay)
					if err := r.startDaemon(d); err != nil {
						r.note("%s not started: %v", d.name, err)
					}
				})
				time.Sleep(50 * time.Millisecond)
			}
			restarts.Wait()
			r.note("round %d: each was started again %v after its kill", round, restartDelay)
		}
		for range 45 {
			time.Sleep(100 * time.Millisecond)
			r.restartCrashed()
		}
		r.note("round %d: answers so far by status: %s", round, results.String())
		if len(r.crashed()) > 0 {
			break
		}
	}
	crashes := r.crashed()
	for _, d := range r.daemons {
		r.notePanic(d)
	}
	r.note("processes that ended by themselves: %d", len(crashes))
	for _, c := range crashes {
		fmt.Println("ended by itself: " + c)
	}
	r.close(os.Getenv("KEEP") != "")
	group.Wait()
	if len(crashes) > 0 {
		return 1
	}
	return 0
}
