package sharedstore

import (
	"math"
	"time"
)

const (
	// handshakeCommands is the number of commands that a new connection sends before all others. With a lower number, a
	// store that has just started would receive more than its budget.
	handshakeCommands = 4
	// getCommands and setCommands are the numbers of commands that a get and a set need.
	getCommands, setCommands = 1, 1
	// getAgainCommands is the number of commands that a repeated get needs: the get and, after a miss, the attempt to
	// acquire the lease. With a lower number, the budget could run out between the two.
	getAgainCommands = 2
	// leaseCommands is the number of commands that a lease needs: the attempt to acquire it and the set after the fill.
	// With a lower number, the lease could be acquired although there is no budget for the set.
	leaseCommands = 2
	// commandsPerRequest is the number of commands that one request may need: a get, a lease and a set. A budget that
	// holds fewer may not suffice for the whole request.
	commandsPerRequest = 3
	// burstsPerSecond limits a budget to the commands of a fiftieth of a second. With a lower value, a store that warms up
	// would receive longer bursts.
	burstsPerSecond = 50
	// defaultSlowStartMargin is the share of the overload factor that routers use. Routers learn of a start at different
	// moments, and the handshakes of their connections come on top; a higher share could overload the store.
	defaultSlowStartMargin = 0.8
)

// slowStart is the command budget of a store that warms up: a token bucket whose rate grows with the share of its
// capacity that the store has reached.
type slowStart struct {
	startedAt  time.Duration
	tokens     float64
	refilledAt time.Duration
}

// newSlowStart returns the budget of a store that started at startedAt. The budget already counts the handshake of the
// new connection.
func newSlowStart(startedAt, now time.Duration) slowStart {
	return slowStart{startedAt: startedAt, tokens: 1 - handshakeCommands, refilledAt: now}
}

// refill adds the tokens that have accrued since the last refill, at a rate in commands a second.
func (s *slowStart) refill(now time.Duration, rate float64) {
	burst := math.Max(commandsPerRequest, rate/burstsPerSecond)
	s.tokens = math.Min(burst, s.tokens+rate*(now-s.refilledAt).Seconds())
	s.refilledAt = now
}

// warmFraction returns the share of its capacity that a store has reached.
func (c *Coordinator) warmFraction(store *storeStatus) float64 {
	age := c.now - store.slowStart.startedAt
	if c.settings.SlowStartDuration <= 0 || age >= c.settings.SlowStartDuration {
		return 1
	}
	return c.settings.SlowStartShare + (1-c.settings.SlowStartShare)*float64(age)/float64(c.settings.SlowStartDuration)
}

// isWarmingUp reports whether the slow-start budget applies. If the capacity is unknown, routing limits the store
// instead.
func (c *Coordinator) isWarmingUp(store *storeStatus) bool {
	return c.settings.Capacity > 0 && c.warmFraction(store) < 1
}

// slowStartRate returns how many commands a second this router may send to a store that warms up. If each router keeps
// to its own rate, all of them together stay under the overload factor without coordination.
func (c *Coordinator) slowStartRate(store *storeStatus) float64 {
	capacity := c.settings.Capacity * c.warmFraction(store) * c.settings.OverloadFactor
	return capacity * c.slowStartMargin / float64(c.settings.Routers)
}

// hasBudget reports whether the slow-start budget, if it applies, allows that many commands.
func (c *Coordinator) hasBudget(store *storeStatus, commands float64) bool {
	if !c.isWarmingUp(store) {
		return true
	}
	store.slowStart.refill(c.now, c.slowStartRate(store))
	return store.slowStart.tokens >= commands
}

// consumeBudget takes commands from the slow-start budget, which may become negative.
func (c *Coordinator) consumeBudget(store *storeStatus, commands float64) {
	if c.isWarmingUp(store) {
		store.slowStart.tokens -= commands
	}
}
