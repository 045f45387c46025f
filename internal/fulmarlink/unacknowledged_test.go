package fulmarlink_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarlink"
)

// Guards against a target that has fallen silent being taken for one that was alive until its connection ended.
func TestUnacknowledged(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0") // accepts no connection, so that nothing is read
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { l.Close() })
	pool := fulmarlink.New(fulmarlink.Settings{DialTimeout: time.Second, AckTimeout: 300 * time.Millisecond, IdleTimeout: time.Minute, BodyLimit: 1024})
	t.Cleanup(pool.Close)
	const length = 64 << 20 // more than the buffers of both ends hold
	_, err = pool.Do(t.Context(), l.Addr().String(), &fulmarlink.Request{
		Method: http.MethodPost, URI: "/", Host: "h", ID: "one", Body: strings.NewReader(strings.Repeat("b", length)), Length: length,
	})
	g.Expect(err).To(MatchError(fulmarlink.ErrUnacknowledged))
	g.Expect(err).To(MatchError(fulmarlink.ErrBroken))
}
