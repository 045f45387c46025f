package main

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// hold is a range of keys that an upstream holds.
type hold struct {
	from, to int
	fence    int64
	until    time.Time
	late     bool // the grant was carried out late
}

// upstream is a stand-in of one upstream.
type upstream struct {
	rig       *rig
	id        string
	service   string
	zone      string
	address   string
	keyed     bool
	slots     int
	work      time.Duration
	born      int64
	four      bool // its load has a fourth figure
	mu        sync.Mutex
	state     string
	sequence  int
	holds     []hold
	fences    []int64
	running   map[int]int
	inUse     int
	releases  int
	ended     chan struct{}
	server    *http.Server
	ignores   func(r *http.Request) bool // orders that get no answer in time
	intercept func(u *upstream, w http.ResponseWriter, r *http.Request) bool
}

func (u *upstream) start() error {
	l, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	if u.keyed {
		u.fences = make([]int64, 65536)
	}
	u.running, u.ended, u.state = map[int]int{}, make(chan struct{}), "ready"
	u.born = time.Now().UnixMilli()
	u.server = &http.Server{Handler: http.HandlerFunc(u.handle), IdleTimeout: 10 * time.Second}
	go func() { _ = u.server.Serve(l) }()
	return nil
}

func (u *upstream) entry() []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	text, _ := json.Marshal(map[string]any{
		"Address": u.address, "born": u.born,
		"Info":   map[string]any{"Service": u.service, "Version": "v1", "Zone": u.zone, "Capacity": u.slots},
		"Status": map[string]any{"State": u.state, "Sequence": u.sequence, "ColdLeftMs": 0},
	})
	return text
}

func (u *upstream) handle(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != u.id {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.WriteHeader(421)
		return
	}
	if u.ignores != nil && u.ignores(r) {
		u.carryOutLate(r, 2500*time.Millisecond)
	}
	switch r.URL.Path {
	case "/fulmarbend/grant":
		u.grant(w, r)
		return
	case "/fulmarbend/release":
		u.release(w, r)
		return
	case "/health":
		w.Header().Set("X-Instance-Id", u.id)
		return
	}
	if u.intercept != nil && u.intercept(u, w, r) {
		return
	}
	u.run(w, r)
}

type order struct {
	From, Target int
	Fence        int64 `json:"fence"`
	HoldMs       int64
}

func (u *upstream) grant(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.From < 0 || o.Target > 65535 || o.From > o.Target {
		w.WriteHeader(400)
		return
	}
	if !u.keyed {
		w.WriteHeader(400)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for k := o.From; k <= o.Target; k++ {
		if u.fences[k] > o.Fence {
			w.WriteHeader(409)
			return
		}
	}
	for k := o.From; k <= o.Target; k++ {
		u.fences[k] = o.Fence
	}
	u.apply(o, arrived, false)
}

// apply takes the keys of a grant for its time. The time of an earlier grant is not shortened: only a release takes keys away. mu is held.
func (u *upstream) apply(o order, arrived time.Time, late bool) {
	var kept []hold
	for _, h := range u.holds {
		if h.until.After(time.Now()) {
			kept = append(kept, h)
		}
	}
	u.holds = append(kept, hold{o.From, o.Target, o.Fence, arrived.Add(time.Duration(o.HoldMs) * time.Millisecond), late})
	u.rig.granted(u, o, arrived)
}

// carryOutLate leaves an order unanswered and carries it out after a delay; a grant's time counts from its arrival.
func (u *upstream) carryOutLate(r *http.Request, delay time.Duration) {
	arrived := time.Now()
	var o order
	if json.NewDecoder(r.Body).Decode(&o) == nil {
		isGrant := r.URL.Path == "/fulmarbend/grant"
		time.AfterFunc(delay, func() {
			u.mu.Lock()
			defer u.mu.Unlock()
			if !isGrant {
				u.holds = without(u.holds, o.From, o.Target)
				return
			}
			for k := o.From; k <= o.Target; k++ {
				if u.fences[k] > o.Fence {
					return
				}
			}
			for k := o.From; k <= o.Target; k++ {
				u.fences[k] = o.Fence
			}
			u.apply(o, arrived, true)
		})
	}
	select {
	case <-r.Context().Done():
	case <-time.After(delay):
	}
	panic(http.ErrAbortHandler)
}

func without(list []hold, from, to int) []hold {
	var out []hold
	for _, h := range list {
		if h.to < from || h.from > to {
			out = append(out, h)
			continue
		}
		if h.from < from {
			l := h
			l.to = from - 1
			out = append(out, l)
		}
		if h.to > to {
			l := h
			l.from = to + 1
			out = append(out, l)
		}
	}
	return out
}

func (u *upstream) release(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(400)
		return
	}
	u.mu.Lock()
	u.holds = without(u.holds, o.From, o.Target)
	u.rig.released(u, o, time.Now())
	for u.busy(o.From, o.Target) {
		c := u.ended
		u.mu.Unlock()
		select {
		case <-c:
		case <-r.Context().Done():
			return
		}
		u.mu.Lock()
	}
	u.releases++
	token := fmt.Sprintf("%s-%d-%d", u.id, o.Fence, u.releases)
	u.mu.Unlock()
	w.Header().Set("X-Handover", token)
}

func (u *upstream) busy(from, to int) bool {
	for k := range u.running {
		if k >= from && k <= to {
			return true
		}
	}
	return false
}

func (u *upstream) holdsKey(k int) bool {
	now := time.Now()
	for _, h := range u.holds {
		if k >= h.from && k <= h.to && now.Before(h.until) {
			return true
		}
	}
	return false
}

func (u *upstream) reject(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

// run runs a request as a sound upstream does.
func (u *upstream) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key := -1
	if u.keyed {
		if key, err = strconv.Atoi(r.Header.Get("X-Shard-Key")); err != nil {
			u.reject(w, r, 400)
			return
		}
	}
	u.mu.Lock()
	if u.inUse >= u.slots+12 {
		u.mu.Unlock()
		u.reject(w, r, 503)
		return
	}
	u.inUse++
	for u.inUse > 0 && u.runningCount() >= u.slots {
		c := u.ended
		u.mu.Unlock()
		select {
		case <-c:
		case <-r.Context().Done():
			u.mu.Lock()
			u.inUse--
			u.mu.Unlock()
			return
		}
		u.mu.Lock()
	}
	if key >= 0 && !u.holdsKey(key) {
		u.inUse--
		u.mu.Unlock()
		u.reject(w, r, 421)
		return
	}
	u.running[key]++
	load := fmt.Sprintf("%d,%d,%d", u.runningCount(), max(0, u.inUse-u.runningCount()), u.slots)
	if u.four {
		load += ",100"
	}
	u.mu.Unlock()
	u.rig.ran(u, id, r, key, body)
	select {
	case <-time.After(u.work):
	case <-r.Context().Done():
	}
	u.mu.Lock()
	if u.running[key]--; u.running[key] == 0 {
		delete(u.running, key)
	}
	u.inUse--
	close(u.ended)
	u.ended = make(chan struct{})
	u.mu.Unlock()
	text := fmt.Sprintf("%s %s %d", u.id, id, crc32.ChecksumIEEE(body))
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Signature", signature(text))
	w.Header().Set("X-Instance-Load", load)
	_, _ = io.WriteString(w, text)
}

func (u *upstream) runningCount() int {
	n := 0
	for _, c := range u.running {
		n += c
	}
	return n
}

func signature(text string) string { return fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(text))) }
