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

// item is an item of the store in the form of the wire.
type item struct {
	Key       string
	Value     []byte
	Revision  int64
	CreateRev int64
	Lease     int64
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is a stand-in of the platform's store: PROTOCOL.md, "The platform's metadata store". It has no faults of its own.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	leases   map[int64]*lease
	address  string
	server   *http.Server
}

func startStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{revision: 1, items: map[string]item{}, leases: map[int64]*lease{}, address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /fulmarbend/kv-key", s.readKey)
	mux.HandleFunc("GET /fulmarbend/kv-range", s.readRange)
	mux.HandleFunc("POST /fulmarbend/kv-txn", s.commit)
	mux.HandleFunc("POST /fulmarbend/kv-lease", s.createLease)
	mux.HandleFunc("POST /fulmarbend/kv-keep/{id}", s.keepLease)
	mux.HandleFunc("DELETE /fulmarbend/kv-lease-end/{id}", s.endLease)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// expire removes the keys of leases that have ended. The caller holds mu.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.dropLease(id)
		}
	}
}

func (s *store) dropLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			delete(s.items, key)
			s.revision++
		}
	}
}

// put is a write by the operator or by an upstream.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, value, 0)
}

// remove removes an entry, as the platform does when an upstream has left.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.revision++
		delete(s.items, key)
	}
}

func (s *store) write(key string, value []byte, leaseID int64) {
	old, ok := s.items[key]
	created := s.revision
	if ok {
		created = old.CreateRev
	}
	s.items[key] = item{Key: key, Value: value, Revision: s.revision, CreateRev: created, Lease: leaseID}
}

func reply(w http.ResponseWriter, status int, body any) {
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
		reply(w, http.StatusNotFound, map[string]any{"StoreRevision": s.revision})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		StoreRevision int64
	}{i, s.revision})
}

func (s *store) readRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	prefix, after := r.URL.Query().Get("Prefix"), r.URL.Query().Get("after")
	list := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, i)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	more := len(list) > 500
	if more {
		list = list[:500]
	}
	reply(w, http.StatusOK, map[string]any{"items": list, "HasMore": more, "StoreRevision": s.revision})
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
			var current []item
			for _, c := range in.ExpectedRev {
				if i, ok := s.items[c.Key]; ok {
					current = append(current, i)
				}
			}
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
			return
		}
	}
	for _, e := range in.Writes {
		if strings.HasPrefix(e.Key, "op/") || strings.HasPrefix(e.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.leases[e.Lease]; e.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, e := range in.Writes {
		s.write(e.Key, e.Value, e.Lease)
	}
	for _, key := range in.Deletes {
		delete(s.items, key)
	}
	reply(w, http.StatusOK, map[string]any{"Revision": s.revision})
}

func (s *store) createLease(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var in struct{ TtlMs int64 }
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.TtlMs < 1000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(in.TtlMs) * time.Millisecond
	s.leases[s.revision] = &lease{ttl, arrived.Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"Lease": s.revision, "TtlMs": in.TtlMs})
}

func (s *store) keepLease(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.ends = arrived.Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"TtlMs": l.ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.dropLease(id)
	reply(w, http.StatusOK, map[string]any{})
}
