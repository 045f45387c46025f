package fulmarforwarder

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarbalancer"
)

// Guards against reports of four figures that are dropped, and against damaged ones that count as load.
func TestParseLoad(t *testing.T) {
	for _, c := range []struct {
		name, text string
		load       fulmarbalancer.Load
		malformed  bool
	}{
		{"three figures", "1,2,3", fulmarbalancer.Load{Running: 1, Waiting: 2, Slots: 3}, false},
		{"with the pace", "1,0,3,300", fulmarbalancer.Load{Running: 1, Slots: 3, Slowdown: 3}, false},
		{"spaces", " 1, 0, 3, 70", fulmarbalancer.Load{Running: 1, Slots: 3, Slowdown: 0.7}, false},
		{"figures of a later version", "1,2,3,100,x", fulmarbalancer.Load{Running: 1, Waiting: 2, Slots: 3, Slowdown: 1}, false},
		{"two figures", "1,2", fulmarbalancer.Load{}, true},
		{"a word", "1,2,many", fulmarbalancer.Load{}, true},
		{"negative", "1,-2,3", fulmarbalancer.Load{}, true},
		{"beyond 64 bits", "1,2,99999999999999999999", fulmarbalancer.Load{}, true},
		{"pace of zero", "1,2,3,0", fulmarbalancer.Load{}, true},
		{"pace that is no number", "1,2,3,NaN", fulmarbalancer.Load{}, true},
		{"infinite pace", "1,2,3,1e400", fulmarbalancer.Load{}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			load, err := parseLoad(c.text)
			if c.malformed {
				g.Expect(err).To(HaveOccurred())
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(load).To(Equal(c.load))
		})
	}
}
