package sharedstore

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fennelarch/policy/routing"
)

// simulation is the environment of a Coordinator: stores that give any reply at any time, sources, purges and an
// endpoint list, all driven by random draws. Each action is checked against the rules, and at the end nothing may be
// left in flight.
type simulation struct {
	coordinator *Coordinator
	now         time.Duration
	draw        func(n int) int // returns a number from 0 to n-1
	err         error           // the first rule that was broken
	requests    map[OperationID]*simulatedRequest
	lastRequest OperationID
	pending     []*pendingReply
	timers      []pendingTimer
	values      map[copyKey]*storedValue
	leases      map[copyKey]time.Duration // expiry of each lease
	states      map[routing.EndpointID]routing.EndpointState
	stateSince  map[routing.EndpointID]time.Duration
	purges      map[routing.ObjectID]Timestamp
	inFlight    map[routing.EndpointID]int
	runID       uint64          // of the current run of testStore
	commands    []time.Duration // the time at which each command was sent
	isFaultFree bool            // no command and no fill fails
	eventCounts map[string]int  // how often each kind of event happened
}

type simulatedRequest struct {
	id              OperationID
	store, source   routing.EndpointID
	object          routing.ObjectID
	startedAt       time.Duration
	objective       time.Duration
	minGeneratedAt  Timestamp
	completions     int // number of ActionComplete
	forgotten       int // number of ActionForget
	isCancelled     bool
	copyGeneratedAt Timestamp // of the copy that the operation has
	isFilling       bool
}

type pendingReply struct {
	action  Action
	request *simulatedRequest
	store   routing.EndpointID // 0: a fill
	sentAt  time.Duration
}

type pendingTimer struct {
	event Event
	at    time.Duration
}

type storedValue struct{ generatedAt, validFrom Timestamp }

const (
	testStore  routing.EndpointID = 11
	otherStore routing.EndpointID = 12
	testParent routing.EndpointID = 21
	testOrigin routing.EndpointID = 22
)

const epoch Timestamp = 1_700_000_000_000

func testSettings() Settings {
	return Settings{
		Routers: 4, Capacity: 1000, SlowStartShare: 0.1, SlowStartDuration: 5 * time.Second, OverloadFactor: 1,
		MaxInFlight: 64, MaxValueBytes: 1 << 18, MaxTTL: 10 * time.Minute, DrainGrace: time.Second,
		PurgeCompleteAfter: time.Second, UseLease: true, Epoch: epoch,
	}
}

// newSimulation returns a simulation with both stores connected. The function plantFault may change the Coordinator to
// plant a fault; nil plants none.
func newSimulation(draw func(int) int, plantFault func(*Coordinator)) *simulation {
	sim := &simulation{
		coordinator: New(testSettings(), 7, testStore, otherStore),
		draw:        draw,
		now:         time.Second,
		requests:    map[OperationID]*simulatedRequest{},
		values:      map[copyKey]*storedValue{},
		leases:      map[copyKey]time.Duration{},
		states:      map[routing.EndpointID]routing.EndpointState{},
		stateSince:  map[routing.EndpointID]time.Duration{},
		purges:      map[routing.ObjectID]Timestamp{},
		inFlight:    map[routing.EndpointID]int{},
		runID:       1,
		eventCounts: map[string]int{},
	}
	if plantFault != nil {
		plantFault(sim.coordinator)
	}
	for _, id := range []routing.EndpointID{testStore, otherStore, testParent, testOrigin} {
		sim.states[id] = routing.Ready
		sim.handle(&Event{Kind: EventEndpointState, Endpoint: id, State: routing.Ready})
	}
	for _, id := range []routing.EndpointID{testStore, otherStore} {
		sim.handle(&Event{Kind: EventConnected, Endpoint: id, RunID: 1, Uptime: time.Hour})
	}
	return sim
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.err == nil {
		sim.err = fmt.Errorf("at %v: %s", sim.now, fmt.Sprintf(format, args...))
	}
}

func (sim *simulation) wallClock() Timestamp { return epoch + Timestamp(sim.now/ms) }

// store returns the status of the store that requests go to.
func (sim *simulation) store() *storeStatus { return sim.coordinator.stores[0] }

func (sim *simulation) handle(event *Event) {
	actions := slices.Clone(sim.coordinator.Handle(sim.now, event, nil))
	for i := range actions {
		sim.check(&actions[i])
	}
}

// check verifies that an action is allowed, and carries out the action.
func (sim *simulation) check(action *Action) {
	request := sim.requests[action.Operation]
	switch action.Kind {
	case ActionSetTimer:
		sim.checkTimer(action)
	case ActionGet, ActionAcquireLease, ActionSet, ActionReleaseLease:
		sim.checkCommand(request, action)
	case ActionStartFill:
		sim.checkFill(request, action)
	case ActionAbortFill:
		request.isFilling = false
		sim.pending = slices.DeleteFunc(sim.pending, func(reply *pendingReply) bool {
			return reply.request == request && reply.action.Kind == ActionStartFill
		})
	case ActionComplete:
		sim.checkCompletion(request, action)
	case ActionForget:
		sim.checkForget(request)
	case ActionAnnounceStart:
		sim.eventCounts["start announced"]++
	case ActionLog:
	}
}

func (sim *simulation) checkTimer(action *Action) {
	event := Event{
		Kind: EventTimer, Operation: action.Operation, Endpoint: action.Endpoint, TimerID: action.TimerID,
	}
	sim.timers = append(sim.timers, pendingTimer{event, sim.now + action.Delay})
	if action.Delay < 0 {
		sim.fail("a timer is set in the past")
	}
}

func (sim *simulation) checkCommand(request *simulatedRequest, action *Action) {
	if sim.states[request.store] != routing.Ready && sim.now > sim.stateSince[request.store] {
		sim.fail("a command is sent to a store that is draining")
	}
	if request.forgotten > 0 {
		sim.fail("a command is sent for a forgotten operation")
	}
	if action.Kind == ActionReleaseLease {
		delete(sim.leases, copyKey{request.object, 0})
	} else {
		sim.inFlight[request.store]++
		reply := &pendingReply{action: *action, request: request, store: request.store, sentAt: sim.now}
		sim.pending = append(sim.pending, reply)
	}
	sim.commands = append(sim.commands, sim.now)
	if action.Kind == ActionSet {
		if action.TTL <= 0 || action.TTL > sim.coordinator.settings.MaxTTL {
			sim.fail("a copy is stored with a TTL of %v", action.TTL)
		}
		if action.ValidFrom < request.copyGeneratedAt || action.ValidFrom > sim.wallClock() {
			sim.fail("a copy is stored as valid from %d", action.ValidFrom)
		}
	}
}

func (sim *simulation) checkFill(request *simulatedRequest, action *Action) {
	if request.isFilling {
		sim.fail("one operation has two fills in flight")
	}
	source := request.source
	if source == 0 {
		sim.fail("a fill starts without a source")
	}
	wasDraining := sim.stateSince[source] <= request.startedAt
	isInGrace := sim.now-request.startedAt <= sim.coordinator.settings.DrainGrace/10
	if sim.states[source] != routing.Ready && (!wasDraining || !isInGrace) {
		sim.fail("a fill starts from a source that has been draining for %v", sim.now-sim.stateSince[source])
	}
	if purgedAt := sim.purges[request.object]; purgedAt > 0 && sim.wallClock() > purgedAt+1 {
		if action.MaxAge == 0 || sim.wallClock()-Timestamp(action.MaxAge/ms) <= purgedAt {
			sim.fail("a fill may return a copy from before a purge")
		}
	}
	request.isFilling = true
	sim.pending = append(sim.pending, &pendingReply{action: *action, request: request, sentAt: sim.now})
}

func (sim *simulation) checkCompletion(request *simulatedRequest, action *Action) {
	request.completions++
	if request.completions > 1 || request.isCancelled {
		sim.fail("operation %d completes again or after its cancellation", action.Operation)
	}
	sim.eventCounts[fmt.Sprint("end ", action.Outcome)]++
	if action.Outcome != routing.Succeeded {
		return
	}
	from := sim.requests[action.CopyFrom]
	if from == nil || from.object != request.object || from.forgotten > 0 {
		sim.fail("an operation is answered with a copy that does not exist")
		return
	}
	if purgedAt := sim.purges[request.object]; from.copyGeneratedAt <= purgedAt {
		sim.fail("a copy generated at %d is served, but the object was purged at %d", from.copyGeneratedAt, purgedAt)
	}
	if action.Note == routing.NoteHit && from.copyGeneratedAt < request.minGeneratedAt {
		sim.fail("a copy older than the maximum age is served")
	}
	if action.CopyFrom != action.Operation {
		sim.eventCounts["shared"]++
	}
}

func (sim *simulation) checkForget(request *simulatedRequest) {
	request.forgotten++
	if request.forgotten > 1 {
		sim.fail("operation %d is forgotten twice", request.id)
	}
	if request.completions == 0 && !request.isCancelled {
		sim.fail("operation %d is forgotten before it completes", request.id)
	}
	if request.isFilling {
		sim.fail("operation %d is forgotten with a fill in flight", request.id)
	}
}

// checkNothingLeft verifies, after everything was answered, that no operation and no fill is left.
func (sim *simulation) checkNothingLeft() {
	for _, request := range sim.requests {
		if request.completions == 0 && !request.isCancelled {
			sim.fail("operation %d never completes", request.id)
		}
		if request.forgotten == 0 {
			sim.fail("operation %d is never forgotten", request.id)
		}
	}
	for _, limit := range sim.coordinator.fillLimits {
		if limit.inFlight != 0 {
			sim.fail("%d fills are still counted as in flight", limit.inFlight)
		}
	}
	if count := len(sim.coordinator.leaders); count > 0 {
		sim.fail("%d leaders are left", count)
	}
}

// checkRecovers verifies that a store without faults becomes ready again, so that no health state is a dead end.
func (sim *simulation) checkRecovers() {
	for range 40 {
		if sim.store().health.state == healthReady {
			return
		}
		sim.advance(maxBackoff * 2)
		sim.request(testParent, time.Second, 0)
		for len(sim.pending) > 0 {
			sim.advance(ms / 4)
			sim.reply(0)
		}
	}
	sim.fail("a store without faults stays %s", sim.store().health.state)
}

// The draws of the simulation do lead to shared copies, successes and misses, so that its checks cover them.
func TestSimulationDraws(t *testing.T) {
	seen := map[string]int{}
	for seed := range uint64(40) {
		for kind, count := range simulate(seededDraw(seed), 300, nil).eventCounts {
			seen[kind] += count
		}
	}
	for _, kind := range []string{"shared", fmt.Sprint("end ", routing.Succeeded), fmt.Sprint("end ", routing.CacheMiss)} {
		if seen[kind] == 0 {
			t.Errorf("%q does not happen in any simulation", kind)
		}
	}
}
