package fulmarhttpserver_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarhttpserver"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarreserve"
)

// waitingHandler answers no request before its channel is closed.
type waitingHandler chan struct{}

func (waitingHandler) Repeatable(*fulmarhttpserver.Request) bool { return true }

func (h waitingHandler) Serve(ctx context.Context, _ *fulmarhttpserver.Request) *fulmarhttpserver.Answer {
	select {
	case <-h:
	case <-ctx.Done():
	}
	return &fulmarhttpserver.Answer{Status: http.StatusOK, Header: http.Header{}}
}

// memoryInUse returns the bytes of the heap and of stacks that are in use.
func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// serveCallers starts a server with the memory of total bytes for bodies, and returns it with its address. stop waits for its end.
func serveCallers(b *testing.B, h fulmarhttpserver.Handler, l fulmarhttpserver.Limits, total int64) (s *fulmarhttpserver.Server, address string, stop func()) {
	b.Helper()
	s = fulmarhttpserver.New(h, func() fulmarhttpserver.Limits { return l }, fulmarreserve.New(total), slog.New(slog.DiscardHandler))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.Context())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx, listener) }()
	return s, listener.Addr().String(), func() {
		cancel()
		if err := <-served; err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkConnection measures the memory of a connection that waits for a request, and of one with a request in flight. The
// callers' ends, which are in the same process, count as well.
func BenchmarkConnection(b *testing.B) {
	const connections = 300
	for _, c := range []struct{ name, text string }{
		{"idle", ""},
		{"in flight", "GET /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: 9c41d07be2a35f68\r\n\r\n"},
		{"in flight with a body of 24 KB", fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 24<<10, make([]byte, 24<<10))},
	} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				h := make(waitingHandler)
				s, address, stop := serveCallers(b, h, limits, 0)
				before := memoryInUse()
				callers := make([]net.Conn, connections)
				for i := range callers {
					var err error
					if callers[i], err = net.Dial("tcp", address); err == nil {
						_, err = io.WriteString(callers[i], c.text)
					}
					if err != nil {
						b.Fatal(err)
					}
				}
				for s.Connections() < connections || c.text != "" && s.InFlight() < connections {
					time.Sleep(time.Millisecond)
				}
				b.ReportMetric((memoryInUse()-before)/connections, "B/connection")
				close(h)
				for _, conn := range callers {
					conn.Close()
				}
				stop()
			}
		})
	}
}

// BenchmarkUploads measures the memory for 500 uploads of 360 KB that are in flight, of which the callers have sent all that the server
// reads.
func BenchmarkUploads(b *testing.B) {
	const uploads, size = 500, 360 << 10
	for _, total := range []int64{0, 17 << 20} {
		b.Run(fmt.Sprintf("memory of %d bytes", total), func(b *testing.B) {
			large := limits
			large.BodyBytes = 1 << 20
			body := make([]byte, size)
			for b.Loop() {
				h := make(waitingHandler)
				_, address, stop := serveCallers(b, h, large, total)
				before := memoryInUse()
				for i := range uploads {
					// Each caller has an address of its own.
					d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, byte(1+i/200), byte(1+i%200))}}
					c, err := d.DialContext(b.Context(), "tcp", address)
					if err != nil {
						b.Fatal(err)
					}
					go func() {
						defer c.Close()
						_, _ = fmt.Fprintf(c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
						_, _ = c.Write(body)
						<-h
					}()
				}
				time.Sleep(time.Second) // longer than the server takes to read what it holds
				b.ReportMetric((memoryInUse()-before)/uploads, "B/upload")
				close(h)
				stop()
			}
		})
	}
}
