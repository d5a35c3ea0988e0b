package engine

import (
	"time"

	"fennelarch/internal/system"
)

const (
	// minStep is the smallest change of the wall clock against the monotonic clock between two comparisons that counts
	// as a step. A smaller change is slewing, or the time between the readings of the two clocks.
	minStep = 100 * time.Millisecond
	// minSlew is the smallest change of the wall clock against the monotonic clock that is tracked.
	minSlew = minStep / 20
	// compareInterval is the time between two comparisons of the clocks.
	compareInterval = 20 * time.Millisecond
	// maxSteps limits how many steps are remembered.
	maxSteps = 8
	// maxReadingTime limits the time between the monotonic readings before and after a wall-clock reading. If they are
	// further apart, the clocks are read again.
	maxReadingTime = 2 * time.Millisecond
)

// clockSkew tracks how far this machine's wall clock has moved against its monotonic clock.
type clockSkew struct {
	startTime  time.Time                                            // wall-clock time when the monotonic clock was at 0
	readClocks func() (monotonic time.Duration, wallTime time.Time) // at the same moment
	horizon    time.Duration                                        // how long a step is remembered
	offset     time.Duration                                        // how far the wall clock is ahead
	steps      []clockStep                                          // oldest first
	comparedAt time.Duration
	onStep     func(by time.Duration)
}

// clockStep is a step of the wall clock.
type clockStep struct {
	at           time.Duration
	offsetBefore time.Duration
}

func newClockSkew(startTime time.Time, horizon time.Duration) clockSkew {
	readClocks := func() (time.Duration, time.Time) {
		for {
			before := time.Since(startTime)
			wallTime := system.WallClock()
			if after := time.Since(startTime); after-before < maxReadingTime {
				return after, wallTime
			}
		}
	}
	return clockSkew{
		startTime: startTime.Round(0), horizon: horizon, readClocks: readClocks, onStep: func(time.Duration) {},
	}
}

// wallTime returns the wall-clock time for a monotonic time, given the offset between the two clocks.
func (c *clockSkew) wallTime(monotonic, offset time.Duration) time.Time {
	return c.startTime.Add(monotonic + offset)
}

// compareIfDue compares the clocks once per compareInterval, so that no step is missed.
func (c *clockSkew) compareIfDue(now time.Duration) {
	if now-c.comparedAt >= compareInterval {
		c.comparedAt = now
		c.compare()
	}
}

// compare reads both clocks and records a step or a slew of the wall clock.
func (c *clockSkew) compare() {
	now, wallTime := c.readClocks()
	offset := wallTime.Sub(c.startTime) - now
	for len(c.steps) > 0 && now-c.steps[0].at > c.horizon {
		c.steps = c.steps[1:]
	}
	switch change := offset - c.offset; {
	case change.Abs() >= minStep:
		c.recordStep(clockStep{at: now, offsetBefore: c.offset})
		c.offset = offset
		c.onStep(change)
	case change.Abs() >= minSlew:
		c.offset = offset
	}
}

func (c *clockSkew) recordStep(step clockStep) {
	if len(c.steps) == maxSteps {
		c.steps = c.steps[1:]
	}
	c.steps = append(c.steps, step)
}
