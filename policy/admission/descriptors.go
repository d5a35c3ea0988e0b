package admission

import "time"

const (
	// acceptPause is how long nothing is accepted once no descriptor could be had: as long as a client's own retry at
	// least, and short enough that the system's accept queue does not overflow meanwhile.
	acceptPause = 20 * time.Millisecond
	// sheddingPeriod is how long descriptors must have been available before unknown peers are admitted again.
	sheddingPeriod = 500 * time.Millisecond
	// upstreamEvictions is how many idle connections are closed where a connection to an endpoint found no descriptor:
	// for that one, and the next few.
	upstreamEvictions = 4
)

// When descriptors run out, the limit on connections falls to a part of those there are: the other descriptors are
// what the connections to endpoints need. It rises slowly once descriptors are available.
const (
	limitAfterExhaustion   = 0.5
	limitRecoveryStep      = 0.05
	minDescriptorLimit     = 16
	exhaustionCountsWithin = 2 * acceptPause // the limit falls once for each time that descriptors run out
)

// handleDescriptorsExhausted lowers the limit on connections to what the descriptors suffice for, and pauses the
// accept loop.
func (c *Controller) handleDescriptorsExhausted() {
	c.Counts.DescriptorsExhausted++
	c.shedUntil = c.now + sheddingPeriod
	c.changeMode(descriptorsExhausted)
	if c.descriptorLimit == 0 || c.now-c.descriptorLimitSetAt >= exhaustionCountsWithin {
		c.descriptorLimit = max(minDescriptorLimit, int(limitAfterExhaustion*float64(c.connectionCount)))
		c.descriptorLimitSetAt = c.now
	}
	for c.connectionCount > c.descriptorLimit && c.evictIdle(allowlisted) {
	}
	c.emit(Action{Kind: Pause, Wait: acceptPause})
}

// handleUpstreamDescriptorsExhausted closes idle connections so that connections to endpoints can be made.
func (c *Controller) handleUpstreamDescriptorsExhausted() {
	c.shedUntil = c.now + sheddingPeriod
	c.changeMode(descriptorsExhausted)
	for range upstreamEvictions {
		c.evictIdle(allowlisted)
	}
}

// handleDescriptorAvailable raises the limit on connections again, and ends the shedding in time.
func (c *Controller) handleDescriptorAvailable() {
	if c.descriptorLimit > 0 && c.now-c.descriptorLimitSetAt >= sheddingPeriod {
		c.descriptorLimitSetAt = c.now
		c.descriptorLimit += max(1, int(limitRecoveryStep*float64(c.descriptorLimit)))
		if c.descriptorLimit >= c.settings.MaxConnections {
			c.descriptorLimit = 0
		}
	}
	if c.mode == ModeShedding && c.now >= c.shedUntil {
		c.changeMode(descriptorsRestored)
	}
	c.updateOccupancy()
}

// maxConnections is how many connections there may be now.
func (c *Controller) maxConnections() int {
	if c.descriptorLimit > 0 {
		return min(c.settings.MaxConnections, c.descriptorLimit)
	}
	return c.settings.MaxConnections
}

// unreservedPlaces is how many connections unknown peers may have.
func (c *Controller) unreservedPlaces() int {
	limit := c.maxConnections()
	return max(1, limit-c.settings.Reserve*limit/max(1, c.settings.MaxConnections))
}
