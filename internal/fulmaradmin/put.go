package fulmaradmin

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/internal/fulmarstore"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarconfig"
)

const (
	putAttempts = 4
	putPause    = 250 * time.Millisecond // longest pause between attempts
)

func (a *API) check(r *http.Request) (any, error) {
	var q CheckRequest
	if err := read(r, &q); err != nil {
		return nil, err
	}
	next, err := fulmarconfig.Parse([]byte(q.Text))
	if err != nil {
		return nil, err
	}
	v, current, err := a.config()
	if err != nil {
		return nil, err
	}
	if err := fulmarconfig.CheckChange(current, next); err != nil {
		return nil, err
	}
	return CheckResult{v.Version, diff(current, next)}, nil
}

func diff(a, b fulmarconfig.Config) []string { return append([]string{}, fulmarconfig.Diff(a, b)...) }

func (a *API) put(r *http.Request) (any, error) {
	var q PutRequest
	if err := read(r, &q); err != nil {
		return nil, err
	}
	if q.OperationID == "" || q.Author == "" {
		return nil, failed(http.StatusBadRequest, "operation and author are needed")
	}
	next, err := fulmarconfig.Parse([]byte(q.Text))
	if err != nil {
		return nil, err
	}
	v := fulmarconfig.Versioned{Version: q.BaseVersion + 1, OperationID: q.OperationID, Author: q.Author, Text: []byte(q.Text)}
	if _, err := v.Encode(); err != nil {
		return nil, failed(http.StatusBadRequest, "%v", err)
	}
	now, current, err := a.config()
	switch {
	case err != nil:
		return nil, err
	case now.Version > q.BaseVersion:
		return settle(now, v, next)
	case now.Version < q.BaseVersion:
		return nil, failed(http.StatusServiceUnavailable, "this daemon has version %d, older than the base %d", now.Version, q.BaseVersion)
	}
	if err := fulmarconfig.CheckChange(current, next); err != nil {
		return nil, err
	}
	return a.store(r.Context(), v, next)
}

// store puts v until it is known whether v is stored. To repeat a compare-and-swap with the same
// operation id is safe: at most one of the attempts takes effect.
func (a *API) store(ctx context.Context, v fulmarconfig.Versioned, next fulmarconfig.Config) (any, error) {
	sent := false
	for attempt := range putAttempts {
		if attempt > 0 {
			fulmarclock.Sleep(ctx, rand.N(putPause))
			// The write may still arrive after a read that does not show it, so such a read settles nothing.
			if now, err := a.readBack(ctx); err == nil && now.Version >= v.Version {
				return settle(now, v, next)
			}
		}
		err := a.source.PutConfig(ctx, v, v.Version-1)
		var conflict *ConflictError
		switch {
		case err == nil:
			return PutResult{v.Version}, nil
		case errors.As(err, &conflict):
			return settle(conflict.Current, v, next)
		case errors.Is(err, fulmarstore.ErrAmbiguous):
			sent = true
		case !errors.Is(err, fulmarstore.ErrUnavailable):
			return nil, err
		case !sent:
			return nil, failed(http.StatusServiceUnavailable, "nothing was changed: %v", err)
		}
	}
	return nil, ambiguous(v)
}

func ambiguous(v fulmarconfig.Versioned) error {
	return &Error{
		Status: http.StatusGatewayTimeout, OperationID: v.OperationID,
		Message: "the key-value service did not answer; the put may take effect. Read the configuration and look for the operation id",
	}
}

func (a *API) readBack(ctx context.Context) (fulmarconfig.Versioned, error) {
	if r, ok := a.source.(ConfigReader); ok {
		return r.ReadConfig(ctx)
	}
	return a.source.Versioned(), nil
}

// settle returns the result of putting v, given that now is stored with v's version or a later one.
func settle(now, v fulmarconfig.Versioned, next fulmarconfig.Config) (any, error) {
	if now.Version == v.Version && now.OperationID == v.OperationID {
		return PutResult{v.Version}, nil
	}
	current, err := fulmarconfig.Parse(now.Text)
	if err != nil {
		return nil, err
	}
	message := "another version was put first"
	if now.Version > v.Version {
		message = "later versions were put; this put may have taken effect before them"
	}
	return nil, &Error{
		Status: http.StatusConflict, Message: message, CurrentVersion: now.Version, CurrentAuthor: now.Author,
		Diff: diff(current, next), OperationID: v.OperationID,
	}
}
