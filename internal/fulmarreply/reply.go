package fulmarreply

import (
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
)

// bufferSize is the size of the buffer for copying a body, in bytes.
const bufferSize = 32 << 10

// retrySeconds is the Retry-After value; moves and takeovers end within 2 s.
const retrySeconds = "1"

// ErrIncomplete is returned if reading the body fails before a byte of the answer was written.
var ErrIncomplete = errors.New("fulmarreply: answer body is incomplete")

// ErrAborted is returned if reading or writing the body fails after a part of the answer was written.
var ErrAborted = errors.New("fulmarreply: answer was aborted after a part was written")

// hopByHop lists the headers that apply to one connection only.
var hopByHop = []string{
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

// Retryable reports whether the same request may succeed later.
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
	_, _ = io.WriteString(w, text) // a caller that has closed the connection needs no answer
}

// CopyHeader copies the end-to-end headers of src to dst, except those that start with Fulmarbend-.
func CopyHeader(dst, src http.Header) {
	drop := make(map[string]bool, len(hopByHop))
	for _, name := range hopByHop {
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

// Copy forwards a served answer. It reads the first part of the body before it writes the head, and returns
// ErrIncomplete if that read fails and ErrAborted if a later one does.
func Copy(w http.ResponseWriter, resp *http.Response) error {
	buf := make([]byte, bufferSize)
	n, err := readFirst(resp.Body, buf)
	if err != nil && !errors.Is(err, io.EOF) {
		return errors.Wrap(ErrIncomplete, err.Error())
	}
	WriteHead(w, resp)
	return stream(w, resp.Body, buf, n, err, resp.ContentLength < 0)
}

// WriteHead writes the status and headers of a served answer.
func WriteHead(w http.ResponseWriter, resp *http.Response) {
	CopyHeader(w.Header(), resp.Header)
	w.Header().Set(fulmaroutcome.HeaderOutcome, string(fulmaroutcome.Served))
	bodyless := resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	if resp.ContentLength >= 0 && resp.Header.Get("Content-Length") == "" && !bodyless {
		w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	w.WriteHeader(resp.StatusCode)
}

// Stream forwards the body after WriteHead; it returns ErrAborted if reading or writing the body fails.
func Stream(w http.ResponseWriter, body io.Reader, flush bool) error {
	return stream(w, body, make([]byte, bufferSize), 0, nil, flush)
}

// readFirst reads until it has at least one byte or an error.
func readFirst(body io.Reader, buf []byte) (int, error) {
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
