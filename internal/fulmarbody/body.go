package fulmarbody

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// PrefixLimit is the number of bytes of a body that are held in memory and that a fingerprint covers.
const PrefixLimit = 64 << 10

// ErrConsumed means that bytes after the prefix may have been read, so that the body can't be read from its start again.
var ErrConsumed = errors.New("fulmarbody: bytes after the prefix have been read")

// ErrRevoked is the error of a read by a reader that has been closed or replaced.
var ErrRevoked = errors.New("fulmarbody: reader has been revoked")

// Memory admits the bytes that a body retains.
type Memory interface {
	// Reserve reserves n bytes and reports whether there was room.
	Reserve(n int64) bool
	// Release ends the reservation of n bytes.
	Release(n int64)
}

// Body is a request body whose bytes after a prefix come from the caller's connection, once. It is safe for concurrent use;
// only the reader that was opened last gets bytes. A body with a Memory retains the bytes after the prefix as they are read,
// while there is room, so that it can be read from its start again.
type Body struct {
	prefix   []byte
	rest     io.Reader // nil if the prefix is the whole body
	length   int64
	consumed chan struct{} // closed once rest has returned its end; nil if the prefix is the whole body

	reading sync.Mutex // held while rest is read; guards ended; locked before mu
	ended   bool       // rest has returned its end

	mu       sync.Mutex
	reader   *reader  // the one that may read rest, nil for none
	lost     bool     // bytes after the prefix have been read, or are being read, that are not retained
	memory   Memory   // nil for a body that retains nothing more
	chunks   [][]byte // the bytes after the prefix that have been read, unless lost; each has room for chunkSize
	retained int      // bytes in chunks
}

// chunkSize is the unit in which bytes are retained, in bytes.
const chunkSize = 16 << 10

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

// Replayable reports whether Open would return a reader. While a reader is open, the result may change at any moment.
func (b *Body) Replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.lost
}

// Open returns a reader of the body from its start, for one send; an empty body has http.NoBody. The reader is revoked when it
// is closed and when another one is opened. From then on its reads fail with ErrRevoked, so that a send that has ended can't take
// bytes of a later one. A read that has begun before may still return. A body in memory has any number of readers. Open
// returns ErrConsumed if a reader has begun to read the part after the prefix and it is not retained.
func (b *Body) Open() (io.ReadCloser, error) {
	if b.rest == nil {
		if len(b.prefix) == 0 {
			return http.NoBody, nil
		}
		return memoryReader{bytes.NewReader(b.prefix)}, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lost {
		return nil, ErrConsumed
	}
	b.reader = &reader{body: b, prefix: b.prefix}
	return b.reader, nil
}

// Discard revokes the reader and reads at most limit bytes of the body after the prefix. ended reports whether that reached its
// end; err is the error of reading, nil at the end.
func (b *Body) Discard(limit int64) (ended bool, err error) {
	if b.rest == nil {
		return true, nil
	}
	r := &reader{body: b}
	b.mu.Lock()
	b.reader = r
	b.forgetLocked()
	b.mu.Unlock()
	_, err = io.CopyN(io.Discard, r, limit)
	if errors.Is(err, io.EOF) {
		return true, nil
	}
	return false, err
}

// Retain makes a body that is not complete in memory retain what is read of it after the prefix, as far as memory admits it. It is
// called before the first Open. The bytes are released by Forget.
func (b *Body) Retain(memory Memory) {
	if b.rest == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.memory = memory
}

// Forget releases the retained bytes and retains no more, after which a body that is not complete in memory can't be opened again.
func (b *Body) Forget() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forgetLocked()
}

// forgetLocked is Forget for a caller that holds mu.
func (b *Body) forgetLocked() {
	b.lost = true
	if b.reader != nil && b.reader.read < b.retained {
		b.reader = nil // it would go on behind the bytes that are no longer retained
	}
	if b.memory != nil {
		b.memory.Release(int64(len(b.chunks) * chunkSize))
	}
	b.memory, b.chunks, b.retained = nil, nil, 0
}

// memoryReader is a reader of a body that is held in memory.
type memoryReader struct{ *bytes.Reader }

// Close does nothing.
func (memoryReader) Close() error { return nil }

// reader is a reader of a body that is not complete in memory. Its reads are not concurrent, but Close may be.
type reader struct {
	body   *Body
	prefix []byte // not read yet
	read   int    // retained bytes that were read
}

// Read returns bytes of the prefix, then of the rest.
func (r *reader) Read(p []byte) (int, error) {
	if len(r.prefix) == 0 {
		return r.readRest(p)
	}
	if !r.isCurrent() {
		return 0, ErrRevoked
	}
	n := copy(p, r.prefix)
	r.prefix = r.prefix[n:]
	return n, nil
}

// readRest reads the part after the prefix. The check and the record of the read are one step, so that no other reader can be
// opened in between, unless what is read is retained.
func (r *reader) readRest(p []byte) (int, error) {
	b := r.body
	b.reading.Lock()
	defer b.reading.Unlock()
	p = p[:min(len(p), chunkSize)]
	if n, err := r.take(p); n > 0 || err != nil {
		return n, err
	}
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.rest.Read(p)
	b.retain(p[:n])
	r.read += n
	if errors.Is(err, io.EOF) {
		b.ended = true
		close(b.consumed)
	}
	return n, err
}

// take reads retained bytes. If there are none, it prepares a read of len(p) bytes of the rest: it reserves memory for them, or
// records that they are lost.
func (r *reader) take(p []byte) (n int, err error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reader != r {
		return 0, ErrRevoked
	}
	if r.read < b.retained {
		n = copy(p, b.chunks[r.read/chunkSize][r.read%chunkSize:])
		r.read += n
		return n, nil
	}
	switch {
	case b.memory == nil:
		b.lost = true
	case b.retained+len(p) <= len(b.chunks)*chunkSize:
	case b.memory.Reserve(chunkSize):
		b.chunks = append(b.chunks, make([]byte, 0, chunkSize))
	default:
		b.forgetLocked()
	}
	return 0, nil
}

// retain keeps bytes that were read of the rest, unless they are lost. There is room for them in chunks.
func (b *Body) retain(p []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(p) > 0 && b.memory != nil {
		c := &b.chunks[b.retained/chunkSize]
		n := min(len(p), chunkSize-len(*c))
		*c = append(*c, p[:n]...)
		b.retained += n
		p = p[n:]
	}
}

func (r *reader) isCurrent() bool {
	r.body.mu.Lock()
	defer r.body.mu.Unlock()
	return r.body.reader == r
}

// Close revokes the reader; it doesn't wait for a read that has begun.
func (r *reader) Close() error {
	r.body.mu.Lock()
	defer r.body.mu.Unlock()
	if r.body.reader == r {
		r.body.reader = nil
	}
	return nil
}
