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

// Headers of the authentication, besides fulmaroutcome.HeaderAuth.
const (
	HeaderDate  = "Fulmarbend-Date" // RFC 3339 with fractions of a second
	HeaderNonce = "Fulmarbend-Nonce"
)

const (
	maxDrift  = 30 * time.Second // largest difference between the clocks of operator and daemon
	maxNonces = 10_000           // accepted within twice maxDrift
	nonceSize = 16               // bytes
	maxNonce  = 64               // letters
	maxBody   = 4 << 20          // a configuration as a JSON string may be twice its size
)

var errAuth = errors.New("fulmaradmin: not authenticated")

// mac returns the authentication code of a request.
func mac(key []byte, method, uri, date, nonce string, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	sum := sha256.Sum256(body)
	fmt.Fprintf(h, "fulmarbend-admin-1\n%s\n%s\n%s\n%s\n%x", method, uri, date, nonce, sum)
	return h.Sum(nil)
}

// Sign adds the authentication headers for a request with the body.
func Sign(req *http.Request, key, body []byte, now time.Time) {
	raw := make([]byte, nonceSize)
	_, _ = rand.Read(raw) // never fails
	nonce := hex.EncodeToString(raw)
	date := now.UTC().Format(time.RFC3339Nano)
	req.Header.Set(HeaderDate, date)
	req.Header.Set(HeaderNonce, nonce)
	req.Header.Set(fulmaroutcome.HeaderAuth, hex.EncodeToString(mac(key, req.Method, req.URL.RequestURI(), date, nonce, body)))
}

// guard authenticates requests; it is safe for concurrent use.
type guard struct {
	key   []byte
	start time.Time

	mu     sync.Mutex
	nonces map[string]time.Time // until when a request with the nonce would be accepted
}

// check returns the body of an authentic request.
func (g *guard) check(w http.ResponseWriter, r *http.Request, now time.Time) ([]byte, error) {
	date, nonce := r.Header.Get(HeaderDate), r.Header.Get(HeaderNonce)
	code, err := hex.DecodeString(r.Header.Get(fulmaroutcome.HeaderAuth))
	if err != nil || len(code) != sha256.Size || nonce == "" || len(nonce) > maxNonce {
		return nil, errors.Wrap(errAuth, "headers are missing or malformed")
	}
	at, err := time.Parse(time.RFC3339Nano, date)
	if err != nil {
		return nil, errors.Wrap(errAuth, "date is malformed")
	}
	if off := now.Sub(at); off > maxDrift || off < -maxDrift {
		return nil, errors.Wrapf(errAuth, "date is %v off", off.Round(time.Second))
	}
	if at.Before(g.start) {
		// The nonces of requests from before the start are not known.
		return nil, errors.Wrap(errAuth, "date is before the start of the daemon")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		return nil, errors.Wrap(err, "fulmaradmin")
	}
	if !hmac.Equal(code, mac(g.key, r.Method, r.URL.RequestURI(), date, nonce, body)) {
		return nil, errors.Wrap(errAuth, "wrong key or altered request")
	}
	if !g.admit(nonce, at.Add(maxDrift), now) {
		return nil, errors.Wrap(errAuth, "nonce was seen before")
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return body, nil
}

// admit records a nonce; it reports false if the nonce is known or there is no room to remember it.
func (g *guard) admit(nonce string, until, now time.Time) bool {
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
