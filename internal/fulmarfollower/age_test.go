package fulmarfollower_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/internal/fulmarmemory"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
)

// slowLeader is a leader whose answers wait for 100 ms and are on the way for 500 ms.
type slowLeader struct {
	noPermits
	waited, age time.Duration // as it says
}

func (l slowLeader) Sync(ctx context.Context, _ *fulmarleaderrpc.Report) (*fulmarleaderrpc.Update, error) {
	select {
	case <-time.After(600 * time.Millisecond):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	packed, err := fulmarleaderrpc.PackConfig(config(1))
	x := target("x", true)
	x.LeavingFor = time.Second
	return &fulmarleaderrpc.Update{
		Versions: fulmarleaderrpc.Versions{Term: 1, Config: 1, Targets: 1}, Waited: l.waited, Age: l.age, Daemons: 2,
		Config: packed, Targets: []fulmarcatalog.Target{x}, Complete: true,
	}, err
}

func (slowLeader) Close() {}

// Guards against ages that do not count the time on the way: requests reached a leaving target after its time.
func TestTimeOnTheWayCounts(t *testing.T) {
	t.Run("ordinary", func(t *testing.T) {
		expectAges(t, slowLeader{waited: 100 * time.Millisecond}, 1500*time.Millisecond, 500*time.Millisecond)
	})
	t.Run("damaged", func(t *testing.T) {
		expectAges(t, slowLeader{waited: time.Hour, age: -time.Hour}, time.Second, 0)
	})
}

// expectAges checks the least time for which the target has been leaving, and the least age of the view, at a daemon that gets
// the first answer of a leader.
func expectAges(t *testing.T, l slowLeader, leavingFor, age time.Duration) {
	t.Helper()
	simulate(t, func(ctx context.Context, _ *testing.T, g *WithT, store *fulmarmemory.Store) {
		storeLeader(t, store, "a")
		store.Remove("config") // so that the daemon knows nothing from the store
		f := &fleet{}
		f.setLeader("a", l)
		view := f.start(ctx, "b", fulmarmemory.NewClient(store))
		for !view.Get().Ready() {
			time.Sleep(time.Millisecond)
		}
		now := time.Now()
		x, ok := view.Get().Catalog.Target("x")
		g.Expect(ok).To(BeTrue())
		g.Expect(x.AsOf(now).LeavingFor).To(BeNumerically(">=", leavingFor))
		g.Expect(now.Sub(view.Get().AsOf)).To(BeNumerically(">=", age))
	})
}
