package routing

import (
	"math"
	"time"
)

// movingAverage is a moving mean of times: a plain one at first, then at the pace given.
type movingAverage struct {
	value   float64
	samples int
}

func (m *movingAverage) add(d time.Duration, pace float64) {
	m.samples++
	m.value += (float64(d) - m.value) * max(pace, 1/float64(m.samples))
}

func (m *movingAverage) duration() time.Duration { return time.Duration(m.value) }

// decayingRate is a fading sum over a span, divided by it or by what of it has been seen; most is its slowly fading
// peak.
type decayingRate struct {
	value, peak          float64
	startedAt, updatedAt time.Duration
}

func (f *decayingRate) valueAt(now, over time.Duration) float64 {
	return f.value * math.Exp(-float64(now-f.updatedAt)/float64(max(over, ms)))
}

func (f *decayingRate) add(x float64, now, over time.Duration) {
	if f.updatedAt == 0 {
		f.startedAt = now
	}
	f.value = f.valueAt(now, over) + x/max(over, ms).Seconds()
	f.peak = max(f.peak*math.Exp(-float64(now-f.updatedAt)/float64(peakDecay)), f.value/observedFraction(now-f.startedAt, over))
	f.updatedAt = now
}

// observedFraction is the part of a fading sum that an age has filled; of very little, nothing can be told.
func observedFraction(age, over time.Duration) float64 {
	return 1 - math.Exp(-max(0.2, float64(age)/float64(over)))
}

// classStats is what the module keeps by tariff: the usual sending time at full pace, or the time of a write.
type classStats struct{ transferTime movingAverage }

// peakDecay is how long the peak of a rate is remembered: some times as long as a trouble lasts.
const peakDecay = time.Minute

// minSizeSamples is how many sizes make a usual one: those that end first are the small ones.
const minSizeSamples = 20
