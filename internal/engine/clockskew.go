package engine

import (
	"time"

	"fennelarch/internal/system"
)

const (
	// minStep is how far the wall clock must have moved against the monotonic one between two comparisons to have
	// stepped. Less is slewing, or the time between the two readings.
	minStep = 100 * time.Millisecond
	// minSlew is the smallest movement that is followed.
	minSlew = minStep / 20
	// compareInterval is how often the clocks are compared.
	compareInterval = 20 * time.Millisecond
	// maxSteps bounds how many steps are remembered.
	maxSteps = 8
	// maxReadingTime is how far apart the readings before and after one of the wall clock may be.
	maxReadingTime = 2 * time.Millisecond
)

// clockSkew follows how far the wall clock of this machine has moved against its monotonic clock.
type clockSkew struct {
	startTime  time.Time                                            // on the wall clock, when the monotonic one stood at 0
	readClocks func() (monotonic time.Duration, wallTime time.Time) // at the same moment
	horizon    time.Duration                                        // how long a step is remembered
	offset     time.Duration                                        // how far the wall clock is ahead
	steps      []clockStep                                          // the oldest first
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

// wallTime is what the wall clock shows at a time on the monotonic clock, with an offset between the two.
func (c *clockSkew) wallTime(monotonic, offset time.Duration) time.Time {
	return c.startTime.Add(monotonic + offset)
}

// compareIfDue compares the clocks once an interval, so that no step is missed.
func (c *clockSkew) compareIfDue(now time.Duration) {
	if now-c.comparedAt >= compareInterval {
		c.comparedAt = now
		c.compare()
	}
}

// compare takes notice of a step or a slew of the wall clock.
func (c *clockSkew) compare() {
	now, wallTime := c.readClocks()
	offset := wallTime.Sub(c.startTime) - now
	for len(c.steps) > 0 && now-c.steps[0].at > c.horizon {
		c.steps = c.steps[1:]
	}
	switch by := offset - c.offset; {
	case by.Abs() >= minStep:
		c.recordStep(clockStep{at: now, offsetBefore: c.offset})
		c.offset = offset
		c.onStep(by)
	case by.Abs() >= minSlew:
		c.offset = offset
	}
}

func (c *clockSkew) recordStep(step clockStep) {
	if len(c.steps) == maxSteps {
		c.steps = c.steps[1:]
	}
	c.steps = append(c.steps, step)
}
