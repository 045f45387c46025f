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
	maxPutPause = 250 * time.Millisecond // longest pause between attempts
)

func (a *API) checkConfig(r *http.Request) (any, error) {
	var q CheckRequest
	if err := decodeBody(r, &q); err != nil {
		return nil, err
	}
	next, err := fulmarconfig.Parse([]byte(q.Text))
	if err != nil {
		return nil, err
	}
	v, current, err := a.currentConfig()
	if err != nil {
		return nil, err
	}
	if err := fulmarconfig.CheckChange(current, next); err != nil {
		return nil, err
	}
	return CheckResult{v.Version, nonNilDiff(current, next)}, nil
}

// nonNilDiff returns the difference as a slice that is encoded as [] rather than null if it is empty.
func nonNilDiff(a, b fulmarconfig.Config) []string {
	return append([]string{}, fulmarconfig.Diff(a, b)...)
}

func (a *API) putConfig(r *http.Request) (any, error) {
	var q PutRequest
	if err := decodeBody(r, &q); err != nil {
		return nil, err
	}
	if q.OperationID == "" || q.Author == "" {
		return nil, newError(http.StatusBadRequest, "operation and author are needed")
	}
	next, err := fulmarconfig.Parse([]byte(q.Text))
	if err != nil {
		return nil, err
	}
	v := fulmarconfig.Versioned{Version: q.BaseVersion + 1, OperationID: q.OperationID, Author: q.Author, Text: []byte(q.Text)}
	if _, err := v.Encode(); err != nil {
		return nil, newError(http.StatusBadRequest, "%v", err)
	}
	inForce, current, err := a.currentConfig()
	switch {
	case err != nil:
		return nil, err
	case inForce.Version > q.BaseVersion:
		return resolvePut(inForce, v, next)
	case inForce.Version < q.BaseVersion:
		return nil, newError(http.StatusServiceUnavailable, "this daemon has version %d, older than the base %d", inForce.Version, q.BaseVersion)
	}
	if err := fulmarconfig.CheckChange(current, next); err != nil {
		return nil, err
	}
	return a.putAndResolve(r.Context(), v, next)
}

// putAndResolve puts v, up to putAttempts times, until it is known whether v is stored. Repeating a
// compare-and-swap with the same operation id is safe: at most one of the attempts takes effect.
func (a *API) putAndResolve(ctx context.Context, v fulmarconfig.Versioned, next fulmarconfig.Config) (any, error) {
	maySent := false
	for attempt := range putAttempts {
		if attempt > 0 {
			fulmarclock.Sleep(ctx, rand.N(maxPutPause))
			// An earlier write may still take effect after this read, so an older version in the store does not
			// mean that it failed.
			if stored, err := a.readBack(ctx); err == nil && stored.Version >= v.Version {
				return resolvePut(stored, v, next)
			}
		}
		err := a.daemon.PutConfig(ctx, v, v.Version-1)
		var conflict *ConflictError
		switch {
		case err == nil:
			return PutResult{v.Version}, nil
		case errors.As(err, &conflict):
			return resolvePut(conflict.Current, v, next)
		case errors.Is(err, fulmarstore.ErrAmbiguous):
			maySent = true
		case !errors.Is(err, fulmarstore.ErrUnavailable):
			return nil, err
		case !maySent:
			return nil, newError(http.StatusServiceUnavailable, "nothing was changed: %v", err)
		}
	}
	return nil, ambiguousError(v)
}

// ambiguousError returns the error for a put whose outcome is unknown.
func ambiguousError(v fulmarconfig.Versioned) error {
	return &Error{
		Status: http.StatusGatewayTimeout, OperationID: v.OperationID,
		Message: "the key-value service did not answer; the put may take effect. Read the configuration and look for the operation id",
	}
}

// readBack returns the stored configuration, or the one in force if the daemon can't read the stored one.
func (a *API) readBack(ctx context.Context) (fulmarconfig.Versioned, error) {
	if r, ok := a.daemon.(ConfigReader); ok {
		return r.ReadConfig(ctx)
	}
	return a.daemon.Versioned(), nil
}

// resolvePut returns the result of putting v, given that stored is the stored configuration and its version is that of
// v or a later one.
func resolvePut(stored, v fulmarconfig.Versioned, next fulmarconfig.Config) (any, error) {
	if stored.Version == v.Version && stored.OperationID == v.OperationID {
		return PutResult{v.Version}, nil
	}
	current, err := fulmarconfig.Parse(stored.Text)
	if err != nil {
		return nil, err
	}
	message := "another version was put first"
	if stored.Version > v.Version {
		message = "later versions were put; this put may have taken effect before them"
	}
	return nil, &Error{
		Status: http.StatusConflict, Message: message, CurrentVersion: stored.Version, CurrentAuthor: stored.Author,
		Diff: nonNilDiff(current, next), OperationID: v.OperationID,
	}
}
