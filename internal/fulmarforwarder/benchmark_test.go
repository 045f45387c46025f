package fulmarforwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarhttpserver"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarreserve"
)

// BenchmarkRequest measures a request through the server of callers and the forwarder to a target, all on loopback.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []int{0, 4 << 10, 256 << 10} {
		b.Run(fmt.Sprint("body of ", size>>10, " KiB"), func(b *testing.B) {
			f := start(b, false, newTarget(b, "x"))
			limits := fulmarhttpserver.Limits{HeaderBytes: 8192, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
			server := fulmarhttpserver.New(f.forwarder, func() fulmarhttpserver.Limits { return limits }, fulmarreserve.New(0), slog.New(slog.DiscardHandler))
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			ctx, cancel := context.WithCancel(b.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = server.Serve(ctx, l) // ends with the context
			}()
			defer func() { cancel(); <-done }()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			reader := bufio.NewReader(c)
			const wire = "POST /f/1 HTTP/1.1\r\nHost: h\r\nId: %d\r\nContent-Length: %d\r\n\r\n%s"
			body := strings.Repeat("b", size)
			b.ReportAllocs()
			for id := 0; b.Loop(); id++ { // callers have a new id for each request
				if _, err := fmt.Fprintf(c, wire, id, size, body); err != nil {
					b.Fatal(err)
				}
				resp, err := http.ReadResponse(reader, nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					b.Fatal(resp, err)
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
