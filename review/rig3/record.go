package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run, and keeps the outcomes.
type record struct {
	mu       sync.Mutex
	began    time.Time
	file     *os.File
	out      *bufio.Writer
	requests []*request
	runs     map[string]int
	ended    []time.Time // when requests have crashed upstreams
}

// request is one consumer attempt.
type request struct {
	id, path string
	added    bool // on a route that was added later
	at       time.Time
	served   bool
	outcome  string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, out: bufio.NewWriter(f), runs: make(map[string]int)}, nil
}

// write writes one line; mu is held.
func (r *record) write(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f s  ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *record) sent(id, path string, added bool) *request {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := &request{id: id, path: path, added: added, at: time.Now()}
	r.requests = append(r.requests, x)
	r.write("sent      %s GET %s", id, path)
	return x
}

func (r *record) answered(x *request, outcome string, served bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x.served, x.outcome = served, outcome
	r.write("answered  %s %s", x.id, outcome)
}

func (r *record) ran(id, upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	r.write("ran       %s at %s", id, upstream)
}

// crashed notes that a request has crashed an upstream.
func (r *record) crashed(id, upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = append(r.ended, time.Now())
	r.write("crashed   %s by %s", upstream, id)
}

// crashes returns the number of upstreams that requests have crashed.
func (r *record) crashes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ended)
}

// retriesAfterThird returns when the third upstream crashed, since the start, and the number of requests with ids of the prefix that
// were sent later than ContactMs after that and have reached upstreams.
func (r *record) retriesAfterThird(prefix string) (third time.Duration, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ended) < 3 {
		return 0, 0
	}
	for _, x := range r.requests {
		if strings.HasPrefix(x.id, prefix) && x.at.Sub(r.ended[2]) > contact && r.runs[x.id] > 0 {
			n++
		}
	}
	return r.ended[2].Sub(r.began).Round(time.Millisecond), n
}

// tally counts the requests that were sent from one time to another and are settled.
type tally struct {
	addedSent, addedServed, firstSent, firstServed int
	outcomes                                       map[string]int // of those on added routes
}

func (r *record) tally(from, to time.Time) tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := tally{outcomes: make(map[string]int)}
	for _, x := range r.requests {
		if x.at.Before(from) || x.at.After(to) {
			continue
		}
		if x.added {
			t.addedSent++
			t.outcomes[x.outcome]++
		} else {
			t.firstSent++
		}
		switch {
		case x.served && x.added:
			t.addedServed++
		case x.served:
			t.firstServed++
		}
	}
	return t
}

// breaksConfig is the rule CONFIG as written: in steady state, machines in touch get 20 or more requests on routes that were added
// later, and serve them less than a quarter as often as those on the first routes.
func (t tally) breaksConfig() bool {
	if t.addedSent < 20 || t.firstSent == 0 {
		return false
	}
	return float64(t.addedServed)/float64(t.addedSent) < float64(t.firstServed)/float64(t.firstSent)/4
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
