package fulmarorder_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarorder"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// probe sends a probe to a target with a random outcome. A probe must not name a key that its target holds.
func (m *model) probe(id string) {
	t := m.targets[id]
	o, ok := m.scheduler.Probe(m.now, t.incarnation)
	if !ok {
		return
	}
	if o.From < modelKeys && t.keys[o.From].until.After(m.now) {
		m.t.Fatalf("probe of key %d, which %s holds", o.From, id)
	}
	entry := m.scheduler.BeginSend(o)
	err := error(nil)
	switch outcome := m.outcomes.Draw(m.t, "outcome"); {
	case t.cut || outcome == 0:
		err = fulmarorder.ErrUnsent
	case outcome == 1:
		m.advance(500 * time.Millisecond)
		err = fulmarorder.ErrUnanswered
	default:
		t.release(m.now, o)
	}
	m.scheduler.EndSend(m.now, o, entry, fulmarorder.Reply{Handover: "x", Certain: true}, err)
	m.check()
}

func TestProbe(t *testing.T) {
	owned := fulmarrange.New().WithOwner(0, 99, incarnationA).WithOwner(100, fulmarrange.MaxKey, incarnationB)

	t.Run("only of a target without keys", func(t *testing.T) {
		h := newHarness(t, owned)
		_, ok := h.Probe(h.now, incarnationA)
		h.g.Expect(ok).To(BeFalse())
	})
	// Guards against a probe that takes keys from its target: it may hold them under grants of before.
	t.Run("of keys that the target cannot hold", func(t *testing.T) {
		h := newHarness(t, fulmarrange.New())
		h.Commit(owned)
		h.grantDue(incarnationA, 0, 99)
		h.Commit(owned.WithOwner(0, 99, incarnationB))
		for range 10 {
			o, ok := h.Probe(h.now, incarnationA)
			h.g.Expect(ok).To(BeTrue())
			h.g.Expect(o.Kind).To(Equal(fulmarorder.Release))
			h.g.Expect(o.From).To(And(Equal(o.To), BeNumerically(">=", 100)))
		}
	})
	// Guards against a busy key that is not served for a renewal, as the target handles a probe late.
	t.Run("of no key with a range of its own", func(t *testing.T) {
		h := newHarness(t, fulmarrange.New())
		h.Commit(owned.WithOwner(50, 50, incarnationB).WithOwner(0, 49, incarnationB).WithOwner(51, 99, incarnationB))
		for range 10 {
			o, ok := h.Probe(h.now, incarnationA)
			h.g.Expect(ok && o.From != 50).To(BeTrue())
		}
	})
	// Guards against a probe whose answer counts as that of a release that is still due.
	t.Run("changes nothing", func(t *testing.T) {
		h := newHarness(t, fulmarrange.New())
		h.Commit(owned)
		h.grantDue(incarnationA, 0, 99)
		h.Commit(owned.WithOwner(0, 99, incarnationB))
		o, _ := h.Probe(h.now, incarnationA)
		h.g.Expect(h.EndSend(h.now, o, h.BeginSend(o), h.reply(o, "x"), nil)).To(BeFalse())
		h.expectOrder(incarnationA, fulmarorder.Release, 0, 99, "y", nil)
		h.expectOrder(incarnationB, fulmarorder.Grant, 0, 99, "", nil)
	})
	t.Run("not while other targets may hold keys that the table does not name", func(t *testing.T) {
		h := newHarness(t, fulmarrange.New().WithOwner(0, 99, incarnationB))
		h.Hold(h.now.Add(time.Second))
		_, ok := h.Probe(h.now, incarnationA)
		h.g.Expect(ok).To(BeFalse())
	})
}
