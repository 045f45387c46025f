package fulmarentry

import (
	"net/http"

	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
)

// servedWriter forwards a served response of the local dispatcher and discards every
// other response, of which it keeps the headers.
type servedWriter struct {
	dst           http.ResponseWriter
	header        http.Header
	headerWritten bool
	forwarding    bool
}

// Header returns the headers to write: those of the caller's response once the
// headers have been forwarded.
func (r *servedWriter) Header() http.Header {
	if r.forwarding {
		return r.dst.Header()
	}
	return r.header
}

// WriteHeader forwards the status and the headers of a served response.
func (r *servedWriter) WriteHeader(status int) {
	if r.headerWritten {
		return
	}
	r.headerWritten = true
	if r.header.Get(fulmaroutcome.HeaderOutcome) != string(fulmaroutcome.Served) {
		return
	}
	r.forwarding = true
	h := r.dst.Header()
	for name, values := range r.header {
		h[name] = values
	}
	r.dst.WriteHeader(status)
}

// Write forwards the body of a served response.
func (r *servedWriter) Write(b []byte) (int, error) {
	if !r.headerWritten {
		r.WriteHeader(http.StatusOK)
	}
	if !r.forwarding {
		return len(b), nil
	}
	return r.dst.Write(b)
}

// FlushError flushes the forwarded part of the response, if any.
func (r *servedWriter) FlushError() error {
	if !r.forwarding {
		return nil
	}
	return http.NewResponseController(r.dst).Flush()
}

// Unwrap returns the caller's ResponseWriter, so that http.ResponseController can set
// the deadlines of its connection.
func (r *servedWriter) Unwrap() http.ResponseWriter { return r.dst }

// result returns the outcome that the dispatcher reported.
func (r *servedWriter) result() attemptResult {
	res := attemptResult{
		outcome:            fulmaroutcome.Outcome(r.header.Get(fulmaroutcome.HeaderOutcome)),
		reason:             fulmaroutcome.Reason(r.header.Get(fulmaroutcome.HeaderReason)),
		dispatcherAnswered: true,
	}
	if res.outcome == "" {
		return attemptResult{outcome: fulmaroutcome.Unknown, reason: fulmaroutcome.DispatcherLost}
	}
	return res
}
