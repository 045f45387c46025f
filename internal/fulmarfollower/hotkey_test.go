package fulmarfollower_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/internal/fulmarmemory"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
)

const hotKey = 4711

// answered is the load of a target that answers each request after 0.1 s, and so 30 requests a second with three slots.
var answered = []fulmarleaderrpc.TargetLoad{{Target: "x", Answered: 1, ResponseTime: 100 * time.Millisecond}}

// hotKeyLoad is the load of a single key, of which each daemon observes a part.
type hotKeyLoad struct {
	perReport atomic.Int64 // requests in each report of a daemon
}

func (l *hotKeyLoad) Collect() (map[string][]fulmarleaderrpc.KeyCount, []fulmarleaderrpc.TargetLoad) {
	n := int(l.perReport.Load())
	if n == 0 {
		return nil, nil
	}
	return map[string][]fulmarleaderrpc.KeyCount{"board": {{Key: hotKey, Count: n}}}, answered
}

func isBounded(v *fulmarview.Holder, key int) bool {
	span, _ := v.Get().Owners["board"].Find(key)
	return span.Bounded
}

// askForHotKey asks the leader of a view for n permits for the hot key's target and returns the number of those that were given.
func askForHotKey(ctx context.Context, g Gomega, f *fleet, v *fulmarview.Holder, n int) (given int) {
	d, err := f.dial(ctx, v.Get().Leader)
	g.Expect(err).NotTo(HaveOccurred())
	span, _ := v.Get().Owners["board"].Find(hotKey)
	return askPermits(ctx, g, d.(inProcessLeader).Follower, span.Target, n)
}

// Guards against a key that asks more than its target can do and is sent there by all daemons: at 145 of them, the queue and the
// connections of the target filled up, and 0.02 of all requests of a calm day ended without an answer.
func TestHotKeyIsBounded(t *testing.T) {
	simulate(t, func(ctx context.Context, _ *testing.T, g *WithT, store *fulmarmemory.Store) {
		for _, id := range []string{"y", "z", "v", "w"} { // a single key gets at most one target of four
			store.Set("targets/"+id, encode(t, target(id, false)))
		}
		load := &hotKeyLoad{}
		f := &fleet{loads: load}
		f.startWithCPUShare(ctx, "a", 0.5, fulmarmemory.NewClient(store))
		time.Sleep(3 * time.Second)
		b := f.start(ctx, "b", fulmarmemory.NewClient(store))
		time.Sleep(2 * time.Second)
		g.Expect(isBounded(b, hotKey)).To(BeFalse())
		g.Expect(askForHotKey(ctx, g, f, b, 100)).To(Equal(100), "nothing is bounded while the leader knows of no hot key")

		load.perReport.Store(50)
		time.Sleep(4 * time.Second)
		g.Expect(isBounded(b, hotKey)).To(BeTrue())
		g.Expect(isBounded(b, hotKey+1)).To(BeFalse())
		span, _ := b.Get().Owners["board"].Find(hotKey)
		g.Expect([]int{span.From, span.To}).To(Equal([]int{hotKey, hotKey}))
		g.Expect(askForHotKey(ctx, g, f, b, 100)).To(Equal(1), "no permits of before the bound")
		time.Sleep(time.Second)
		g.Expect(askForHotKey(ctx, g, f, b, 100)).To(BeNumerically("~", 9, 2), "those of a quarter of a second, and two more")

		load.perReport.Store(0)
		time.Sleep(15 * time.Second)
		g.Expect(isBounded(b, hotKey)).To(BeFalse(), "after the demand")
	})
}
