package fulmarfollower_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarmemory"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarera"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarorder"
)

// restoreKeys are the keys whose holders the targets of a test compare.
var restoreKeys = []int{0, 9000, 21000, 33000, 47000, 65535}

// holding is what a target knows of one key.
type holding struct {
	until time.Time
	fence int64
}

// holders are the targets of a test: they hold keys as they are granted, and record what must not happen.
type holders struct {
	mu      sync.Mutex
	held    map[string]map[int]holding // by target
	faults  []string
	lost    bool          // the answers to grants are lost, but they are applied
	answers time.Duration // longest grant that is answered while lost is false; zero for no limit
	cutOff  string        // the target that gets no orders, empty for none
	unowned map[int]time.Time
	longest time.Duration // for which a key that was held before had no holder
}

// Send implements fulmarleader.OrderSender.
func (h *holders) Send(ctx context.Context, _ string, o fulmarorder.Order) (fulmarorder.Reply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if o.Incarnation.ID == h.cutOff {
		return fulmarorder.Reply{}, fulmarorder.ErrUnanswered
	}
	now := time.Now()
	own := h.held[o.Incarnation.ID]
	if own == nil {
		own = make(map[int]holding)
		h.held[o.Incarnation.ID] = own
	}
	for _, key := range restoreKeys {
		if key < o.From || key > o.To {
			continue
		}
		if o.Kind == fulmarorder.Release {
			own[key] = holding{until: now, fence: own[key].fence}
			continue
		}
		if own[key].fence > o.Fence {
			return fulmarorder.Reply{}, fulmarorder.ErrRefused
		}
		for id, other := range h.held {
			if id == o.Incarnation.ID {
				continue
			}
			if other[key].until.After(now) {
				h.faults = append(h.faults, fmt.Sprintf("key %d is granted to %s while %s holds it", key, o.Incarnation.ID, id))
			}
			if other[key].fence >= o.Fence {
				h.faults = append(h.faults, fmt.Sprintf("key %d is granted to %s with fence %d, %s had %d", key, o.Incarnation.ID, o.Fence, id, other[key].fence))
			}
		}
		until := now.Add(o.TTL)
		if until.Before(own[key].until) { // no grant ends an earlier one
			until = own[key].until
		}
		own[key] = holding{until, o.Fence}
	}
	if o.Kind == fulmarorder.Grant && (h.lost || h.answers > 0 && o.TTL > h.answers) {
		return fulmarorder.Reply{}, fulmarorder.ErrUnanswered
	}
	return fulmarorder.Reply{Certain: true, Connection: 1}, ctx.Err()
}

// watch records for how long keys have no holder, until ctx ends.
func (h *holders) watch(ctx context.Context) {
	for ctx.Err() == nil {
		h.mu.Lock()
		now := time.Now()
		for _, key := range restoreKeys {
			held := false
			for _, keys := range h.held {
				held = held || keys[key].until.After(now)
			}
			since, unowned := h.unowned[key]
			switch {
			case held:
				delete(h.unowned, key)
			case !unowned:
				h.unowned[key] = now
			default:
				h.longest = max(h.longest, now.Sub(since))
			}
		}
		h.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

// forget forgets for how long keys had no holder so far.
func (h *holders) forget() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unowned, h.longest = make(map[int]time.Time), 0
}

// result returns the faults and the longest time for which a key had no holder.
func (h *holders) result() ([]string, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.faults, h.longest
}

func (h *holders) loseAnswers(lost bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lost = lost
}

// cut lets a target get no more orders.
func (h *holders) cut(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cutOff = id
}

// heldFor returns for how long a target still holds the first key.
func (h *holders) heldFor(id string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Until(h.held[id][restoreKeys[0]].until)
}

// restoreFleet is a fleet of three daemons, of which a leads, with a store that can be restored.
type restoreFleet struct {
	*testing.T
	*holders
	store    *fulmarmemory.Store
	clients  map[string]*fulmarmemory.Client
	stopLead context.CancelFunc
}

// restoreAfterMove begins a test in virtual time: keys move after a copy of the store was taken, and it comes back from that copy.
func restoreAfterMove(t *testing.T, test func(f *restoreFleet, copied fulmarmemory.Copy)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); time.Sleep(3 * time.Second) }()
		store := configuredStore(t)
		store.SetEra(4)
		store.Set("targets/y", encode(t, target("y", false)))
		r := &restoreFleet{
			T: t, store: store, clients: make(map[string]*fulmarmemory.Client),
			holders: &holders{held: make(map[string]map[int]holding), unowned: make(map[int]time.Time)},
		}
		f := &fleet{orders: r.holders}
		leadCtx, stopLead := context.WithCancel(ctx)
		r.stopLead = stopLead
		for _, id := range []string{"a", "b", "c"} {
			client := fulmarmemory.NewClient(store).WithEras(fulmarera.New(noEvents{}, time.Now))
			r.clients[id] = client
			if id == "a" {
				f.startWithCPUShare(leadCtx, id, 0.5, client)
				time.Sleep(time.Second)
			} else {
				f.start(ctx, id, client)
			}
		}
		time.Sleep(2 * time.Second)
		copied := store.Copy()
		store.Set("targets/x", encode(t, target("x", true))) // its keys move
		time.Sleep(3 * time.Second)
		go r.watch(ctx)
		time.Sleep(100 * time.Millisecond)
		r.forget()
		test(r, copied)
	})
}

// noEvents ignores the events of an era.
type noEvents struct{}

func (noEvents) EraRejected(string)                    {}
func (noEvents) EraBegan(fulmarera.Era, fulmarera.Era) {}

// expect waits and checks that no rule was broken and for how long keys had no holder at most.
func (f *restoreFleet) expect(wait, unowned time.Duration) {
	f.Helper()
	time.Sleep(wait)
	g := NewWithT(f.T)
	faults, longest := f.result()
	f.Logf("keys without a holder for %s at most", longest)
	g.Expect(faults).To(BeEmpty())
	g.Expect(longest).To(BeNumerically("<", unowned))
	for _, key := range restoreKeys {
		g.Expect(f.unowned).NotTo(HaveKey(key))
	}
}

// Guards against a leader that takes the tables of a restored store for the state of its grants: two targets held a key at once, and
// fences were given out again.
func TestRestoredStore(t *testing.T) {
	const goal = 2 * time.Second // for which keys may have no owner if the former leader is alive

	t.Run("leader alive", func(t *testing.T) {
		restoreAfterMove(t, func(f *restoreFleet, copied fulmarmemory.Copy) {
			f.store.Restore(copied)
			f.expect(8*time.Second, goal)
		})
	})
	t.Run("twice in a row", func(t *testing.T) {
		restoreAfterMove(t, func(f *restoreFleet, copied fulmarmemory.Copy) {
			f.store.Restore(copied)
			time.Sleep(700 * time.Millisecond)
			f.store.Restore(copied)
			f.expect(8*time.Second, goal)
		})
	})
	t.Run("grants unanswered", func(t *testing.T) {
		restoreAfterMove(t, func(f *restoreFleet, copied fulmarmemory.Copy) {
			f.loseAnswers(true)
			time.Sleep(300 * time.Millisecond)
			f.store.Restore(copied)
			time.Sleep(300 * time.Millisecond)
			f.loseAnswers(false)
			f.expect(8*time.Second, goal)
		})
	})
	t.Run("late answers of the former era", func(t *testing.T) {
		restoreAfterMove(t, func(f *restoreFleet, copied fulmarmemory.Copy) {
			f.clients["b"].SetDelay(400 * time.Millisecond)
			time.Sleep(300 * time.Millisecond)
			f.store.Restore(copied)
			time.Sleep(100 * time.Millisecond)
			f.clients["b"].SetDelay(0)
			f.expect(8*time.Second, goal)
		})
	})
	// Without the former leader's memory, keys wait until the grants have lapsed that it may have sent: 10 s and its lease.
	const held = 13 * time.Second
	t.Run("leader lost", func(t *testing.T) {
		restoreAfterMove(t, func(f *restoreFleet, copied fulmarmemory.Copy) {
			f.clients["a"].SetFault(fulmarmemory.NoResponse)
			f.store.Restore(copied)
			f.stopLead()
			f.expect(20*time.Second, held)
		})
	})
	t.Run("leader cut off from the store", func(t *testing.T) {
		restoreAfterMove(t, func(f *restoreFleet, copied fulmarmemory.Copy) {
			f.clients["a"].SetFault(fulmarmemory.NoResponse)
			f.store.Restore(copied)
			f.expect(20*time.Second, held)
		})
	})
	for _, c := range []struct {
		name                string
		away, wait, unowned time.Duration
	}{
		{"store away for half a second", 500 * time.Millisecond, 8 * time.Second, goal},
		{"store away for two seconds", 2 * time.Second, 20 * time.Second, held},
	} {
		t.Run(c.name, func(t *testing.T) {
			restoreAfterMove(t, func(f *restoreFleet, copied fulmarmemory.Copy) {
				for _, client := range f.clients {
					client.SetFault(fulmarmemory.Rejected)
				}
				time.Sleep(c.away)
				f.store.Restore(copied)
				for _, client := range f.clients {
					client.SetFault(fulmarmemory.NoFault)
				}
				f.expect(c.wait, c.unowned)
			})
		})
	}
}

// replaceTarget lets a target be lost and another one start.
func (f *restoreFleet) replaceTarget(lost, next string) {
	f.Helper()
	f.cut(lost)
	f.store.Remove("targets/" + lost)
	f.store.Set("targets/"+next, encode(f.T, target(next, false)))
}

// Guards against a leader that gives fences out again which the stored tables do not name: the next owner of the keys of a lost target
// got a fence that this one had.
func TestFencesAfterRestore(t *testing.T) {
	restoreAfterMove(t, func(f *restoreFleet, copied fulmarmemory.Copy) {
		f.clients["a"].SetFault(fulmarmemory.NoResponse)
		f.store.Restore(copied)
		f.stopLead()
		f.replaceTarget("y", "z")
		f.expect(40*time.Second, 13*time.Second) // 10 s and the lease of the former leader
	})
}

// Guards against a leader that waits 10 s for grants of its former term, of which it remembers that they lapse within 2 s.
func TestTargetLostAfterRestore(t *testing.T) {
	restoreAfterMove(t, func(f *restoreFleet, copied fulmarmemory.Copy) {
		f.store.Restore(copied)
		time.Sleep(100 * time.Millisecond)
		f.replaceTarget("y", "z")
		f.expect(20*time.Second, limits["gives the lease up"])
	})
}

// Guards against changes that come too late after a restore, as all daemons turn to the store or get complete states at once.
func TestLargeFleetRestored(t *testing.T) {
	for _, n := range []int{30, 295} {
		t.Run(fmt.Sprint(n, " daemons"), func(t *testing.T) {
			simulateLargeFleet(t, n, func(_ context.Context, t *testing.T, g *WithT, f *largeFleet) {
				f.store.SetEra(1) // the store begins to state its era, as after an upgrade
				time.Sleep(5 * time.Second)
				copied := f.store.Copy()
				f.change(t, g, 2, "t1")
				time.Sleep(2 * time.Second)
				former := f.leader(t)
				f.resetLoad()
				f.store.Restore(copied)
				time.Sleep(time.Second)
				f.logLoad(t)
				g.Expect(f.leader(t)).To(Equal(former))
				g.Expect(f.missing(hasConfig(2))).To(BeZero())
				g.Expect(f.missing(knowsLeaving("t1"))).To(BeZero())
				g.Expect(f.missing(hasOwners)).To(BeZero())
				f.change(t, g, 3, "t2")
			})
		})
	}
}

// Guards against a daemon that reaches a restored store long after its start and takes the missing tables for those of a first start:
// it would grant keys at once that others may hold until their grants run out.
func TestStoreReachedAfterFirstStart(t *testing.T) {
	for _, c := range []struct {
		name    string
		away    time.Duration // until the store answers
		granted bool          // 3 s later
	}{
		{"in time", time.Second, true},
		{"too late", 6 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulate(t, func(ctx context.Context, _ *testing.T, g *WithT, store *fulmarmemory.Store) {
				store.SetEra(4)
				client := fulmarmemory.NewClient(store).WithEras(fulmarera.New(noEvents{}, time.Now))
				client.SetFault(fulmarmemory.Rejected)
				f := &fleet{firstStartTime: 5 * time.Second}
				views := f.start(ctx, "a", client)
				hasOwner := func() bool {
					span, ok := views.Get().Owners["board"].Find(0)
					return ok && span.Ready
				}
				time.Sleep(c.away)
				client.SetFault(fulmarmemory.NoFault)
				time.Sleep(3 * time.Second)
				g.Expect(hasOwner()).To(Equal(c.granted))
				time.Sleep(20 * time.Second) // the grants of others run out within 10 s
				g.Expect(hasOwner()).To(BeTrue())
			})
		})
	}
}
