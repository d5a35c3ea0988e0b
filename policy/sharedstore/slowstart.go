package sharedstore

import (
	"math"
	"time"
)

const (
	// greetingCommands is how many commands a new connection sends before anything else.
	greetingCommands = 4
	// getCommands and setCommands are what a get and a set need.
	getCommands, setCommands = 1, 1
	// getAgainCommands is what a repeated get needs: itself and, after a miss, the attempt to acquire the lease.
	getAgainCommands = 2
	// leaseCommands is what a lease needs: the attempt to acquire it and the set that follows the fill.
	leaseCommands = 2
	// commandsPerRequest is what one request may need: a get, a lease and a set.
	commandsPerRequest = 3
	// burstsPerSecond: a budget holds at most the commands of a fiftieth of a second.
	burstsPerSecond = 50
	// defaultSlowStartMargin is the part of the overload factor that routers use: they learn of a start at different
	// moments, and the greeting of each connection comes on top.
	defaultSlowStartMargin = 0.8
)

// slowStart is the budget of commands of a store that warms up: a token bucket whose rate grows with the share of its
// capacity that the store has by now.
type slowStart struct {
	startedAt  time.Duration
	tokens     float64
	refilledAt time.Duration
}

// newSlowStart returns the budget of a store that was started then. What the connection has sent already is counted.
func newSlowStart(startedAt, now time.Duration) slowStart {
	return slowStart{startedAt: startedAt, tokens: 1 - greetingCommands, refilledAt: now}
}

// refill adds what has accrued at a rate of commands a second.
func (s *slowStart) refill(now time.Duration, rate float64) {
	burst := math.Max(commandsPerRequest, rate/burstsPerSecond)
	s.tokens = math.Min(burst, s.tokens+rate*(now-s.refilledAt).Seconds())
	s.refilledAt = now
}

// warmFraction is the share of its capacity that a store has by now.
func (c *Coordinator) warmFraction(store *storeStatus) float64 {
	age := c.now - store.slowStart.startedAt
	if c.settings.SlowStartFor <= 0 || age >= c.settings.SlowStartFor {
		return 1
	}
	return c.settings.SlowStartShare + (1-c.settings.SlowStartShare)*float64(age)/float64(c.settings.SlowStartFor)
}

// isWarmingUp says whether the slow-start budget applies. Where the capacity is unknown, routing limits the store
// instead.
func (c *Coordinator) isWarmingUp(store *storeStatus) bool {
	return c.settings.Capacity > 0 && c.warmFraction(store) < 1
}

// slowStartRate is how many commands a second this router may ask of a store that warms up, so that all routers
// together, each by this alone, stay under the overload factor.
func (c *Coordinator) slowStartRate(store *storeStatus) float64 {
	capacity := c.settings.Capacity * c.warmFraction(store) * c.settings.OverloadFactor
	return capacity * c.slowStartMargin / float64(c.settings.Routers)
}

// hasBudget says whether the slow-start budget, where it applies, has so many commands.
func (c *Coordinator) hasBudget(store *storeStatus, commands float64) bool {
	if !c.isWarmingUp(store) {
		return true
	}
	store.slowStart.refill(c.now, c.slowStartRate(store))
	return store.slowStart.tokens >= commands
}

// consumeBudget takes commands from the slow-start budget, which may go below zero.
func (c *Coordinator) consumeBudget(store *storeStatus, commands float64) {
	if c.isWarmingUp(store) {
		store.slowStart.tokens -= commands
	}
}
