package gateway

import (
	"math"
	"slices"
	"time"
)

// histogram estimates quantiles of recent latencies. The bounds of its buckets grow
// by a factor of 2^(1/4). Whenever the total weight reaches histogramHalvingWeight,
// the weight of all samples is halved.
type histogram struct {
	counts [histogramBuckets]float64
	total  float64
}

const (
	histogramBuckets       = 64
	histogramHalvingWeight = 400
	histogramMinBound      = float64(500 * time.Microsecond)
)

func (h *histogram) add(d time.Duration) {
	i := int(4 * math.Log2(max(1, float64(d)/histogramMinBound)))
	h.counts[min(i, histogramBuckets-1)]++
	h.total++
	if h.total < histogramHalvingWeight {
		return
	}
	for i := range h.counts {
		h.counts[i] /= 2
	}
	h.total /= 2
}

// quantile returns the upper bound of the bucket that holds the quantile, or
// fallback while there are fewer than ten samples.
func (h *histogram) quantile(q float64, fallback time.Duration) time.Duration {
	if h.total < 10 {
		return fallback
	}
	rest := q * h.total
	for i, c := range h.counts {
		if rest -= c; rest <= 0 {
			return time.Duration(histogramMinBound * math.Exp2(float64(i+1)/4))
		}
	}
	return time.Duration(histogramMinBound * math.Exp2(histogramBuckets/4))
}

// recentTimes are the times that the last answers of a service took.
type recentTimes struct {
	times [32]time.Duration
	count int // of all answers
}

func (t *recentTimes) add(d time.Duration) {
	t.times[t.count%len(t.times)] = d
	t.count++
}

// quantile returns the quantile q of the last answers, 0 if there is none.
func (t *recentTimes) quantile(q float64) time.Duration {
	n := min(t.count, len(t.times))
	if n == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(t.times[:n]))
	return sorted[int(q*float64(n-1))]
}

// decay returns the remaining weight of an observation of the given age.
func decay(age, timeConstant time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(timeConstant))
}
