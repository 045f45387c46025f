package fulmarbody_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarbody"
)

const longSize = 210_000

// long returns a body that isn't complete in memory, and its text.
func long(rest io.Reader) (*fulmarbody.Body, string) {
	text := strings.Repeat("0123456789", longSize/10)
	if rest == nil {
		rest = strings.NewReader(text[fulmarbody.PrefixLimit+1:])
	}
	b, err := fulmarbody.Read(io.MultiReader(strings.NewReader(text[:fulmarbody.PrefixLimit+1]), rest), -1)
	Expect(err).NotTo(HaveOccurred())
	return b, text
}

func open(b *fulmarbody.Body) io.ReadCloser {
	GinkgoHelper()
	r, err := b.Open()
	Expect(err).NotTo(HaveOccurred())
	return r
}

func openError(b *fulmarbody.Body) error {
	_, err := b.Open()
	return err
}

func read(r io.Reader) string {
	GinkgoHelper()
	got, err := io.ReadAll(r)
	Expect(err).NotTo(HaveOccurred())
	return string(got)
}

// readPrefix reads the part of a body that is in memory.
func readPrefix(r io.Reader) {
	GinkgoHelper()
	_, err := io.CopyN(io.Discard, r, fulmarbody.PrefixLimit+1)
	Expect(err).NotTo(HaveOccurred())
}

// expectRevoked checks that a reader returns no byte.
func expectRevoked(r io.Reader) {
	GinkgoHelper()
	n, err := r.Read(make([]byte, 1000))
	Expect(err).To(MatchError(fulmarbody.ErrRevoked))
	Expect(n).To(BeZero())
}

var _ = Describe("Body", func() {
	// Guards against losing or repeating bytes at the end of the prefix.
	DescribeTable("returns the complete body", func(size int, announced, whole bool) {
		text := strings.Repeat("abcdefg", size/7+1)[:size]
		length := int64(-1)
		if announced {
			length = int64(size)
		}
		b, err := fulmarbody.Read(iotest.HalfReader(strings.NewReader(text)), length)
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Complete()).To(Equal(whole))
		Expect(string(b.Prefix())).To(Equal(text[:min(size, fulmarbody.PrefixLimit)]))
		Expect(b.Replayable()).To(BeTrue())
		Expect(read(open(b))).To(Equal(text))
		Expect(b.Replayable()).To(Equal(whole))
		if size == 0 {
			Expect(open(b)).To(Equal(http.NoBody))
		}
		if whole {
			Expect(b.Length()).To(BeEquivalentTo(size))
			Expect(read(open(b)) == text).To(BeTrue())
		} else {
			Expect(b.Length()).To(Equal(length))
			Expect(openError(b)).To(MatchError(fulmarbody.ErrConsumed))
		}
	},
		Entry("empty", 0, true, true), Entry("empty, chunked", 0, false, true),
		Entry("one byte", 1, true, true), Entry("one byte, chunked", 1, false, true),
		Entry("at the limit", fulmarbody.PrefixLimit, true, true), Entry("at the limit, chunked", fulmarbody.PrefixLimit, false, true),
		Entry("beyond", fulmarbody.PrefixLimit+1, true, false), Entry("beyond, chunked", fulmarbody.PrefixLimit+1, false, false),
		Entry("far beyond", 10*fulmarbody.PrefixLimit, true, false), Entry("far beyond, chunked", 10*fulmarbody.PrefixLimit, false, false),
	)

	// Guards against an incomplete body that looks complete.
	It("returns the error of an incomplete body", func() {
		for _, fault := range []error{io.ErrUnexpectedEOF, io.ErrClosedPipe} {
			_, err := fulmarbody.Read(io.MultiReader(strings.NewReader("part"), iotest.ErrReader(fault)), 10)
			Expect(err).To(MatchError(fault))
		}
	})

	// Guards against a former reader that takes bytes of a later one, whose body then has a hole and looks complete.
	It("gives bytes to one reader at a time", func() {
		b, text := long(nil)
		former := open(b)
		readPrefix(former)
		Expect(b.Replayable()).To(BeTrue())
		latter := open(b)
		expectRevoked(former)
		Expect(former.Close()).To(Succeed())
		Expect(read(latter) == text).To(BeTrue())
		Expect(latter.Close()).To(Succeed())
		expectRevoked(latter)
	})

	It("gives no bytes to a reader that is closed", func() {
		b, text := long(nil)
		for _, prefixRead := range []bool{false, true} {
			r := open(b)
			if prefixRead {
				readPrefix(r)
			}
			Expect(r.Close()).To(Succeed())
			expectRevoked(r)
		}
		Expect(read(open(b)) == text).To(BeTrue(), "nothing was taken")
	})

	// Guards against the bytes that are discarded behind an answer being missing in a body that looks complete.
	It("gives no bytes to a reader whose body is discarded", func() {
		b, _ := long(nil)
		r := open(b)
		readPrefix(r)
		ended, err := b.Discard(1000)
		Expect(err).NotTo(HaveOccurred())
		Expect(ended).To(BeFalse())
		expectRevoked(r)
		Expect(openError(b)).To(MatchError(fulmarbody.ErrConsumed))
		ended, err = b.Discard(longSize)
		Expect(err).NotTo(HaveOccurred())
		Expect(ended).To(BeTrue())
		Expect(b.Consumed()).To(BeClosed())
	})

	// Guards against a body that is opened again while a read that has begun waits for the caller's bytes.
	It("can't be opened again once a read has begun", func() {
		rest, caller := io.Pipe()
		b, _ := long(rest)
		r := open(b)
		readPrefix(r)
		began := make(chan struct{})
		result := make(chan error, 1)
		go func() {
			close(began)
			_, err := r.Read(make([]byte, 10))
			result <- err
		}()
		<-began
		Eventually(func() error { return openError(b) }).Should(MatchError(fulmarbody.ErrConsumed))
		_, err := caller.Write([]byte("0123456789"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(result).Should(Receive(BeNil()))
	})

	// Guards against a check that another goroutine makes void before the reader is opened: of many readers that are opened and
	// read at the same time, one gets the whole rest, and no other one a byte of it. Run with the race detector, it also finds
	// unsynchronized reads of the caller's connection.
	It("has one reader under concurrent opens", func() {
		for range 200 {
			b, text := long(nil)
			var whole, partial atomic.Int32
			var group sync.WaitGroup
			for range 4 {
				group.Go(func() {
					r, err := b.Open()
					if err != nil {
						return
					}
					got, err := io.ReadAll(r)
					switch {
					case err == nil && string(got) == text:
						whole.Add(1)
					case err == nil || len(got) > fulmarbody.PrefixLimit+1:
						partial.Add(1)
					}
				})
			}
			group.Wait()
			Expect(whole.Load()).To(BeEquivalentTo(1))
			Expect(partial.Load()).To(BeZero())
		}
	})

	// Guards against two reads of the caller's connection at the same time, which mix its bytes.
	It("waits for a read that has begun before it discards", func() {
		rest := &gatedReader{gate: make(chan struct{}), began: make(chan struct{}, 2)}
		b, _ := long(rest)
		r := open(b)
		readPrefix(r)
		var group sync.WaitGroup
		group.Go(func() { _, _ = r.Read(make([]byte, 10)) })
		Eventually(rest.began).Should(Receive())
		group.Go(func() { _, _ = b.Discard(10) })
		Consistently(rest.began, 50*time.Millisecond).ShouldNot(Receive())
		close(rest.gate)
		group.Wait()
		expectRevoked(r)
	})
})

// gatedReader reports when a read begins, and lets it wait until the gate opens.
type gatedReader struct{ gate, began chan struct{} }

func (r *gatedReader) Read(p []byte) (int, error) {
	r.began <- struct{}{}
	<-r.gate
	return min(len(p), 10), nil
}
