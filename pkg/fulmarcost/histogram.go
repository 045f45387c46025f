package fulmarcost

import (
	"math"
	"time"
)

const (
	bucketCount      = 256 // cover a microsecond to over an hour
	bucketsPerOctave = 8
	maxTotal         = 4096 // total at which the counts are halved
)

// histogram counts times on a logarithmic scale and tracks their median.
type histogram struct {
	counts       [bucketCount]uint32
	total        uint32
	belowMedian  uint32 // counts of the buckets before medianBucket
	medianBucket int    // index of the bucket that holds the median
}

func bucketOf(t time.Duration) int {
	b := bucketsPerOctave * math.Log2(max(float64(t)/float64(time.Microsecond), 1))
	return min(int(b), bucketCount-1)
}

func (h *histogram) add(t time.Duration) {
	if h.total >= maxTotal {
		h.halve()
	}
	b := bucketOf(t)
	h.counts[b]++
	h.total++
	if b < h.medianBucket {
		h.belowMedian++
	}
	h.updateMedian()
}

// updateMedian moves medianBucket to the bucket that holds the median.
func (h *histogram) updateMedian() {
	for h.belowMedian > (h.total-1)/2 {
		h.medianBucket--
		h.belowMedian -= h.counts[h.medianBucket]
	}
	for h.belowMedian+h.counts[h.medianBucket] <= (h.total-1)/2 {
		h.belowMedian += h.counts[h.medianBucket]
		h.medianBucket++
	}
}

func (h *histogram) halve() {
	h.total, h.belowMedian = 0, 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
		if i < h.medianBucket {
			h.belowMedian += h.counts[i]
		}
	}
}

// median returns the middle of the median's bucket, or 0 without observations.
func (h *histogram) median() time.Duration {
	if h.total == 0 {
		return 0
	}
	return time.Duration(float64(time.Microsecond) * math.Exp2((float64(h.medianBucket)+0.5)/bucketsPerOctave))
}
