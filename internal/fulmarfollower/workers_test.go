package fulmarfollower_test

import (
	"context"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a goroutine, and so a stack of some kilobytes, for each target at the leader.
func TestWorkersAtRest(t *testing.T) {
	size := sizeOf(3)
	size.targets = 600
	simulateSize(t, size, func(_ context.Context, _ *testing.T, g *WithT, f *largeFleet) {
		time.Sleep(3 * time.Second)
		g.Expect(f.missing(hasOwners)).To(BeZero())
		g.Expect(runtime.NumGoroutine()).To(BeNumerically("<", size.targets/2))
	})
}
