package routing

import "time"

const (
	// minSizeSamples is how many sizes make a usual one: those that end first are the small ones.
	minSizeSamples = 20
	// transferTimePace is the weight of a new sample in the usual transfer time of a class.
	transferTimePace = 0.02
	// writeTimePace is the weight of a new sample in the usual time of a class of writes.
	writeTimePace = 0.1
)

// classStats is what the router learns of a request class.
type classStats struct {
	transferTime movingAverage // at full pace; of writes the whole time
}

// hasUsualSize reports whether enough sizes were seen to speak of a usual one.
func (c *classStats) hasUsualSize() bool { return c.transferTime.samples >= minSizeSamples }

// usualTransferTime is the mean transfer time of the class.
func (c *classStats) usualTransferTime() time.Duration { return c.transferTime.duration() }
