package routing

import "time"

const (
	// minTransferTimeSamples is the number of samples from which the mean transfer time of a class is used. With fewer,
	// the mean is too low, because short transfers end first.
	minTransferTimeSamples = 20
	// transferTimeWeight is the weight of a new sample in the mean transfer time of a class.
	transferTimeWeight = 0.02
	// writeTimeWeight is the weight of a new sample in the mean duration of a class of writes.
	writeTimeWeight = 0.1
)

// classStats holds the observed statistics of a request class.
type classStats struct {
	transferTime movingAverage // without congestion; for writes the whole duration
}

// hasUsualTransferTime reports whether there are enough samples to use the mean transfer time.
func (c *classStats) hasUsualTransferTime() bool {
	return c.transferTime.samples >= minTransferTimeSamples
}

// usualTransferTime returns the mean transfer time of the class.
func (c *classStats) usualTransferTime() time.Duration { return c.transferTime.duration() }
