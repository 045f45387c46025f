package fulmarcost

import (
	"math"
	"time"
)

const (
	buckets   = 256 // from a microsecond to over an hour
	perOctave = 8
	horizon   = 4096 // total at which the counts are halved
)

// histogram counts times on a logarithmic scale and tracks their median.
type histogram struct {
	counts [buckets]uint32
	total  uint32
	below  uint32 // counts of the buckets before middle
	middle int    // bucket of the median
}

func bucket(t time.Duration) int {
	b := perOctave * math.Log2(max(float64(t)/float64(time.Microsecond), 1))
	return min(int(b), buckets-1)
}

func (h *histogram) add(t time.Duration) {
	if h.total >= horizon {
		h.halve()
	}
	b := bucket(t)
	h.counts[b]++
	h.total++
	if b < h.middle {
		h.below++
	}
	h.settle()
}

// settle moves middle to the bucket that holds the median.
func (h *histogram) settle() {
	for h.below > (h.total-1)/2 {
		h.middle--
		h.below -= h.counts[h.middle]
	}
	for h.below+h.counts[h.middle] <= (h.total-1)/2 {
		h.below += h.counts[h.middle]
		h.middle++
	}
}

func (h *histogram) halve() {
	h.total, h.below = 0, 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
		if i < h.middle {
			h.below += h.counts[i]
		}
	}
}

// median returns the middle of the median's bucket, or 0 without observations.
func (h *histogram) median() time.Duration {
	if h.total == 0 {
		return 0
	}
	return time.Duration(float64(time.Microsecond) * math.Exp2((float64(h.middle)+0.5)/perOctave))
}
