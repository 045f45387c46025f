package fulmarfollower_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// serveBound is the time after a loss within which keys are served again, and so daemons that start again know the fleet.
const serveBound = 2 * time.Second

func isReady(d *simulatedDaemon) bool { return d.views.Get().Ready() }

// Guards against daemons that refuse all requests for more than a second after a restart of all, as each of them waits for
// its turn to read the store or to stand for election, although a leader has been elected.
func TestReadyAfterRestart(t *testing.T) {
	for _, n := range []int{27, 145, 295} {
		t.Run(fmt.Sprint(n, " daemons"), func(t *testing.T) {
			simulateLargeFleet(t, n, func(ctx context.Context, t *testing.T, g *WithT, f *largeFleet) {
				lost := time.Now()
				f.restartAll(ctx)
				f.expectWithin(g, serveBound-time.Since(lost), "the configuration and the targets", isReady)
				t.Log("ready after", time.Since(lost), "of which", time.Second, "until the start")
			})
		})
	}
}

// Guards against a fleet that keeps, for seconds after its first start, relays that were chosen from the few daemons that had
// reported by then: weak ones take over a second to send the state to all daemons that follow them.
func TestRelaysAfterFirstStart(t *testing.T) {
	for range 5 { // who reports first is random
		simulateLargeFleet(t, 295, func(_ context.Context, t *testing.T, g *WithT, f *largeFleet) {
			relays, leader := f.daemon("d294").views.Get().Relays, f.leader(t)
			for i := range 295 / 20 {
				if id := fmt.Sprint("d", i); id != leader {
					g.Expect(relays.Has(id)).To(BeTrue(), "the strong daemon %s is no relay", id)
				}
			}
		})
	}
}
