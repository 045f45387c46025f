package fulmarbody_test

import (
	"io"
	"strings"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarbody"
)

var _ = Describe("Body", func() {
	// Guards against losing or repeating bytes at the bound of the kept part.
	DescribeTable("delivers the body whole", func(size int, announced, whole bool) {
		text := strings.Repeat("abcdefg", size/7+1)[:size]
		length := int64(-1)
		if announced {
			length = int64(size)
		}
		b, err := fulmarbody.Read(iotest.HalfReader(strings.NewReader(text)), length)
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Whole()).To(Equal(whole))
		Expect(string(b.Kept())).To(Equal(text[:min(size, fulmarbody.Keep)]))
		Expect(b.Fresh()).To(BeTrue())
		if size == 0 {
			Expect(b.Reader()).To(BeNil())
			return
		}
		got, err := io.ReadAll(b.Reader())
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got) == text).To(BeTrue())
		Expect(b.Fresh()).To(Equal(whole))
		if whole {
			Expect(b.Length()).To(BeEquivalentTo(size))
			again, _ := io.ReadAll(b.Reader())
			Expect(string(again) == text).To(BeTrue())
		} else {
			Expect(b.Length()).To(Equal(length))
		}
	},
		Entry("empty", 0, true, true), Entry("empty, chunked", 0, false, true),
		Entry("one byte", 1, true, true), Entry("one byte, chunked", 1, false, true),
		Entry("at the bound", fulmarbody.Keep, true, true), Entry("at the bound, chunked", fulmarbody.Keep, false, true),
		Entry("beyond", fulmarbody.Keep+1, true, false), Entry("beyond, chunked", fulmarbody.Keep+1, false, false),
		Entry("far beyond", 10*fulmarbody.Keep, true, false), Entry("far beyond, chunked", 10*fulmarbody.Keep, false, false),
	)

	// Guards against taking a body that broke off as complete.
	It("reports a body that breaks off", func() {
		for _, fault := range []error{io.ErrUnexpectedEOF, io.ErrClosedPipe} {
			_, err := fulmarbody.Read(io.MultiReader(strings.NewReader("part"), iotest.ErrReader(fault)), 10)
			Expect(err).To(MatchError(fault))
		}
	})
})
