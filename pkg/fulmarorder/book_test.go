package fulmarorder_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarorder"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

var (
	lifeA = fulmarrange.Incarnation{ID: "a", Born: 1}
	lifeB = fulmarrange.Incarnation{ID: "b", Born: 1}
)

// book is a book with the targets' answers at hand.
type book struct {
	*fulmarorder.Scheduler
	g   *WithT
	now time.Time
}

func newBook(t *testing.T, table fulmarrange.Table) *book {
	now := time.Unix(1000, 0)
	return &book{Scheduler: fulmarorder.New(now, table, modelTiming), g: NewWithT(t), now: now}
}

// next expects an order of the kind for the keys and sends it.
func (b *book) next(life fulmarrange.Incarnation, kind fulmarorder.Kind, from, to int, handover string, err error) fulmarorder.Order {
	o, _, ok := b.Next(b.now, life)
	b.g.ExpectWithOffset(1, ok).To(BeTrue(), "no order is due")
	b.g.ExpectWithOffset(1, []any{o.Kind, o.From, o.To}).To(Equal([]any{kind, from, to}))
	b.EndSend(b.now, o, b.BeginSend(o), handover, err)
	return o
}

// idle expects that no order is due.
func (b *book) idle(life fulmarrange.Incarnation) {
	_, _, ok := b.Next(b.now, life)
	b.g.ExpectWithOffset(1, ok).To(BeFalse(), "an order is due")
}

func (b *book) holds(key int) bool { return b.OwnerHolds(b.now, b.Table().Find(key)) }

func TestBook(t *testing.T) {
	owned := fulmarrange.New().WithOwner(0, fulmarrange.MaxKey, lifeA)

	// Guards against a move that waits until the old grant lapses: the status of the grant was taken for that
	// of the release, so releases were never sent.
	t.Run("releases keys before their new owner gets them", func(t *testing.T) {
		b := newBook(t, fulmarrange.New())
		b.Commit(owned)
		b.next(lifeA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		b.Commit(owned.WithOwner(100, 200, lifeB))
		b.idle(lifeB)
		b.g.Expect(b.holds(150)).To(BeFalse())
		b.next(lifeA, fulmarorder.Release, 100, 200, "token", nil)
		o := b.next(lifeB, fulmarorder.Grant, 100, 200, "", nil)
		b.g.Expect(o.Handover).To(Equal("token"))
		b.g.Expect(b.holds(150)).To(BeTrue())
		b.g.Expect(b.holds(99)).To(BeTrue())
		b.g.Expect(b.SegmentsWithObsoletePrior()).To(HaveLen(1))
	})

	t.Run("renews grants over the same connection", func(t *testing.T) {
		b := newBook(t, fulmarrange.New())
		b.Commit(owned)
		first := b.next(lifeA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		b.idle(lifeA)
		b.now = b.now.Add(modelTiming.RenewInterval)
		second := b.next(lifeA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		b.g.Expect([]bool{first.RequireKnownConnection, second.RequireKnownConnection}).To(Equal([]bool{false, true}))
		b.g.Expect(second.Fence).To(Equal(first.Fence))
	})

	// Guards against keys that wait for a grant to lapse although its target has surely ended.
	t.Run("takes keys over at once from a target that has ended", func(t *testing.T) {
		b := newBook(t, fulmarrange.New())
		b.Commit(owned)
		b.next(lifeA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		b.Commit(owned.WithOwner(100, 200, lifeB).WithOwner(500, 600, lifeB))
		b.idle(lifeB)
		b.next(lifeA, fulmarorder.Release, 100, 200, "", fulmarorder.ErrTargetEnded)
		b.next(lifeB, fulmarorder.Grant, 100, 200, "", nil)
		b.next(lifeB, fulmarorder.Grant, 500, 600, "", nil)
		b.next(lifeA, fulmarorder.Release, 500, 600, "", fulmarorder.ErrTargetEnded)
		b.g.Expect(b.holds(150)).To(BeTrue())
	})

	// Guards against a grant under way that is forgotten when its target seems to have ended.
	t.Run("waits for a grant under way to a target that has ended", func(t *testing.T) {
		b := newBook(t, fulmarrange.New())
		b.Commit(owned)
		o, _, ok := b.Next(b.now, lifeA)
		b.g.Expect(ok).To(BeTrue())
		entry := b.BeginSend(o)
		b.Commit(owned.WithOwner(100, 200, lifeB))
		b.next(lifeA, fulmarorder.Release, 100, 200, "", fulmarorder.ErrTargetEnded)
		b.idle(lifeB)
		b.EndSend(b.now, o, entry, "", fulmarorder.ErrUnanswered)
		b.idle(lifeB)
		b.now = b.now.Add(2 * modelTiming.GrantTTL)
		b.next(lifeB, fulmarorder.Grant, 100, 200, "", nil)
	})

	// Guards against keys of a silent target that go to another one while it may still hold them.
	t.Run("waits until the grant of a silent target has lapsed", func(t *testing.T) {
		b := newBook(t, fulmarrange.New())
		b.Commit(owned)
		b.next(lifeA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		b.Commit(owned.WithOwner(0, fulmarrange.MaxKey, lifeB))
		b.next(lifeA, fulmarorder.Release, 0, fulmarrange.MaxKey, "", fulmarorder.ErrUnanswered)
		b.now = b.now.Add(modelHold)
		b.idle(lifeB)
		b.now = b.now.Add(modelHold/20 + 100*time.Millisecond)
		b.next(lifeB, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
	})

	// Guards against grants of a former leader that were not answered and are carried out after the release.
	t.Run("waits for unanswered grants of a former leader to a prior owner", func(t *testing.T) {
		b := newBook(t, owned.WithOwner(0, fulmarrange.MaxKey, lifeB))
		b.Commit(owned.WithOwner(0, fulmarrange.MaxKey, lifeB).WithRenewedFence(0, fulmarrange.MaxKey))
		b.next(lifeA, fulmarorder.Release, 0, fulmarrange.MaxKey, "", nil)
		b.idle(lifeB)
		b.now = b.now.Add(modelHold)
		b.idle(lifeB)
		b.now = b.now.Add(modelHold / 20)
		b.next(lifeB, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
	})

	// Guards against two holders of a key: a leader that was cut off extended a grant, which the target carried out
	// after it had released the keys to the next leader.
	t.Run("waits for extended grants of a former leader to an owner that answered none since", func(t *testing.T) {
		b := newBook(t, owned)
		b.Commit(owned.WithOwner(0, fulmarrange.MaxKey, lifeB))
		b.next(lifeA, fulmarorder.Release, 0, fulmarrange.MaxKey, "", nil)
		b.now = b.now.Add(modelHoldMax)
		b.idle(lifeB)
		b.now = b.now.Add(modelHoldMax / 20)
		b.next(lifeB, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
	})

	t.Run("waits for extended grants to prior owners if the table tells of them", func(t *testing.T) {
		moved := owned.WithOwner(0, fulmarrange.MaxKey, lifeB).WithExtendedGrants(true)
		b := newBook(t, moved)
		b.Commit(moved.WithRenewedFence(0, fulmarrange.MaxKey))
		b.next(lifeA, fulmarorder.Release, 0, fulmarrange.MaxKey, "", nil)
		b.now = b.now.Add(modelHoldMax)
		b.idle(lifeB)
	})

	// Guards against keys of a lost target that wait 10 s although the former leader has said that its grants end sooner.
	t.Run("takes the word of the former leader", func(t *testing.T) {
		now := time.Unix(1000, 0)
		former := newBook(t, fulmarrange.New())
		former.Commit(owned)
		former.next(lifeA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		latest := former.LatestExpiry(now)
		b := &book{Scheduler: fulmarorder.New(now.Add(time.Second), owned, modelTiming), g: former.g, now: now.Add(time.Second)}
		b.LimitInherited(latest)
		b.Commit(owned.WithOwner(0, fulmarrange.MaxKey, lifeB))
		b.idle(lifeB)
		b.now = latest
		b.next(lifeB, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		b.g.Expect(latest.Sub(now)).To(BeNumerically("<", modelHold*11/10))
	})

	// Guards against keys that wait for grants that their owner would refuse, as it has answered a later one.
	t.Run("forgets unanswered grants when a later one is answered", func(t *testing.T) {
		b := newBook(t, owned)
		b.g.Expect(b.HasUnansweredGrant(b.now, lifeA)).To(BeTrue())
		renewed := owned.WithRenewedFence(0, fulmarrange.MaxKey)
		b.Commit(renewed)
		b.next(lifeA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		b.g.Expect(b.HasUnansweredGrant(b.now, lifeA)).To(BeFalse())
		b.Commit(renewed.WithOwner(100, 200, lifeB))
		b.next(lifeA, fulmarorder.Release, 100, 200, "", nil)
		b.next(lifeB, fulmarorder.Grant, 100, 200, "", nil)
	})

	// Guards against a table that does not tell of an extended grant, as it was being written when grants were extended.
	t.Run("does not extend grants of keys that a table under way gives away", func(t *testing.T) {
		b := newBook(t, fulmarrange.New())
		b.Commit(owned)
		b.SetPendingTable(owned.WithOwner(100, 200, lifeB))
		b.SetGrantTTL(b.now, modelHoldMax)
		o := b.next(lifeA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", fulmarorder.ErrUnanswered)
		b.g.Expect(o.TTL).To(Equal(modelHold))
		b.g.Expect(b.ExtendedGrants(b.now)).To(BeFalse())
	})

	t.Run("tells of extended grants that were not answered", func(t *testing.T) {
		b := newBook(t, fulmarrange.New())
		b.Commit(owned)
		b.SetGrantTTL(b.now, modelHoldMax)
		b.next(lifeA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", fulmarorder.ErrUnanswered)
		b.g.Expect(b.ExtendedGrants(b.now)).To(BeTrue())
		b.g.Expect(b.ExtendedGrants(b.now.Add(modelHoldMax))).To(BeFalse())
	})

	// Guards against a fence that two lives of one target get.
	t.Run("asks for new fences when the connection was lost", func(t *testing.T) {
		b := newBook(t, fulmarrange.New())
		b.Commit(owned)
		b.next(lifeA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		b.now = b.now.Add(modelTiming.RenewInterval)
		b.next(lifeA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", fulmarorder.ErrUnsent)
		b.now = b.now.Add(modelTiming.RenewInterval)
		b.idle(lifeA)
		b.g.Expect(b.NeedsNewFence(lifeA)).To(BeTrue())
		b.Commit(owned.WithRenewedFence(0, fulmarrange.MaxKey))
		o := b.next(lifeA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		b.g.Expect(o.RequireKnownConnection).To(BeFalse())
		b.g.Expect(o.Fence).To(BeEquivalentTo(2))
	})

	t.Run("extends grants at once when told to", func(t *testing.T) {
		b := newBook(t, fulmarrange.New())
		b.Commit(owned)
		b.next(lifeA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		b.SetGrantTTL(b.now, modelHoldMax)
		o := b.next(lifeA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		b.g.Expect(o.TTL).To(Equal(modelHoldMax))
	})

	t.Run("counts orders that fail in a row", func(t *testing.T) {
		b := newBook(t, fulmarrange.New())
		b.Commit(owned)
		for range 2 {
			b.next(lifeA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", fulmarorder.ErrUnsent)
			b.now = b.now.Add(modelTiming.RetryInterval)
		}
		b.g.Expect(b.FailureStreak(b.now, lifeA)).To(Equal(fulmarorder.FailureStreak{Elapsed: 2 * modelTiming.RetryInterval, Count: 2, LastUnsent: true}))
	})

	// Guards against keys that wander from target to target, because each is taken to be gone when it leaves two
	// orders unanswered.
	t.Run("tells a target that does not answer from one that cannot be reached", func(t *testing.T) {
		b := newBook(t, fulmarrange.New())
		b.Commit(owned)
		b.next(lifeA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", fulmarorder.ErrUnanswered)
		b.g.Expect(b.FailureStreak(b.now, lifeA)).To(Equal(fulmarorder.FailureStreak{Count: 1}))
	})
}
