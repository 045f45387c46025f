package fulmarfingerprint

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// maxBodyBytes is the length of the part of a body that is hashed, in bytes; it bounds the cost of a fingerprint.
const maxBodyBytes = 64 << 10

// New returns the fingerprint of a request with the given fields and body. Only the first 64 KB of the body are hashed.
func New(body []byte, fields ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	var length [8]byte
	// The length before each field prevents collisions between different
	// splits of the same bytes. A Digest never returns an error.
	for _, s := range fields {
		binary.LittleEndian.PutUint64(length[:], uint64(len(s)))
		_, _ = d.Write(length[:])
		_, _ = d.WriteString(s)
	}
	_, _ = d.Write(body[:min(len(body), maxBodyBytes)])
	return d.Sum64()
}
