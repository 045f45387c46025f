package fulmarnoticeaudit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarnoticeaudit"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// Guards against an audit that misses a request, or counts one to which a rule does not apply.
func TestAudit(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name       string
		events     func(a *fulmarnoticeaudit.Audit)
		violations int
	}{
		{"sent within the drain time, arrives later", func(a *fulmarnoticeaudit.Audit) {
			a.PassLeaving(start, "d")
			a.Arrive(at(5*second), at(2*second), "d")
		}, 0},
		{"sent after the drain time", func(a *fulmarnoticeaudit.Audit) {
			a.PassLeaving(start, "d")
			a.PassLeaving(at(second), "d")
			a.Arrive(at(3*second), at(2*second+1), "d")
		}, 1},
		{"from another daemon", func(a *fulmarnoticeaudit.Audit) {
			a.PassLeaving(start, "d")
			a.Arrive(at(9*second), at(9*second), "e")
		}, 0},
		{"two requests within a pause", func(a *fulmarnoticeaudit.Audit) {
			a.AskPause(start, at(3*second), "d")
			a.Arrive(at(second/4), at(second/4), "d")
			a.Arrive(at(second), at(second), "d")
			a.Arrive(at(2*second), at(second), "d")
			a.Arrive(at(4*second), at(second), "d")
		}, 0},
		{"three requests within a pause", func(a *fulmarnoticeaudit.Audit) {
			a.AskPause(start, at(3*second), "d")
			for range 4 {
				a.Arrive(at(second), at(second), "d")
			}
		}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := fulmarnoticeaudit.New(2 * second)
			c.events(a)
			NewWithT(t).Expect(a.Violations()).To(HaveLen(c.violations))
		})
	}
}
