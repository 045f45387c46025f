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
		if size == 0 {
			Expect(b.Reader()).To(BeNil())
			return
		}
		got, err := io.ReadAll(b.Reader())
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got) == text).To(BeTrue())
		Expect(b.Replayable()).To(Equal(whole))
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
})
