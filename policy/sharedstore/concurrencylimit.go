package sharedstore

import (
	"math"
	"time"
)

const (
	// initialCommandLimit holds before any answer: a round of requests at most; it grows with each good answer.
	initialCommandLimit = 16
	minLimit            = 1
	// latencyDecrease is the factor for an answer that took twice the usual time, errorDecrease for an error or a lost
	// connection.
	latencyDecrease, errorDecrease = 0.9, 0.7
)

// concurrencyLimit is an adaptive limit on what is in flight at once: additive increase, multiplicative decrease.
type concurrencyLimit struct {
	limit     float64
	max       float64
	inFlight  int
	reducedAt time.Duration // when it was last reduced, 0: never
}

func (l *concurrencyLimit) hasRoom() bool { return float64(l.inFlight) < math.Max(minLimit, l.limit) }

// isHalfFree leaves half of the limit to what clients wait for.
func (l *concurrencyLimit) isHalfFree() bool {
	return float64(l.inFlight) < math.Max(minLimit, l.limit/2)
}

// increase raises the limit: by one until it was first reduced, so that it doubles each round trip of a full load; by
// one a round trip after that.
func (l *concurrencyLimit) increase() {
	step := 1.0
	if l.reducedAt > 0 {
		step /= math.Max(1, l.limit)
	}
	l.limit = math.Min(l.max, l.limit+step)
}

// decrease reduces the limit by a factor, at most once a round trip: what was in flight together counts as one.
func (l *concurrencyLimit) decrease(factor float64, now, roundTrip time.Duration) {
	if now-l.reducedAt >= roundTrip {
		l.limit, l.reducedAt = math.Max(minLimit, l.limit*factor), now
	}
}
