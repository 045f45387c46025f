package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store.
type item struct {
	value     []byte
	rev, born int64
	lease     int64
}

// lease is a lease of the store.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is a stand-in of the platform's metadata store. Its answers are linearizable, and no call that it refuses has an effect.
type store struct {
	mu        sync.Mutex
	rev       int64
	nextLease int64
	items     map[string]item
	leases    map[int64]*lease
	latency   time.Duration
	era       int64 // stated in Store-Era, none if negative
	away      bool  // calls get no answer and have no effect
	lastTxn   string
	copies    []storeCopy
}

// storeCopy is a copy of the whole store.
type storeCopy struct {
	at        time.Time
	rev       int64
	nextLease int64
	items     map[string]item
	leases    map[int64]lease
}

func newStore() *store {
	return &store{rev: 100, nextLease: 1000, items: map[string]item{}, leases: map[int64]*lease{}, latency: 4 * time.Millisecond, era: -1}
}

// expire ends the leases whose time is over; mu is held.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for k, i := range s.items {
		if i.lease == id {
			s.rev++
			delete(s.items, k)
		}
	}
}

// set writes a key as the operator or an upstream does.
func (s *store) set(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

func (s *store) put(key string, value []byte, l int64) {
	s.rev++
	old, ok := s.items[key]
	i := item{value: value, rev: s.rev, born: s.rev, lease: l}
	if ok {
		i.born = old.born
	}
	s.items[key] = i
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.rev++
		delete(s.items, key)
	}
}

// takeCopy keeps a copy of the store as it is now.
func (s *store) takeCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{at: time.Now(), rev: s.rev, nextLease: s.nextLease, items: map[string]item{}, leases: map[int64]lease{}}
	for k, v := range s.items {
		c.items[k] = v
	}
	for k, v := range s.leases {
		c.leases[k] = *v
	}
	s.copies = append(s.copies, c)
}

// restore makes the store come back from the newest copy that is at least age old, in the next era. Leases of the copy run anew.
func (s *store) restore(age time.Duration) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.copies) - 1; i >= 0; i-- {
		c := s.copies[i]
		if time.Since(c.at) < age {
			continue
		}
		s.rev, s.nextLease = c.rev, c.nextLease
		s.items, s.leases = map[string]item{}, map[int64]*lease{}
		for k, v := range c.items {
			s.items[k] = v
		}
		for k, v := range c.leases {
			s.leases[k] = &lease{ttl: v.ttl, ends: time.Now().Add(v.ttl)}
		}
		s.era++
		return time.Since(c.at), true
	}
	return 0, false
}

// serve answers the calls of one daemon, which has an address of the store of its own.
func (s *store) serve(address, daemon string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		_ = (&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(w, r, daemon) })}).Serve(l)
	}()
	return nil
}

func (s *store) handle(w http.ResponseWriter, r *http.Request, daemon string) {
	var body []byte
	if r.Body != nil {
		buf := make([]byte, 0, 4096)
		tmp := make([]byte, 65536)
		for {
			n, err := r.Body.Read(tmp)
			buf = append(buf, tmp[:n]...)
			if err != nil {
				break
			}
		}
		body = buf
	}
	s.mu.Lock()
	latency, away := s.latency, s.away
	s.mu.Unlock()
	if away {
		<-r.Context().Done()
		return
	}
	time.Sleep(latency)
	s.mu.Lock()
	if s.away {
		s.mu.Unlock()
		<-r.Context().Done()
		return
	}
	s.expire()
	status, out := s.call(r, body, daemon)
	era := s.era
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if era >= 0 {
		w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	}
	w.WriteHeader(status)
	if out != nil {
		_ = json.NewEncoder(w).Encode(out)
	}
}

func wire(key string, i item) map[string]any {
	return map[string]any{"Key": key, "Value": base64.StdEncoding.EncodeToString(i.value), "Revision": i.rev, "CreateRev": i.born, "Lease": i.lease}
}

// call makes one call; mu is held.
func (s *store) call(r *http.Request, body []byte, daemon string) (int, any) {
	q := r.URL.Query()
	path := strings.TrimPrefix(r.URL.Path, "/fulmarbend/")
	switch {
	case path == "kv-key":
		i, ok := s.items[q.Get("Key")]
		if !ok {
			return 404, map[string]any{"StoreRevision": s.rev}
		}
		out := wire(q.Get("Key"), i)
		out["StoreRevision"] = s.rev
		return 200, out
	case path == "kv-range":
		keys := []string{}
		for k := range s.items {
			if strings.HasPrefix(k, q.Get("Prefix")) && k > q.Get("after") {
				keys = append(keys, k)
			}
		}
		sort.Strings(keys)
		more := len(keys) > 500
		if more {
			keys = keys[:500]
		}
		list := []any{}
		for _, k := range keys {
			list = append(list, wire(k, s.items[k]))
		}
		return 200, map[string]any{"items": list, "HasMore": more, "StoreRevision": s.rev}
	case path == "kv-txn":
		return s.txn(body, daemon)
	case path == "kv-lease":
		var in struct{ TtlMs int64 }
		if json.Unmarshal(body, &in) != nil || in.TtlMs < 1000 || in.TtlMs > 600000 {
			return 400, nil
		}
		s.nextLease++
		ttl := time.Duration(in.TtlMs) * time.Millisecond
		s.leases[s.nextLease] = &lease{ttl, time.Now().Add(ttl)}
		return 200, map[string]any{"Lease": s.nextLease, "TtlMs": in.TtlMs}
	case strings.HasPrefix(path, "kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "kv-keep/"), 10, 64)
		l := s.leases[id]
		if l == nil {
			return 404, nil
		}
		l.ends = time.Now().Add(l.ttl)
		return 200, map[string]any{"Lease": id, "TtlMs": l.ttl.Milliseconds()}
	case strings.HasPrefix(path, "kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "kv-lease-end/"), 10, 64)
		if s.leases[id] == nil {
			return 404, nil
		}
		s.endLease(id)
		return 200, map[string]any{}
	}
	return 410, nil
}

func (s *store) txn(body []byte, daemon string) (int, any) {
	var in struct {
		ExpectedRev []struct {
			Key      string
			Revision int64
		}
		Writes []struct {
			Key   string
			Value string
			Lease int64
		}
		Deletes []string
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return 400, nil
	}
	failed := false
	state := []any{}
	for _, e := range in.ExpectedRev {
		i, ok := s.items[e.Key]
		if ok {
			state = append(state, wire(e.Key, i))
		}
		if i.rev != e.Revision {
			failed = true
		}
	}
	if failed {
		return 412, map[string]any{"items": state}
	}
	for _, w := range in.Writes {
		if strings.HasPrefix(w.Key, "op/") || strings.HasPrefix(w.Key, "servers/") {
			return 403, nil
		}
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return 404, nil
		}
	}
	if len(in.ExpectedRev) > 0 {
		s.lastTxn = daemon
	}
	s.rev++
	at := s.rev
	for _, w := range in.Writes {
		v, err := base64.StdEncoding.DecodeString(w.Value)
		if err != nil {
			return 400, nil
		}
		old, ok := s.items[w.Key]
		i := item{value: v, rev: at, born: at, lease: w.Lease}
		if ok {
			i.born = old.born
		}
		s.items[w.Key] = i
	}
	for _, k := range in.Deletes {
		delete(s.items, k)
	}
	return 200, map[string]any{"Revision": at}
}

// lastWriter returns the daemon that last wrote under a condition.
func (s *store) lastWriter() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastTxn
}

func (s *store) setLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = d
}

func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}
