package fulmarbody

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Keep is the number of bytes of a body that are kept, and that a fingerprint covers.
const PrefixLimit = 64 << 10

// Body is a request body; one Reader is used at a time.
type Body struct {
	prefix []byte
	rest   io.Reader // nil if the prefix is the whole body
	length int64
	taken  atomic.Bool
}

// Read reads the first part of r, whose announced length is -1 if it is not known.
// It returns the error of r if the body breaks off within that part.
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
		// One byte more than Keep tells a body of Keep bytes from a longer one.
		n, err := r.Read(buf[len(buf):min(cap(buf), PrefixLimit+1)])
		buf = buf[:len(buf)+n]
		switch {
		case errors.Is(err, io.EOF):
			b.prefix, b.length = buf, int64(len(buf))
			return b, nil
		case err != nil:
			return nil, errors.Wrap(err, "fulmarbody: read")
		case len(buf) > PrefixLimit:
			b.prefix, b.rest = buf, r
			return b, nil
		}
	}
}

// Kept returns the kept part, at most Keep bytes; the caller must not modify it.
func (b *Body) Prefix() []byte { return b.prefix[:min(len(b.prefix), PrefixLimit)] }

// Whole reports whether the body is kept completely.
func (b *Body) Complete() bool { return b.rest == nil }

// Length returns the length of the body, -1 if it is not known.
func (b *Body) Length() int64 { return b.length }

// Fresh reports whether Reader can still deliver the body from its start.
func (b *Body) Replayable() bool { return b.rest == nil || !b.taken.Load() }

// Reader returns the body from its start, nil for an empty body.
func (b *Body) Reader() io.Reader {
	if b.rest == nil {
		if len(b.prefix) == 0 {
			return nil
		}
		return bytes.NewReader(b.prefix)
	}
	return io.MultiReader(bytes.NewReader(b.prefix), rest{b})
}

// rest reads what is not kept and notes that it was touched.
type rest struct{ body *Body }

func (r rest) Read(p []byte) (int, error) {
	r.body.taken.Store(true)
	return r.body.rest.Read(p)
}
