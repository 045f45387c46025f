package fulmarfrontdaemon

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against requests that are ended by the daemon although their targets still have time in a short grace period.
func TestGrace(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 3 * time.Second, 4 * time.Second, 6 * time.Second, 10 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(interruptAfter(grace)).To(BeNumerically(">=", grace*5/6))
			g.Expect(interruptAfter(grace)).To(BeNumerically("<", lastExit(grace)))
			g.Expect(lastExit(grace)).To(BeNumerically("<", grace))
		})
	}
}
