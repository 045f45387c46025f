package fulmarreserve_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarreserve"
)

// Guards against more bytes than the budget, or than the part of one holder, and against counts that do not return to zero.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total = 1000
		b := fulmarreserve.New(total)
		held := map[string]int64{}
		sum := int64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			holder := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "holder"))
			n := rapid.Int64Range(0, 300).Draw(t, "bytes")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				if b.Reserve(holder, n) {
					held[holder], sum = held[holder]+n, sum+n
				}
			case 1:
				if b.ReserveOptional(holder, n) {
					held[holder], sum = held[holder]+n, sum+n
					if sum > total/2 || held[holder] > total/4 {
						t.Fatalf("%d bytes, %d of %s, after an optional reservation", sum, held[holder], holder)
					}
				}
			default:
				n = min(n, held[holder])
				b.Release(holder, n)
				held[holder], sum = held[holder]-n, sum-n
			}
			if sum > total || held[holder] > total/2 || b.Used() != sum {
				t.Fatalf("%d bytes in all, %d of %s, %d counted", sum, held[holder], holder, b.Used())
			}
		}
		for holder, n := range held {
			b.Release(holder, n)
		}
		if b.Used() != 0 {
			t.Fatalf("%d bytes are left", b.Used())
		}
	})
}

// Guards against bytes that need not be held, or that nobody has reserved, whose holder is refused what it must have.
func TestOptionalLeavesRoom(t *testing.T) {
	g := NewWithT(t)
	b := fulmarreserve.New(1000)
	for b.ReserveOptional("a", 10) {
	}
	g.Expect(b.Reserve("a", 250)).To(BeTrue())
	b.Release("a", 250)
	b.Add(200)
	g.Expect(b.Reserve("a", 250)).To(BeTrue())
	b.Add(-200)
	g.Expect(b.Used()).To(BeEquivalentTo(500))
}

func TestUnbounded(t *testing.T) {
	g := NewWithT(t)
	b := fulmarreserve.New(0)
	g.Expect(b.Reserve("a", 1<<40)).To(BeTrue())
	g.Expect(b.ReserveOptional("a", 1)).To(BeFalse(), "what need not be held has no bound")
	g.Expect(b.HasRoom(1 << 40)).To(BeTrue())
}
