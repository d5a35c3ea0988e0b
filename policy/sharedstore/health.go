package sharedstore

import "time"

const (
	// lateGetsUntilSlow is the number of consecutive late gets that make a store slow. A single late get may come from a
	// pause of the machine, while six cost a few requests some milliseconds each.
	lateGetsUntilSlow = 6
	// minLatePeriod is the shortest time over which these gets must be late. Under load, a single pause makes many gets
	// late at the same moment, and with a shorter period it would make a healthy store slow.
	minLatePeriod = 50 * ms
	// minBackoff and maxBackoff bound the time before a probe. The minimum is short enough that few requests bypass a
	// store that has recovered; the time doubles up to the maximum, which limits the cost of probing a silent store.
	minBackoff, maxBackoff = 250 * ms, 4 * time.Second
)

// healthState determines how a store may be used.
type healthState uint8

const (
	healthUnavailable healthState = iota // no connection, or the store refuses commands: bypassed
	healthProbing                        // one get at a time tests whether the store has recovered
	healthSlow                           // the store answers too late: bypassed except for probes
	healthWarmingUp                      // the store has just started: asked within its slow-start budget
	healthReady                          // asked within its concurrency limit alone
	healthStates
)

func (s healthState) String() string {
	return [healthStates]string{"unavailable", "probing", "slow", "warming up", "ready"}[s]
}

// healthSignal is an observation that can change a store's health.
type healthSignal uint8

const (
	signalConnected    healthSignal = iota // a connection to a store that has been running for some time
	signalStarted                          // a connection to a store that has just started, or the loss of a store's data
	signalDisconnected                     // no connection, or the store refuses all commands
	signalLate                             // several consecutive gets were late, or a probe was
	signalInTime                           // a get was answered in time
	signalWarm                             // the store's slow start is over
	signalBackoffOver                      // the time before a probe is over
	healthSignals
)

// healthTransitions maps each state and signal to the next state. No state is a dead end: unavailable and slow end with
// their backoff, probing ends with a get, and warming up ends after a fixed time.
var healthTransitions = [healthStates][healthSignals]healthState{
	healthUnavailable: {
		signalConnected:    healthReady,
		signalStarted:      healthWarmingUp,
		signalDisconnected: healthUnavailable,
		signalLate:         healthUnavailable,
		signalInTime:       healthUnavailable,
		signalWarm:         healthUnavailable,
		signalBackoffOver:  healthProbing,
	},
	healthProbing: {
		signalConnected:    healthProbing,
		signalStarted:      healthWarmingUp,
		signalDisconnected: healthUnavailable,
		signalLate:         healthSlow,
		signalInTime:       healthReady,
		signalWarm:         healthProbing,
		signalBackoffOver:  healthProbing,
	},
	healthSlow: {
		signalConnected:    healthSlow,
		signalStarted:      healthWarmingUp,
		signalDisconnected: healthUnavailable,
		signalLate:         healthSlow,
		signalInTime:       healthSlow,
		signalWarm:         healthSlow,
		signalBackoffOver:  healthProbing,
	},
	healthWarmingUp: {
		signalConnected:    healthWarmingUp,
		signalStarted:      healthWarmingUp,
		signalDisconnected: healthUnavailable,
		signalLate:         healthSlow,
		signalInTime:       healthWarmingUp,
		signalWarm:         healthReady,
		signalBackoffOver:  healthWarmingUp,
	},
	healthReady: {
		signalConnected:    healthReady,
		signalStarted:      healthWarmingUp,
		signalDisconnected: healthUnavailable,
		signalLate:         healthSlow,
		signalInTime:       healthReady,
		signalWarm:         healthReady,
		signalBackoffOver:  healthReady,
	},
}

// health tracks whether a store can be used. The zero value is unavailable.
type health struct {
	state       healthState
	backoff     time.Duration // the latest wait before a probe
	probe       OperationID   // the operation whose get is the probe, 0: none
	lateGets    int           // number of consecutive late gets
	firstLateAt time.Duration // when the first of them was late
}

// handle moves to the state that follows a signal. It reports whether the state changed and, if a wait before the next
// probe begins now, how long the wait is.
func (h *health) handle(signal healthSignal) (changed bool, probeIn time.Duration) {
	previous := h.state
	h.state = healthTransitions[previous][signal]
	changed = h.state != previous
	switch h.state {
	case healthUnavailable, healthSlow:
		if changed || signal == signalDisconnected || signal == signalLate {
			h.probe = 0
		}
		if changed {
			probeIn = h.nextBackoff(previous)
		}
	case healthReady:
		if changed {
			h.lateGets, h.backoff = 0, 0
		}
	case healthProbing, healthWarmingUp, healthStates:
	}
	return changed, probeIn
}

// nextBackoff sets and returns the wait before the next probe: the minimum after a failure of a store that was in use,
// or twice the latest wait after a failed probe. Between unavailable and slow it returns 0, and the wait continues.
func (h *health) nextBackoff(previous healthState) time.Duration {
	switch previous {
	case healthReady, healthWarmingUp:
		h.backoff = minBackoff
	case healthProbing:
		h.backoff = min(2*max(h.backoff, minBackoff), maxBackoff)
	default:
		return 0
	}
	return h.backoff
}

// admit reports whether an operation may ask the store. A store in probing admits one operation at a time, and only an
// operation that has a source for a fill.
func (h *health) admit(op *operation) bool {
	switch h.state {
	case healthReady, healthWarmingUp:
		return true
	case healthProbing:
		if h.probe == 0 && op.source != 0 {
			h.probe = op.id
			return true
		}
	default:
	}
	return false
}

// isUsable reports whether the store is used without probing.
func (h *health) isUsable() bool { return h.state == healthWarmingUp || h.state == healthReady }

// recordLate counts a late get, and reports whether this get makes the store slow.
func (h *health) recordLate(now time.Duration, id OperationID) (isSlow bool) {
	h.lateGets++
	if h.lateGets == 1 {
		h.firstLateAt = now
	}
	if h.probe == id || h.lateGets >= lateGetsUntilSlow && now-h.firstLateAt >= minLatePeriod {
		h.lateGets = 0
		return true
	}
	return false
}
