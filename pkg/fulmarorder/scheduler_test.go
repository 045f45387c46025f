package fulmarorder_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarledger"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarorder"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

var (
	incarnationA = fulmarrange.Incarnation{ID: "a", Born: 1}
	incarnationB = fulmarrange.Incarnation{ID: "b", Born: 1}
)

// harness is a scheduler with a manual clock, to whose orders the test gives the answers.
type harness struct {
	*fulmarorder.Scheduler
	g           *WithT
	now         time.Time
	connections int64 // opened for grants
	closing     bool  // answers announce the close of their connection
}

func newHarness(t *testing.T, table fulmarrange.Table) *harness {
	now := time.Unix(1000, 0)
	return &harness{Scheduler: fulmarorder.New(now, table, modelTiming), g: NewWithT(t), now: now}
}

// expectOrder expects an order of the given kind and keys to be due, and sends it with the given result.
func (h *harness) expectOrder(target fulmarrange.Incarnation, kind fulmarorder.Kind, from, to int, handover string, err error) fulmarorder.Order {
	o, _, ok := h.Next(h.now, target)
	h.g.ExpectWithOffset(1, ok).To(BeTrue(), "no order is due")
	h.g.ExpectWithOffset(1, []any{o.Kind, o.From, o.To}).To(Equal([]any{kind, from, to}))
	h.EndSend(h.now, o, h.BeginSend(o), h.reply(o, handover), err)
	return o
}

// reply returns the reply to an order that is sent over a known connection or a new one.
func (h *harness) reply(o fulmarorder.Order, handover string) fulmarorder.Reply {
	if o.Kind == fulmarorder.Grant && !o.RequireKnownConnection {
		h.connections++
	}
	return fulmarorder.Reply{Handover: handover, Connection: h.connections, Certain: !o.RequireKnownConnection || o.Kind == fulmarorder.Release, Closing: h.closing}
}

// beginRelease expects a release to be due and sends it, without its answer.
func (h *harness) beginRelease(target fulmarrange.Incarnation) (fulmarorder.Order, fulmarledger.OrderID) {
	o, _, ok := h.Next(h.now, target)
	h.g.ExpectWithOffset(1, ok && o.Kind == fulmarorder.Release).To(BeTrue(), "no release is due")
	return o, h.BeginSend(o)
}

// grantDue sends the grants that are due to a target, and expects one of the given keys among them.
func (h *harness) grantDue(target fulmarrange.Incarnation, from, to int) {
	found := false
	for o, _, ok := h.Next(h.now, target); ok; o, _, ok = h.Next(h.now, target) {
		found = found || o.From == from && o.To == to
		h.EndSend(h.now, o, h.BeginSend(o), h.reply(o, ""), nil)
	}
	h.g.ExpectWithOffset(1, found).To(BeTrue(), "the keys are not granted")
}

// expectNoOrder expects that no order is due for the target.
func (h *harness) expectNoOrder(target fulmarrange.Incarnation) {
	_, _, ok := h.Next(h.now, target)
	h.g.ExpectWithOffset(1, ok).To(BeFalse(), "an order is due")
}

// holds reports whether the owner of the key holds it.
func (h *harness) holds(key int) bool { return h.OwnerHolds(h.now, h.Table().Find(key)) }

func TestScheduler(t *testing.T) {
	owned := fulmarrange.New().WithOwner(0, fulmarrange.MaxKey, incarnationA)

	// Guards against a move that waits until the old grant expires: if the status of the grant is used for
	// the release, the release is never sent.
	t.Run("releases keys before their new owner is granted them", func(t *testing.T) {
		h := newHarness(t, fulmarrange.New())
		h.Commit(owned)
		h.expectOrder(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		h.Commit(owned.WithOwner(100, 200, incarnationB))
		h.expectNoOrder(incarnationB)
		h.g.Expect(h.holds(150)).To(BeFalse())
		h.expectOrder(incarnationA, fulmarorder.Release, 100, 200, "token", nil)
		o := h.expectOrder(incarnationB, fulmarorder.Grant, 100, 200, "", nil)
		h.g.Expect(o.Handover).To(Equal("token"))
		h.g.Expect(h.holds(150)).To(BeTrue())
		h.g.Expect(h.holds(99)).To(BeTrue())
		h.g.Expect(h.SegmentsWithObsoletePrior()).To(HaveLen(1))
	})

	// Guards against a second owner of the keys: the answer to the renewal may be the copy of an earlier one, so the target may
	// apply the renewal after the release, which it gets on another connection.
	t.Run("waits for a renewal whose answer may be a copy", func(t *testing.T) {
		h := newHarness(t, fulmarrange.New())
		h.Commit(owned)
		h.expectOrder(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		h.now = h.now.Add(modelTiming.RenewInterval)
		h.expectOrder(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		h.Commit(owned.WithOwner(100, 200, incarnationB))
		h.expectOrder(incarnationA, fulmarorder.Release, 100, 200, "token", nil)
		h.expectNoOrder(incarnationB)
		repeated := h.expectOrder(incarnationA, fulmarorder.Release, 100, 200, "later", nil)
		h.g.Expect([]bool{repeated.AfterGrants, repeated.RequireKnownConnection}).To(Equal([]bool{true, true}))
		o := h.expectOrder(incarnationB, fulmarorder.Grant, 100, 200, "", nil)
		h.g.Expect(o.Handover).To(Equal("later"), "the data of the last release hold")
	})

	// Guards against keys of leaving targets that nobody serves for two seconds: such targets close each connection behind its answer,
	// so that no release can follow the grants.
	t.Run("waits for no renewal on a connection that the target has closed", func(t *testing.T) {
		h := newHarness(t, fulmarrange.New())
		h.Commit(owned)
		h.expectOrder(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		h.now = h.now.Add(modelTiming.RenewInterval)
		h.closing = true
		h.expectOrder(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		h.Commit(owned.WithOwner(100, 200, incarnationB))
		h.expectOrder(incarnationA, fulmarorder.Release, 100, 200, "token", nil)
		h.expectOrder(incarnationB, fulmarorder.Grant, 100, 200, "", nil)
	})

	// Guards against a second owner of the keys: the answer that announces the close may be that of an earlier grant, and then the
	// target has not handled this one, which would have made it refuse the unanswered one.
	t.Run("keeps unanswered grants behind an announced close", func(t *testing.T) {
		h := newHarness(t, owned)
		renewed := owned.WithRenewedFence(0, fulmarrange.MaxKey)
		h.Commit(renewed)
		o, _, ok := h.Next(h.now, incarnationA)
		h.g.Expect(ok).To(BeTrue())
		h.EndSend(h.now, o, h.BeginSend(o), fulmarorder.Reply{Connection: 1, Closing: true}, nil)
		h.Commit(renewed.WithOwner(0, fulmarrange.MaxKey, incarnationB))
		h.expectOrder(incarnationA, fulmarorder.Release, 0, fulmarrange.MaxKey, "", nil)
		h.expectNoOrder(incarnationB)
	})

	// Guards against a second owner of the keys: the last answers of two connections may be copies of earlier ones, so that the grant of
	// the first connection is under way, and the one of the second, which would have made the target refuse it, was not handled.
	t.Run("keeps grants under way behind an announced close", func(t *testing.T) {
		h := newHarness(t, fulmarrange.New())
		two := fulmarrange.New().WithOwner(0, 99, incarnationA).WithOwner(100, 200, incarnationA)
		h.Commit(two)
		for _, r := range [][2]int{{0, 99}, {100, 200}} {
			h.expectOrder(incarnationA, fulmarorder.Grant, r[0], r[1], "", nil)
		}
		underWay := h.now.Add(modelGrantTTL)
		h.now = h.now.Add(modelTiming.RenewInterval)
		h.expectOrder(incarnationA, fulmarorder.Grant, 0, 99, "", fulmarorder.ErrUnanswered)
		h.Commit(two.WithRenewedFence(0, 99).WithRenewedFence(100, 200))
		h.now = h.now.Add(2 * modelTiming.RetryInterval)
		h.expectOrder(incarnationA, fulmarorder.Grant, 0, 99, "", nil)
		h.closing = true
		h.expectOrder(incarnationA, fulmarorder.Grant, 100, 200, "", nil)
		h.Commit(h.Table().WithOwner(100, 200, incarnationB))
		h.expectOrder(incarnationA, fulmarorder.Release, 100, 200, "", nil)
		h.expectNoOrder(incarnationB)
		h.now = underWay
		h.expectNoOrder(incarnationB)
		h.now = underWay.Add(modelGrantTTL / 20)
		h.expectOrder(incarnationB, fulmarorder.Grant, 100, 200, "", nil)
	})

	// Guards against a second owner of the keys: a target answers a release when its work on the keys has ended, and may have been granted
	// them again by then.
	t.Run("keeps grants that follow a release which is answered late", func(t *testing.T) {
		h := newHarness(t, fulmarrange.New())
		one := fulmarrange.New().WithOwner(100, 200, incarnationA)
		h.Commit(one)
		h.expectOrder(incarnationA, fulmarorder.Grant, 100, 200, "", nil)
		away := one.WithOwner(100, 200, incarnationB)
		h.Commit(away)
		release, entry := h.beginRelease(incarnationA)
		h.now = h.now.Add(modelGrantTTL * 11 / 10) // the former grant has lapsed
		again := away.WithOwner(100, 200, incarnationA)
		h.Commit(again)
		h.expectOrder(incarnationA, fulmarorder.Grant, 100, 200, "", fulmarorder.ErrUnsent) // the connection is lost
		h.Commit(again.WithRenewedFence(100, 200))
		h.now = h.now.Add(2 * modelTiming.RetryInterval)
		h.expectOrder(incarnationA, fulmarorder.Grant, 100, 200, "", nil)
		h.EndSend(h.now, release, entry, h.reply(release, "token"), nil)
		h.expectNoOrder(incarnationA)
		next := fulmarrange.Incarnation{ID: "c", Born: 1}
		h.Commit(h.Table().WithOwner(100, 200, next))
		h.expectOrder(incarnationA, fulmarorder.Release, 100, 200, "", fulmarorder.ErrUnanswered)
		h.expectNoOrder(next)
		h.now = h.now.Add(modelGrantTTL * 11 / 10)
		h.expectOrder(next, fulmarorder.Grant, 100, 200, "", nil)
	})

	// Guards against a second owner of the keys: the grant under way may be applied between the release and the last answer of its
	// connection, which shows that it is not under way any more.
	t.Run("repeats a release during which a grant was settled", func(t *testing.T) {
		h := newHarness(t, fulmarrange.New())
		h.Commit(owned)
		for range 2 {
			h.expectOrder(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
			h.now = h.now.Add(modelTiming.RenewInterval)
		}
		h.Commit(owned.WithOwner(100, 200, incarnationB))
		release, entry := h.beginRelease(incarnationA)
		h.closing = true
		h.grantDue(incarnationA, 0, 99)
		h.closing = false
		h.EndSend(h.now, release, entry, h.reply(release, "token"), nil)
		h.expectNoOrder(incarnationB)
		repeated := h.expectOrder(incarnationA, fulmarorder.Release, 100, 200, "later", nil)
		h.g.Expect([]bool{repeated.AfterGrants, repeated.RequireKnownConnection}).To(Equal([]bool{false, false}))
		o := h.expectOrder(incarnationB, fulmarorder.Grant, 100, 200, "", nil)
		h.g.Expect(o.Handover).To(Equal("later"), "the data of the last release hold")
	})

	// The target has handled all grants of the connection, but may have applied one to keys that it had released before.
	t.Run("repeats the release of each range", func(t *testing.T) {
		h := newHarness(t, fulmarrange.New())
		h.Commit(owned)
		for range 2 {
			h.expectOrder(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
			h.now = h.now.Add(modelTiming.RenewInterval)
		}
		h.Commit(owned.WithOwner(100, 200, incarnationB).WithOwner(500, 600, incarnationB))
		for _, after := range []bool{false, true} {
			h.expectNoOrder(incarnationB)
			first := h.expectOrder(incarnationA, fulmarorder.Release, 100, 200, "", nil)
			if after {
				h.expectOrder(incarnationB, fulmarorder.Grant, 100, 200, "", nil)
			}
			h.expectNoOrder(incarnationB)
			second := h.expectOrder(incarnationA, fulmarorder.Release, 500, 600, "", nil)
			h.g.Expect([]bool{first.AfterGrants, second.AfterGrants}).To(Equal([]bool{after, after}))
		}
		h.expectOrder(incarnationB, fulmarorder.Grant, 500, 600, "", nil)
	})

	// Guards against keys that are granted to another target although nothing shows that a renewal has been handled.
	t.Run("waits until a renewal has expired whose connection is lost", func(t *testing.T) {
		h := newHarness(t, fulmarrange.New())
		h.Commit(owned)
		for range 2 {
			h.expectOrder(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
			h.now = h.now.Add(modelTiming.RenewInterval)
		}
		h.Commit(owned.WithOwner(0, fulmarrange.MaxKey, incarnationB))
		h.expectOrder(incarnationA, fulmarorder.Release, 0, fulmarrange.MaxKey, "", nil)
		h.expectOrder(incarnationA, fulmarorder.Release, 0, fulmarrange.MaxKey, "", fulmarorder.ErrUnsent)
		h.expectNoOrder(incarnationA)
		h.now = h.now.Add(modelGrantTTL - modelTiming.RenewInterval)
		h.expectNoOrder(incarnationB)
		h.now = h.now.Add(modelGrantTTL/20 + 100*time.Millisecond)
		h.expectOrder(incarnationB, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
	})

	// Guards against keys that wait 10 s after a change of leader: each target's first grant is certain, those of its other ranges
	// are not.
	t.Run("drops grants of a former leader once a repeated release is answered", func(t *testing.T) {
		two := fulmarrange.New().WithOwner(0, 99, incarnationA).WithOwner(100, 200, incarnationA).WithRenewedFence(100, 200)
		h := newHarness(t, two)
		h.g.Expect(h.HasUnansweredGrant(h.now, incarnationA)).To(BeTrue())
		two = two.WithRenewedFence(0, 99).WithRenewedFence(100, 200)
		h.Commit(two)
		h.expectOrder(incarnationA, fulmarorder.Grant, 0, 99, "", nil)
		h.g.Expect(h.HasUnansweredGrant(h.now, incarnationA)).To(BeTrue())
		h.expectOrder(incarnationA, fulmarorder.Grant, 100, 200, "", nil)
		h.g.Expect(h.HasUnansweredGrant(h.now, incarnationA)).To(BeFalse())
		h.Commit(two.WithOwner(100, 200, incarnationB))
		h.expectOrder(incarnationA, fulmarorder.Release, 100, 200, "", nil)
		h.expectNoOrder(incarnationB)
		h.expectOrder(incarnationA, fulmarorder.Release, 100, 200, "", nil)
		h.expectOrder(incarnationB, fulmarorder.Grant, 100, 200, "", nil)
	})

	// Guards against a refusal that was taken for an earlier grant's success: the target holds the keys under an older grant.
	t.Run("keeps unanswered grants until a later one is certain", func(t *testing.T) {
		h := newHarness(t, owned)
		renewed := owned.WithRenewedFence(0, fulmarrange.MaxKey)
		h.Commit(renewed)
		o, _, ok := h.Next(h.now, incarnationA)
		h.g.Expect(ok).To(BeTrue())
		h.EndSend(h.now, o, h.BeginSend(o), fulmarorder.Reply{Connection: 1}, nil)
		h.Commit(renewed.WithOwner(0, fulmarrange.MaxKey, incarnationB))
		h.expectOrder(incarnationA, fulmarorder.Release, 0, fulmarrange.MaxKey, "", nil)
		h.expectOrder(incarnationA, fulmarorder.Release, 0, fulmarrange.MaxKey, "", fulmarorder.ErrUnanswered)
		h.now = h.now.Add(modelMaxGrantTTL)
		h.expectNoOrder(incarnationB)
	})

	// Guards against a stored table that does not record an extended grant whose answer may have been a copy.
	t.Run("reports extended grants that are not certain", func(t *testing.T) {
		h := newHarness(t, fulmarrange.New())
		h.Commit(owned)
		h.SetGrantTTL(h.now, modelMaxGrantTTL)
		h.expectOrder(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		h.g.Expect(h.ExtendedGrants(h.now)).To(BeFalse())
		h.now = h.now.Add(modelTiming.RenewInterval)
		h.expectOrder(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		h.g.Expect(h.ExtendedGrants(h.now)).To(BeTrue())
	})

	t.Run("renews grants over the same connection", func(t *testing.T) {
		h := newHarness(t, fulmarrange.New())
		h.Commit(owned)
		first := h.expectOrder(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		h.expectNoOrder(incarnationA)
		h.now = h.now.Add(modelTiming.RenewInterval)
		second := h.expectOrder(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		h.g.Expect([]bool{first.RequireKnownConnection, second.RequireKnownConnection}).To(Equal([]bool{false, true}))
		h.g.Expect(second.Fence).To(Equal(first.Fence))
	})

	// Guards against renewals of thousands of ranges that all fall due together, and against grants that lapse before them.
	t.Run("spreads slow renewals", func(t *testing.T) {
		const renew, ranges = 2 * time.Second, 64
		h := newHarness(t, fulmarrange.New())
		h.SetPace(renew, 5*time.Second)
		table := fulmarrange.New()
		for i := range ranges {
			table = table.WithOwner(i*1024, i*1024+1023, fulmarrange.Incarnation{ID: fmt.Sprint("t", i), Born: 1})
		}
		h.Commit(table)
		var perTenth [31]int
		for tenth := range perTenth {
			for i := range ranges {
				target := fulmarrange.Incarnation{ID: fmt.Sprint("t", i), Born: 1}
				for o, _, ok := h.Next(h.now, target); ok; o, _, ok = h.Next(h.now, target) {
					h.g.Expect(o.TTL).To(Equal(5 * time.Second))
					h.EndSend(h.now, o, h.BeginSend(o), h.reply(o, ""), nil)
					perTenth[tenth]++
				}
			}
			h.now = h.now.Add(renew / 10)
		}
		h.g.Expect(perTenth[0]).To(Equal(ranges))
		total := 0
		for _, n := range perTenth[1:11] {
			total += n
			h.g.Expect(n).To(BeNumerically("<=", ranges/5), "renewals in a tenth of the interval: %v", perTenth)
		}
		h.g.Expect(total).To(BeNumerically(">=", ranges), "each grant is renewed within the interval")
	})

	// Guards against waiting for a grant to expire although its target has certainly ended.
	t.Run("reassigns keys of an ended target at once", func(t *testing.T) {
		h := newHarness(t, fulmarrange.New())
		h.Commit(owned)
		h.expectOrder(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		h.Commit(owned.WithOwner(100, 200, incarnationB).WithOwner(500, 600, incarnationB))
		h.expectNoOrder(incarnationB)
		h.expectOrder(incarnationA, fulmarorder.Release, 100, 200, "", fulmarorder.ErrTargetEnded)
		h.expectOrder(incarnationB, fulmarorder.Grant, 100, 200, "", nil)
		h.expectOrder(incarnationB, fulmarorder.Grant, 500, 600, "", nil)
		h.expectOrder(incarnationA, fulmarorder.Release, 500, 600, "", fulmarorder.ErrTargetEnded)
		h.g.Expect(h.holds(150)).To(BeTrue())
	})

	// Guards against dropping a grant in flight when its target appears to have ended.
	t.Run("waits for a grant in flight to a target that has ended", func(t *testing.T) {
		h := newHarness(t, fulmarrange.New())
		h.Commit(owned)
		o, _, ok := h.Next(h.now, incarnationA)
		h.g.Expect(ok).To(BeTrue())
		grant := h.BeginSend(o)
		h.Commit(owned.WithOwner(100, 200, incarnationB))
		h.expectOrder(incarnationA, fulmarorder.Release, 100, 200, "", fulmarorder.ErrTargetEnded)
		h.expectNoOrder(incarnationB)
		h.EndSend(h.now, o, grant, fulmarorder.Reply{}, fulmarorder.ErrUnanswered)
		h.expectNoOrder(incarnationB)
		h.now = h.now.Add(2 * modelTiming.GrantTTL)
		h.expectOrder(incarnationB, fulmarorder.Grant, 100, 200, "", nil)
	})

	// Guards against granting keys of an unresponsive target to another one while the first may still hold them.
	t.Run("waits until the grant of an unresponsive target has expired", func(t *testing.T) {
		h := newHarness(t, fulmarrange.New())
		h.Commit(owned)
		h.expectOrder(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		h.Commit(owned.WithOwner(0, fulmarrange.MaxKey, incarnationB))
		h.expectOrder(incarnationA, fulmarorder.Release, 0, fulmarrange.MaxKey, "", fulmarorder.ErrUnanswered)
		h.now = h.now.Add(modelGrantTTL)
		h.expectNoOrder(incarnationB)
		h.now = h.now.Add(modelGrantTTL/20 + 100*time.Millisecond)
		h.expectOrder(incarnationB, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
	})

	// Guards against unanswered grants of a former leader that are applied after the release.
	t.Run("waits for unanswered grants of a former leader to a prior owner", func(t *testing.T) {
		h := newHarness(t, owned.WithOwner(0, fulmarrange.MaxKey, incarnationB))
		h.Commit(owned.WithOwner(0, fulmarrange.MaxKey, incarnationB).WithRenewedFence(0, fulmarrange.MaxKey))
		h.expectOrder(incarnationA, fulmarorder.Release, 0, fulmarrange.MaxKey, "", nil)
		h.expectNoOrder(incarnationB)
		h.now = h.now.Add(modelGrantTTL)
		h.expectNoOrder(incarnationB)
		h.now = h.now.Add(modelGrantTTL / 20)
		h.expectOrder(incarnationB, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
	})

	// Guards against two holders of a key: a partitioned leader extends a grant, which the target applies after
	// it has released the keys to the next leader.
	t.Run("waits for extended grants of a former leader to an owner that has answered none since", func(t *testing.T) {
		h := newHarness(t, owned)
		h.Commit(owned.WithOwner(0, fulmarrange.MaxKey, incarnationB))
		h.expectOrder(incarnationA, fulmarorder.Release, 0, fulmarrange.MaxKey, "", nil)
		h.now = h.now.Add(modelMaxGrantTTL)
		h.expectNoOrder(incarnationB)
		h.now = h.now.Add(modelMaxGrantTTL / 20)
		h.expectOrder(incarnationB, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
	})

	t.Run("waits for extended grants to prior owners if the table records them", func(t *testing.T) {
		moved := owned.WithOwner(0, fulmarrange.MaxKey, incarnationB).WithExtendedGrants(true)
		h := newHarness(t, moved)
		h.Commit(moved.WithRenewedFence(0, fulmarrange.MaxKey))
		h.expectOrder(incarnationA, fulmarorder.Release, 0, fulmarrange.MaxKey, "", nil)
		h.now = h.now.Add(modelMaxGrantTTL)
		h.expectNoOrder(incarnationB)
	})

	// Guards against keys of a lost target that wait 10 s although the former leader reported that its grants
	// expire sooner.
	t.Run("uses the expiry of grants reported by the former leader", func(t *testing.T) {
		now := time.Unix(1000, 0)
		former := newHarness(t, fulmarrange.New())
		former.Commit(owned)
		former.expectOrder(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		latest := former.LatestExpiry(now)
		h := &harness{Scheduler: fulmarorder.New(now.Add(time.Second), owned, modelTiming), g: former.g, now: now.Add(time.Second)}
		h.LimitInherited(latest)
		h.Commit(owned.WithOwner(0, fulmarrange.MaxKey, incarnationB))
		h.expectNoOrder(incarnationB)
		h.now = latest
		h.expectOrder(incarnationB, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		h.g.Expect(latest.Sub(now)).To(BeNumerically("<", modelGrantTTL*11/10))
	})

	// Guards against waiting for grants that their owner would refuse because it has answered a later one.
	t.Run("drops unanswered grants when a later one is answered", func(t *testing.T) {
		h := newHarness(t, owned)
		h.g.Expect(h.HasUnansweredGrant(h.now, incarnationA)).To(BeTrue())
		renewed := owned.WithRenewedFence(0, fulmarrange.MaxKey)
		h.Commit(renewed)
		h.expectOrder(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		h.g.Expect(h.HasUnansweredGrant(h.now, incarnationA)).To(BeFalse())
		h.Commit(renewed.WithOwner(100, 200, incarnationB))
		h.expectOrder(incarnationA, fulmarorder.Release, 100, 200, "", nil)
		h.expectOrder(incarnationB, fulmarorder.Grant, 100, 200, "", nil)
	})

	// Guards against a stored table that does not record an extended grant because it was being written when
	// grants were extended.
	t.Run("does not extend grants of keys that a pending table reassigns", func(t *testing.T) {
		h := newHarness(t, fulmarrange.New())
		h.Commit(owned)
		h.SetPendingTable(owned.WithOwner(100, 200, incarnationB))
		h.SetGrantTTL(h.now, modelMaxGrantTTL)
		o := h.expectOrder(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", fulmarorder.ErrUnanswered)
		h.g.Expect(o.TTL).To(Equal(modelGrantTTL))
		h.g.Expect(h.ExtendedGrants(h.now)).To(BeFalse())
	})

	t.Run("reports extended grants that were not answered", func(t *testing.T) {
		h := newHarness(t, fulmarrange.New())
		h.Commit(owned)
		h.SetGrantTTL(h.now, modelMaxGrantTTL)
		h.expectOrder(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", fulmarorder.ErrUnanswered)
		h.g.Expect(h.ExtendedGrants(h.now)).To(BeTrue())
		h.g.Expect(h.ExtendedGrants(h.now.Add(modelMaxGrantTTL))).To(BeFalse())
	})

	// Guards against granting the same fence to two incarnations of one target.
	t.Run("needs new fences after the connection was lost", func(t *testing.T) {
		h := newHarness(t, fulmarrange.New())
		h.Commit(owned)
		h.expectOrder(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		h.now = h.now.Add(modelTiming.RenewInterval)
		h.expectOrder(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", fulmarorder.ErrUnsent)
		h.now = h.now.Add(modelTiming.RenewInterval)
		h.expectNoOrder(incarnationA)
		h.g.Expect(h.NeedsNewFence(incarnationA)).To(BeTrue())
		h.Commit(owned.WithRenewedFence(0, fulmarrange.MaxKey))
		o := h.expectOrder(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		h.g.Expect(o.RequireKnownConnection).To(BeFalse())
		h.g.Expect(o.Fence).To(BeEquivalentTo(2))
	})

	t.Run("makes grants due at once when their duration changes", func(t *testing.T) {
		h := newHarness(t, fulmarrange.New())
		h.Commit(owned)
		h.expectOrder(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		h.SetGrantTTL(h.now, modelMaxGrantTTL)
		o := h.expectOrder(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
		h.g.Expect(o.TTL).To(Equal(modelMaxGrantTTL))
	})
}
