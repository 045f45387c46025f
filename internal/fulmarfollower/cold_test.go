package fulmarfollower_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/internal/fulmarmemory"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// coldRate is what a cold target takes in these tests, in requests per second.
const coldRate = 5

// setCold configures a rate for cold targets and writes the entry of a target that is cold for the given time.
func setCold(t *testing.T, store *fulmarmemory.Store, id string, left time.Duration) {
	c := config(2)
	for i := range c.Services {
		c.Services[i].ColdRate = coldRate
	}
	store.Set("config", encode(t, c))
	entry := target(id, false)
	entry.WarmupLeft = left
	store.Set("targets/"+id, encode(t, entry))
}

// keysOf returns the number of keys of a target in a view.
func keysOf(v *fulmarview.Holder, id string) (keys int) {
	for _, s := range v.Get().Owners["board"] {
		if s.Target == id {
			keys += s.To - s.From + 1
		}
	}
	return keys
}

// Guards against a target that has become cold again in the same incarnation and is sent as much as before: the change of its
// warm-up did not reach the daemons, and the leader gave permits without bound. Guards also against a leader with an older
// entry than the daemon that asks.
func TestPermitsOfColdTarget(t *testing.T) {
	simulate(t, func(ctx context.Context, t *testing.T, g *WithT, store *fulmarmemory.Store) {
		f := &fleet{}
		f.startWithCPUShare(ctx, "a", 0.5, fulmarmemory.NewClient(store))
		time.Sleep(3 * time.Second)
		b := f.start(ctx, "b", fulmarmemory.NewClient(store))
		time.Sleep(2 * time.Second)
		leader, err := f.dial(ctx, "a")
		g.Expect(err).NotTo(HaveOccurred())
		a := leader.(inProcessLeader).Follower
		g.Expect(askPermits(ctx, g, a, "x", 100)).To(Equal(100), "while it is warm")

		setCold(t, store, "x", 3*time.Second)
		time.Sleep(time.Second)
		listed, _ := b.Get().Catalog.Target("x")
		g.Expect(listed.IsWarmingUp(time.Now())).To(BeTrue(), "at a daemon that does not lead")
		g.Expect(askPermits(ctx, g, a, "x", 100)).To(Equal(1))
		setCold(t, store, "x", 0)
		time.Sleep(time.Second)
		g.Expect(askPermits(ctx, g, a, "x", 100)).To(Equal(100), "once it is warm")

		ask := fulmarleaderrpc.PermitAsk{Target: "x", ColdRate: coldRate}
		answer, err := a.AskPermits(ctx, &fulmarleaderrpc.PermitRequest{Permits: []fulmarleaderrpc.PermitAsk{ask, ask, ask, ask, ask, ask}})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Permits).To(ContainElement(HaveField("Granted", Equal(false))), "the daemon knows that it is cold, the leader does not")
	})
}

// Guards against a target that gets no keys for seconds after its warm-up, as one that has stated a limit does, and against one
// that gets keys while it is cold, to which it kept afterwards: a twelfth of the keys in place of a half.
func TestKeysOfColdTarget(t *testing.T) {
	simulate(t, func(ctx context.Context, t *testing.T, g *WithT, store *fulmarmemory.Store) {
		f := &fleet{loads: newEvenLoad()}
		b := f.startWithCPUShare(ctx, "b", 0.5, fulmarmemory.NewClient(store))
		time.Sleep(4 * time.Second)
		setCold(t, store, "y", 3*time.Second)
		time.Sleep(3 * time.Second)
		g.Expect(keysOf(b, "y")).To(BeZero(), "while it is cold")
		setCold(t, store, "y", 0)
		time.Sleep(1500 * time.Millisecond)
		g.Expect(keysOf(b, "y")).To(BeNumerically("~", (fulmarrange.MaxKey+1)/2, 4000), "within a second after its entry was read")
	})
}

// evenRate is the request rate of all keys together, in requests per second.
const evenRate = 24.

// evenLoad is a load that is spread evenly over the keys, at evenRate.
type evenLoad struct {
	last *time.Time
	sent *int
}

func newEvenLoad() evenLoad {
	now := time.Now()
	return evenLoad{&now, new(int)}
}

func (l evenLoad) Collect() (map[string][]fulmarleaderrpc.KeyCount, []fulmarleaderrpc.TargetLoad) {
	due := int(time.Since(*l.last).Seconds() * evenRate)
	counts := make([]fulmarleaderrpc.KeyCount, 0, due)
	for ; *l.sent < due; *l.sent++ {
		counts = append(counts, fulmarleaderrpc.KeyCount{Key: *l.sent * 40503 % (fulmarrange.MaxKey + 1), Count: 1})
	}
	return map[string][]fulmarleaderrpc.KeyCount{"board": counts}, answered
}
