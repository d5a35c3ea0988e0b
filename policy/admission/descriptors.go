package admission

import "time"

const (
	// acceptPause is how long no connection is accepted after descriptors have run out: at least as long as a client
	// waits before it retries, and short enough that the kernel's accept queue does not overflow.
	acceptPause = 20 * time.Millisecond
	// sheddingPeriod is how long descriptors must have been available before unknown peers are admitted again.
	sheddingPeriod = 500 * time.Millisecond
	// upstreamEvictions is the number of idle connections closed when there is no descriptor for a connection to an
	// endpoint: enough for that connection and the next few.
	upstreamEvictions = 4
)

// When descriptors run out, the limit on connections falls to a fraction of the current number of connections, which
// frees descriptors for connections to endpoints. The limit rises slowly once descriptors are available again.
const (
	exhaustionLimitFactor = 0.5
	limitRecoveryStep     = 0.05
	minDescriptorLimit    = 16
	exhaustionInterval    = 2 * acceptPause // reports within this time are one shortage and lower the limit once
)

// handleDescriptorsExhausted lowers the limit on connections, closes idle connections down to the limit and pauses the
// accept loop.
func (c *Controller) handleDescriptorsExhausted() {
	c.Counts.DescriptorsExhausted++
	c.shedUntil = c.now + sheddingPeriod
	c.changeMode(descriptorsExhausted)
	if c.descriptorLimit == 0 || c.now-c.descriptorLimitSetAt >= exhaustionInterval {
		c.descriptorLimit = max(minDescriptorLimit, int(exhaustionLimitFactor*float64(c.connectionCount)))
		c.descriptorLimitSetAt = c.now
	}
	for c.connectionCount > c.descriptorLimit && c.evictIdle(allowlisted) {
	}
	c.emit(Action{Kind: Pause, Wait: acceptPause})
}

// handleUpstreamDescriptorsExhausted closes idle connections to free descriptors for connections to endpoints.
func (c *Controller) handleUpstreamDescriptorsExhausted() {
	c.shedUntil = c.now + sheddingPeriod
	c.changeMode(descriptorsExhausted)
	for range upstreamEvictions {
		c.evictIdle(allowlisted)
	}
}

// handleDescriptorAvailable raises the limit on connections by one step and leaves ModeShedding, each once its time has
// come.
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

// maxConnections returns the current limit on connections.
func (c *Controller) maxConnections() int {
	if c.descriptorLimit > 0 {
		return min(c.settings.MaxConnections, c.descriptorLimit)
	}
	return c.settings.MaxConnections
}

// unreservedSlots returns the number of slots that are open to unknown peers.
func (c *Controller) unreservedSlots() int {
	limit := c.maxConnections()
	return max(1, limit-c.settings.ReservedSlots*limit/max(1, c.settings.MaxConnections))
}
