package fulmarplatform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
)

const (
	defaultWait = 5 * time.Minute
	sweepEvery  = 50 * time.Millisecond
	minTTL      = 100 * time.Millisecond
)

// Fault is the fault in force; the zero Fault is none.
type Fault struct {
	Down  string        `json:"down"`  // "error" answers 500, "hang" answers nothing, "refuse" drops connections
	Slow  time.Duration `json:"slow"`  // delay of each call, in nanoseconds
	Lose  bool          `json:"lose"`  // drop the connection after a write took effect
	Stale bool          `json:"stale"` // the list of services stops updating
}

// Counts are the numbers of calls since the start; Watches are blocking reads.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Waiting int64 `json:"waiting"`
}

// Platform is an http.Handler of the stand-in.
type Platform struct {
	store   *store
	catalog *catalog
	mux     *http.ServeMux

	mu      sync.Mutex
	fault   Fault
	changed chan struct{} // closed and replaced when the fault changes

	reads, writes, watches, waiting atomic.Int64
}

// New returns a platform whose list of services shows changes after lag.
func New(lag time.Duration) *Platform {
	p := &Platform{
		store:   newStore(time.Now),
		catalog: newCatalog(lag, time.Now),
		mux:     http.NewServeMux(),
		changed: make(chan struct{}),
	}
	p.read("GET /v1/kv/{key...}", p.getKey)
	p.write("PUT /v1/kv/{key...}", p.putKey)
	p.write("DELETE /v1/kv/{key...}", p.deleteKey)
	p.write("PUT /v1/session/create", p.createSession)
	p.write("PUT /v1/session/renew/{id}", p.renewSession)
	p.write("PUT /v1/session/destroy/{id}", p.destroySession)
	p.write("PUT /v1/agent/service/register", p.register)
	p.write("PUT /v1/agent/service/deregister/{id}", p.deregister)
	p.read("GET /v1/catalog/service/{name}", p.listService)
	p.mux.HandleFunc("GET /lab/counts", p.counts)
	p.mux.HandleFunc("GET /lab/fault", p.getFault)
	p.mux.HandleFunc("PUT /lab/fault", p.putFault)
	p.mux.HandleFunc("PUT /lab/lag", p.putLag)
	return p
}

// ServeHTTP answers one call.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Run expires sessions until ctx ends.
func (p *Platform) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.store.sweep()
		case <-ctx.Done():
			return
		}
	}
}

// Counts returns the numbers of calls.
func (p *Platform) Counts() Counts {
	return Counts{
		Reads: p.reads.Load(), Writes: p.writes.Load(),
		Watches: p.watches.Load(), Waiting: p.waiting.Load(),
	}
}

// SetFault puts a fault in force and ends the calls that hang or wait.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	p.catalog.setStale(f.Stale)
}

func (p *Platform) current() (Fault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.changed
}

func (p *Platform) read(pattern string, h http.HandlerFunc) {
	p.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("index") {
			p.watches.Add(1)
		} else {
			p.reads.Add(1)
		}
		if p.admit(w, r) {
			h(w, r)
		}
	})
}

func (p *Platform) write(pattern string, h http.HandlerFunc) {
	p.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		p.writes.Add(1)
		if !p.admit(w, r) {
			return
		}
		h(w, r)
		if f, _ := p.current(); f.Lose {
			// The answer is still buffered, so that aborting loses all of it.
			panic(http.ErrAbortHandler)
		}
	})
}

// admit applies the fault in force and reports whether the call proceeds.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request) bool {
	f, changed := p.current()
	if f.Slow > 0 && !fulmarclock.Sleep(r.Context(), f.Slow) {
		return false
	}
	switch f.Down {
	case "":
		return true
	case "hang":
		select {
		case <-changed:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	case "refuse":
		panic(http.ErrAbortHandler)
	}
	http.Error(w, "No cluster leader", http.StatusInternalServerError)
	return false
}

type pair struct {
	Key         string
	Value       []byte
	CreateIndex uint64
	ModifyIndex uint64
	LockIndex   uint64
	Flags       uint64
	Session     string `json:",omitempty"`
}

func (p *Platform) getKey(w http.ResponseWriter, r *http.Request) {
	key, query := r.PathValue("key"), r.URL.Query()
	if query.Has("index") {
		index, err := strconv.ParseUint(query.Get("index"), 10, 64)
		if err != nil {
			http.Error(w, "Invalid index", http.StatusBadRequest)
			return
		}
		if !p.block(r.Context(), key, index, query.Get("wait")) {
			panic(http.ErrAbortHandler)
		}
	}
	e, index, ok := p.store.get(key)
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case query.Has("raw"):
		_, _ = w.Write(e.value)
	default:
		answer(w, []pair{{
			Key: key, Value: e.value, CreateIndex: e.create, ModifyIndex: e.modify,
			LockIndex: e.lock, Session: e.session,
		}})
	}
}

// block waits for a change of key and reports false if an outage began meanwhile.
func (p *Platform) block(ctx context.Context, key string, index uint64, wait string) bool {
	limit, err := time.ParseDuration(wait)
	if err != nil || limit <= 0 {
		limit = defaultWait
	}
	if index == 0 {
		return true
	}
	p.waiting.Add(1)
	defer p.waiting.Add(-1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	_, changed := p.current()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	p.store.wait(ctx, key, index, limit)
	f, _ := p.current()
	return f.Down == ""
}

func (p *Platform) putKey(w http.ResponseWriter, r *http.Request) {
	key, query := r.PathValue("key"), r.URL.Query()
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueSize))
	if err != nil {
		http.Error(w, "Value exceeds limit", http.StatusRequestEntityTooLarge)
		return
	}
	if query.Has("release") {
		answer(w, p.store.release(key, query.Get("release"), value))
		return
	}
	var cas *uint64
	if query.Has("cas") {
		n, err := strconv.ParseUint(query.Get("cas"), 10, 64)
		if err != nil {
			http.Error(w, "Invalid cas", http.StatusBadRequest)
			return
		}
		cas = &n
	}
	ok, err := p.store.put(key, value, cas, query.Get("acquire"))
	if errors.Is(err, errSession) {
		http.Error(w, "invalid session", http.StatusInternalServerError)
		return
	}
	answer(w, ok)
}

func (p *Platform) deleteKey(w http.ResponseWriter, r *http.Request) {
	p.store.remove(r.PathValue("key"))
	answer(w, true)
}

func (p *Platform) createSession(w http.ResponseWriter, r *http.Request) {
	// The name is that of the published API.
	var body struct{ TTL, Behavior string } //nolint:misspell
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil && !errors.Is(err, io.EOF) {
		http.Error(w, "Request decode failed", http.StatusBadRequest)
		return
	}
	ttl, err := time.ParseDuration(body.TTL)
	if err != nil || ttl < minTTL {
		http.Error(w, "Invalid Session TTL", http.StatusBadRequest)
		return
	}
	answer(w, map[string]string{"ID": p.store.create(ttl, body.Behavior == "delete")}) //nolint:misspell
}

func (p *Platform) renewSession(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	ttl, ok := p.store.renew(id)
	if !ok {
		http.Error(w, "Session id '"+id+"' not found", http.StatusNotFound)
		return
	}
	answer(w, []map[string]string{{"ID": id, "TTL": ttl.String()}})
}

func (p *Platform) destroySession(w http.ResponseWriter, r *http.Request) {
	p.store.destroy(r.PathValue("id"))
	answer(w, true)
}

func (p *Platform) register(w http.ResponseWriter, r *http.Request) {
	var s Service
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil || s.Name == "" {
		http.Error(w, "Request decode failed", http.StatusBadRequest)
		return
	}
	if s.ID == "" {
		s.ID = s.Name
	}
	p.catalog.add(s.ID, &s)
}

func (p *Platform) deregister(_ http.ResponseWriter, r *http.Request) {
	p.catalog.add(r.PathValue("id"), nil)
}

func (p *Platform) listService(w http.ResponseWriter, r *http.Request) {
	answer(w, p.catalog.list(r.PathValue("name")))
}

func (p *Platform) counts(w http.ResponseWriter, _ *http.Request) { answer(w, p.Counts()) }

func (p *Platform) getFault(w http.ResponseWriter, _ *http.Request) {
	f, _ := p.current()
	answer(w, f)
}

func (p *Platform) putFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFault(f)
	answer(w, f)
}

// putLag sets the lag of the list from a Go duration in the body.
func (p *Platform) putLag(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueSize))
	lag, parseErr := time.ParseDuration(strings.TrimSpace(string(text)))
	if err != nil || parseErr != nil {
		http.Error(w, "not a duration", http.StatusBadRequest)
		return
	}
	p.catalog.setLag(lag)
	answer(w, lag.String())
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
