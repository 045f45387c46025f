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
	defaultWait   = 5 * time.Minute        // of a blocking read that names no wait
	sweepInterval = 50 * time.Millisecond  // between checks for expired sessions
	minTTL        = 100 * time.Millisecond // of a session
)

// Fault describes the faults to inject; the zero Fault injects none.
type Fault struct {
	Down  string        `json:"down"`  // "error" answers with status 500, "hang" never answers, "refuse" drops connections
	Slow  time.Duration `json:"slow"`  // delay of each call, in nanoseconds
	Lose  bool          `json:"lose"`  // drop the connection after a write took effect, so that its answer is lost
	Stale bool          `json:"stale"` // stop updating the list of services
}

// Counts holds the numbers of calls since the start. Watches counts blocking reads and
// Waiting those that are blocked now.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Waiting int64 `json:"waiting"`
}

// Platform is an http.Handler that serves the store, the catalog and the /lab/ paths.
type Platform struct {
	store   *store
	catalog *catalog
	mux     *http.ServeMux

	mu           sync.Mutex
	fault        Fault
	faultChanged chan struct{} // closed and replaced when the fault changes

	readCount, writeCount, watchCount, waitingCount atomic.Int64
}

// New returns a platform whose list of services shows each change after lag.
func New(lag time.Duration) *Platform {
	p := &Platform{
		store:        newStore(time.Now),
		catalog:      newCatalog(lag, time.Now),
		mux:          http.NewServeMux(),
		faultChanged: make(chan struct{}),
	}
	p.handleRead("GET /v1/kv/{key...}", p.getKey)
	p.handleWrite("PUT /v1/kv/{key...}", p.putKey)
	p.handleWrite("DELETE /v1/kv/{key...}", p.deleteKey)
	p.handleWrite("PUT /v1/session/create", p.createSession)
	p.handleWrite("PUT /v1/session/renew/{id}", p.renewSession)
	p.handleWrite("PUT /v1/session/destroy/{id}", p.destroySession)
	p.handleWrite("PUT /v1/agent/service/register", p.register)
	p.handleWrite("PUT /v1/agent/service/deregister/{id}", p.deregister)
	p.handleRead("GET /v1/catalog/service/{name}", p.listService)
	p.mux.HandleFunc("GET /lab/counts", p.getCounts)
	p.mux.HandleFunc("GET /lab/fault", p.getFault)
	p.mux.HandleFunc("PUT /lab/fault", p.putFault)
	p.mux.HandleFunc("PUT /lab/lag", p.putLag)
	return p
}

// ServeHTTP serves one call.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Run expires sessions until ctx ends.
func (p *Platform) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.store.sweepSessions()
		case <-ctx.Done():
			return
		}
	}
}

// Counts returns the current call counts.
func (p *Platform) Counts() Counts {
	return Counts{
		Reads: p.readCount.Load(), Writes: p.writeCount.Load(),
		Watches: p.watchCount.Load(), Waiting: p.waitingCount.Load(),
	}
}

// SetFault replaces the injected fault and ends the calls that hang or block.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	p.fault = f
	close(p.faultChanged)
	p.faultChanged = make(chan struct{})
	p.mu.Unlock()
	p.catalog.setStale(f.Stale)
}

// currentFault returns the injected fault and a channel that is closed when it changes.
func (p *Platform) currentFault() (Fault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.faultChanged
}

// handleRead registers a handler that counts its calls as reads or watches and is subject to faults.
func (p *Platform) handleRead(pattern string, h http.HandlerFunc) {
	p.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("index") {
			p.watchCount.Add(1)
		} else {
			p.readCount.Add(1)
		}
		if p.applyFault(w, r) {
			h(w, r)
		}
	})
}

// handleWrite registers a handler that counts its calls as writes and is subject to faults.
func (p *Platform) handleWrite(pattern string, h http.HandlerFunc) {
	p.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		p.writeCount.Add(1)
		if !p.applyFault(w, r) {
			return
		}
		h(w, r)
		if f, _ := p.currentFault(); f.Lose {
			// The response is still buffered, so that aborting discards all of it.
			panic(http.ErrAbortHandler)
		}
	})
}

// applyFault delays, fails or aborts the call as the current fault says and reports
// whether the call proceeds.
func (p *Platform) applyFault(w http.ResponseWriter, r *http.Request) bool {
	f, changed := p.currentFault()
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

// kvPair is an entry of the store in the JSON form of Consul.
type kvPair struct {
	Key         string
	Value       []byte
	CreateIndex uint64
	ModifyIndex uint64
	LockIndex   uint64
	Flags       uint64
	Session     string `json:",omitempty"`
}

// getKey serves a read of a key, which blocks if the query has an index.
func (p *Platform) getKey(w http.ResponseWriter, r *http.Request) {
	key, query := r.PathValue("key"), r.URL.Query()
	if query.Has("index") {
		index, err := strconv.ParseUint(query.Get("index"), 10, 64)
		if err != nil {
			http.Error(w, "Invalid index", http.StatusBadRequest)
			return
		}
		if !p.waitForChange(r.Context(), key, index, query.Get("wait")) {
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
		writeJSON(w, []kvPair{{
			Key: key, Value: e.value, CreateIndex: e.createIndex, ModifyIndex: e.modifyIndex,
			LockIndex: e.lockIndex, Session: e.sessionID,
		}})
	}
}

// waitForChange waits up to wait until the index of key differs from index. It reports
// false if the platform is down afterwards.
func (p *Platform) waitForChange(ctx context.Context, key string, index uint64, wait string) bool {
	limit, err := time.ParseDuration(wait)
	if err != nil || limit <= 0 {
		limit = defaultWait
	}
	if index == 0 {
		return true
	}
	p.waitingCount.Add(1)
	defer p.waitingCount.Add(-1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	_, changed := p.currentFault()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	p.store.waitForChange(ctx, key, index, limit)
	f, _ := p.currentFault()
	return f.Down == ""
}

// putKey serves a write, a compare-and-swap, or the acquisition or release of a lock.
func (p *Platform) putKey(w http.ResponseWriter, r *http.Request) {
	key, query := r.PathValue("key"), r.URL.Query()
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueSize))
	if err != nil {
		http.Error(w, "Value exceeds limit", http.StatusRequestEntityTooLarge)
		return
	}
	if query.Has("release") {
		writeJSON(w, p.store.release(key, query.Get("release"), value))
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
	if errors.Is(err, errInvalidSession) {
		http.Error(w, "invalid session", http.StatusInternalServerError)
		return
	}
	writeJSON(w, ok)
}

func (p *Platform) deleteKey(w http.ResponseWriter, r *http.Request) {
	p.store.remove(r.PathValue("key"))
	writeJSON(w, true)
}

func (p *Platform) createSession(w http.ResponseWriter, r *http.Request) {
	// The spelling is that of the published API.
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
	writeJSON(w, map[string]string{"ID": p.store.createSession(ttl, body.Behavior == "delete")}) //nolint:misspell
}

func (p *Platform) renewSession(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	ttl, ok := p.store.renewSession(id)
	if !ok {
		http.Error(w, "Session id '"+id+"' not found", http.StatusNotFound)
		return
	}
	writeJSON(w, []map[string]string{{"ID": id, "TTL": ttl.String()}})
}

func (p *Platform) destroySession(w http.ResponseWriter, r *http.Request) {
	p.store.destroySession(r.PathValue("id"))
	writeJSON(w, true)
}

// register adds a service to the catalog; its ID defaults to its name.
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
	writeJSON(w, p.catalog.list(r.PathValue("name")))
}

func (p *Platform) getCounts(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Counts()) }

func (p *Platform) getFault(w http.ResponseWriter, _ *http.Request) {
	f, _ := p.currentFault()
	writeJSON(w, f)
}

func (p *Platform) putFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFault(f)
	writeJSON(w, f)
}

// putLag sets the lag of the list of services to the Go duration in the body.
func (p *Platform) putLag(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueSize))
	lag, parseErr := time.ParseDuration(strings.TrimSpace(string(body)))
	if err != nil || parseErr != nil {
		http.Error(w, "not a duration", http.StatusBadRequest)
		return
	}
	p.catalog.setLag(lag)
	writeJSON(w, lag.String())
}

// writeJSON writes v as the JSON body of the response.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
