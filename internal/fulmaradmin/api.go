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

// Source is what a daemon shows and does for operators.
type Daemon interface {
	Status() Status
	Table() fulmarslot.Table
	Versioned() fulmarconfig.Versioned
	// PutConfig stores v if the stored version is still base. It returns a *ConflictError, or an error that
	// is fulmarstore.ErrAmbiguous or fulmarstore.ErrUnavailable.
	PutConfig(ctx context.Context, v fulmarconfig.Versioned, base uint64) error
	Holder(target string) (fulmarslot.Member, bool)
	Confirm(member string)
	Lift(fingerprint uint64)
}

// Reader is implemented by a Source that can read the stored configuration consistently.
// Without it, a put is read back from the configuration in force.
type ConfigReader interface {
	ReadConfig(ctx context.Context) (fulmarconfig.Versioned, error)
}

// ConflictError reports that another version was stored before.
type ConflictError struct{ Current fulmarconfig.Versioned }

// Error names the version that is stored.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("fulmaradmin: conflict with version %d by %s", e.Current.Version, e.Current.Author)
}

// API is the http.Handler of the operators' API.
type API struct {
	source Daemon
	guard  *guard
	mux    *http.ServeMux
	now    func() time.Time
}

// New returns the API over what source shows, for operators who have the key; it panics if the key is empty.
func New(source Daemon, key []byte) *API { return NewWithClock(source, key, time.Now) }

// NewAt is New with a clock.
func NewWithClock(source Daemon, key []byte, now func() time.Time) *API {
	if len(key) == 0 {
		panic("fulmaradmin: empty key")
	}
	a := &API{
		source: source,
		guard:  &guard{key: key, start: now(), nonces: map[string]time.Time{}},
		mux:    http.NewServeMux(),
		now:    now,
	}
	a.handle("GET /v1/status", func(*http.Request) (any, error) { return source.Status(), nil })
	a.handle("GET /v1/members", func(*http.Request) (any, error) { return source.Status().Members, nil })
	a.handle("GET /v1/config", func(*http.Request) (any, error) {
		v := source.Versioned()
		return Config{v.Version, v.OperationID, v.Author, string(v.Text)}, nil
	})
	a.handle("POST /v1/config/check", a.check)
	a.handle("PUT /v1/config", a.put)
	a.handle("GET /v1/table", func(*http.Request) (any, error) { return summary(source.Table()), nil })
	a.handle("GET /v1/targets", a.targets)
	a.handle("GET /v1/explain", a.explain)
	a.handle("GET /v1/quarantine", a.quarantine)
	a.handle("DELETE /v1/quarantine/{fingerprint}", a.lift)
	a.handle("POST /v1/roster/confirm", a.confirm)
	return a
}

// ServeHTTP authenticates and answers a request.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := a.guard.check(w, r, a.now()); err != nil {
		answer(w, nil, err)
		return
	}
	a.mux.ServeHTTP(w, r)
}

func (a *API) handle(pattern string, serve func(*http.Request) (any, error)) {
	a.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		v, err := serve(r)
		answer(w, v, err)
	})
}

// answer writes v, or err as an Error.
func answer(w http.ResponseWriter, v any, err error) {
	status := http.StatusOK
	if err != nil {
		e := asError(err)
		status, v = e.Status, e
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the operator sees a broken answer
}

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

func failed(status int, format string, args ...any) error {
	return &Error{Status: status, Message: fmt.Sprintf(format, args...)}
}

func read(r *http.Request, dst any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(dst); err != nil {
		return failed(http.StatusBadRequest, "malformed body: %v", err)
	}
	return nil
}

func summary(t fulmarslot.Table) Table {
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

// config returns the configuration in force with its version.
func (a *API) config() (fulmarconfig.Versioned, fulmarconfig.Config, error) {
	v := a.source.Versioned()
	c, err := fulmarconfig.Parse(v.Text)
	return v, c, errors.WithMessagef(err, "version %d", v.Version)
}

func (a *API) targets(*http.Request) (any, error) {
	_, config, err := a.config()
	if err != nil {
		return nil, err
	}
	drains := map[string]string{}
	for _, d := range config.Drains() {
		drains[d.Target] = d.Reason
	}
	t := a.source.Table()
	owned := map[string]int{}
	for _, s := range summary(t).Services {
		for target, n := range s.Owners {
			owned[target] += n
		}
	}
	list := []Target{}
	for _, g := range t.Targets() {
		list = append(list, Target{
			ID: g.ID, Service: g.Service, Address: g.Address, DataCentre: g.DataCentre, Fenced: g.Fenced,
			Leaving: g.Leaving, Dispatcher: a.holder(g.ID), OwnedSlots: owned[g.ID], DrainReason: drains[g.ID],
		})
	}
	return list, nil
}

func (a *API) holder(target string) string {
	m, _ := a.source.Holder(target)
	return m.ID
}

func (a *API) explain(r *http.Request) (any, error) {
	q := r.URL.Query()
	service, key, group := q.Get("service"), q.Get("key"), q.Get("group")
	if service == "" || key == "" {
		return nil, failed(http.StatusBadRequest, "service and key are needed")
	}
	t := a.source.Table()
	slot, ok := t.Slot(service, key)
	if !ok {
		return nil, failed(http.StatusNotFound, "unknown service %q", service)
	}
	v, config, err := a.config()
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
		e.Dispatcher = a.holder(as.Owner)
	}
	if group != "" {
		l, ok := config.Limits(service, group)
		if !ok {
			return nil, failed(http.StatusNotFound, "unknown group %q", group)
		}
		e.Limits = &Limits{l.Weight, l.MaxQueue, l.Timeout.String(), l.MaxTimeout.String(), l.MaxBody, l.Source}
	}
	return e, nil
}

func (a *API) quarantine(*http.Request) (any, error) {
	list := []QuarantineEntry{}
	for _, q := range a.source.Table().Quarantined() {
		list = append(list, QuarantineEntry{FormatFingerprint(q.Fingerprint), q.Condemned, q.Until})
	}
	return list, nil
}

func (a *API) lift(r *http.Request) (any, error) {
	f, err := ParseFingerprint(r.PathValue("fingerprint"))
	if err != nil {
		return nil, failed(http.StatusBadRequest, "fingerprint must have 16 hexadecimal digits")
	}
	for _, q := range a.source.Table().Quarantined() {
		if q.Fingerprint == f {
			a.source.Lift(f)
			return QuarantineEntry{FormatFingerprint(f), q.Condemned, q.Until}, nil
		}
	}
	return nil, failed(http.StatusNotFound, "fingerprint %016x is not under quarantine", f)
}

func (a *API) confirm(r *http.Request) (any, error) {
	var c ConfirmRequest
	if err := read(r, &c); err != nil {
		return nil, err
	}
	for _, m := range a.source.Status().Members {
		if m.ID == c.Member && m.State != "down" {
			return nil, failed(http.StatusConflict, "member %q is %s, not down", c.Member, m.State)
		}
	}
	for _, m := range a.source.Table().Roster() {
		if m.ID == c.Member {
			a.source.Confirm(c.Member)
			return c, nil
		}
	}
	return nil, failed(http.StatusNotFound, "member %q is not in the roster", c.Member)
}
