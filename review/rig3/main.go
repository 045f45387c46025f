// Command rig3 plays the scripts of the cases 11 to 15: it starts daemons as separate processes, with a stand-in of the platform's
// store, of upstreams and of consumers, and checks one rule by what these have seen.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"os"
	"runtime"
	"sync"
	"time"
)

const host = "rig.example"

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// rig is a running case.
type rig struct {
	program string
	store   *store
	record  *record
	fleet   *fleet
	trouble bool
	stopped chan struct{}
	group   sync.WaitGroup

	consumers int
}

// route is a row of the table Routes.
type route struct {
	name, prefix, service string
	timeout, goal         time.Duration
}

// start starts the daemons, once there are a configuration and upstreams.
func (g *rig) start(daemons int) (err error) {
	g.fleet, err = startFleet(g.program, daemons, g.store, g.record)
	return err
}

// configure writes a version of the configuration as the operator does. All its routes are safe.
func (g *rig) configure(version int, keyed map[string]bool, routes ...route) {
	var rows, services [][]any
	for _, x := range routes {
		rows = append(rows, []any{x.name, host, x.prefix, "safe", x.timeout.Milliseconds(), x.goal.Milliseconds(), 1, 3, x.service})
	}
	for name, sharded := range keyed {
		services = append(services, []any{name, "/health", 292, sharded})
	}
	text, _ := json.Marshal(map[string]any{
		"Version":  fmt.Sprintf("r%d", version),
		"Routes":   map[string]any{"Columns": []string{"Name", "Host", "Prefix", "Kind", "TimeoutMs", "LatencyGoalMs", "Priority", "Attempts", "Service"}, "Rows": rows},
		"Services": map[string]any{"Columns": []string{"Name", "HealthPath", "MaxConns", "Sharded"}, "Rows": services},
		"Limits":   map[string]any{"MaxHeaderBytes": 8192, "MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	g.store.set("op/config", text)
	g.record.note("operator writes version r%d with %d routes", version, len(routes))
}

// consume starts a consumer.
func (g *rig) consume(c *consumer) {
	g.prepare(c)
	g.group.Add(1)
	go c.run(g.stopped, &g.group)
}

// prepare makes a consumer ready to send requests.
func (g *rig) prepare(c *consumer) {
	g.consumers++
	c.daemons, c.record, c.address = g.fleet.daemons, g.record, net.IPv4(127, 0, byte(1+g.consumers/200), byte(1+g.consumers%200))
	if c.leaves == nil {
		c.leaves = func() time.Duration { return 0 }
	}
}

// check checks the rule CONFIG for the requests of the last span, all of it steady.
func (g *rig) check(span time.Duration) int {
	close(g.stopped)
	g.group.Wait()
	now := time.Now()
	t := g.record.tally(now.Add(-span), now.Add(-time.Second))
	text := fmt.Sprintf("steady state: of %d requests on added routes %d were served, of %d on the first routes %d; outcomes on added routes: %v",
		t.addedSent, t.addedServed, t.firstSent, t.firstServed, t.outcomes)
	g.record.note("%s", text)
	fmt.Println(text)
	switch {
	case g.fleet.ended():
		fmt.Println("a daemon has ended by itself")
		return failed
	case t.breaksConfig():
		fmt.Println("CONFIG is broken")
		return broken
	case t.addedSent < 20 || t.firstServed*2 < t.firstSent:
		fmt.Println("too little was sent or served to judge")
		return failed
	}
	fmt.Println("CONFIG holds")
	return held
}

func main() {
	runtime.LockOSThread() // the daemons end with the thread that has started them
	program := flag.String("program", "target/fulmarbend", "path of the daemon")
	name := flag.String("case", "", "restarts, release, zones or caller")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	keep := flag.Bool("keep", false, "keep the logs of the daemons")
	flag.Parse()
	os.Exit(play(*program, *name, *path, *keep))
}

func play(program, name, path string, keep bool) int {
	cases := map[string]func(*rig) (int, error){"restarts": playRestarts, "release": playRelease, "zones": playZones, "caller": playCaller}
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return failed
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer r.close()
	s, err := newStore()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	g := &rig{program: program, store: s, record: r, trouble: os.Getenv("TROUBLE") != "0", stopped: make(chan struct{}), fleet: &fleet{}}
	defer func() { g.fleet.stop(keep) }()
	code, err := run(g)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	return code
}
