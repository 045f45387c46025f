package fulmarfollower_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarfollower"
	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/internal/fulmarmemory"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarlimit"
)

// stated returns a statement that is made now.
func stated(target string, limited bool) fulmarlimit.Statement {
	return fulmarlimit.Statement{Target: target, Limited: limited, Rate: 5, SentAt: time.Now(), ReceivedAt: time.Now()}
}

func expectLimited(g Gomega, b *fulmarlimit.Board, target string, limited bool) {
	_, ok := b.Rate(target)
	g.Expect(ok).To(Equal(limited), target)
}

// Guards against daemons that send beyond a limit which another daemon has received, and that keep to one that has ended.
func TestLimitsReachAllDaemons(t *testing.T) {
	simulate(t, func(ctx context.Context, _ *testing.T, g *WithT, store *fulmarmemory.Store) {
		f := &fleet{}
		leaderCtx, stopLeader := context.WithCancel(ctx)
		_, a := f.startWithLimits(leaderCtx, "a", 0.5, fulmarmemory.NewClient(store))
		time.Sleep(3 * time.Second)
		_, b := f.startWithLimits(ctx, "b", 0.2, fulmarmemory.NewClient(store))
		_, c := f.startWithLimits(ctx, "c", 0.2, fulmarmemory.NewClient(store))
		time.Sleep(2 * time.Second)
		b.Record(stated("x", true))
		time.Sleep(1500 * time.Millisecond)
		expectLimited(g, a, "x", true)
		expectLimited(g, c, "x", true)
		c.Record(stated("x", false))
		time.Sleep(1500 * time.Millisecond)
		expectLimited(g, b, "x", false)
		b.Record(stated("y", true))
		time.Sleep(1500 * time.Millisecond)
		// The next leader and a new daemon know the limits as well.
		stopLeader()
		time.Sleep(5 * time.Second)
		_, d := f.startWithLimits(ctx, "d", 0.2, fulmarmemory.NewClient(store))
		time.Sleep(2 * time.Second)
		expectLimited(g, d, "y", true)
		expectLimited(g, d, "x", false)
	})
}

// Guards against updates that contain all limits whenever one changes: with 177 limited targets they saturated the link of
// the leader, which lost its 295 daemons.
func TestLimitsAreSentOnce(t *testing.T) {
	simulate(t, func(ctx context.Context, _ *testing.T, g *WithT, store *fulmarmemory.Store) {
		f := &fleet{}
		f.startWithLimits(ctx, "a", 0.5, fulmarmemory.NewClient(store))
		time.Sleep(3 * time.Second)
		_, b := f.startWithLimits(ctx, "b", 0.2, fulmarmemory.NewClient(store))
		_, c := f.startWithLimits(ctx, "c", 0.2, fulmarmemory.NewClient(store))
		time.Sleep(2 * time.Second)
		const targets = 100
		for i := range targets {
			b.Record(stated(fmt.Sprint(i), true))
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		for i := range targets {
			expectLimited(g, c, fmt.Sprint(i), true)
		}
		g.Expect(f.limits.Load()).To(BeNumerically("<=", 2*targets), "to two daemons")
	})
}

// askPermits asks for n permits for requests to target and returns the number of those that were given.
func askPermits(ctx context.Context, g Gomega, d *fulmarfollower.Follower, target string, n int) (given int) {
	r := &fulmarleaderrpc.PermitRequest{}
	for range n {
		r.Permits = append(r.Permits, fulmarleaderrpc.PermitAsk{Target: target})
	}
	a, err := d.AskPermits(ctx, r)
	g.Expect(err).NotTo(HaveOccurred())
	for _, p := range a.Permits {
		if p.Granted {
			given++
		}
	}
	return given
}

// Guards against permits of several daemons that exceed the limit together, and permits of a daemon that no longer leads.
func TestPermits(t *testing.T) {
	simulate(t, func(ctx context.Context, _ *testing.T, g *WithT, store *fulmarmemory.Store) {
		f := &fleet{}
		leaderCtx, stopLeader := context.WithCancel(ctx)
		f.startWithLimits(leaderCtx, "a", 0.5, fulmarmemory.NewClient(store))
		time.Sleep(3 * time.Second)
		_, limits := f.startWithLimits(ctx, "b", 0.2, fulmarmemory.NewClient(store))
		f.startWithLimits(ctx, "c", 0.2, fulmarmemory.NewClient(store))
		time.Sleep(2 * time.Second)
		limits.Record(stated("x", true))
		time.Sleep(1500 * time.Millisecond)
		daemons := make(map[string]*fulmarfollower.Follower)
		for _, id := range []string{"a", "b", "c"} {
			leader, err := f.dial(ctx, id)
			g.Expect(err).NotTo(HaveOccurred())
			daemons[id] = leader.(inProcessLeader).Follower
		}
		given := 0
		for range 10 {
			for _, d := range daemons {
				given += askPermits(ctx, g, d, "x", 3)
			}
			time.Sleep(200 * time.Millisecond)
		}
		g.Expect(given).To(BeNumerically("~", 10, 2), "a limit of 5 for 2 s")
		g.Expect(askPermits(ctx, g, daemons["b"], "without a limit", 10)).To(Equal(10))
		stopLeader()
		time.Sleep(100 * time.Millisecond)
		_, err := daemons["a"].Permits(ctx, &fulmarleaderrpc.PermitRequest{Permits: []fulmarleaderrpc.PermitAsk{{Target: "x"}}})
		g.Expect(err).To(MatchError(fulmarleaderrpc.ErrNotLeader))
	})
}
