package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the number of items in one answer to a range read.
const pageSize = 500

// item is an item of the store; its JSON form is that of PROTOCOL.md.
type item struct {
	Key       string
	Value     []byte
	Revision  int64
	CreateRev int64
	Lease     int64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the platform's store as PROTOCOL.md describes it: sound, linearizable, without outages.
type store struct {
	listener net.Listener

	mu       sync.Mutex
	revision int64
	items    map[string]item
	leases   map[int64]lease
	nextID   int64
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, revision: 1, items: make(map[string]item), leases: make(map[int64]lease)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /fulmarbend/kv-key", s.readKey)
	mux.HandleFunc("GET /fulmarbend/kv-range", s.readRange)
	mux.HandleFunc("POST /fulmarbend/kv-txn", s.commit)
	mux.HandleFunc("POST /fulmarbend/kv-lease", s.createLease)
	mux.HandleFunc("POST /fulmarbend/kv-keep/{id}", s.renewLease)
	mux.HandleFunc("DELETE /fulmarbend/kv-lease-end/{id}", s.endLease)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// set writes a key as the operator or an upstream does.
func (s *store) set(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, value, 0)
}

// remove deletes a key as the platform does with the entry of an upstream that is gone.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.revision++
		delete(s.items, key)
	}
}

// put writes a key at the current revision; mu is held.
func (s *store) put(key string, value []byte, id int64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreateRev
	}
	s.items[key] = item{key, value, s.revision, created, id}
}

// expire ends the leases that have run out; mu is held.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			s.drop(id)
		}
	}
}

// drop ends a lease and removes its keys; mu is held.
func (s *store) drop(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			delete(s.items, key)
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) readKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	i, ok := s.items[r.URL.Query().Get("Key")]
	if !ok {
		answer(w, http.StatusNotFound, struct{ StoreRevision int64 }{s.revision})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		StoreRevision int64
	}{i, s.revision})
}

func (s *store) readRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	prefix, after := r.URL.Query().Get("Prefix"), r.URL.Query().Get("after")
	out := struct {
		Items         []item `json:"items"`
		HasMore       bool
		StoreRevision int64
	}{Items: []item{}, StoreRevision: s.revision}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			out.Items = append(out.Items, i)
		}
	}
	sort.Slice(out.Items, func(a, b int) bool { return out.Items[a].Key < out.Items[b].Key })
	if len(out.Items) > pageSize {
		out.Items, out.HasMore = out.Items[:pageSize], true
	}
	answer(w, http.StatusOK, out)
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ExpectedRev []struct {
			Key      string
			Revision int64
		}
		Writes []struct {
			Key   string
			Value []byte
			Lease int64
		}
		Deletes []string
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, e := range in.ExpectedRev {
		if s.items[e.Key].Revision != e.Revision {
			answer(w, http.StatusPreconditionFailed, struct {
				Items []item `json:"items"`
			}{[]item{s.items[e.Key]}})
			return
		}
	}
	for _, e := range in.Writes {
		if _, ok := s.leases[e.Lease]; e.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, e := range in.Writes {
		s.put(e.Key, e.Value, e.Lease)
	}
	for _, key := range in.Deletes {
		delete(s.items, key)
	}
	answer(w, http.StatusOK, struct{ Revision int64 }{s.revision})
}

func (s *store) createLease(w http.ResponseWriter, r *http.Request) {
	var in struct{ TtlMs int64 }
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	ttl := time.Duration(in.TtlMs) * time.Millisecond
	s.leases[s.nextID] = lease{ttl, time.Now().Add(ttl)}
	answer(w, http.StatusOK, struct{ Lease, TtlMs int64 }{s.nextID, in.TtlMs})
}

func (s *store) renewLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expires = time.Now().Add(l.ttl)
	s.leases[id] = l
	answer(w, http.StatusOK, struct{}{})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.drop(id)
	answer(w, http.StatusOK, struct{}{})
}
