package fulmarorder_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarorder"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// Guards against a flood of orders to targets that were lost together: each range of each of them was tried again every 0.1 s.
func TestUnreachableTarget(t *testing.T) {
	h := newHarness(t, fulmarrange.New())
	owned := fulmarrange.New().WithOwner(0, fulmarrange.MaxKey, incarnationA)
	h.Commit(owned)
	h.expectOrder(incarnationA, fulmarorder.Grant, 0, fulmarrange.MaxKey, "", nil)
	table := owned
	for from := 0; from < 400; from += 100 {
		table = table.WithOwner(from, from+50, incarnationB)
	}
	h.Commit(table)
	sent := 0
	for end := h.now.Add(4 * time.Second); h.now.Before(end); h.now = h.now.Add(modelTiming.RetryInterval / 10) {
		if o, _, ok := h.Next(h.now, incarnationA); ok {
			h.EndSend(h.now, o, h.BeginSend(o), fulmarorder.Reply{}, fulmarorder.ErrUnsent)
			sent++
		}
	}
	h.g.Expect(sent).To(BeNumerically("<=", 4+4*2), "three attempts in the first 0.7 s, one every 0.8 s after that, and some more")
	h.now = h.now.Add(time.Second)
	release, _, ok := h.Next(h.now, incarnationA)
	h.g.Expect(ok).To(BeTrue())
	h.BeginSend(release)
	other, _, ok := h.Next(h.now, incarnationA)
	h.g.Expect(ok && other.Kind == fulmarorder.Release).To(BeFalse(), "a second release beside one in flight")
	h.EndSend(h.now, release, 0, h.reply(release, ""), nil)
	h.expectOrder(incarnationA, fulmarorder.Release, 100, 150, "", nil)
}
