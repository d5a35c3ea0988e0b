package routing

import (
	"testing"
	"time"
)

func TestMovingAverageBeginsAsPlainMean(t *testing.T) {
	var average movingAverage
	for _, sample := range []time.Duration{100 * ms, 200 * ms, 300 * ms} {
		average.add(sample, 0.02)
	}
	if got := average.duration(); got < 200*ms-time.Microsecond || got > 200*ms+time.Microsecond {
		t.Errorf("got mean %v of the three samples, want 200ms", got)
	}
	for range 1000 {
		average.add(time.Second, 0.02)
	}
	if got := average.duration(); got < 999*ms {
		t.Errorf("got mean %v after 1000 samples of 1s, want at least 999ms", got)
	}
}

func TestDecayingRateMeasuresASteadyRate(t *testing.T) {
	var rate decayingRate
	now := time.Minute
	for range 1000 {
		now += 10 * ms
		rate.add(0.05, now, time.Second) // 5 per second
	}
	if got := rate.valueAt(now, time.Second); got < 4.8 || got > 5.2 {
		t.Errorf("got rate %v, want about 5", got)
	}
	if rate.peak < 4.8 || rate.peak > 6 {
		t.Errorf("got peak %v, want about 5", rate.peak)
	}
	if got := rate.valueAt(now+10*time.Second, time.Second); got > 0.01 {
		t.Errorf("got rate %v long after the last sample, want about 0", got)
	}
}
