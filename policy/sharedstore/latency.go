package sharedstore

import (
	"math"
	"time"
)

const (
	// minSampleWeight is the lowest weight of a new sample, so that the average follows the last twenty or so samples.
	// Under any load that matters these span a second or less; with a lower weight the average would lag behind.
	minSampleWeight = 0.05
	// unknownLatency is the latency assumed before the first sample: a fill across two hops, including the body. With a
	// lower one, the first gets would appear late.
	unknownLatency = 50 * ms
)

// latencyEstimate is a moving average of a latency and of its deviation.
type latencyEstimate struct {
	mean      float64 // seconds
	deviation float64 // seconds
	samples   int
}

func (l *latencyEstimate) add(latency time.Duration) {
	seconds := latency.Seconds()
	l.samples++
	if l.samples == 1 {
		l.mean, l.deviation = seconds, seconds/2
		return
	}
	weight := math.Max(minSampleWeight, 1/float64(l.samples))
	l.deviation += weight * (math.Abs(seconds-l.mean) - l.deviation)
	l.mean += weight * (seconds - l.mean)
}

func (l *latencyEstimate) typical() time.Duration {
	if l.samples == 0 {
		return unknownLatency
	}
	return time.Duration(l.mean * float64(time.Second))
}

// upper returns a latency that nineteen of twenty samples do not exceed.
func (l *latencyEstimate) upper() time.Duration {
	if l.samples == 0 {
		return 2 * unknownLatency
	}
	return time.Duration((l.mean + 2*l.deviation) * float64(time.Second))
}
