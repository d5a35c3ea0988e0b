package routing

import (
	"math"
	"time"
)

// movingAverage is a moving average of durations: the arithmetic mean of the first samples, then an exponential one.
type movingAverage struct {
	value   float64
	samples int
}

// add adds a sample. weight is the weight of a new sample once there are many.
func (m *movingAverage) add(sample time.Duration, weight float64) {
	m.samples++
	m.value += (float64(sample) - m.value) * max(weight, 1/float64(m.samples))
}

func (m *movingAverage) duration() time.Duration { return time.Duration(m.value) }

// peakDecayTime is the time constant with which the peak of a rate decays. It is several times the duration of a fault,
// so that the peak survives one.
const peakDecayTime = time.Minute

// decayingRate is a rate per second: an exponentially decaying sum divided by its span. peak is the recent maximum of
// the rate, for which the sum is divided by the observed part of the span.
type decayingRate struct {
	value, peak          float64
	startedAt, updatedAt time.Duration
}

// valueAt returns the rate per second at a time.
func (d *decayingRate) valueAt(now, span time.Duration) float64 {
	return d.value * math.Exp(-float64(now-d.updatedAt)/float64(max(span, ms)))
}

// add adds an amount to the rate, which is measured over the span.
func (d *decayingRate) add(amount float64, now, span time.Duration) {
	if d.updatedAt == 0 {
		d.startedAt = now
	}
	d.value = d.valueAt(now, span) + amount/max(span, ms).Seconds()
	decayedPeak := d.peak * math.Exp(-float64(now-d.updatedAt)/float64(peakDecayTime))
	d.peak = max(decayedPeak, d.value/observedFraction(now-d.startedAt, span))
	d.updatedAt = now
}

// minObservedSpans is the minimum age of a rate, in spans, that is used to correct its peak. With less, a few early
// samples yield a peak that is far too high.
const minObservedSpans = 0.2

// observedFraction returns the fraction of its final value that a decaying sum has reached at an age.
func observedFraction(age, span time.Duration) float64 {
	return 1 - math.Exp(-max(minObservedSpans, float64(age)/float64(span)))
}
