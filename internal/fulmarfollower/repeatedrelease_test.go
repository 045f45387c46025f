package fulmarfollower_test

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarmemory"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarorder"
)

// keptConnections acknowledges every order as over kept connections: only the first grant of each target is certain.
type keptConnections struct {
	mu      sync.Mutex
	granted map[string]time.Time // by target: the first grant
	orders  []fulmarorder.Order  // releases
}

func (k *keptConnections) Send(ctx context.Context, _ string, o fulmarorder.Order) (fulmarorder.Reply, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if o.Kind == fulmarorder.Release {
		deadline, _ := ctx.Deadline()
		o.TTL = time.Until(deadline)
		k.orders = append(k.orders, o)
		return fulmarorder.Reply{Handover: "x", Connection: 1, Certain: true}, nil
	}
	_, known := k.granted[o.Incarnation.ID]
	if !known {
		k.granted[o.Incarnation.ID] = time.Now()
	}
	return fulmarorder.Reply{Connection: 1, Certain: !known}, nil
}

// Guards against keys of a leaving target that wait for about 2 s, until its renewals have lapsed, as these are not certain, and
// against renewals that wait for the repeated release as long as for the work of a first one.
func TestRepeatedRelease(t *testing.T) {
	simulate(t, func(ctx context.Context, t *testing.T, g *WithT, store *fulmarmemory.Store) {
		orders := &keptConnections{granted: make(map[string]time.Time)}
		f := fleet{orders: orders}
		f.start(ctx, "a", fulmarmemory.NewClient(store))
		time.Sleep(5 * time.Second)
		left := time.Now()
		store.Set("targets/y", encode(t, target("y", false)))
		store.Set("targets/x", encode(t, target("x", true)))
		time.Sleep(3 * time.Second)
		orders.mu.Lock()
		defer orders.mu.Unlock()
		g.Expect(orders.granted).To(HaveKey("y"))
		g.Expect(orders.granted["y"].Sub(left)).To(BeNumerically("<", 1500*time.Millisecond))
		g.Expect(len(orders.orders)).To(BeNumerically(">=", 2))
		for i, o := range orders.orders {
			g.Expect(o.AfterGrants).To(Equal(i%2 == 1), "release %d", i)
			g.Expect(o.TTL <= 500*time.Millisecond).To(Equal(o.AfterGrants), "time of release %d: %s", i, o.TTL)
		}
	})
}
