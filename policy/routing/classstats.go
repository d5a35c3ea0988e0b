package routing

import "time"

const (
	// minSizeSamples is the number of samples from which the mean transfer time of a class is used. With fewer, it is
	// too low, because short transfers end first.
	minSizeSamples = 20
	// transferTimePace is the weight of a new sample in the mean transfer time of a class.
	transferTimePace = 0.02
	// writeTimePace is the weight of a new sample in the mean duration of a class of writes.
	writeTimePace = 0.1
)

// classStats holds the observed statistics of a request class.
type classStats struct {
	transferTime movingAverage // without congestion; for writes the whole duration
}

// hasUsualSize reports whether there are enough samples to use the mean transfer time.
func (c *classStats) hasUsualSize() bool { return c.transferTime.samples >= minSizeSamples }

// usualTransferTime returns the mean transfer time of the class.
func (c *classStats) usualTransferTime() time.Duration { return c.transferTime.duration() }
