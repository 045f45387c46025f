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

// Headers by which a request shapes the simulated work.
const (
	HeaderWork  = "Lab-Work"
	HeaderSize  = "Lab-Size"
	HeaderCrash = "Lab-Crash"
)

const (
	maxTTL  = 5 * time.Second // longest grant that a target accepts
	maxSize = 64 << 20        // largest answer, in bytes
	maxBody = 1 << 20         // largest grant, in bytes
)

// Settings describe a target.
type Settings struct {
	Target       string
	Service      string
	Fenced       bool
	Slots        int           // concurrent requests
	ColdDelay    time.Duration // extra work of each of the first ColdFor requests
	ColdRequests int
}

// Mode is what /lab/mode switches.
type Mode struct {
	Leaving  bool `json:"leaving"`
	Shedding bool `json:"shed"`
}

// Answer is the JSON that begins an answer; Pad fills it up to the requested size.
type Answer struct {
	Target string `json:"target"`
	ID     string `json:"id"`
	Key    string `json:"key"`
	Serial uint64 `json:"serial"` // execution number of the target
	Pad    string `json:"pad"`
}

// Server is an http.Handler of the stand-in target.
type Server struct {
	settings Settings
	log      *fulmarhistory.Log
	mux      *http.ServeMux
	register *fulmargrant.Register
	began    time.Time
	exit     func(int)

	grants  sync.Mutex    // orders the register with its history
	busy    chan struct{} // one element for each request that has a slot
	serial  atomic.Uint64
	leaving atomic.Bool
	shed    atomic.Bool
}

// New returns a target that writes its events to log.
func New(settings Settings, log *fulmarhistory.Log) (*Server, error) {
	s := &Server{
		settings: settings,
		log:      log,
		mux:      http.NewServeMux(),
		began:    time.Now(),
		exit:     os.Exit,
		busy:     make(chan struct{}, settings.Slots),
	}
	s.register = fulmargrant.NewAt(s.clock(), maxTTL)
	s.mux.HandleFunc("GET /fulmarbend/grant", s.getGrant)
	s.mux.HandleFunc("PUT /fulmarbend/grant", s.putGrant)
	s.mux.HandleFunc("PUT /lab/mode", s.putMode)
	s.mux.HandleFunc("/", s.execute)
	return s, s.append(fulmarhistory.Event{Kind: fulmarhistory.KindUp})
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// clock is the target's monotonic clock. It begins at the wall-clock time of the
// start, so that stamps of a former process of the target are never ahead of it
// by chance or valid again.
func (s *Server) clock() time.Duration {
	return time.Duration(s.began.UnixNano()) + time.Since(s.began)
}

func (s *Server) append(e fulmarhistory.Event) error {
	if e.UnixNanos == 0 {
		e.UnixNanos = int64(s.clock())
	}
	e.Target, e.Service, e.Fenced = s.settings.Target, s.settings.Service, s.settings.Fenced
	return s.log.Append(e)
}

func (s *Server) state() fulmargrant.State {
	state := s.register.State(s.clock())
	state.Target, state.Service, state.Fenced = s.settings.Target, s.settings.Service, s.settings.Fenced
	state.Capacity, state.Running, state.Leaving = s.settings.Slots, len(s.busy), s.leaving.Load()
	return state
}

func (s *Server) answerState(w http.ResponseWriter, status int) {
	state := s.state()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(fulmaroutcome.HeaderStamp, strconv.FormatInt(int64(state.Stamp), 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(state)
}

func (s *Server) getGrant(w http.ResponseWriter, _ *http.Request) {
	s.answerState(w, http.StatusOK)
}

func (s *Server) putGrant(w http.ResponseWriter, r *http.Request) {
	var g fulmargrant.Grant
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&g); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.settings.Fenced {
		s.answerState(w, http.StatusOK)
		return
	}
	s.grants.Lock()
	defer s.grants.Unlock()
	now := s.clock()
	if err := s.register.Apply(now, g); err != nil {
		w.Header().Set(fulmaroutcome.HeaderReason, strings.TrimPrefix(err.Error(), "fulmargrant: "))
		s.answerState(w, http.StatusConflict)
		return
	}
	err := s.append(fulmarhistory.Event{
		UnixNanos: int64(now), Kind: fulmarhistory.KindGrant, Slots: g.Slots, Lapse: int64(g.Stamp + g.TTL),
		Term: g.Term, Epoch: g.Epoch, Holder: g.Holder,
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.answerState(w, http.StatusOK)
}

func (s *Server) putMode(w http.ResponseWriter, r *http.Request) {
	var m Mode
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.leaving.Store(m.Leaving)
	s.shed.Store(m.Shedding)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) refuse(w http.ResponseWriter, status int, reason fulmaroutcome.Reason, text string) {
	w.Header().Set(fulmaroutcome.HeaderOutcome, string(fulmaroutcome.NotRun))
	w.Header().Set(fulmaroutcome.HeaderReason, string(reason))
	w.Header().Set(fulmaroutcome.HeaderStamp, strconv.FormatInt(int64(s.clock()), 10))
	http.Error(w, text, status)
}

// order is a parsed order.
type order struct {
	id, key  string
	term     uint64
	slot     int
	deadline time.Time // zero if there is none
	work     time.Duration
	size     int
	crash    bool
}

func parse(h http.Header, now time.Time) (order, error) {
	o := order{
		id:    h.Get(fulmaroutcome.HeaderRequestID),
		key:   h.Get(fulmaroutcome.HeaderKey),
		crash: h.Get(HeaderCrash) == "1",
	}
	var err error
	if o.term, err = number(h, fulmaroutcome.HeaderTerm); err != nil {
		return o, err
	}
	slot, err := number(h, fulmaroutcome.HeaderSlot)
	if err != nil {
		return o, err
	}
	o.slot = int(slot)
	size, err := number(h, HeaderSize)
	if err != nil {
		return o, err
	}
	o.size = int(min(size, maxSize))
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

// number returns a header's value, or 0 if the header is absent.
func number(h http.Header, name string) (uint64, error) {
	text := h.Get(name)
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 63)
}

func (s *Server) execute(w http.ResponseWriter, r *http.Request) {
	o, err := parse(r.Header, time.Now())
	if err != nil {
		s.refuse(w, http.StatusBadRequest, fulmaroutcome.Malformed, err.Error())
		return
	}
	// The body is read first, since net/http notices a disconnect only after it.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		s.refuse(w, http.StatusBadRequest, fulmaroutcome.Malformed, "the body broke off")
		return
	}
	if s.shed.Load() {
		s.refuse(w, http.StatusServiceUnavailable, fulmaroutcome.Shed, "load is shed")
		return
	}
	select {
	case s.busy <- struct{}{}:
	default:
		s.refuse(w, http.StatusServiceUnavailable, fulmaroutcome.Shed, "no slot is free")
		return
	}
	// The slot is free before the answer is written, since a dispatcher that has
	// read the answer counts on it.
	if serial, ok := s.run(w, r, o); ok {
		s.answer(w, o, serial)
	}
}

// run executes an order while it has a slot, and reports whether it committed.
// If not, it has answered.
func (s *Server) run(w http.ResponseWriter, r *http.Request, o order) (uint64, bool) {
	defer func() { <-s.busy }()
	if !o.deadline.IsZero() && !time.Now().Before(o.deadline) {
		s.refuse(w, http.StatusServiceUnavailable, fulmaroutcome.Deadline, "deadline has passed")
		return 0, false
	}
	now := s.clock()
	if err := s.check(now, o); err != nil {
		s.refuse(w, http.StatusPreconditionFailed, fulmaroutcome.Fenced, err.Error())
		return 0, false
	}
	serial := s.serial.Add(1)
	event := fulmarhistory.Event{
		UnixNanos: int64(now), Kind: fulmarhistory.KindStart, Slot: o.slot, Key: o.key, ID: o.id, Term: o.term,
		Serial: serial, Holder: r.Header.Get(fulmaroutcome.HeaderSender),
	}
	if err := s.append(event); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return 0, false
	}
	note := s.work(r.Context(), o, serial)
	event.UnixNanos, event.Kind = int64(s.clock()), fulmarhistory.KindCommit
	if err := s.checkCommit(time.Duration(event.UnixNanos), o); note == "" && err != nil {
		note = err.Error()
	}
	if note != "" {
		event.Kind, event.Note = fulmarhistory.KindAbort, note
	}
	if err := s.append(event); err != nil || note != "" {
		w.Header().Set(fulmaroutcome.HeaderStamp, strconv.FormatInt(int64(s.clock()), 10))
		http.Error(w, "aborted: "+note, http.StatusInternalServerError)
		return 0, false
	}
	return serial, true
}

// check applies the fence, if the target checks one.
func (s *Server) check(now time.Duration, o order) error {
	if !s.settings.Fenced {
		return nil
	}
	return s.register.Check(now, o.term, o.slot)
}

// checkCommit applies the fence to an order that is about to take effect.
func (s *Server) checkCommit(now time.Duration, o order) error {
	if !s.settings.Fenced {
		return nil
	}
	return s.register.CheckCommit(now, o.slot)
}

// work simulates the work and returns why it must not commit, or the empty string.
func (s *Server) work(ctx context.Context, o order, serial uint64) string {
	d := o.work
	if serial <= uint64(s.settings.ColdRequests) {
		d += s.settings.ColdDelay
	}
	if o.crash {
		time.AfterFunc(d/2, func() { s.exit(3) })
	}
	if !fulmarclock.Sleep(ctx, d) {
		return "cancelled"
	}
	return ""
}

func (s *Server) answer(w http.ResponseWriter, o order, serial uint64) {
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
