package fulmarhttpserver_test

import (
	"fmt"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarhttpserver"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarreserve"
)

// post is a request with a body of n bytes.
func post(path string, n int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, n, strings.Repeat("b", n))
}

var _ = Describe("Memory", func() {
	// Guards against bodies that fill the memory of the instance, and against a refusal of a request that is executed all the same.
	It("refuses a body for which there is no room before it reads it", func() {
		memory := fulmarreserve.New(32 << 10) // 16 KiB for one caller
		f := startWith(limits, memory)
		c := f.dial()
		c.send(fmt.Sprintf("POST /long HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 20<<10))
		resp := c.expect(http.StatusServiceUnavailable, "")
		Expect(resp.Header.Get("Retry-After")).To(Equal("1"))
		Expect(f.served.Load()).To(BeZero())
		f.dial().send(post("/short", 10<<10))
		Eventually(f.served.Load).Should(BeEquivalentTo(1))
		Eventually(memory.Used).Should(BeZero())
	})

	// Guards against a request with a short body, or one whose length is not known, that is refused as other requests of its caller
	// hold much.
	It("reads short bodies in any case", func() {
		memory := fulmarreserve.New(64 << 10)
		f := startWith(limits, memory)
		memory.Add(1 << 20) // answers that are not read
		f.dial().send(post("/short", 300))
		Eventually(f.started).Should(Receive())
	})

	It("holds no more for a body of unknown length than it has", func() {
		memory := fulmarreserve.New(256 << 10)
		f := startWith(limits, memory)
		f.dial().send("POST /wait HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
		Eventually(f.started).Should(Receive())
		Expect(memory.Used()).To(BeEquivalentTo(3))
	})

	It("holds the room for a body until its request is answered", func() {
		memory := fulmarreserve.New(32 << 10)
		f := startWith(limits, memory)
		first := f.dial()
		first.send(post("/wait", 10<<10))
		Eventually(f.started).Should(Receive())
		Expect(memory.Used()).To(BeEquivalentTo(10 << 10))
		f.dial().send(post("/other", 10<<10))
		Consistently(f.started, "100ms").ShouldNot(Receive(), "both are of one caller")
		close(f.gate("/wait"))
		first.expect(http.StatusOK, "")
		Eventually(memory.Used).Should(BeZero())
	})

	// Guards against memory that stays reserved for callers that leave at any point.
	It("frees the room of callers that leave", func() {
		memory := fulmarreserve.New(1 << 20)
		f := startWith(limits, memory)
		for _, text := range []string{
			"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\nabc",
			"POST /wait HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
			"POST /wait HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
			post("/waitread", 90<<10),
		} {
			c := f.dial()
			c.send(text)
			Eventually(memory.Used).ShouldNot(BeZero())
			c.Close()
			Eventually(memory.Used).Should(BeZero())
		}
	})

	It("counts an answer until its caller has read it", func() {
		memory := fulmarreserve.New(1 << 30)
		f := startWith(limits, memory)
		const size = 16 << 20 // more than the buffers of a connection
		f.answer = func(*fulmarhttpserver.Request) *fulmarhttpserver.Answer {
			return &fulmarhttpserver.Answer{Status: http.StatusOK, Header: http.Header{}, Body: make([]byte, size)}
		}
		c := f.dial()
		c.get("/large")
		Eventually(memory.Used).Should(BeEquivalentTo(size))
		_, text, err := c.receive()
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(HaveLen(size))
		Eventually(memory.Used).Should(BeZero())
	})
})
