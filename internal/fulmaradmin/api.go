package fulmaradmin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarconfig"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

// Daemon is the state and the operations of a daemon that the API exposes.
type Daemon interface {
	Status() Status
	Table() fulmarslot.Table
	Versioned() fulmarconfig.Versioned
	// PutConfig stores v if the stored version equals base. Otherwise it returns a *ConflictError; errors of the
	// key-value service match fulmarstore.ErrAmbiguous or fulmarstore.ErrUnavailable.
	PutConfig(ctx context.Context, v fulmarconfig.Versioned, base uint64) error
	Holder(target string) (fulmarslot.Member, bool)
	Confirm(member string)
	Lift(fingerprint uint64)
}

// ConfigReader is implemented by a Daemon that can read the stored configuration consistently.
// For other implementations a put is read back from the configuration in force.
type ConfigReader interface {
	ReadConfig(ctx context.Context) (fulmarconfig.Versioned, error)
}

// ConflictError reports that the stored version is not the base of the put.
type ConflictError struct{ Current fulmarconfig.Versioned }

// Error returns a message with the stored version and its author.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("fulmaradmin: conflict with version %d by %s", e.Current.Version, e.Current.Author)
}

// API is the HTTP handler of the operators' API.
type API struct {
	daemon Daemon
	auth   *authenticator
	mux    *http.ServeMux
	now    func() time.Time
}

// New returns the API of a daemon for operators who have the key; it panics if the key is empty.
func New(daemon Daemon, key []byte) *API { return NewWithClock(daemon, key, time.Now) }

// NewWithClock is like New, with now as the clock.
func NewWithClock(daemon Daemon, key []byte, now func() time.Time) *API {
	if len(key) == 0 {
		panic("fulmaradmin: empty key")
	}
	a := &API{
		daemon: daemon,
		auth:   &authenticator{key: key, started: now(), nonces: map[string]time.Time{}},
		mux:    http.NewServeMux(),
		now:    now,
	}
	a.handle("GET /v1/status", func(*http.Request) (any, error) { return daemon.Status(), nil })
	a.handle("GET /v1/members", func(*http.Request) (any, error) { return daemon.Status().Members, nil })
	a.handle("GET /v1/config", func(*http.Request) (any, error) {
		v := daemon.Versioned()
		return Config{v.Version, v.OperationID, v.Author, string(v.Text)}, nil
	})
	a.handle("POST /v1/config/check", a.checkConfig)
	a.handle("PUT /v1/config", a.putConfig)
	a.handle("GET /v1/table", func(*http.Request) (any, error) { return summarise(daemon.Table()), nil })
	a.handle("GET /v1/targets", a.listTargets)
	a.handle("GET /v1/explain", a.explain)
	a.handle("GET /v1/quarantine", a.listQuarantine)
	a.handle("DELETE /v1/quarantine/{fingerprint}", a.liftQuarantine)
	a.handle("POST /v1/roster/confirm", a.confirmLost)
	return a
}

// ServeHTTP authenticates and serves a request.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := a.auth.authenticate(w, r, a.now()); err != nil {
		writeResponse(w, nil, err)
		return
	}
	a.mux.ServeHTTP(w, r)
}

// handle registers a handler whose result is written as JSON.
func (a *API) handle(pattern string, serve func(*http.Request) (any, error)) {
	a.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		v, err := serve(r)
		writeResponse(w, v, err)
	})
}

// writeResponse writes v, or err as an Error, in JSON.
func writeResponse(w http.ResponseWriter, v any, err error) {
	status := http.StatusOK
	if err != nil {
		e := asError(err)
		status, v = e.Status, e
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the client detects a truncated response
}

// asError returns the Error with the HTTP status for err.
func asError(err error) *Error {
	var e *Error
	var large *http.MaxBytesError
	var faults *fulmarconfig.FaultsError
	switch {
	case errors.As(err, &e):
		return e
	case errors.As(err, &faults):
		return &Error{Status: http.StatusUnprocessableEntity, Message: "the configuration has faults", Faults: faults.Faults}
	case errors.As(err, &large):
		return &Error{Status: http.StatusRequestEntityTooLarge, Message: "the request is too large"}
	case errors.Is(err, errAuth):
		return &Error{Status: http.StatusUnauthorized, Message: "not authenticated: " + strings.TrimSuffix(err.Error(), ": "+errAuth.Error())}
	}
	return &Error{Status: http.StatusInternalServerError, Message: err.Error()}
}

func newError(status int, format string, args ...any) error {
	return &Error{Status: status, Message: fmt.Sprintf(format, args...)}
}

// decodeBody decodes a JSON body into dst; unknown fields are errors.
func decodeBody(r *http.Request, dst any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(dst); err != nil {
		return newError(http.StatusBadRequest, "malformed body: %v", err)
	}
	return nil
}

// summarise returns the numbers of owned and unowned slots and the moves of each service.
func summarise(t fulmarslot.Table) Table {
	s := Table{Epoch: t.Epoch(), Services: []Service{}, Roster: []string{}}
	for _, name := range t.Services() {
		v := Service{Name: name, Slots: t.Slots(name), Owners: map[string]int{}, Moving: []Move{}}
		for slot := range v.Slots {
			as := t.Assignment(name, slot)
			if as.Owner == "" {
				v.Unowned++
			} else {
				v.Owners[as.Owner]++
			}
			if as.Next != "" {
				v.Moving = append(v.Moving, Move{slot, as.Owner, as.Next, as.Forced})
			}
		}
		s.Services = append(s.Services, v)
	}
	for _, m := range t.Roster() {
		s.Roster = append(s.Roster, m.ID)
	}
	return s
}

// currentConfig returns the configuration in force, stored and parsed.
func (a *API) currentConfig() (fulmarconfig.Versioned, fulmarconfig.Config, error) {
	v := a.daemon.Versioned()
	c, err := fulmarconfig.Parse(v.Text)
	return v, c, errors.WithMessagef(err, "version %d", v.Version)
}

func (a *API) listTargets(*http.Request) (any, error) {
	_, config, err := a.currentConfig()
	if err != nil {
		return nil, err
	}
	drains := map[string]string{}
	for _, d := range config.Drains() {
		drains[d.Target] = d.Reason
	}
	t := a.daemon.Table()
	owned := map[string]int{}
	for _, s := range summarise(t).Services {
		for target, n := range s.Owners {
			owned[target] += n
		}
	}
	list := []Target{}
	for _, g := range t.Targets() {
		list = append(list, Target{
			ID: g.ID, Service: g.Service, Address: g.Address, DataCentre: g.DataCentre, Fenced: g.Fenced,
			Leaving: g.Leaving, Dispatcher: a.dispatcher(g.ID), OwnedSlots: owned[g.ID], DrainReason: drains[g.ID],
		})
	}
	return list, nil
}

// dispatcher returns the id of the daemon that dispatches for the target, or an empty string if it is unknown.
func (a *API) dispatcher(target string) string {
	m, _ := a.daemon.Holder(target)
	return m.ID
}

func (a *API) explain(r *http.Request) (any, error) {
	q := r.URL.Query()
	service, key, group := q.Get("service"), q.Get("key"), q.Get("group")
	if service == "" || key == "" {
		return nil, newError(http.StatusBadRequest, "service and key are needed")
	}
	t := a.daemon.Table()
	slot, ok := t.Slot(service, key)
	if !ok {
		return nil, newError(http.StatusNotFound, "unknown service %q", service)
	}
	v, config, err := a.currentConfig()
	if err != nil {
		return nil, err
	}
	as := t.Assignment(service, slot)
	_, _, hot := t.ParentSlot(service, slot)
	e := Explanation{
		Service: service, Key: key, Group: group, Epoch: t.Epoch(), ConfigVersion: v.Version,
		Slot: slot, HasOwnSlot: hot, Owner: as.Owner, Next: as.Next,
	}
	if as.Owner != "" {
		e.Dispatcher = a.dispatcher(as.Owner)
	}
	if group != "" {
		l, ok := config.Limits(service, group)
		if !ok {
			return nil, newError(http.StatusNotFound, "unknown group %q", group)
		}
		e.Limits = &Limits{l.Weight, l.MaxQueue, l.Timeout.String(), l.MaxTimeout.String(), l.MaxBody, l.Source}
	}
	return e, nil
}

func (a *API) listQuarantine(*http.Request) (any, error) {
	list := []QuarantineEntry{}
	for _, q := range a.daemon.Table().Quarantined() {
		list = append(list, QuarantineEntry{FormatFingerprint(q.Fingerprint), q.Condemned, q.Until})
	}
	return list, nil
}

func (a *API) liftQuarantine(r *http.Request) (any, error) {
	f, err := ParseFingerprint(r.PathValue("fingerprint"))
	if err != nil {
		return nil, newError(http.StatusBadRequest, "fingerprint must have 16 hexadecimal digits")
	}
	for _, q := range a.daemon.Table().Quarantined() {
		if q.Fingerprint == f {
			a.daemon.Lift(f)
			return QuarantineEntry{FormatFingerprint(f), q.Condemned, q.Until}, nil
		}
	}
	return nil, newError(http.StatusNotFound, "fingerprint %016x is not under quarantine", f)
}

func (a *API) confirmLost(r *http.Request) (any, error) {
	var c ConfirmRequest
	if err := decodeBody(r, &c); err != nil {
		return nil, err
	}
	for _, m := range a.daemon.Status().Members {
		if m.ID == c.Member && m.State != "down" {
			return nil, newError(http.StatusConflict, "member %q is %s, not down", c.Member, m.State)
		}
	}
	for _, m := range a.daemon.Table().Roster() {
		if m.ID == c.Member {
			a.daemon.Confirm(c.Member)
			return c, nil
		}
	}
	return nil, newError(http.StatusNotFound, "member %q is not in the roster", c.Member)
}
