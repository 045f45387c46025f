package fulmarentry

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
)

// HeaderDate is the header of a hop with the sender's time.
const HeaderDate = "Fulmarbend-Date"

// maxDifference bounds the difference between the clocks of two peers.
const maxDifference = 30 * time.Second

// Errors of a peer's proof.
var (
	errProof = errors.New("fulmarentry: peer did not prove knowledge of the key")
	errDate  = errors.New("fulmarentry: date of the peer's request is too far from the own clock")
)

// covered lists the headers that the proof covers.
var covered = []string{
	fulmaroutcome.HeaderSender, HeaderDate, fulmaroutcome.HeaderTarget, fulmaroutcome.HeaderSlot,
	fulmaroutcome.HeaderEpoch, fulmaroutcome.HeaderDeadline, fulmaroutcome.HeaderKey,
	fulmaroutcome.HeaderGroup, fulmaroutcome.HeaderRequestID, fulmaroutcome.HeaderAttempt,
}

// sign adds the date and the proof to a request for a peer.
func sign(r *http.Request, key []byte, now time.Time) {
	r.Header.Set(HeaderDate, now.UTC().Format(time.RFC3339Nano))
	r.Header.Set(fulmaroutcome.HeaderAuth, hex.EncodeToString(proof(r, key)))
}

// verify checks the proof of a peer's request.
func verify(r *http.Request, key []byte, now time.Time) error {
	given, err := hex.DecodeString(r.Header.Get(fulmaroutcome.HeaderAuth))
	if err != nil || !hmac.Equal(given, proof(r, key)) {
		return errProof
	}
	date, err := time.Parse(time.RFC3339Nano, r.Header.Get(HeaderDate))
	if err != nil {
		return errDate
	}
	if now.Sub(date).Abs() > maxDifference {
		return errDate
	}
	return nil
}

// proof returns the HMAC; each part is preceded by its length, so that parts can't be shifted into each other.
func proof(r *http.Request, key []byte) []byte {
	mac := hmac.New(sha256.New, key)
	part := func(text string) {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(text)))
		mac.Write(length[:])
		mac.Write([]byte(text))
	}
	part(r.Method)
	part(r.URL.RequestURI())
	for _, name := range covered {
		part(r.Header.Get(name))
	}
	return mac.Sum(nil)
}
