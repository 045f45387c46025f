package fulmarentry_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarbody"
	"github.com/fulmarbend/fulmarbend/internal/fulmarentry"
	"github.com/fulmarbend/fulmarbend/internal/fulmarreply"
	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
)

// readInPieces hides the WriterTo of a body, which the caller's connection would use.
type readInPieces struct{ io.Reader }

// readPrefix reads as much of a request's body as a dispatcher holds in memory, and so nothing of the rest.
func readPrefix(r *http.Request) {
	GinkgoHelper()
	_, err := io.CopyN(io.Discard, r.Body, fulmarbody.PrefixLimit+1)
	Expect(err).NotTo(HaveOccurred())
}

// expectWhole checks that a target doesn't take a part of the caller's body for the whole one.
func expectWhole(got []byte, err error, sent string) {
	GinkgoHelper()
	if err == nil {
		Expect(len(got)).To(Equal(len(sent)), "bytes of a body that looks complete")
		Expect(string(got) == sent).To(BeTrue())
	}
}

// sendHead sends the head of a request whose body follows in chunks, on a connection of its own.
func sendHead(r *http.Request) (c net.Conn, chunks io.Writer) {
	GinkgoHelper()
	c, err := net.Dial("tcp", r.URL.Host)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { c.Close() })
	var head bytes.Buffer
	head.WriteString("POST " + r.URL.RequestURI() + " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n")
	Expect(r.Header.Write(&head)).To(Succeed())
	_, err = io.WriteString(c, head.String()+"\r\n")
	Expect(err).NotTo(HaveOccurred())
	return c, httputil.NewChunkedWriter(c)
}

var _ = Describe("body of a request", func() {
	long := strings.Repeat("0123456789", 21_000)

	// Guards against a send that has ended and still reads the body that the next send reads: net/http returns an answer
	// while its write loop may be about to read on. Targets got bodies with a hole that looked complete.
	DescribeTable("has one reader when a request is sent again", func(length int64) {
		var former io.Reader
		var body []byte
		var err, formerErr error
		n := newSingleInstance(answerInTurn(func(w http.ResponseWriter, r *http.Request) {
			defer GinkgoRecover()
			former = r.Body
			readPrefix(r)
			fulmarreply.Refuse(w, notRun, fulmaroutcome.Moving, "")
		}, func(w http.ResponseWriter, r *http.Request) {
			_, formerErr = former.Read(make([]byte, 1000))
			body, err = io.ReadAll(r.Body)
			servedHandler(w, r)
		}))
		got := do(n.request("board", readInPieces{strings.NewReader(long)}, func(r *http.Request) { r.ContentLength = length }))
		Expect(err).NotTo(HaveOccurred())
		expectWhole(body, err, long)
		Expect(formerErr).To(HaveOccurred())
		expectServed(got)
		Expect(n.retries(fulmaroutcome.Moving)).To(Equal(1))
	},
		Entry("with a length", int64(len(long))), Entry("in chunks", int64(-1)),
	)

	// Guards against a send that reads on beside the entry, which discards the rest of the body behind an early answer: what
	// remained of a chunked body ended as if it were whole.
	DescribeTable("has no reader but the entry behind an early answer", func(fromPeer bool) {
		const (
			piece = 4 << 10
			pause = 200 * time.Microsecond // lets both readers take their turns
		)
		body := strings.Repeat("0123456789", 60_000)
		type result struct {
			body []byte
			err  error
		}
		results := make(chan result, 1)
		early := func(w http.ResponseWriter, r *http.Request) {
			defer GinkgoRecover()
			readPrefix(r)
			fulmarreply.Refuse(w, unknown, fulmaroutcome.Late, "")
			go func() {
				b, err := io.ReadAll(r.Body)
				results <- result{b, err}
			}()
		}
		n := newSingleInstance(early)
		r := n.request("board", nil)
		if fromPeer {
			r.URL.Host = n.member.DataAddress
			r.Header.Set(fulmaroutcome.HeaderDeadline, "5000")
			fulmarentry.Sign(r, []byte("secret"), time.Now())
		}
		c, chunks := sendHead(r)
		var err error
		for rest := body; rest != "" && err == nil; rest = rest[min(len(rest), piece):] {
			_, err = io.WriteString(chunks, rest[:min(len(rest), piece)]) // fails if the entry closes the connection
			time.Sleep(pause)
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
		var late result
		Eventually(results).WithTimeout(5 * time.Second).Should(Receive(&late))
		expectWhole(late.body, late.err, body[fulmarbody.PrefixLimit+1:])
	},
		Entry("from a caller", false), Entry("from a peer", true),
	)

	// Guards against an answer that waits until the deadline for a caller that has stalled in its body, as the send that was
	// answered early still waits for bytes.
	It("does not delay an early answer", func() {
		n := newSingleInstance(func(w http.ResponseWriter, r *http.Request) {
			defer GinkgoRecover()
			readPrefix(r)
			waiting := make(chan struct{})
			go func() {
				close(waiting)
				_, _ = r.Body.Read(make([]byte, 1))
			}()
			<-waiting
			time.Sleep(10 * time.Millisecond) // until the read has begun
			fulmarreply.Refuse(w, unknown, fulmaroutcome.Late, "")
		})
		c, chunks := sendHead(n.request("board", nil))
		_, err := io.WriteString(chunks, long[:fulmarbody.PrefixLimit+1])
		Expect(err).NotTo(HaveOccurred())
		Expect(c.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		Expect(resp.Header.Get(fulmaroutcome.HeaderReason)).To(Equal(string(fulmaroutcome.Late)))
	})
})
