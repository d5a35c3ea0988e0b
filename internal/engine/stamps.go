package engine

import (
	"time"

	"fennelarch/internal/system"
)

// This file owns what stamps of the wall clock are worth. Servers' starts, purges and copies are stamped elsewhere, by clocks that
// may step by seconds or by an hour, as may this machine's own. All that the engine reckons with are spans of the monotonic clock; a
// stamp is turned into one when it is received, once, and every doubt makes it stricter.

const (
	// stepAtLeast is how far the wall clock must have moved against the monotonic one between two looks to have stepped. Less is
	// slewing, or the time between the two readings.
	stepAtLeast = 100 * time.Millisecond
	// lookEvery is how often the clocks are compared.
	lookEvery = 20 * time.Millisecond
	// stepsKept bounds how many steps are remembered.
	stepsKept = 8
	// readAgain is how far apart the readings around one of the wall clock may be.
	readAgain = 2 * time.Millisecond
)

// stamps turns stamps into ages.
type stamps struct {
	start   time.Time                                    // on the wall clock, when the monotonic one stood at 0
	read    func() (since time.Duration, wall time.Time) // both clocks, in the same moment
	horizon time.Duration                                // nothing that is stamped matters for longer
	offset  time.Duration                                // how far the wall clock is ahead of the monotonic one
	steps   []step                                       // lately, the oldest first
	looked  time.Duration
	onStep  func(by time.Duration)
}

// step is one of the wall clock: the offset that it had before.
type step struct {
	at     time.Duration
	offset time.Duration
}

func newStamps(start time.Time, horizon time.Duration) stamps {
	return stamps{start: start.Round(0), horizon: horizon, onStep: func(time.Duration) {}, read: func() (time.Duration, time.Time) {
		for {
			before := time.Since(start)
			wall := system.WallClock()
			if after := time.Since(start); after-before < readAgain {
				return after, wall
			}
		}
	}}
}

// look compares the clocks now and then, so that no step is missed.
func (s *stamps) look(now time.Duration) {
	if now-s.looked >= lookEvery {
		s.looked = now
		s.compare()
	}
}

func (s *stamps) compare() {
	now, wall := s.read()
	offset := wall.Sub(s.start) - now
	for len(s.steps) > 0 && now-s.steps[0].at > s.horizon {
		s.steps = s.steps[1:]
	}
	if by := offset - s.offset; by >= stepAtLeast || by <= -stepAtLeast {
		if len(s.steps) == stepsKept {
			s.steps = s.steps[1:]
		}
		s.steps = append(s.steps, step{now, s.offset})
		s.offset = offset
		s.onStep(by)
	} else if by >= stepAtLeast/20 || by <= -stepAtLeast/20 {
		s.offset = offset // slewed
	}
}

// age is how old a stamp is at a moment, at the least and at the most: whoever stamped it may have used the clock as it stands now, or as it
// stood before a step. It is believable unless it lies in the future however it is read.
func (s *stamps) age(stamp time.Time, now time.Duration) (least, most time.Duration, believable bool) {
	s.compare()
	least = s.start.Add(now + s.offset).Sub(stamp)
	most = least
	for _, step := range s.steps {
		other := s.start.Add(now + step.offset).Sub(stamp)
		least, most = min(least, other), max(most, other)
	}
	return max(0, least), max(0, most), most > -stepAtLeast
}
