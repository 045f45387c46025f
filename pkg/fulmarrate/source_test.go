package fulmarrate_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrate"
)

// Guards against a source that hides a lower rate of another one.
func TestLeast(t *testing.T) {
	hot, cold := fulmarrate.Table{"x": 9, "y": 2}, fulmarrate.Table{"x": 5, "z": 0}
	for _, c := range []struct {
		target  string
		rate    float64
		limited bool
	}{{"x", 5, true}, {"y", 2, true}, {"z", 0, true}, {"w", 0, false}} {
		t.Run(c.target, func(t *testing.T) {
			g := NewWithT(t)
			for _, l := range []fulmarrate.Least{{hot, cold}, {cold, hot}} {
				rate, limited := l.Rate(c.target)
				g.Expect(limited).To(Equal(c.limited))
				g.Expect(rate).To(Equal(c.rate))
			}
		})
	}
}
