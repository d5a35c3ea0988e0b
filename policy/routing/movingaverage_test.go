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
		t.Errorf("the mean of three is %v", got)
	}
	for range 1000 {
		average.add(time.Second, 0.02)
	}
	if got := average.duration(); got < 999*ms {
		t.Errorf("%v after a thousand samples of 1 s", got)
	}
}

func TestDecayingRateMeasuresASteadyRate(t *testing.T) {
	var rate decayingRate
	now := time.Minute
	for range 1000 {
		now += 10 * ms
		rate.add(0.05, now, time.Second) // 5 a second
	}
	if got := rate.valueAt(now, time.Second); got < 4.8 || got > 5.2 {
		t.Errorf("rate %v, want about 5", got)
	}
	if rate.peak < 4.8 || rate.peak > 6 {
		t.Errorf("peak %v, want about 5", rate.peak)
	}
	if got := rate.valueAt(now+10*time.Second, time.Second); got > 0.01 {
		t.Errorf("rate %v long after the end", got)
	}
}
