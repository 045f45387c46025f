package fulmarorder_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarorder"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// extendUncertainly sends a long grant of each range of incarnationA, whose answers may be copies or are lost, and then grants under
// new fences of the normal duration over a new connection. It returns the time at which the last of the long grants ends.
func (h *harness) extendUncertainly(result error, ranges ...[2]int) (end time.Time) {
	grantAll := func(err error) {
		for _, r := range ranges {
			h.expectOrder(incarnationA, fulmarorder.Grant, r[0], r[1], "", err)
		}
	}
	grantAll(nil)
	h.now = h.now.Add(modelTiming.RenewInterval)
	h.SetGrantTTL(h.now, modelMaxGrantTTL)
	grantAll(result)
	end = h.now.Add(modelMaxGrantTTL)
	h.SetGrantTTL(h.now, modelGrantTTL)
	if result == nil { // the connection is lost after them
		h.expectOrder(incarnationA, fulmarorder.Grant, ranges[0][0], ranges[0][1], "", fulmarorder.ErrUnanswered)
	}
	renewed := h.Table()
	for _, r := range ranges {
		renewed = renewed.WithRenewedFence(r[0], r[1])
	}
	h.Commit(renewed)
	h.now = h.now.Add(2 * modelTiming.RetryInterval)
	grantAll(nil)
	return end
}

// expectGrantAt expects that incarnationB gets the keys no sooner than the time given, and soon after it.
func (h *harness) expectGrantAt(at time.Time, from, to int) {
	h.now = at.Add(-time.Millisecond)
	h.expectNoOrder(incarnationB)
	h.now = at.Add(modelMaxGrantTTL / 20)
	h.expectOrder(incarnationB, fulmarorder.Grant, from, to, "", nil)
}

// Guards against keys that are granted to a second target while the first one holds them under a long grant: a later, shorter grant
// under a greater fence makes the target refuse the long one from then on, but does not end it if it was applied before.
func TestLongGrantOutlastsLaterOnes(t *testing.T) {
	for name, result := range map[string]error{"answer may be a copy": nil, "not answered": fulmarorder.ErrUnanswered} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, fulmarrange.New())
			h.Commit(fulmarrange.New().WithOwner(0, fulmarrange.MaxKey, incarnationA))
			end := h.extendUncertainly(result, [2]int{0, fulmarrange.MaxKey})
			h.g.Expect(h.LatestExpiry(h.now)).To(BeTemporally(">=", end), "the end that a later leader is told")
			h.Commit(h.Table().WithOwner(100, 200, incarnationB))
			h.expectOrder(incarnationA, fulmarorder.Release, 100, 200, "", fulmarorder.ErrUnanswered)
			h.expectGrantAt(end, 100, 200)
		})
	}

	// Only the first grant of a connection is certain; the other ones are once a release behind them is answered.
	t.Run("settled by a repeated release", func(t *testing.T) {
		h := newHarness(t, fulmarrange.New())
		h.Commit(fulmarrange.New().WithOwner(0, 99, incarnationA).WithOwner(100, 200, incarnationA))
		end := h.extendUncertainly(nil, [2]int{0, 99}, [2]int{100, 200})
		h.now = h.now.Add(modelTiming.RenewInterval)
		for _, r := range [][2]int{{0, 99}, {100, 200}} {
			h.expectOrder(incarnationA, fulmarorder.Grant, r[0], r[1], "", nil)
		}
		other := fulmarrange.Incarnation{ID: "c", Born: 1}
		h.Commit(h.Table().WithOwner(0, 49, other))
		h.expectOrder(incarnationA, fulmarorder.Release, 0, 49, "", nil)
		h.expectOrder(incarnationA, fulmarorder.Release, 0, 49, "", nil)
		h.expectOrder(other, fulmarorder.Grant, 0, 49, "", nil)
		h.Commit(h.Table().WithOwner(150, 160, incarnationB))
		h.expectOrder(incarnationA, fulmarorder.Release, 150, 160, "", fulmarorder.ErrUnanswered)
		h.expectGrantAt(end, 150, 160)
	})

	t.Run("ended by a release", func(t *testing.T) {
		h := newHarness(t, fulmarrange.New())
		h.Commit(fulmarrange.New().WithOwner(0, fulmarrange.MaxKey, incarnationA))
		h.extendUncertainly(fulmarorder.ErrUnanswered, [2]int{0, fulmarrange.MaxKey})
		h.Commit(h.Table().WithOwner(100, 200, incarnationB))
		h.expectOrder(incarnationA, fulmarorder.Release, 100, 200, "", nil)
		h.expectOrder(incarnationB, fulmarorder.Grant, 100, 200, "", nil)
	})
}
