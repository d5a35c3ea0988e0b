package routing

import (
	"testing"
	"time"
)

func TestTokenBucketLimitsARate(t *testing.T) {
	for name, test := range map[string]struct {
		rate     float64
		interval time.Duration
		want     int // of 100 takes
	}{
		"a burst takes the tokens of one second": {10, 0, 10},
		"all succeed at the rate":                {10, 100 * ms, 100},
		"about half succeed at twice the rate":   {10, 50 * ms, 59},
		"a rate below one token a second":        {0.25, time.Second, 25},
	} {
		t.Run(name, func(t *testing.T) {
			bucket, now, taken := tokenBucket{}, time.Minute, 0
			for range 100 {
				if bucket.take(test.rate, now) {
					taken++
				}
				now += test.interval
			}
			if taken < test.want-1 || taken > test.want+1 {
				t.Errorf("got %d tokens, want %d", taken, test.want)
			}
		})
	}
}
