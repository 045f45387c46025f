package fulmarfollower_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarkvforwarder"
	"github.com/fulmarbend/fulmarbend/internal/fulmarmemory"
	"github.com/fulmarbend/fulmarbend/internal/fulmarsnapshot"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrelay"
)

// Guards against a relay that waits for the first answer of a new leader while its view gets old: the daemons that follow it left
// it for seconds, and 61 of 310 did not know in time that a target leaves.
func TestRelayWaitsForLeader(t *testing.T) {
	simulate(t, func(ctx context.Context, t *testing.T, g *WithT, memory *fulmarmemory.Store) {
		storeRelay(t, memory, "b")
		storeLeader(t, memory, "a")
		f := &fleet{}
		f.setLeader("a", unresponsiveLeader{})
		b := f.start(ctx, "b", fulmarmemory.NewClient(memory))
		time.Sleep(2 * time.Second)
		for began := time.Now(); time.Since(began) < 5*time.Second; time.Sleep(10 * time.Millisecond) {
			g.Expect(time.Since(b.Get().AsOf)).To(BeNumerically("<", 1450*time.Millisecond), "others leave a relay at 1.7 s, of which they wait up to 0.25 s")
		}
	})
}

// Guards against a daemon that refuses all requests for as long as it cannot read all keys in time, although a leader answers.
func TestStartOnSlowLink(t *testing.T) {
	simulate(t, func(ctx context.Context, t *testing.T, g *WithT, memory *fulmarmemory.Store) {
		storeRelay(t, memory, "b") // relays read the store first
		storeLeader(t, memory, "a")
		f, store := &fleet{}, &lateScans{Client: fulmarmemory.NewClient(memory)}
		store.late.Store(true)
		f.setLeader("a", &staleLeader{lastRead: time.Now().Add(time.Hour), config: config(1)})
		b := f.start(ctx, "b", store)
		time.Sleep(3 * time.Second)
		g.Expect(b.Get().Ready()).To(BeTrue())
	})
}

// storeRelay stores the record of a large fleet with one relay.
func storeRelay(t *testing.T, store *fulmarmemory.Store, address string) {
	t.Helper()
	record, err := fulmarsnapshot.Fleet{Daemons: 50, Relays: fulmarrelay.Set{{Address: address}}}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	store.Set(fulmarsnapshot.FleetKey, record)
}

// Guards against a daemon that the store rejects before it has followed anybody, and which knows the relays but calls the store
// through none of them: at the first start of 310 daemons, some had no configuration 9 s after the loss of the leader.
func TestRelaysReachStore(t *testing.T) {
	simulate(t, func(ctx context.Context, t *testing.T, g *WithT, memory *fulmarmemory.Store) {
		storeRelay(t, memory, "r")
		client, log := fulmarmemory.NewClient(memory), slog.New(slog.DiscardHandler)
		relay := fulmarkvforwarder.New(fulmarmemory.NewClient(memory), nil, noAddresses, noAddresses, nil, log)
		var views atomic.Pointer[fulmarview.Holder]
		views.Store(fulmarview.New())
		known := func() []string { return views.Load().Get().Peers("b") }
		store := fulmarkvforwarder.New(client, func(_ context.Context, address string) (fulmarkvforwarder.Daemon, error) {
			g.Expect(address).To(Equal("r"))
			return peer{relay}, nil
		}, noAddresses, known, nil, log)
		b := (&fleet{}).start(ctx, "b", store)
		views.Store(b)
		time.Sleep(30 * time.Millisecond)
		g.Expect(b.Get().Relays).NotTo(BeEmpty())
		client.SetFault(fulmarmemory.Rejected)
		memory.Set("config", encode(t, config(2)))
		time.Sleep(3 * time.Second)
		g.Expect(b.Get().Routes).NotTo(BeNil())
		g.Expect(b.Get().Routes.Version()).To(BeEquivalentTo(2))
	})
}
