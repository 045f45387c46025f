package fulmarbody

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

// PrefixLimit is the number of bytes of a body that are held in memory and that a fingerprint covers.
const PrefixLimit = 64 << 10

// Body is a request body; one Reader is used at a time.
type Body struct {
	prefix   []byte
	rest     io.Reader // nil if the prefix is the whole body
	length   int64
	restRead atomic.Bool
	ended    bool          // rest has returned its end
	consumed chan struct{} // closed once rest has returned its end; nil if the prefix is the whole body
}

// Read reads the prefix of a body from r. length is the announced length, or -1 if it is not known. Read returns the
// error of r if reading the prefix fails.
func Read(r io.Reader, length int64) (*Body, error) {
	b := &Body{length: length}
	if r == nil || length == 0 {
		b.length = 0
		return b, nil
	}
	size := int64(512)
	if length > 0 {
		size = min(length, PrefixLimit) + 1
	}
	buf := make([]byte, 0, size)
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		// One more byte than PrefixLimit distinguishes a body of PrefixLimit bytes from a longer one.
		n, err := r.Read(buf[len(buf):min(cap(buf), PrefixLimit+1)])
		buf = buf[:len(buf)+n]
		switch {
		case errors.Is(err, io.EOF):
			b.prefix, b.length = buf, int64(len(buf))
			return b, nil
		case err != nil:
			return nil, errors.Wrap(err, "fulmarbody: read")
		case len(buf) > PrefixLimit:
			b.prefix, b.rest, b.consumed = buf, r, make(chan struct{})
			return b, nil
		}
	}
}

// Prefix returns the first bytes of the body, at most PrefixLimit; the caller must not modify them.
func (b *Body) Prefix() []byte { return b.prefix[:min(len(b.prefix), PrefixLimit)] }

// Complete reports whether the whole body is held in memory.
func (b *Body) Complete() bool { return b.rest == nil }

// Consumed returns a channel that is closed once the body has been read to its end, nil if it is complete in
// memory.
func (b *Body) Consumed() <-chan struct{} { return b.consumed }

// Length returns the length of the body, or -1 if it is not known.
func (b *Body) Length() int64 { return b.length }

// Replayable reports whether Reader can still return the body from its start.
func (b *Body) Replayable() bool { return b.rest == nil || !b.restRead.Load() }

// Reader returns a reader of the body from its start, or nil for an empty body.
func (b *Body) Reader() io.Reader {
	if b.rest == nil {
		if len(b.prefix) == 0 {
			return nil
		}
		return bytes.NewReader(b.prefix)
	}
	return io.MultiReader(bytes.NewReader(b.prefix), restReader{b})
}

// restReader reads the part after the prefix and records that it was read.
type restReader struct{ body *Body }

func (r restReader) Read(p []byte) (int, error) {
	r.body.restRead.Store(true)
	n, err := r.body.rest.Read(p)
	if errors.Is(err, io.EOF) && !r.body.ended {
		r.body.ended = true
		close(r.body.consumed)
	}
	return n, err
}
