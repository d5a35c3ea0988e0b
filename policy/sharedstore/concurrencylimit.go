package sharedstore

import (
	"math"
	"time"
)

const (
	// initialCommandLimit limits the commands in flight to a store that has not answered yet. It applies for one round
	// trip at most, because each good reply raises the limit. With a higher value, the first burst could overload the
	// store.
	initialCommandLimit = 16
	// minLimit is the lowest limit. It leaves room for one command or fill, whose reply can raise the limit again.
	minLimit = 1
	// latencyDecrease is the factor that reduces the limit after a reply that took twice the usual time, errorDecrease the
	// factor after an error or a lost connection. Higher factors reduce the load too slowly in an overload, lower ones
	// waste capacity after a single fault.
	latencyDecrease, errorDecrease = 0.9, 0.7
)

// concurrencyLimit is an adaptive limit on the commands or fills in flight, with additive increase and multiplicative
// decrease.
type concurrencyLimit struct {
	limit     float64
	max       float64
	inFlight  int
	reducedAt time.Duration // when the limit was last reduced, 0: never
}

// setMax sets the maximum and lowers the limit to it.
func (l *concurrencyLimit) setMax(maxInFlight int) {
	l.max = float64(max(minLimit, maxInFlight))
	l.limit = math.Min(l.limit, l.max)
}

func (l *concurrencyLimit) hasRoom() bool { return float64(l.inFlight) < math.Max(minLimit, l.limit) }

// isHalfFree reports whether less than half of the limit is in use. Commands that no client waits for are sent only
// then, which leaves the other half of the limit to the commands that clients wait for.
func (l *concurrencyLimit) isHalfFree() bool {
	return float64(l.inFlight) < math.Max(minLimit, l.limit/2)
}

// increase raises the limit after a good reply. Until the first reduction, each reply adds one, which doubles the limit
// per round trip under full load. After that, the limit grows by one per round trip.
func (l *concurrencyLimit) increase() {
	step := 1.0
	if l.reducedAt > 0 {
		step /= math.Max(1, l.limit)
	}
	l.limit = math.Min(l.max, l.limit+step)
}

// decrease multiplies the limit by a factor, at most once per round trip: failures of commands that were in flight
// together count as one.
func (l *concurrencyLimit) decrease(factor float64, now, roundTrip time.Duration) {
	if now-l.reducedAt >= roundTrip {
		l.limit, l.reducedAt = math.Max(minLimit, l.limit*factor), now
	}
}
