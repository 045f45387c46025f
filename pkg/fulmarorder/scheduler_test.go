package fulmarorder_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarorder"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

var (
	incarnationA = fulmarrange.Incarnation{ID: "a", Born: 1}
	incarnationB = fulmarrange.Incarnation{ID: "b", Born: 1}
)

// harness runs a scheduler with a manual clock and given answers of the targets.
type harness struct {
	*fulmarorder.Scheduler
	g   *WithT
	now time.Time
}

func newHarness(t *testing.T, table fulmarrange.Table) *harness {
	now := time.Unix(1000, 0)
	return &harness{Scheduler: fulmarorder.New(now, table, modelTiming), g: NewWithT(t), now: now}
}

// next expects an order of the given kind and keys to be due, and sends it with the given result.
func (b *harness) next(target fulmarrange.Incarnation, kind fulmarorder.Kind, from, to int, handover string, err error) fulmarorder.Order {
	o, _, ok := b.Next(b.now, target)
	b.g.ExpectWithOffset(1, ok).To(BeTrue(), "no order is due")
	b.g.ExpectWithOffset(1, []any{o.Kind, o.From, o.To}).To(Equal([]any{kind, from, to}))
	b.EndSend(b.now, o, b.BeginSend(o), handover, err)
	return o
}

// idle expects that no order is due for the target.
func (b *harness) idle(target fulmarrange.Incarnation) {
	_, _, ok := b.Next(b.now, target)
	b.g.ExpectWithOffset(1, ok).To(BeFalse(), "an order is due")
}

func (b *harness) holds(key int) bool { return b.OwnerHolds(b.now, b.Table().Find(key)) }

func TestScheduler(t *testing.T) {
	owned := fulmarrange.New().WithOwner(0, fulmarrange.MaxKey, incarnationA)

	// Guards against a move that waits until the old grant expires: if the status of the grant is used for
	// the release, the release is never sent.
	t.Run("releases keys before their new owner is granted them", func(t *testing.T) {
		b := newHarness(t, fulmarrange.New())
		b.Commit(owned)
		b.next(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		b.Commit(owned.WithOwner(100, 200, incarnationB))
		b.idle(incarnationB)
		b.g.Expect(b.holds(150)).To(BeFalse())
		b.next(incarnationA, fulmarorder.Release, 100, 200, "token", nil)
		o := b.next(incarnationB, fulmarorder.Grant, 100, 200, "", nil)
		b.g.Expect(o.Handover).To(Equal("token"))
		b.g.Expect(b.holds(150)).To(BeTrue())
		b.g.Expect(b.holds(99)).To(BeTrue())
		b.g.Expect(b.SegmentsWithObsoletePrior()).To(HaveLen(1))
	})

	t.Run("renews grants over the same connection", func(t *testing.T) {
		b := newHarness(t, fulmarrange.New())
		b.Commit(owned)
		first := b.next(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		b.idle(incarnationA)
		b.now = b.now.Add(modelTiming.RenewInterval)
		second := b.next(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		b.g.Expect([]bool{first.RequireKnownConnection, second.RequireKnownConnection}).To(Equal([]bool{false, true}))
		b.g.Expect(second.Fence).To(Equal(first.Fence))
	})

	// Guards against waiting for a grant to expire although its target has certainly ended.
	t.Run("reassigns keys of an ended target at once", func(t *testing.T) {
		b := newHarness(t, fulmarrange.New())
		b.Commit(owned)
		b.next(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		b.Commit(owned.WithOwner(100, 200, incarnationB).WithOwner(500, 600, incarnationB))
		b.idle(incarnationB)
		b.next(incarnationA, fulmarorder.Release, 100, 200, "", fulmarorder.ErrTargetEnded)
		b.next(incarnationB, fulmarorder.Grant, 100, 200, "", nil)
		b.next(incarnationB, fulmarorder.Grant, 500, 600, "", nil)
		b.next(incarnationA, fulmarorder.Release, 500, 600, "", fulmarorder.ErrTargetEnded)
		b.g.Expect(b.holds(150)).To(BeTrue())
	})

	// Guards against dropping a grant in flight when its target appears to have ended.
	t.Run("waits for a grant in flight to a target that has ended", func(t *testing.T) {
		b := newHarness(t, fulmarrange.New())
		b.Commit(owned)
		o, _, ok := b.Next(b.now, incarnationA)
		b.g.Expect(ok).To(BeTrue())
		entry := b.BeginSend(o)
		b.Commit(owned.WithOwner(100, 200, incarnationB))
		b.next(incarnationA, fulmarorder.Release, 100, 200, "", fulmarorder.ErrTargetEnded)
		b.idle(incarnationB)
		b.EndSend(b.now, o, entry, "", fulmarorder.ErrUnanswered)
		b.idle(incarnationB)
		b.now = b.now.Add(2 * modelTiming.GrantTTL)
		b.next(incarnationB, fulmarorder.Grant, 100, 200, "", nil)
	})

	// Guards against granting keys of an unresponsive target to another one while the first may still hold them.
	t.Run("waits until the grant of an unresponsive target has expired", func(t *testing.T) {
		b := newHarness(t, fulmarrange.New())
		b.Commit(owned)
		b.next(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		b.Commit(owned.WithOwner(0, fulmarrange.MaxKey, incarnationB))
		b.next(incarnationA, fulmarorder.Release, 0, fulmarrange.MaxKey, "", fulmarorder.ErrUnanswered)
		b.now = b.now.Add(modelHold)
		b.idle(incarnationB)
		b.now = b.now.Add(modelHold/20 + 100*time.Millisecond)
		b.next(incarnationB, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
	})

	// Guards against unanswered grants of a former leader that are applied after the release.
	t.Run("waits for unanswered grants of a former leader to a prior owner", func(t *testing.T) {
		b := newHarness(t, owned.WithOwner(0, fulmarrange.MaxKey, incarnationB))
		b.Commit(owned.WithOwner(0, fulmarrange.MaxKey, incarnationB).WithRenewedFence(0, fulmarrange.MaxKey))
		b.next(incarnationA, fulmarorder.Release, 0, fulmarrange.MaxKey, "", nil)
		b.idle(incarnationB)
		b.now = b.now.Add(modelHold)
		b.idle(incarnationB)
		b.now = b.now.Add(modelHold / 20)
		b.next(incarnationB, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
	})

	// Guards against two holders of a key: a partitioned leader extends a grant, which the target applies after
	// it has released the keys to the next leader.
	t.Run("waits for extended grants of a former leader to an owner that has answered none since", func(t *testing.T) {
		b := newHarness(t, owned)
		b.Commit(owned.WithOwner(0, fulmarrange.MaxKey, incarnationB))
		b.next(incarnationA, fulmarorder.Release, 0, fulmarrange.MaxKey, "", nil)
		b.now = b.now.Add(modelHoldMax)
		b.idle(incarnationB)
		b.now = b.now.Add(modelHoldMax / 20)
		b.next(incarnationB, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
	})

	t.Run("waits for extended grants to prior owners if the table records them", func(t *testing.T) {
		moved := owned.WithOwner(0, fulmarrange.MaxKey, incarnationB).WithExtendedGrants(true)
		b := newHarness(t, moved)
		b.Commit(moved.WithRenewedFence(0, fulmarrange.MaxKey))
		b.next(incarnationA, fulmarorder.Release, 0, fulmarrange.MaxKey, "", nil)
		b.now = b.now.Add(modelHoldMax)
		b.idle(incarnationB)
	})

	// Guards against keys of a lost target that wait 10 s although the former leader reported that its grants
	// expire sooner.
	t.Run("uses the expiry of grants reported by the former leader", func(t *testing.T) {
		now := time.Unix(1000, 0)
		former := newHarness(t, fulmarrange.New())
		former.Commit(owned)
		former.next(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		latest := former.LatestExpiry(now)
		b := &harness{Scheduler: fulmarorder.New(now.Add(time.Second), owned, modelTiming), g: former.g, now: now.Add(time.Second)}
		b.LimitInherited(latest)
		b.Commit(owned.WithOwner(0, fulmarrange.MaxKey, incarnationB))
		b.idle(incarnationB)
		b.now = latest
		b.next(incarnationB, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		b.g.Expect(latest.Sub(now)).To(BeNumerically("<", modelHold*11/10))
	})

	// Guards against waiting for grants that their owner would refuse because it has answered a later one.
	t.Run("drops unanswered grants when a later one is answered", func(t *testing.T) {
		b := newHarness(t, owned)
		b.g.Expect(b.HasUnansweredGrant(b.now, incarnationA)).To(BeTrue())
		renewed := owned.WithRenewedFence(0, fulmarrange.MaxKey)
		b.Commit(renewed)
		b.next(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		b.g.Expect(b.HasUnansweredGrant(b.now, incarnationA)).To(BeFalse())
		b.Commit(renewed.WithOwner(100, 200, incarnationB))
		b.next(incarnationA, fulmarorder.Release, 100, 200, "", nil)
		b.next(incarnationB, fulmarorder.Grant, 100, 200, "", nil)
	})

	// Guards against a stored table that does not record an extended grant because it was being written when
	// grants were extended.
	t.Run("does not extend grants of keys that a pending table reassigns", func(t *testing.T) {
		b := newHarness(t, fulmarrange.New())
		b.Commit(owned)
		b.SetPendingTable(owned.WithOwner(100, 200, incarnationB))
		b.SetGrantTTL(b.now, modelHoldMax)
		o := b.next(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", fulmarorder.ErrUnanswered)
		b.g.Expect(o.TTL).To(Equal(modelHold))
		b.g.Expect(b.ExtendedGrants(b.now)).To(BeFalse())
	})

	t.Run("reports extended grants that were not answered", func(t *testing.T) {
		b := newHarness(t, fulmarrange.New())
		b.Commit(owned)
		b.SetGrantTTL(b.now, modelHoldMax)
		b.next(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", fulmarorder.ErrUnanswered)
		b.g.Expect(b.ExtendedGrants(b.now)).To(BeTrue())
		b.g.Expect(b.ExtendedGrants(b.now.Add(modelHoldMax))).To(BeFalse())
	})

	// Guards against granting the same fence to two incarnations of one target.
	t.Run("needs new fences after the connection was lost", func(t *testing.T) {
		b := newHarness(t, fulmarrange.New())
		b.Commit(owned)
		b.next(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		b.now = b.now.Add(modelTiming.RenewInterval)
		b.next(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", fulmarorder.ErrUnsent)
		b.now = b.now.Add(modelTiming.RenewInterval)
		b.idle(incarnationA)
		b.g.Expect(b.NeedsNewFence(incarnationA)).To(BeTrue())
		b.Commit(owned.WithRenewedFence(0, fulmarrange.MaxKey))
		o := b.next(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		b.g.Expect(o.RequireKnownConnection).To(BeFalse())
		b.g.Expect(o.Fence).To(BeEquivalentTo(2))
	})

	t.Run("makes grants due at once when their duration changes", func(t *testing.T) {
		b := newHarness(t, fulmarrange.New())
		b.Commit(owned)
		b.next(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		b.SetGrantTTL(b.now, modelHoldMax)
		o := b.next(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		b.g.Expect(o.TTL).To(Equal(modelHoldMax))
	})

	t.Run("counts consecutive failures", func(t *testing.T) {
		b := newHarness(t, fulmarrange.New())
		b.Commit(owned)
		for range 2 {
			b.next(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", fulmarorder.ErrUnsent)
			b.now = b.now.Add(modelTiming.RetryInterval)
		}
		b.g.Expect(b.FailureStreak(b.now, incarnationA)).To(Equal(fulmarorder.FailureStreak{Elapsed: 2 * modelTiming.RetryInterval, Count: 2, LastUnsent: true}))
	})

	// Guards against keys that move from target to target because each is considered lost after two unanswered
	// orders.
	t.Run("distinguishes an unresponsive target from an unreachable one", func(t *testing.T) {
		b := newHarness(t, fulmarrange.New())
		b.Commit(owned)
		b.next(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", fulmarorder.ErrUnanswered)
		b.g.Expect(b.FailureStreak(b.now, incarnationA)).To(Equal(fulmarorder.FailureStreak{Count: 1}))
	})
}
