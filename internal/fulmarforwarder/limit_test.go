package fulmarforwarder_test

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Answers of a target in need.
const (
	limitedAnswer   = "HTTP/1.1 200 x\r\nSign: s\r\nId: one\r\nLimit: 4.5\r\nContent-Length: 4\r\n\r\nfrom"
	malformedLimit  = "HTTP/1.1 200 x\r\nSign: s\r\nId: one\r\nLimit: many\r\nContent-Length: 4\r\n\r\nfrom"
	limitedNotRun   = "HTTP/1.1 503 x\r\nNot-Run: 1\r\nId: one\r\nLimit: 4.5\r\nContent-Length: 0\r\n\r\n"
	unlimitedNotRun = "HTTP/1.1 503 x\r\nNot-Run: 1\r\nId: one\r\nContent-Length: 0\r\n\r\n"
)

// Guards against limits that a daemon does not notice, or takes as ended by an answer that the target did not sign.
func TestLimitOfAnswer(t *testing.T) {
	for _, c := range []struct {
		name    string
		script  []string
		limited bool
	}{
		{"none", []string{ordinary, ordinary}, false},
		{"answer", []string{limitedAnswer, limitedAnswer}, true},
		{"rejection", []string{limitedNotRun, unlimitedNotRun}, true},
		{"malformed", []string{malformedLimit, malformedLimit}, false},
		{"end", []string{limitedAnswer, ordinary}, false},
		{"rejection without a limit", []string{limitedAnswer, unlimitedNotRun}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			x := newTarget(t, "x", c.script...)
			f := start(t, false, x)
			for range 2 {
				f.forwarder.Serve(t.Context(), request(t, "/f/1", "body"))
			}
			rate, limited := f.deps.Limits.Rate("x")
			g.Expect(limited).To(Equal(c.limited))
			if limited {
				g.Expect(rate).To(Equal(4.5))
			}
		})
	}
}
