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

// HeaderDate is the header of a request to a peer that holds the sender's time.
const HeaderDate = "Fulmarbend-Date"

// maxClockDifference is the largest accepted difference between the clocks of two peers.
const maxClockDifference = 30 * time.Second

// Errors of the authentication of a peer's request.
var (
	errInvalidProof = errors.New("fulmarentry: peer did not prove knowledge of the key")
	errInvalidDate  = errors.New("fulmarentry: date of the peer's request is too far from the own clock")
)

// signedHeaders lists the headers that the MAC covers.
var signedHeaders = []string{
	fulmaroutcome.HeaderSender, HeaderDate, fulmaroutcome.HeaderTarget, fulmaroutcome.HeaderSlot,
	fulmaroutcome.HeaderEpoch, fulmaroutcome.HeaderDeadline, fulmaroutcome.HeaderKey,
	fulmaroutcome.HeaderGroup, fulmaroutcome.HeaderRequestID, fulmaroutcome.HeaderAttempt,
}

// sign adds the date and the MAC to a request to a peer.
func sign(r *http.Request, key []byte, now time.Time) {
	r.Header.Set(HeaderDate, now.UTC().Format(time.RFC3339Nano))
	r.Header.Set(fulmaroutcome.HeaderAuth, hex.EncodeToString(computeMAC(r, key)))
}

// verify checks the MAC and the date of a peer's request.
func verify(r *http.Request, key []byte, now time.Time) error {
	given, err := hex.DecodeString(r.Header.Get(fulmaroutcome.HeaderAuth))
	if err != nil || !hmac.Equal(given, computeMAC(r, key)) {
		return errInvalidProof
	}
	date, err := time.Parse(time.RFC3339Nano, r.Header.Get(HeaderDate))
	if err != nil {
		return errInvalidDate
	}
	if now.Sub(date).Abs() > maxClockDifference {
		return errInvalidDate
	}
	return nil
}

// computeMAC returns the HMAC-SHA256 of a request. Each part is preceded by its
// length, so that bytes cannot be shifted from one part to the next.
func computeMAC(r *http.Request, key []byte) []byte {
	mac := hmac.New(sha256.New, key)
	writePart := func(text string) {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(text)))
		mac.Write(length[:])
		mac.Write([]byte(text))
	}
	writePart(r.Method)
	writePart(r.URL.RequestURI())
	for _, name := range signedHeaders {
		writePart(r.Header.Get(name))
	}
	return mac.Sum(nil)
}
