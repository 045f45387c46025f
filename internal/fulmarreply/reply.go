package fulmarreply

import (
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
)

// chunk is the size of the buffer through which a body is passed on, in bytes.
const chunk = 32 << 10

// retrySeconds is the Retry-After value; moves and takeovers end within 2 s.
const retrySeconds = "1"

// ErrBroken is returned for a body that ended before it was complete, before a byte of it was passed on.
var ErrIncomplete = errors.New("fulmarreply: body broke off")

// ErrAborted is returned for a body that broke off, or could not be written, after a part was passed on.
var ErrAborted = errors.New("fulmarreply: answer cut off")

// hop lists the headers that concern one connection only.
var hop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Status returns the HTTP status that expresses an outcome and its reason.
func Status(o fulmaroutcome.Outcome, r fulmaroutcome.Reason) int {
	switch {
	case o == fulmaroutcome.Served:
		return http.StatusOK
	case o == fulmaroutcome.Unknown && r == fulmaroutcome.Late:
		return http.StatusGatewayTimeout
	case o == fulmaroutcome.Unknown:
		return http.StatusBadGateway
	}
	switch r {
	case fulmaroutcome.Malformed, fulmaroutcome.IDMissing, fulmaroutcome.IDAhead:
		return http.StatusBadRequest
	case fulmaroutcome.TooLarge:
		return http.StatusRequestEntityTooLarge
	case fulmaroutcome.UnknownService:
		return http.StatusNotFound
	case fulmaroutcome.UnknownGroup:
		return http.StatusForbidden
	case fulmaroutcome.Condemned:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusServiceUnavailable
	}
}

// Waiting reports whether the same request may succeed if it is sent again later.
func Retryable(r fulmaroutcome.Reason) bool {
	switch r {
	case fulmaroutcome.QueueFull, fulmaroutcome.Deadline, fulmaroutcome.Moving, fulmaroutcome.NotHolder,
		fulmaroutcome.NoOwner, fulmaroutcome.NoDispatcher, fulmaroutcome.Stale, fulmaroutcome.Draining,
		fulmaroutcome.Shed, fulmaroutcome.Fenced, fulmaroutcome.IDAhead, fulmaroutcome.Budget, fulmaroutcome.Dial:
		return true
	default:
		return false
	}
}

// Refuse answers with an outcome other than Served; detail may be empty.
func Refuse(w http.ResponseWriter, o fulmaroutcome.Outcome, r fulmaroutcome.Reason, detail string) {
	text := string(o) + ": " + string(r)
	if detail != "" {
		text += ": " + detail
	}
	text += "\n"
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	h.Set(fulmaroutcome.HeaderOutcome, string(o))
	h.Set(fulmaroutcome.HeaderReason, string(r))
	if o == fulmaroutcome.NotRun && Retryable(r) {
		h.Set("Retry-After", retrySeconds)
	}
	w.WriteHeader(Status(o, r))
	_, _ = io.WriteString(w, text) // a caller that is gone needs no answer
}

// CopyHeader sets the end-to-end headers of src in dst, without the headers of the project itself.
func CopyHeader(dst, src http.Header) {
	drop := make(map[string]bool, len(hop))
	for _, name := range hop {
		drop[name] = true
	}
	for _, line := range src["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			drop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range src {
		if drop[name] || strings.HasPrefix(name, "Fulmarbend-") {
			continue
		}
		dst[name] = append([]string(nil), values...)
	}
}

// Copy passes on a served answer; the first part of the body is read before the head is written.
// It returns ErrBroken if the body broke off before anything was written, and ErrAborted afterwards.
func Copy(w http.ResponseWriter, resp *http.Response) error {
	buf := make([]byte, chunk)
	n, err := first(resp.Body, buf)
	if err != nil && !errors.Is(err, io.EOF) {
		return errors.Wrap(ErrIncomplete, err.Error())
	}
	WriteHead(w, resp)
	return stream(w, resp.Body, buf, n, err, resp.ContentLength < 0)
}

// Head writes the status and headers of a served answer.
func WriteHead(w http.ResponseWriter, resp *http.Response) {
	CopyHeader(w.Header(), resp.Header)
	w.Header().Set(fulmaroutcome.HeaderOutcome, string(fulmaroutcome.Served))
	bodyless := resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	if resp.ContentLength >= 0 && resp.Header.Get("Content-Length") == "" && !bodyless {
		w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	w.WriteHeader(resp.StatusCode)
}

// Stream passes on the rest of a body after Head; it returns ErrAborted if the body breaks off.
func Stream(w http.ResponseWriter, body io.Reader, flush bool) error {
	return stream(w, body, make([]byte, chunk), 0, nil, flush)
}

// first reads until it has at least one byte or an error.
func first(body io.Reader, buf []byte) (int, error) {
	for {
		n, err := body.Read(buf)
		if n > 0 || err != nil {
			return n, err
		}
	}
}

// stream writes the n bytes of buf, whose read ended with err, and then the rest of body.
func stream(w http.ResponseWriter, body io.Reader, buf []byte, n int, err error, flush bool) error {
	flusher := http.NewResponseController(w)
	for {
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return errors.Wrap(ErrAborted, werr.Error())
			}
			if flush && err == nil {
				_ = flusher.Flush() // a writer that cannot flush sends the data later
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(ErrAborted, err.Error())
		}
		n, err = body.Read(buf)
	}
}
