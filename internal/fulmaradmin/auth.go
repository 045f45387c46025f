package fulmaradmin

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
)

// Headers of the authentication, in addition to fulmaroutcome.HeaderAuth.
const (
	HeaderDate  = "Fulmarbend-Date" // RFC 3339 with fractions of a second
	HeaderNonce = "Fulmarbend-Nonce"
)

const (
	maxClockSkew   = 30 * time.Second // largest accepted difference between the clocks of operator and daemon
	maxNonces      = 10_000           // accepted within twice maxClockSkew
	nonceSize      = 16               // bytes
	maxNonceLength = 64               // bytes
	maxBodySize    = 4 << 20          // bytes; escaping in JSON may double the size of a configuration
)

var errAuth = errors.New("fulmaradmin: not authenticated")

// mac returns the message authentication code of a request.
func mac(key []byte, method, uri, date, nonce string, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	sum := sha256.Sum256(body)
	fmt.Fprintf(h, "fulmarbend-admin-1\n%s\n%s\n%s\n%s\n%x", method, uri, date, nonce, sum)
	return h.Sum(nil)
}

// Sign adds the authentication headers to a request with the body.
func Sign(req *http.Request, key, body []byte, now time.Time) {
	raw := make([]byte, nonceSize)
	_, _ = rand.Read(raw) // rand.Read never returns an error
	nonce := hex.EncodeToString(raw)
	date := now.UTC().Format(time.RFC3339Nano)
	req.Header.Set(HeaderDate, date)
	req.Header.Set(HeaderNonce, nonce)
	req.Header.Set(fulmaroutcome.HeaderAuth, hex.EncodeToString(mac(key, req.Method, req.URL.RequestURI(), date, nonce, body)))
}

// authenticator verifies the authentication headers of requests; it is safe for concurrent use.
type authenticator struct {
	key     []byte
	started time.Time

	mu     sync.Mutex
	nonces map[string]time.Time // by nonce: until when its date is accepted, after which the entry may be deleted
}

// authenticate verifies a request and returns its body; the request's body can still be read afterwards.
func (g *authenticator) authenticate(w http.ResponseWriter, r *http.Request, now time.Time) ([]byte, error) {
	date, nonce := r.Header.Get(HeaderDate), r.Header.Get(HeaderNonce)
	code, err := hex.DecodeString(r.Header.Get(fulmaroutcome.HeaderAuth))
	if err != nil || len(code) != sha256.Size || nonce == "" || len(nonce) > maxNonceLength {
		return nil, errors.Wrap(errAuth, "headers are missing or malformed")
	}
	requestTime, err := time.Parse(time.RFC3339Nano, date)
	if err != nil {
		return nil, errors.Wrap(errAuth, "date is malformed")
	}
	if skew := now.Sub(requestTime); skew > maxClockSkew || skew < -maxClockSkew {
		return nil, errors.Wrapf(errAuth, "date is %v off", skew.Round(time.Second))
	}
	if requestTime.Before(g.started) {
		// The nonces of earlier requests were lost in the restart, so a replay could not be detected.
		return nil, errors.Wrap(errAuth, "date is before the start of the daemon")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodySize))
	if err != nil {
		return nil, errors.Wrap(err, "fulmaradmin")
	}
	if !hmac.Equal(code, mac(g.key, r.Method, r.URL.RequestURI(), date, nonce, body)) {
		return nil, errors.Wrap(errAuth, "wrong key or altered request")
	}
	if !g.recordNonce(nonce, requestTime.Add(maxClockSkew), now) {
		return nil, errors.Wrap(errAuth, "nonce was seen before")
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return body, nil
}

// recordNonce records a nonce; it reports false if the nonce was seen before or maxNonces are recorded already.
func (g *authenticator) recordNonce(nonce string, until, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.nonces[nonce]; ok {
		return false
	}
	if len(g.nonces) >= maxNonces {
		for n, t := range g.nonces {
			if t.Before(now) {
				delete(g.nonces, n)
			}
		}
		if len(g.nonces) >= maxNonces {
			return false
		}
	}
	g.nonces[nonce] = until
	return true
}
