package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeat = 870 * time.Millisecond
	slots     = 3
	queue     = 12
	lastKey   = 65535
)

// upstream is one lifetime of an upstream of PROTOCOL.md.
type upstream struct {
	id, service string
	zone        string
	keyed       bool
	work        func(path string) time.Duration
	deadly      func(r *http.Request) bool // reports whether the request crashes the upstream that runs it; may be nil
	crashed     sync.Once
	born        int64
	listener    net.Listener
	server      *http.Server
	record      *record
	store       *store
	ended       chan struct{}
	slots       chan struct{}

	mu       sync.Mutex
	draining bool
	dark     bool // it is silent
	admitted int
	sequence int
	releases int
	fences   [lastKey + 1]int64
	until    [lastKey + 1]time.Time
	busy     map[int]int
	idle     chan struct{} // closed and replaced when a request with a key ends
}

// startUpstream starts a lifetime on a free port and registers it.
func startUpstream(s *store, r *record, service, id string, keyed bool, work func(path string) time.Duration) (*upstream, error) {
	return startUpstreamIn(zone, s, r, service, id, keyed, work)
}

// startUpstreamIn is startUpstream for a zone.
func startUpstreamIn(zone string, s *store, r *record, service, id string, keyed bool, work func(path string) time.Duration) (*upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &upstream{
		id: id, service: service, zone: zone, keyed: keyed, work: work, born: time.Now().UnixMilli(), listener: l, record: r, store: s,
		ended: make(chan struct{}), slots: make(chan struct{}, slots), busy: make(map[int]int), idle: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fulmarbend/grant", u.grant)
	mux.HandleFunc("POST /fulmarbend/release", u.release)
	mux.HandleFunc("/", u.serve)
	u.server = &http.Server{Handler: u.unlessDark(mux), IdleTimeout: 10 * time.Second}
	go func() { _ = u.server.Serve(l) }()
	r.note("upstream %s of %s starts at %s", id, service, l.Addr())
	u.report()
	go u.sendHeartbeats()
	return u, nil
}

func (u *upstream) key() string { return "servers/" + u.id }

func (u *upstream) sendHeartbeats() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			u.report()
		case <-u.ended:
			return
		}
	}
}

// report writes the upstream's entry, unless it has ended.
func (u *upstream) report() {
	u.mu.Lock()
	defer u.mu.Unlock()
	select {
	case <-u.ended:
		return
	default:
	}
	if u.dark {
		return
	}
	u.sequence++
	state := "ready"
	if u.draining {
		state = "draining"
	}
	text, _ := json.Marshal(map[string]any{
		"Address": u.listener.Addr().String(), "born": u.born,
		"Info":   map[string]any{"Service": u.service, "Version": "v1", "Zone": u.zone, "Capacity": slots},
		"Status": map[string]any{"State": state, "Sequence": u.sequence, "ColdLeftMs": 0},
	})
	u.store.set(u.key(), text)
}

// crash ends the process at once; the entry lapses after three intervals of silence.
func (u *upstream) crash() {
	u.end("crashes")
	u.lapse()
}

// lapse removes the entry of this lifetime after three intervals of silence, as the platform does.
func (u *upstream) lapse() {
	time.AfterFunc(3*heartbeat, func() {
		u.store.mu.Lock()
		i := u.store.items[u.key()]
		u.store.mu.Unlock()
		var in struct {
			Born int64 `json:"born"`
		}
		if json.Unmarshal(i.Value, &in) == nil && in.Born == u.born {
			u.store.remove(u.key())
		}
	})
}

// fallSilent makes the upstream answer nothing and report nothing any more; its entry lapses.
func (u *upstream) fallSilent() {
	u.mu.Lock()
	u.dark = true
	u.mu.Unlock()
	u.record.note("upstream %s of %s falls silent", u.id, u.service)
	u.lapse()
}

// unlessDark returns a handler that answers nothing while the upstream is silent.
func (u *upstream) unlessDark(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		u.mu.Lock()
		dark := u.dark
		u.mu.Unlock()
		if dark {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// leave reports that the upstream is draining, serves on for DrainMs and a little longer, and exits; its entry is removed then.
func (u *upstream) leave() {
	u.mu.Lock()
	u.draining = true
	u.mu.Unlock()
	u.record.note("upstream %s of %s reports draining", u.id, u.service)
	u.report()
	time.AfterFunc(drain+200*time.Millisecond, func() {
		u.end("exits")
		u.store.remove(u.key())
	})
}

func (u *upstream) end(how string) {
	u.mu.Lock()
	close(u.ended)
	u.mu.Unlock()
	_ = u.server.Close()
	u.record.note("upstream %s of %s %s", u.id, u.service, how)
}

type order struct {
	From, Target int
	Fence        int64 `json:"fence"`
	HoldMs       int64
}

// readOrder reads an order that is meant for this upstream.
func (u *upstream) readOrder(w http.ResponseWriter, r *http.Request) (o order, ok bool) {
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.From < 0 || o.Target > lastKey || o.From > o.Target {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	return o, true
}

func (u *upstream) grant(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	o, ok := u.readOrder(w, r)
	if !ok {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for k := o.From; k <= o.Target; k++ {
		if u.fences[k] > o.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	for k := o.From; k <= o.Target; k++ {
		u.fences[k], u.until[k] = o.Fence, arrived.Add(time.Duration(o.HoldMs)*time.Millisecond)
	}
}

func (u *upstream) release(w http.ResponseWriter, r *http.Request) {
	o, ok := u.readOrder(w, r)
	if !ok {
		return
	}
	u.mu.Lock()
	for k := o.From; k <= o.Target; k++ {
		u.until[k] = time.Time{}
	}
	for u.works(o) {
		idle := u.idle
		u.mu.Unlock()
		select {
		case <-idle:
		case <-r.Context().Done():
			return
		}
		u.mu.Lock()
	}
	u.releases++
	n := u.releases
	u.mu.Unlock()
	w.Header().Set("X-Handover", fmt.Sprintf("%s-%d-%d", u.id, u.born, n))
}

// works reports whether a request runs on one of the keys; mu is held.
func (u *upstream) works(o order) bool {
	for k, n := range u.busy {
		if n > 0 && k >= o.From && k <= o.Target {
			return true
		}
	}
	return false
}

// holding returns the number of keys that the upstream holds.
func (u *upstream) holding() (n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	for _, t := range u.until {
		if t.After(now) {
			n++
		}
	}
	return n
}

// refuse answers a request that is not run.
func (u *upstream) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != u.id {
		u.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	key, err := -1, error(nil)
	if u.keyed {
		if key, err = strconv.Atoi(r.Header.Get("X-Shard-Key")); err != nil || key < 0 || key > lastKey {
			u.refuse(w, http.StatusBadRequest)
			return
		}
	}
	u.mu.Lock()
	full := u.admitted >= slots+queue
	held := key < 0 || u.until[max(key, 0)].After(time.Now())
	if !full && held {
		u.admitted++
	}
	u.mu.Unlock()
	if full || !held {
		u.refuse(w, map[bool]int{true: http.StatusServiceUnavailable, false: http.StatusMisdirectedRequest}[full])
		return
	}
	defer func() {
		u.mu.Lock()
		u.admitted--
		u.mu.Unlock()
	}()
	select {
	case u.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-u.slots }()
	u.run(w, r, id, key)
}

// run runs a request that has a slot.
func (u *upstream) run(w http.ResponseWriter, r *http.Request, id string, key int) {
	u.mu.Lock()
	if key >= 0 && !u.until[key].After(time.Now()) {
		u.mu.Unlock()
		u.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	u.busy[key]++
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.busy[key]--
		close(u.idle)
		u.idle = make(chan struct{})
		u.mu.Unlock()
	}()
	u.record.ran(id, u.id)
	if u.deadly != nil && u.deadly(r) {
		go u.crashed.Do(func() {
			u.record.crashed(id, u.id)
			u.crash()
		})
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(u.work(r.URL.Path)):
	case <-r.Context().Done(): // the caller has left
		return
	}
	body := id + " " + u.id
	w.Header().Set("X-Response-Signature", "of "+id)
	w.Header().Set("X-Instance-Load", fmt.Sprintf("%d,0,%d", len(u.slots), slots))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body))
}
