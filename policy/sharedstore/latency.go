package sharedstore

import (
	"math"
	"time"
)

const (
	// minSampleWeight is the weight of one sample: twenty of them are a second or less of any load that matters.
	minSampleWeight = 0.05
	// unknownLatency is assumed before the first sample: a fill across two hops with its bytes.
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

// upper is longer than nineteen of twenty.
func (l *latencyEstimate) upper() time.Duration {
	if l.samples == 0 {
		return 2 * unknownLatency
	}
	return time.Duration((l.mean + 2*l.deviation) * float64(time.Second))
}
