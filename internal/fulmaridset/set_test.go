package fulmaridset_test

import (
	"strconv"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmaridset"
)

// filled returns a set with the given limit that holds the ids 0 to n-1.
func filled(limit, n int) *fulmaridset.Set {
	s := fulmaridset.New(limit)
	for i := range n {
		s.Add(strconv.Itoa(i))
	}
	return s
}

// Guards against an id that is forgotten, also when the table grows or its limit is passed.
func TestContains(t *testing.T) {
	for _, n := range []int{0, 1, 8, 9, 1024, 5000} {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			g := NewWithT(t)
			s := filled(1024, n)
			for i := range n {
				g.Expect(s.Contains(strconv.Itoa(i))).To(BeTrue(), "id %d", i)
			}
			g.Expect(s.Contains(strconv.Itoa(n))).To(BeFalse())
			g.Expect(s.Contains("")).To(BeFalse())
		})
	}
}

// Guards against a set that reports too late that it is full, or counts an id twice.
func TestFull(t *testing.T) {
	g := NewWithT(t)
	s := filled(3, 2)
	s.Add("1")
	g.Expect(s.Full()).To(BeFalse())
	s.Add("2")
	g.Expect(s.Full()).To(BeTrue())
}

// Reports the bytes and the time for each connection that has carried as many requests as its memory holds.
func BenchmarkFill(b *testing.B) {
	ids := make([]string, 1024)
	for i := range ids {
		ids[i] = strconv.Itoa(i)
	}
	b.ReportAllocs()
	for b.Loop() {
		s := fulmaridset.New(len(ids))
		for _, id := range ids {
			s.Add(id)
		}
	}
}
