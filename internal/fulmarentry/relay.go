package fulmarentry

import (
	"net/http"

	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
)

// relay passes a served answer of the local dispatcher on and holds back every other one.
type relay struct {
	to     http.ResponseWriter
	header http.Header
	wrote  bool
	passed bool
}

// Header returns the headers to write.
func (r *relay) Header() http.Header {
	if r.passed {
		return r.to.Header()
	}
	return r.header
}

// WriteHeader passes on the head of a served answer.
func (r *relay) WriteHeader(status int) {
	if r.wrote {
		return
	}
	r.wrote = true
	if r.header.Get(fulmaroutcome.HeaderOutcome) != string(fulmaroutcome.Served) {
		return
	}
	r.passed = true
	h := r.to.Header()
	for name, values := range r.header {
		h[name] = values
	}
	r.to.WriteHeader(status)
}

// Write passes on the body of a served answer.
func (r *relay) Write(b []byte) (int, error) {
	if !r.wrote {
		r.WriteHeader(http.StatusOK)
	}
	if !r.passed {
		return len(b), nil
	}
	return r.to.Write(b)
}

// FlushError sends what was passed on; before that it does nothing.
func (r *relay) FlushError() error {
	if !r.passed {
		return nil
	}
	return http.NewResponseController(r.to).Flush()
}

// Unwrap gives access to the deadlines of the caller's connection.
func (r *relay) Unwrap() http.ResponseWriter { return r.to }

// result returns what the dispatcher said.
func (r *relay) result() result {
	res := result{
		outcome: fulmaroutcome.Outcome(r.header.Get(fulmaroutcome.HeaderOutcome)),
		reason:  fulmaroutcome.Reason(r.header.Get(fulmaroutcome.HeaderReason)),
		asked:   true,
	}
	if res.outcome == "" {
		return result{outcome: fulmaroutcome.Unknown, reason: fulmaroutcome.DispatcherLost}
	}
	return res
}
