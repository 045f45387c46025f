package fulmarbody_test

import (
	"bytes"
	"io"
	"math/rand/v2"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fulmarbend/fulmarbend/internal/fulmarbody"
)

// boundedMemory admits a number of bytes.
type boundedMemory struct {
	mu         sync.Mutex
	left, used int64
}

func (m *boundedMemory) Reserve(n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n > m.left {
		return false
	}
	m.left, m.used = m.left-n, m.used+n
	return true
}

func (m *boundedMemory) Release(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.left, m.used = m.left+n, m.used-n
}

func (m *boundedMemory) inUse() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// randomBytes returns n bytes by a seed.
func randomBytes(n int, seed uint64) []byte {
	out, r := make([]byte, n), rand.New(rand.NewPCG(seed, 1))
	for i := range out {
		out[i] = byte(r.Uint32())
	}
	return out
}

// Guards against a send that gets other bytes than the caller sent, after earlier sends have read some of them, and against memory
// that stays reserved.
func TestRetainedBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := randomBytes(fulmarbody.PrefixLimit+rapid.IntRange(1, 200_000).Draw(t, "rest"), 7)
		memory := &boundedMemory{left: rapid.Int64Range(0, 250_000).Draw(t, "memory")}
		b, err := fulmarbody.Read(bytes.NewReader(text), -1)
		if err != nil {
			t.Fatal(err)
		}
		b.Retain(memory)
		for range rapid.IntRange(1, 5).Draw(t, "sends") {
			replayable := b.Replayable()
			r, err := b.Open()
			if replayable != (err == nil) {
				t.Fatalf("replayable %t, but opened with %v", replayable, err)
			}
			if err != nil {
				break
			}
			length := rapid.IntRange(0, len(text)).Draw(t, "length")
			got, err := io.ReadAll(io.LimitReader(r, int64(length)))
			if err != nil || !bytes.Equal(got, text[:length]) {
				t.Fatalf("%d bytes of %d, error %v", len(got), length, err)
			}
			r.Close()
		}
		b.Forget()
		if n := memory.inUse(); n != 0 {
			t.Fatalf("%d bytes are still reserved", n)
		}
	})
}

func TestRetention(t *testing.T) {
	text := randomBytes(3*fulmarbody.PrefixLimit, 8)
	read := func(g Gomega, memory fulmarbody.Memory) *fulmarbody.Body {
		b, err := fulmarbody.Read(bytes.NewReader(text), int64(len(text)))
		g.Expect(err).NotTo(HaveOccurred())
		b.Retain(memory)
		return b
	}

	t.Run("can be opened again after it was read to its end", func(t *testing.T) {
		g := NewWithT(t)
		b := read(g, &boundedMemory{left: 1 << 20})
		for range 2 {
			r, err := b.Open()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(io.ReadAll(r)).To(Equal(text))
		}
	})

	t.Run("cannot be opened again without room", func(t *testing.T) {
		g := NewWithT(t)
		memory := &boundedMemory{left: 64 << 10}
		b := read(g, memory)
		r, err := b.Open()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(io.ReadAll(r)).To(Equal(text))
		_, err = b.Open()
		g.Expect(err).To(MatchError(fulmarbody.ErrConsumed))
		g.Expect(memory.inUse()).To(BeZero(), "what cannot be used is not held")
	})

	// Guards against a hole in the body of the next send, when the bytes that the former one was reading were dropped.
	t.Run("cannot be opened after it was forgotten", func(t *testing.T) {
		g := NewWithT(t)
		b := read(g, &boundedMemory{left: 1 << 20})
		r, err := b.Open()
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadFull(r, make([]byte, 2*fulmarbody.PrefixLimit))
		g.Expect(err).NotTo(HaveOccurred())
		b.Forget()
		_, err = b.Open()
		g.Expect(err).To(MatchError(fulmarbody.ErrConsumed))
	})

	// Guards against a hole in the body of a send that was reading what another one had read before.
	t.Run("forgotten while it is read again", func(t *testing.T) {
		g := NewWithT(t)
		b := read(g, &boundedMemory{left: 1 << 20})
		first, err := b.Open()
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadFull(first, make([]byte, len(text)-10))
		g.Expect(err).NotTo(HaveOccurred())
		second, err := b.Open()
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadFull(second, make([]byte, fulmarbody.PrefixLimit+1000))
		g.Expect(err).NotTo(HaveOccurred())
		b.Forget()
		_, err = io.ReadAll(second)
		g.Expect(err).To(MatchError(fulmarbody.ErrRevoked))
	})

	// Guards against a hole when a send is replaced while it waits for bytes of the caller.
	t.Run("read that is under way when the next send begins", func(t *testing.T) {
		g := NewWithT(t)
		in, out := io.Pipe()
		go func() { _, _ = out.Write(text[:fulmarbody.PrefixLimit+1]) }()
		b, err := fulmarbody.Read(in, int64(len(text)))
		g.Expect(err).NotTo(HaveOccurred())
		b.Retain(&boundedMemory{left: 1 << 20})
		first, err := b.Open()
		g.Expect(err).NotTo(HaveOccurred())
		waiting := make(chan struct{})
		go func() {
			close(waiting)
			_, _ = io.Copy(io.Discard, first)
		}()
		<-waiting
		second, err := b.Open()
		g.Expect(err).NotTo(HaveOccurred())
		go func() {
			_, _ = out.Write(text[fulmarbody.PrefixLimit+1:])
			_ = out.Close() // it returns nil
		}()
		g.Expect(io.ReadAll(second)).To(Equal(text))
	})
}
