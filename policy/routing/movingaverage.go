package routing

import (
	"math"
	"time"
)

// movingAverage is a moving mean of times: the plain mean of the first samples, then an exponential one.
type movingAverage struct {
	value   float64
	samples int
}

// add takes one sample; pace is its weight once there are many.
func (m *movingAverage) add(sample time.Duration, pace float64) {
	m.samples++
	m.value += (float64(sample) - m.value) * max(pace, 1/float64(m.samples))
}

func (m *movingAverage) duration() time.Duration { return time.Duration(m.value) }

// peakDecay is how long the peak of a rate is remembered: some times as long as a fault lasts.
const peakDecay = time.Minute

// decayingRate is an amount a second: a decaying sum, divided by its span or by what of that has been observed. peak is
// the highest rate lately.
type decayingRate struct {
	value, peak          float64
	startedAt, updatedAt time.Duration
}

// valueAt is the decayed sum, a second, at a time.
func (d *decayingRate) valueAt(now, span time.Duration) float64 {
	return d.value * math.Exp(-float64(now-d.updatedAt)/float64(max(span, ms)))
}

// add takes an amount into the rate over the span.
func (d *decayingRate) add(amount float64, now, span time.Duration) {
	if d.updatedAt == 0 {
		d.startedAt = now
	}
	d.value = d.valueAt(now, span) + amount/max(span, ms).Seconds()
	decayedPeak := d.peak * math.Exp(-float64(now-d.updatedAt)/float64(peakDecay))
	d.peak = max(decayedPeak, d.value/observedFraction(now-d.startedAt, span))
	d.updatedAt = now
}

// minObservedSpans is the least part of a span that is taken as observed: less tells nothing.
const minObservedSpans = 0.2

// observedFraction is the part of a decaying sum that has built up at an age.
func observedFraction(age, span time.Duration) float64 {
	return 1 - math.Exp(-max(minObservedSpans, float64(age)/float64(span)))
}
