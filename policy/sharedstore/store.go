package sharedstore

import (
	"math"
	"time"

	"fennelarch/policy/routing"
)

const (
	// minGetTimeout is the shortest timeout of a get. With a shorter one, a busy machine looks like a slow store.
	minGetTimeout = 2 * ms
	// minHalfFillTime is the lower bound of half the usual fill time, which limits the timeout of a get. With a smaller
	// one, gets of ordinary duration would be late where fills are fast.
	minHalfFillTime = 5 * ms
	// initialGetTimeout is the timeout of a get before the store's first reply. With a longer one, a silent store would
	// delay the first requests.
	initialGetTimeout = unknownLatency / 2
	// writeSuspension is how long nothing is stored after a store refused a write. With a shorter time, more copies
	// would be sent to a store that cannot keep them.
	writeSuspension = maxBackoff
)

// storeStatus is the state of one store as known to this router.
type storeStatus struct {
	id             routing.EndpointID
	health         health
	slowStart      slowStart
	limit          concurrencyLimit // on commands in flight
	latency        latencyEstimate  // of commands
	runID          uint64
	wasConnected   bool // a connection was reported, so runID is known
	isDisconnected bool
	refusesWrites  bool
	timerID        uint64 // ID of the current timer; earlier timers are ignored
	logSync        logSync
}

func newStoreStatus(id routing.EndpointID, maxInFlight int) *storeStatus {
	status := &storeStatus{
		id:        id,
		slowStart: slowStart{startedAt: routing.LongAgo},
		limit:     concurrencyLimit{limit: initialCommandLimit},
	}
	status.limit.setMax(maxInFlight)
	return status
}

// getTimeout returns how long a get may take before a fill starts in parallel: longer than nearly all gets so far, but
// at most half the usual fill time and an eighth of the time left until the request's objective.
func (s *storeStatus) getTimeout(fillTime latencyEstimate, untilObjective time.Duration) time.Duration {
	timeout := initialGetTimeout
	if s.latency.samples > 0 {
		timeout = s.latency.typical() + time.Duration(6*s.latency.deviation*float64(time.Second))
	}
	return max(minGetTimeout, min(timeout, halfFillTime(fillTime), untilObjective/8))
}

func halfFillTime(fillTime latencyEstimate) time.Duration {
	return max(fillTime.typical()/2, minHalfFillTime)
}

// isListedReady reports whether the endpoint list allows commands to the store. A store that is not listed is allowed.
func (c *Coordinator) isListedReady(store *storeStatus) bool {
	listed, known := c.endpoints[store.id]
	return !known || listed.state == routing.Ready
}

// canSend reports whether that many commands can be sent now: the store is available, its limit has room, and the
// slow-start budget of a store that warms up allows them.
func (c *Coordinator) canSend(store *storeStatus, commands float64) bool {
	if store.health.state == healthUnavailable || !store.limit.hasRoom() || !c.isListedReady(store) {
		return false
	}
	return c.hasBudget(store, commands)
}

// countCommand counts a command that is being sent and will receive a reply.
func (c *Coordinator) countCommand(store *storeStatus) {
	c.consumeBudget(store, 1)
	store.limit.inFlight++
}

// signalHealth passes a signal to a store's health, and sets the timer for the next probe.
func (c *Coordinator) signalHealth(store *storeStatus, signal healthSignal) {
	changed, probeIn := store.health.handle(signal)
	if probeIn > 0 {
		// The random factor keeps routers that saw the same event from probing at the same moment.
		c.setStoreTimer(store, time.Duration(float64(probeIn)*(0.75+c.random.float()/2)))
	}
	if changed {
		c.emitLog(store, "store "+store.health.state.String())
	}
}

func (c *Coordinator) emitLog(store *storeStatus, message string) {
	c.emit(Action{Kind: ActionLog, Endpoint: store.id, Message: message})
}

// setStoreTimer sets the store's timer, which replaces any earlier one.
func (c *Coordinator) setStoreTimer(store *storeStatus, delay time.Duration) {
	c.lastTimerID++
	store.timerID = c.lastTimerID
	c.emit(Action{Kind: ActionSetTimer, Endpoint: store.id, Delay: delay, TimerID: store.timerID})
}

func (c *Coordinator) handleStoreTimer(store *storeStatus) {
	store.refusesWrites = false
	switch {
	case store.health.state == healthWarmingUp && !c.isWarmingUp(store):
		c.signalHealth(store, signalWarm)
	case store.health.state == healthWarmingUp:
		c.setSlowStartTimer(store)
	case store.health.state == healthUnavailable && store.isDisconnected:
		// The transport reconnects and reports the new connection.
	default:
		c.signalHealth(store, signalBackoffOver)
	}
}

// setSlowStartTimer sets the store's timer to the end of its slow start.
func (c *Coordinator) setSlowStartTimer(store *storeStatus) {
	c.setStoreTimer(store, max(ms, store.slowStart.startedAt+c.settings.SlowStartDuration-c.now))
}

func (c *Coordinator) handleConnection(store *storeStatus, event *Event) {
	switch event.Kind {
	case EventDisconnected:
		store.isDisconnected, store.logSync = true, logSync{}
		c.signalHealth(store, signalDisconnected)
	case EventDataLost:
		// The process is as warm as before, but its data is gone. The slow start keeps the sources from receiving all that
		// the store served before at once.
		c.beginSlowStart(store, c.now)
	default:
		c.handleConnected(store, event)
	}
}

func (c *Coordinator) handleConnected(store *storeStatus, event *Event) {
	store.isDisconnected, store.refusesWrites, store.logSync = false, false, logSync{}
	isSameRun := store.wasConnected && store.runID == event.RunID
	store.wasConnected, store.runID = true, event.RunID
	switch {
	case !isSameRun && event.Uptime < c.settings.SlowStartDuration:
		c.beginSlowStart(store, c.now-event.Uptime)
	case store.health.state == healthUnavailable:
		c.signalHealth(store, signalConnected)
	}
}

// beginSlowStart treats a store as just started. Its earlier latencies no longer apply.
func (c *Coordinator) beginSlowStart(store *storeStatus, startedAt time.Duration) {
	store.slowStart = newSlowStart(startedAt, c.now)
	store.limit.limit = math.Min(store.limit.limit, initialCommandLimit)
	store.latency, store.health.lateGets = latencyEstimate{}, 0
	c.signalHealth(store, signalStarted)
	c.setSlowStartTimer(store)
	if c.settings.Capacity <= 0 {
		c.emit(Action{Kind: ActionAnnounceStart, Endpoint: store.id, Uptime: c.now - startedAt})
	}
}

// storeErrors maps each error reply to its effect on the use of the store and to a log message.
var storeErrors = [...]struct {
	isUnavailable bool
	refusesWrites bool
	message       string
}{
	ReplyLoading:     {isUnavailable: true, message: "store reads its data in"},
	ReplyOutOfMemory: {refusesWrites: true, message: "store has no memory left: nothing is stored"},
	ReplyReadOnly:    {refusesWrites: true, message: "store takes no writes: nothing is stored"},
	ReplyDenied:      {isUnavailable: true, message: "store refuses this user"},
	ReplyBusy:        {isUnavailable: true, message: "store is busy"},
	ReplyMoved: {
		isUnavailable: true,
		message:       "store is part of a cluster, which is not served: the key belongs elsewhere",
	},
	ReplyUnknownError: {},
	ReplyDisconnected: {},
}

// recordReply updates a store's state at the end of a command, whatever became of its operation.
func (c *Coordinator) recordReply(store *storeStatus, event *Event) {
	store.limit.inFlight = max(0, store.limit.inFlight-1)
	isProbe := store.health.probe == event.Operation
	if isProbe {
		store.health.probe = 0
	}
	if event.Reply.isError() {
		c.recordError(store, event.Reply, isProbe)
		return
	}
	if event.Kind == EventGetDone {
		c.recordGet(store, event.Elapsed, isProbe)
	}
	store.latency.add(event.Elapsed)
}

func (c *Coordinator) recordError(store *storeStatus, reply Reply, isProbe bool) {
	store.limit.decrease(errorDecrease, c.now, store.latency.typical())
	storeError := &storeErrors[reply]
	switch {
	case storeError.isUnavailable:
		if store.health.state != healthUnavailable {
			c.emitLog(store, storeError.message)
		}
		c.signalHealth(store, signalDisconnected)
	case storeError.refusesWrites && !store.refusesWrites:
		c.emitLog(store, storeError.message)
		store.refusesWrites = true
		c.setStoreTimer(store, writeSuspension)
	case isProbe && reply == ReplyDisconnected:
		c.signalHealth(store, signalDisconnected)
	}
}

func (c *Coordinator) recordGet(store *storeStatus, elapsed time.Duration, isProbe bool) {
	switch {
	case elapsed <= max(minGetTimeout, halfFillTime(c.fillTime)):
		store.health.lateGets = 0
		c.signalHealth(store, signalInTime)
	case isProbe:
		c.signalHealth(store, signalLate)
	}
	if elapsed > 2*store.latency.typical()+ms {
		store.limit.decrease(latencyDecrease, c.now, store.latency.typical())
	} else {
		store.limit.increase()
	}
}

// recordLateGet counts a get that took longer than its timeout.
func (c *Coordinator) recordLateGet(store *storeStatus, id OperationID) {
	store.limit.decrease(latencyDecrease, c.now, store.latency.typical())
	if store.health.recordLate(c.now, id) {
		c.signalHealth(store, signalLate)
	}
}
