// Package sharedstore decides how a location uses a shared store as a cache: when the store is asked, written or
// bypassed, how many commands may be in flight, how many a store may receive just after its start, which router fills
// a miss, and which copies are proved to be newer than every purge. The package performs no I/O, reads no clock and
// starts no goroutine: Coordinator.Handle takes events with their time and returns the actions to carry out.
//
// Each request to a store is an operation, a state machine whose states and transitions are in operation.go. Each
// store has a health state; see health.go.
package sharedstore

import (
	"time"

	"fennelarch/policy/notification"
	"fennelarch/policy/routing"
)

const ms = time.Millisecond

// goneEndpointTTL is how long an endpoint that is gone is remembered. It must exceed the duration of any operation that
// names the endpoint; otherwise a fill could still be sent there.
const goneEndpointTTL = time.Minute

// Coordinator makes one router's decisions about its shared stores. It is not safe for concurrent use.
type Coordinator struct {
	settings        Settings
	now             time.Duration
	actions         []Action
	operations      map[OperationID]*operation
	freeOperations  []*operation           // forgotten operations for reuse
	leaders         map[copyKey]*operation // the operation that later operations for the same copy join
	sharedFrom      OperationID            // the leader whose copy is being shared
	stores          []*storeStatus         // in the order passed to New
	storeByID       map[routing.EndpointID]*storeStatus
	endpoints       map[routing.EndpointID]listedEndpoint
	fillLimits      map[routing.EndpointID]*concurrencyLimit // by source
	fillTime        latencyEstimate
	invalidations   invalidationLog
	purgesDue       notification.Horizon // up to when purges count as notified
	random          randomSource
	lastTimerID     uint64
	slowStartMargin float64 // defaultSlowStartMargin, except in tests

	// Counts holds the numbers of decisions made so far.
	Counts Counts
}

// listedEndpoint is an endpoint's state in the endpoint list.
type listedEndpoint struct {
	state routing.EndpointState
	since time.Duration
}

// New returns a Coordinator for the given stores, each of which is unavailable until an EventConnected names it.
func New(settings Settings, seed uint64, stores ...routing.EndpointID) *Coordinator {
	settings.Routers = max(1, settings.Routers)
	coordinator := &Coordinator{
		settings:        settings,
		operations:      map[OperationID]*operation{},
		leaders:         map[copyKey]*operation{},
		storeByID:       map[routing.EndpointID]*storeStatus{},
		endpoints:       map[routing.EndpointID]listedEndpoint{},
		fillLimits:      map[routing.EndpointID]*concurrencyLimit{},
		invalidations:   newInvalidationLog(settings.Epoch, settings.MaxTTL),
		purgesDue:       notification.New(settings.Notification),
		random:          newRandomSource(seed),
		slowStartMargin: defaultSlowStartMargin,
	}
	for _, id := range stores {
		store := newStoreStatus(id, settings.MaxInFlight)
		coordinator.stores = append(coordinator.stores, store)
		coordinator.storeByID[id] = store
	}
	return coordinator
}

// Handle processes an event that happened at now and appends the resulting actions to actions.
func (c *Coordinator) Handle(now time.Duration, event *Event, actions []Action) []Action {
	c.now, c.actions = max(now, c.now), actions
	switch event.Kind {
	case EventRequest:
		c.handleRequest(event)
	case EventGetDone, EventLeaseDone, EventSetDone:
		c.handleCommandDone(event)
	case EventFillDone:
		if op := c.operations[event.Operation]; op != nil {
			c.handleFillDone(op, event)
		}
	case EventCancel:
		if op := c.operations[event.Operation]; op != nil {
			c.cancel(op)
		}
	case EventTimer:
		c.handleTimer(event)
	case EventConnected, EventDisconnected, EventDataLost:
		if store := c.storeByID[event.Endpoint]; store != nil {
			c.handleConnection(store, event)
		}
	case EventEndpointState:
		c.handleEndpointState(event)
	}
	actions, c.actions = c.actions, nil
	return actions
}

// InFlight returns the number of operations that are not finished, including those that only wait for a set.
func (c *Coordinator) InFlight() int { return len(c.operations) }

// handleRequest starts an operation or has it join another one for the same copy.
func (c *Coordinator) handleRequest(event *Event) {
	store := c.storeByID[event.Endpoint]
	if store == nil {
		c.emit(Action{Kind: ActionComplete, Operation: event.Operation, Outcome: routing.ConnectFailed})
		c.emit(Action{Kind: ActionForget, Operation: event.Operation})
		return
	}
	op := c.newOperation()
	*op = operation{
		id:           event.Operation,
		store:        store,
		onlyIfCached: event.OnlyIfCached,
		source:       event.Source,
		key:          copyKey{event.Object, event.Part},
		group:        event.Group,
		startedAt:    c.now,
		objective:    c.now + min(event.UntilObjective, event.UntilDeadline),
		deadline:     c.now + event.UntilDeadline,
		ttl:          event.TTL,
	}
	if event.MaxAge > 0 {
		op.minGeneratedAt = c.wallClock() - Timestamp(event.MaxAge/ms)
	}
	c.operations[op.id] = op
	if leader := c.leaders[op.key]; leader != nil && leader.store == store && leader.objective <= op.objective+joinSlack {
		c.join(op, leader)
		return
	}
	c.applyTransition(op, transition{stateGetting, effectStart})
}

// handleCommandDone reports the end of a command first to the store, then to the operation, which may be gone by now.
func (c *Coordinator) handleCommandDone(event *Event) {
	if store := c.storeByID[event.Endpoint]; store != nil {
		c.recordReply(store, event)
	}
	op := c.operations[event.Operation]
	if op == nil {
		return
	}
	switch event.Kind {
	case EventGetDone:
		c.handleGetDone(op, event)
	case EventLeaseDone:
		c.handleLeaseDone(op, event)
	default:
		c.input(op, inputStored)
	}
}

func (c *Coordinator) handleGetDone(op *operation, event *Event) {
	switch event.Reply {
	case ReplyHit:
		c.handleHit(op, event)
	case ReplyMiss, ReplyCorrupt:
		c.Counts.Misses++
		if event.Reply == ReplyCorrupt {
			c.Counts.Corrupt++
		}
		c.input(op, inputMiss)
	default:
		c.input(op, inputStoreFailed)
	}
}

func (c *Coordinator) handleHit(op *operation, event *Event) {
	if !op.handlesInput(inputHit) {
		return // the operation has already been answered
	}
	if !op.accepts(event.GeneratedAt) || c.isInFuture(event.GeneratedAt, event.ValidFrom) ||
		!c.invalidations.provesCurrent(op.key.object, op.group, event.GeneratedAt, event.ValidFrom) ||
		c.mayBePurged(event.GeneratedAt, event.ValidFrom) {
		c.Counts.Stale++
		c.input(op, inputMiss)
		return
	}
	c.Counts.Hits++
	op.generatedAt = event.GeneratedAt
	c.input(op, inputHit)
}

// handleTimer handles the timer of an operation or, if the event names no operation, of a store.
func (c *Coordinator) handleTimer(event *Event) {
	if event.Operation == 0 {
		if store := c.storeByID[event.Endpoint]; store != nil && store.timerID == event.TimerID {
			c.handleStoreTimer(store)
		}
		return
	}
	op := c.operations[event.Operation]
	if op == nil || op.timerID != event.TimerID {
		return
	}
	c.Counts.Timeouts++
	if op.state == stateGetting || op.state == stateGettingAgain {
		c.recordLateGet(op.store, op.id)
	}
	c.input(op, inputTimeout)
}

func (c *Coordinator) handleEndpointState(event *Event) {
	if listed, known := c.endpoints[event.Endpoint]; !known || listed.state != event.State {
		c.endpoints[event.Endpoint] = listedEndpoint{event.State, c.now}
	}
	c.dropFillLimit(event.Endpoint)
	for id, listed := range c.endpoints { // the map would otherwise grow without bound
		if listed.state == routing.Gone && c.now-listed.since > goneEndpointTTL {
			delete(c.endpoints, id)
		}
	}
}

// input applies the transition that follows an input, if there is one.
func (c *Coordinator) input(op *operation, input operationInput) {
	if op.handlesInput(input) {
		c.applyTransition(op, operationTransitions[op.state][input])
	}
}

// applyTransition carries out a transition. The functions that it calls may move the operation on to another state.
func (c *Coordinator) applyTransition(op *operation, step transition) {
	op.state, op.timerID = step.next, 0
	switch step.effect {
	case effectStart:
		c.start(op)
	case effectJoinOrStart:
		if leader := c.leaders[op.key]; leader != nil && leader != op {
			c.join(op, leader)
		} else {
			c.start(op)
		}
	case effectGetAgain:
		c.getAgain(op)
	case effectHedge:
		c.hedge(op)
	case effectAwaitGet:
		op.fillState = fillFailed
	case effectServeCopy:
		note, wait := c.successNote(op, routing.NoteHit, 0)
		c.complete(op, op.id, routing.Succeeded, note, wait)
	case effectShareCopy:
		c.complete(op, c.sharedFrom, routing.Succeeded, routing.NoteCoalesced, c.now-op.startedAt)
	case effectAcquireLease:
		c.acquireLease(op)
	case effectWaitForHolder:
		c.waitForHolder(op)
	case effectFill:
		c.fill(op)
	case effectCompleteFill:
		c.completeFill(op)
	case effectFailFill:
		c.failFill(op)
	case effectForget:
		c.forget(op)
	case effectNone:
	}
}

// start sends a get to the store, or bypasses the store with a fill.
func (c *Coordinator) start(op *operation) {
	c.leave(op)
	if c.leaders[op.key] == nil {
		c.leaders[op.key] = op
	}
	if c.canSend(op.store, getCommands) && op.store.health.admit(op) {
		c.get(op)
		return
	}
	if op.source == 0 {
		// Without a source, no fill can bypass the store. Failing at once lets the request go elsewhere.
		c.reject(op)
		return
	}
	c.Counts.Bypassed++
	op.state = stateFilling
	c.fill(op)
}

func (c *Coordinator) getAgain(op *operation) {
	if c.canSend(op.store, getAgainCommands) {
		c.get(op)
		return
	}
	op.state = stateFilling
	c.fill(op)
}

func (c *Coordinator) get(op *operation) {
	c.Counts.Gets++
	c.countCommand(op.store)
	c.emit(Action{Kind: ActionGet, Operation: op.id})
	if op.source != 0 {
		c.setTimer(op, op.store.getTimeout(c.fillTime, op.objective-c.now))
	}
}

// hedge starts a fill in parallel with a late get. If no fill can start, the operation waits for the get alone.
func (c *Coordinator) hedge(op *operation) {
	isPastDeadline := c.now > op.startedAt && op.deadline <= c.now
	if op.source == 0 || isPastDeadline || !c.startFill(op) {
		op.state = stateGetting
	}
}

func (c *Coordinator) newOperation() *operation {
	last := len(c.freeOperations) - 1
	if last < 0 {
		return &operation{}
	}
	op := c.freeOperations[last]
	c.freeOperations = c.freeOperations[:last]
	return op
}

func (c *Coordinator) emit(action Action) { c.actions = append(c.actions, action) }

// setTimer sets the operation's timer, which replaces any earlier one.
func (c *Coordinator) setTimer(op *operation, delay time.Duration) {
	c.lastTimerID++
	op.timerID = c.lastTimerID
	c.emit(Action{Kind: ActionSetTimer, Operation: op.id, Delay: delay, TimerID: op.timerID})
}

// wallClock returns the current wall-clock time.
func (c *Coordinator) wallClock() Timestamp { return c.settings.Epoch + Timestamp(c.now/ms) }

// mayBePurged reports whether a copy may be older than a purge that this router does not know, though it counts as
// notified and its grace is over.
func (c *Coordinator) mayBePurged(generatedAt, validFrom Timestamp) bool {
	unknownUntil := c.purgesDue.UnknownUntil(c.now)
	return unknownUntil > 0 && max(generatedAt, validFrom) < c.settings.Epoch+Timestamp(unknownUntil/ms)+maxClockSkew
}

// isInFuture reports whether a copy's times are ahead of the wall clock. In that case a clock has been set back since,
// and the times prove nothing.
func (c *Coordinator) isInFuture(generatedAt, validFrom Timestamp) bool {
	return max(generatedAt, validFrom) > c.wallClock()+maxClockSkew
}
