package sharedstore

import "time"

const (
	// lateGetsUntilSlow is how many late gets in a row make a store slow: a single one may be a pause of the machine, and
	// six cost a few requests some milliseconds each.
	lateGetsUntilSlow = 6
	// minLatePeriod is how long they must go on: under load one pause makes many gets late at the same moment.
	minLatePeriod = 50 * ms
	// minBackoff and maxBackoff bound the time before a probe: short enough that a store that recovered is missed by few
	// requests, doubled up to what probing a silent one may cost.
	minBackoff, maxBackoff = 250 * ms, 4 * time.Second
)

// healthState says how a store may be used.
type healthState uint8

const (
	healthUnavailable healthState = iota // no connection, or it refuses: bypassed
	healthProbing                        // one get at a time shows whether it has recovered
	healthSlow                           // it answers too late: bypassed, with probes
	healthWarmingUp                      // just started: asked within its slow-start budget
	healthReady
	healthStates
)

func (s healthState) String() string {
	return [healthStates]string{"unavailable", "probing", "slow", "warming up", "ready"}[s]
}

// healthSignal is what changes a store's health.
type healthSignal uint8

const (
	signalConnected    healthSignal = iota // a connection to a store that has been running for long
	signalStarted                          // a connection to a store that has just started
	signalDisconnected                     // no connection, or it refuses everything
	signalLate                             // several gets in a row were late
	signalInTime                           // a get was answered in time
	signalWarm                             // its slow start is over
	signalBackoffOver                      // the time before a probe is over
	healthSignals
)

// healthTransitions says which state follows a signal. Each state has a way out: unavailable and slow by their backoff,
// probing by a get, warming up by time.
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

// health follows whether a store can be used. The zero value is unavailable.
type health struct {
	state       healthState
	backoff     time.Duration // the last time before a probe
	probe       OperationID   // the operation whose get is the probe, 0: none
	lateGets    int           // in a row
	firstLateAt time.Duration // when the first of them was late
}

// handle moves to the state that follows a signal. It says whether the state changed, and how long to wait before the
// next probe where that wait begins now.
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

// nextBackoff starts at the minimum after a failure of a store that was in use, and doubles after a failed probe.
// Between unavailable and slow the backoff that runs goes on.
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

// admit says whether an operation may ask the store. While probing only one may, and only one that could be filled.
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

// isUsable says whether the store is used without probing.
func (h *health) isUsable() bool { return h.state == healthWarmingUp || h.state == healthReady }

// recordLate counts a get that is late, and says whether the store is slow by that.
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
