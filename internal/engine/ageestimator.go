package engine

import (
	"time"

	"fennelarch/policy/routing"
)

// timestampHorizon is how long any timestamp matters: while an endpoint is in slow start, a purge is incomplete or a
// copy is fresh.
func timestampHorizon(settings *routing.Settings) time.Duration {
	longest := max(settings.SlowStartFor, settings.ParentSlowStartFor, settings.PurgeCompleteAfter)
	for i := range settings.Classes {
		longest = max(longest, settings.Classes[i].FreshFor+settings.Classes[i].MaxStale)
	}
	return longest + time.Minute
}

// ageEstimator turns timestamps of wall clocks into ages. The boot times of endpoints, purges and copies carry
// timestamps of clocks that may step by seconds or by an hour, as may the clock of this machine. The engine computes
// with spans of the monotonic clock only: a timestamp is turned into one once, when it is received, and every doubt
// makes the result stricter.
type ageEstimator struct {
	clock clockSkew
}

// age is how old something with a timestamp may be.
type age struct {
	atLeast, atMost time.Duration
	isPlausible     bool // on one reading of the clock at least, the timestamp does not lie in the future
}

// estimate is the age of a timestamp: whoever took it may have used the clock as it stands now, or as it stood before a
// step.
func (a *ageEstimator) estimate(timestamp time.Time, now time.Duration) age {
	a.clock.compare()
	atLeast := a.clock.wallTime(now, a.clock.offset).Sub(timestamp)
	atMost := atLeast
	for _, step := range a.clock.steps {
		before := a.clock.wallTime(now, step.offsetBefore).Sub(timestamp)
		atLeast, atMost = min(atLeast, before), max(atMost, before)
	}
	return age{atLeast: max(0, atLeast), atMost: max(0, atMost), isPlausible: atMost > -minStep}
}
