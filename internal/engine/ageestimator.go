package engine

import (
	"time"

	"fennelarch/policy/routing"
)

// timestampHorizon returns how long a timestamp can matter, with a margin of a minute: while an endpoint is in slow
// start, a purge is incomplete or a copy may be served.
func timestampHorizon(settings *routing.Settings) time.Duration {
	longest := max(settings.SlowStartDuration, settings.ParentSlowStartDuration, settings.PurgeCompleteAfter)
	for i := range settings.Classes {
		longest = max(longest, settings.Classes[i].FreshDuration+settings.Classes[i].MaxStale)
	}
	return longest + time.Minute
}

// ageEstimator converts wall-clock timestamps to ages. The timestamps of boot times, purges and copies come from clocks
// that may step by seconds or by an hour, and so may the clock of this machine. The engine computes with durations on
// the monotonic clock only: it converts each timestamp once, on receipt, and uses the stricter end of its range of
// ages.
type ageEstimator struct {
	clock clockSkew
}

// age is the range of possible ages of a timestamp.
type age struct {
	atLeast, atMost time.Duration
	isPlausible     bool // the timestamp is less than minStep in the future by some offset of the wall clock
}

// estimate returns the possible ages of a timestamp. The timestamp may come from the wall clock as it is set now, or as
// it was set before one of the remembered steps.
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
