package fulmarserver

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/internal/fulmarhistory"
	"github.com/fulmarbend/fulmarbend/pkg/fulmargrant"
	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
)

// Headers by which a request controls the simulated work.
const (
	HeaderWork  = "Lab-Work"
	HeaderSize  = "Lab-Size"
	HeaderCrash = "Lab-Crash"
)

const (
	maxTTL        = 5 * time.Second // longest TTL of a grant that a target accepts
	maxAnswerSize = 64 << 20        // largest answer, in bytes; larger sizes are reduced to it
	maxGrantSize  = 1 << 20         // largest JSON body of a grant or mode, in bytes
)

// Settings configure a target.
type Settings struct {
	Target       string
	Service      string
	Fenced       bool          // accept only requests that a grant in force permits
	Slots        int           // concurrent requests
	ColdDelay    time.Duration // extra work of each of the first ColdRequests requests, which models a cold start
	ColdRequests int
}

// Mode is the body of PUT /lab/mode.
type Mode struct {
	Leaving  bool `json:"leaving"` // report that the target is draining
	Shedding bool `json:"shed"`    // reject all requests
}

// Answer is the JSON body of an answer; Pad fills it up to the requested size.
type Answer struct {
	Target string `json:"target"`
	ID     string `json:"id"`
	Key    string `json:"key"`
	Serial uint64 `json:"serial"` // number of the execution at this target
	Pad    string `json:"pad"`
}

// Server is an http.Handler that serves the stand-in target.
type Server struct {
	settings  Settings
	log       *fulmarhistory.Log
	mux       *http.ServeMux
	register  *fulmargrant.Register
	startTime time.Time
	exit      func(int)

	grantMu  sync.Mutex    // held while a grant is applied and written to the history
	slots    chan struct{} // semaphore with an element for each running request
	serial   atomic.Uint64 // of the newest execution
	leaving  atomic.Bool
	shedding atomic.Bool
}

// New returns a target that writes its events to log, and writes the event of its start.
func New(settings Settings, log *fulmarhistory.Log) (*Server, error) {
	s := &Server{
		settings:  settings,
		log:       log,
		mux:       http.NewServeMux(),
		startTime: time.Now(),
		exit:      os.Exit,
		slots:     make(chan struct{}, settings.Slots),
	}
	s.register = fulmargrant.NewAt(s.clock(), maxTTL)
	s.mux.HandleFunc("GET /fulmarbend/grant", s.getGrant)
	s.mux.HandleFunc("PUT /fulmarbend/grant", s.putGrant)
	s.mux.HandleFunc("PUT /lab/mode", s.putMode)
	s.mux.HandleFunc("/", s.execute)
	return s, s.appendEvent(fulmarhistory.Event{Kind: fulmarhistory.KindUp})
}

// ServeHTTP serves one call. Each answer repeats the id of its exchange.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(fulmaroutcome.HeaderExchange); id != "" {
		w.Header().Set(fulmaroutcome.HeaderExchange, id)
	}
	s.mux.ServeHTTP(w, r)
}

// clock returns the target's monotonic time. It begins at the wall-clock time of
// the start, so that stamps of a former process of the target are neither ahead of
// it nor valid again.
func (s *Server) clock() time.Duration {
	return time.Duration(s.startTime.UnixNano()) + time.Since(s.startTime)
}

// appendEvent writes an event of this target to the history, with the current time if it
// has none.
func (s *Server) appendEvent(e fulmarhistory.Event) error {
	if e.UnixNanos == 0 {
		e.UnixNanos = int64(s.clock())
	}
	e.Target, e.Service, e.Fenced = s.settings.Target, s.settings.Service, s.settings.Fenced
	return s.log.Append(e)
}

// grantState returns the state of the register and the load of the target.
func (s *Server) grantState() fulmargrant.State {
	state := s.register.State(s.clock())
	state.Target, state.Service, state.Fenced = s.settings.Target, s.settings.Service, s.settings.Fenced
	state.Capacity, state.Running, state.Leaving = s.settings.Slots, len(s.slots), s.leaving.Load()
	return state
}

// writeState writes the grant state as the response.
func (s *Server) writeState(w http.ResponseWriter, status int) {
	state := s.grantState()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(fulmaroutcome.HeaderStamp, strconv.FormatInt(int64(state.Stamp), 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(state)
}

func (s *Server) getGrant(w http.ResponseWriter, _ *http.Request) {
	s.writeState(w, http.StatusOK)
}

// putGrant applies a grant and answers with the state that follows; a target without a
// fence ignores the grant.
func (s *Server) putGrant(w http.ResponseWriter, r *http.Request) {
	var g fulmargrant.Grant
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxGrantSize)).Decode(&g); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.settings.Fenced {
		s.writeState(w, http.StatusOK)
		return
	}
	s.grantMu.Lock()
	defer s.grantMu.Unlock()
	now := s.clock()
	if err := s.register.Apply(now, g); err != nil {
		w.Header().Set(fulmaroutcome.HeaderReason, strings.TrimPrefix(err.Error(), "fulmargrant: "))
		s.writeState(w, http.StatusConflict)
		return
	}
	err := s.appendEvent(fulmarhistory.Event{
		UnixNanos: int64(now), Kind: fulmarhistory.KindGrant, Slots: g.Slots, Lapse: int64(g.Stamp + g.TTL),
		Term: g.Term, Epoch: g.Epoch, Holder: g.Holder,
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.writeState(w, http.StatusOK)
}

func (s *Server) putMode(w http.ResponseWriter, r *http.Request) {
	var m Mode
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxGrantSize)).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.leaving.Store(m.Leaving)
	s.shedding.Store(m.Shedding)
	w.WriteHeader(http.StatusNoContent)
}

// refuse answers that the request was not run, with the reason.
func (s *Server) refuse(w http.ResponseWriter, status int, reason fulmaroutcome.Reason, text string) {
	w.Header().Set(fulmaroutcome.HeaderOutcome, string(fulmaroutcome.NotRun))
	w.Header().Set(fulmaroutcome.HeaderReason, string(reason))
	w.Header().Set(fulmaroutcome.HeaderStamp, strconv.FormatInt(int64(s.clock()), 10))
	http.Error(w, text, status)
}

// request is the parsed headers of a request.
type request struct {
	id, key  string
	term     uint64
	slot     int
	deadline time.Time // zero if the request has none
	work     time.Duration
	size     int
	crash    bool
}

// parseRequest parses the headers of a request that arrived at now. Of a relative and an
// absolute deadline the earlier one holds.
func parseRequest(h http.Header, now time.Time) (request, error) {
	o := request{
		id:    h.Get(fulmaroutcome.HeaderRequestID),
		key:   h.Get(fulmaroutcome.HeaderKey),
		crash: h.Get(HeaderCrash) == "1",
	}
	var err error
	if o.term, err = uintHeader(h, fulmaroutcome.HeaderTerm); err != nil {
		return o, err
	}
	slot, err := uintHeader(h, fulmaroutcome.HeaderSlot)
	if err != nil {
		return o, err
	}
	o.slot = int(slot)
	size, err := uintHeader(h, HeaderSize)
	if err != nil {
		return o, err
	}
	o.size = int(min(size, maxAnswerSize))
	if text := h.Get(HeaderWork); text != "" {
		if o.work, err = time.ParseDuration(text); err != nil {
			return o, err
		}
	}
	if text := h.Get(fulmaroutcome.HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return o, err
		}
		o.deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	if text := h.Get(fulmaroutcome.HeaderDeadlineAt); text != "" {
		at, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return o, err
		}
		if o.deadline.IsZero() || at.Before(o.deadline) {
			o.deadline = at
		}
	}
	return o, nil
}

// uintHeader returns the value of a numeric header, or 0 if the header is absent.
func uintHeader(h http.Header, name string) (uint64, error) {
	text := h.Get(name)
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 63)
}

// execute serves a request: it runs it in a free slot, or refuses it.
func (s *Server) execute(w http.ResponseWriter, r *http.Request) {
	o, err := parseRequest(r.Header, time.Now())
	if err != nil {
		s.refuse(w, http.StatusBadRequest, fulmaroutcome.Malformed, err.Error())
		return
	}
	// The body is read first, since net/http detects a disconnect only after the whole body.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		s.refuse(w, http.StatusBadRequest, fulmaroutcome.Malformed, "the body broke off")
		return
	}
	if s.shedding.Load() {
		s.refuse(w, http.StatusServiceUnavailable, fulmaroutcome.Shed, "load is shed")
		return
	}
	select {
	case s.slots <- struct{}{}:
	default:
		s.refuse(w, http.StatusServiceUnavailable, fulmaroutcome.Shed, "no slot is free")
		return
	}
	// run has freed the slot before the answer is written, since a dispatcher that
	// has read the answer may send the next request at once.
	if serial, ok := s.run(w, r, o); ok {
		s.writeAnswer(w, o, serial)
	}
}

// run executes a request that has a slot, frees the slot, and reports whether the
// request committed. If it did not, run has written the answer.
func (s *Server) run(w http.ResponseWriter, r *http.Request, o request) (uint64, bool) {
	defer func() { <-s.slots }()
	if !o.deadline.IsZero() && !time.Now().Before(o.deadline) {
		s.refuse(w, http.StatusServiceUnavailable, fulmaroutcome.Deadline, "deadline has passed")
		return 0, false
	}
	now := s.clock()
	if err := s.checkStart(now, o); err != nil {
		s.refuse(w, http.StatusPreconditionFailed, fulmaroutcome.Fenced, err.Error())
		return 0, false
	}
	serial := s.serial.Add(1)
	event := fulmarhistory.Event{
		UnixNanos: int64(now), Kind: fulmarhistory.KindStart, Slot: o.slot, Key: o.key, ID: o.id, Term: o.term,
		Serial: serial, Holder: r.Header.Get(fulmaroutcome.HeaderSender),
	}
	if err := s.appendEvent(event); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return 0, false
	}
	note := s.simulateWork(r.Context(), o, serial)
	event.UnixNanos, event.Kind = int64(s.clock()), fulmarhistory.KindCommit
	if err := s.checkCommit(time.Duration(event.UnixNanos), o); note == "" && err != nil {
		note = err.Error()
	}
	if note != "" {
		event.Kind, event.Note = fulmarhistory.KindAbort, note
	}
	if err := s.appendEvent(event); err != nil || note != "" {
		w.Header().Set(fulmaroutcome.HeaderStamp, strconv.FormatInt(int64(s.clock()), 10))
		http.Error(w, "aborted: "+note, http.StatusInternalServerError)
		return 0, false
	}
	return serial, true
}

// checkStart checks the fence before a request starts, if the target has one.
func (s *Server) checkStart(now time.Duration, o request) error {
	if !s.settings.Fenced {
		return nil
	}
	return s.register.Check(now, o.term, o.slot)
}

// checkCommit checks the fence before a request takes effect, if the target has one.
func (s *Server) checkCommit(now time.Duration, o request) error {
	if !s.settings.Fenced {
		return nil
	}
	return s.register.CheckCommit(now, o.slot)
}

// simulateWork waits for the duration of the work and returns why the request must not
// commit, or the empty string.
func (s *Server) simulateWork(ctx context.Context, o request, serial uint64) string {
	d := o.work
	if serial <= uint64(s.settings.ColdRequests) {
		d += s.settings.ColdDelay
	}
	if o.crash {
		// One goroutine, as two timers may be due at once on a busy machine, and the request must not commit.
		fulmarclock.Sleep(context.WithoutCancel(ctx), d/2)
		s.exit(3)
		return "crashed"
	}
	if !fulmarclock.Sleep(ctx, d) {
		return "cancelled"
	}
	return ""
}

// writeAnswer writes the answer to a committed request.
func (s *Server) writeAnswer(w http.ResponseWriter, o request, serial uint64) {
	a := Answer{Target: s.settings.Target, ID: o.id, Key: o.key, Serial: serial}
	b, _ := json.Marshal(a)
	if n := o.size - len(b); n > 0 {
		a.Pad = strings.Repeat("x", n)
		b, _ = json.Marshal(a)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.Header().Set(fulmaroutcome.HeaderStamp, strconv.FormatInt(int64(s.clock()), 10))
	_, _ = w.Write(b)
}
