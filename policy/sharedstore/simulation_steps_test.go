package sharedstore

import (
	"fmt"
	"slices"
	"time"

	"fennelarch/policy/routing"
)

// request starts an operation.
func (sim *simulation) request(source routing.EndpointID, objective, maxAge time.Duration) *simulatedRequest {
	sim.lastRequest++
	request := &simulatedRequest{
		id: sim.lastRequest, store: testStore, source: source, object: routing.ObjectID(1 + sim.draw(3)),
		startedAt: sim.now, objective: sim.now + objective,
	}
	if maxAge > 0 {
		request.minGeneratedAt = sim.wallClock() - Timestamp(maxAge/ms)
	}
	sim.requests[request.id] = request
	sim.handle(&Event{
		Kind: EventRequest, Operation: request.id, Endpoint: request.store, Source: source, Object: request.object,
		UntilObjective: objective, UntilDeadline: objective + time.Second, MaxAge: maxAge,
		OnlyIfCached: source == testOrigin && sim.draw(4) == 0,
	})
	return request
}

// reply answers the command or fill at index i of those in flight.
func (sim *simulation) reply(i int) {
	pending := sim.pending[i]
	sim.pending = slices.Delete(sim.pending, i, i+1)
	if pending.action.Kind == ActionStartFill {
		sim.replyToFill(pending)
		return
	}
	sim.inFlight[pending.store]--
	isBroken := !sim.isFaultFree && sim.draw(10) == 0
	failure := Reply(int(ReplyLoading) + sim.draw(int(ReplyDisconnected-ReplyLoading)+1))
	event := sim.commandResult(pending, isBroken)
	if isBroken {
		event.Reply = failure
	}
	sim.eventCounts[fmt.Sprint("reply ", event.Kind, event.Reply)]++
	sim.handle(&event)
}

func (sim *simulation) replyToFill(pending *pendingReply) {
	request := pending.request
	request.isFilling = false
	event := Event{
		Kind: EventFillDone, Operation: request.id, Elapsed: sim.now - pending.sentAt, Outcome: routing.Succeeded,
		Note: routing.NoteHit, BodyBytes: 100, GeneratedAt: sim.wallClock(),
	}
	if n := sim.draw(12); !sim.isFaultFree && n < 4 {
		failures := []routing.Outcome{
			routing.CacheMiss, routing.Overloaded, routing.ConnectionBroken, routing.TimedOut,
		}
		event = Event{
			Kind: EventFillDone, Operation: request.id, Elapsed: sim.now - pending.sentAt, Outcome: failures[n],
		}
	} else if n < 6 {
		event.GeneratedAt -= Timestamp(sim.draw(4000)) // the source had the copy cached
	}
	if event.Outcome == routing.Succeeded && request.completions == 0 {
		request.copyGeneratedAt = event.GeneratedAt
	}
	sim.handle(&event)
}

// commandResult returns the store's reply to a command. A command whose reply is broken stores no value.
func (sim *simulation) commandResult(pending *pendingReply, isBroken bool) Event {
	request, key := pending.request, copyKey{pending.request.object, 0}
	event := Event{Operation: request.id, Endpoint: pending.store, Elapsed: sim.now - pending.sentAt}
	switch pending.action.Kind {
	case ActionGet:
		event.Kind = EventGetDone
		if value := sim.values[key]; value != nil && sim.draw(12) > 0 {
			event.Reply, event.GeneratedAt, event.ValidFrom = ReplyHit, value.generatedAt, value.validFrom
			if !isBroken && request.completions == 0 {
				request.copyGeneratedAt = value.generatedAt
			}
		} else if event.Reply = ReplyMiss; sim.draw(6) == 0 {
			event.Reply = ReplyCorrupt
		}
	case ActionAcquireLease:
		event.Kind, event.Reply = EventLeaseDone, ReplyOK
		if sim.leases[key] > sim.now || sim.draw(5) == 0 {
			event.Reply = ReplyLeaseHeld
		} else {
			sim.leases[key] = sim.now + pending.action.TTL
		}
	case ActionSet:
		event.Kind, event.Reply = EventSetDone, ReplyOK
		if !isBroken {
			sim.values[key] = &storedValue{request.copyGeneratedAt, pending.action.ValidFrom}
		}
	default:
		sim.fail("action %d is not a command", pending.action.Kind)
	}
	return event
}

// advance moves the time forward and fires the timers that are due.
func (sim *simulation) advance(duration time.Duration) {
	for end := sim.now + duration; ; {
		next := -1
		for i, timer := range sim.timers {
			if timer.at <= end && (next < 0 || timer.at < sim.timers[next].at) {
				next = i
			}
		}
		if next < 0 {
			sim.now = end
			return
		}
		timer := sim.timers[next]
		sim.timers = slices.Delete(sim.timers, next, next+1)
		sim.now = max(sim.now, timer.at)
		sim.handle(&timer.event)
	}
}

// step draws one event and simulates it.
func (sim *simulation) step() {
	switch kind := sim.draw(40); {
	case kind < 12:
		source := []routing.EndpointID{testParent, testParent, testOrigin, 0}[sim.draw(4)]
		objective := time.Duration(20+sim.draw(600)) * ms
		sim.request(source, objective, time.Duration(sim.draw(3))*time.Second)
	case kind < 28 && len(sim.pending) > 0:
		sim.reply(sim.draw(len(sim.pending)))
	case kind < 34:
		sim.advance(time.Duration(sim.draw(40)) * ms)
	case kind == 34:
		sim.advance(time.Duration(sim.draw(2000)) * ms)
	case kind == 35:
		sim.purge()
	case kind == 36:
		sim.changeEndpointState()
	case kind == 37:
		sim.reconnect()
	case kind == 38 && sim.lastRequest > 0:
		sim.cancel()
	}
	if counted := sim.store().limit.inFlight; counted != sim.inFlight[testStore] {
		sim.fail("%d commands are in flight, %d counted", sim.inFlight[testStore], counted)
	}
}

func (sim *simulation) purge() {
	object := routing.ObjectID(1 + sim.draw(3))
	sim.purges[object] = sim.wallClock()
	sim.coordinator.RecordInvalidation(sim.now, Invalidation{Object: object, IssuedAt: sim.wallClock()})
}

func (sim *simulation) changeEndpointState() {
	id := []routing.EndpointID{testStore, testParent, testOrigin}[sim.draw(3)]
	state := routing.EndpointState(sim.draw(3))
	if sim.states[id] == state {
		return
	}
	sim.states[id], sim.stateSince[id] = state, sim.now
	sim.handle(&Event{Kind: EventEndpointState, Endpoint: id, State: state})
}

// reconnect simulates a new connection, to the same run of the store or to a new run with no values. The end of the
// previous connection may go unreported.
func (sim *simulation) reconnect() {
	if sim.draw(2) == 0 {
		sim.handle(&Event{Kind: EventDisconnected, Endpoint: testStore})
	}
	if sim.draw(3) == 0 {
		sim.runID++
		sim.values = map[copyKey]*storedValue{}
		sim.handle(&Event{Kind: EventConnected, Endpoint: testStore, RunID: sim.runID})
		return
	}
	sim.handle(&Event{Kind: EventConnected, Endpoint: testStore, RunID: sim.runID, Uptime: time.Hour})
}

func (sim *simulation) cancel() {
	request := sim.requests[OperationID(1+sim.draw(int(sim.lastRequest)))]
	if request.completions == 0 && !request.isCancelled {
		request.isCancelled = true
		sim.handle(&Event{Kind: EventCancel, Operation: request.id})
	}
}

// finish answers everything in flight without faults, and checks that nothing is left and that the store recovers.
func (sim *simulation) finish() {
	sim.isFaultFree = true
	for _, id := range []routing.EndpointID{testStore, testParent, testOrigin} {
		sim.states[id] = routing.Ready
		sim.handle(&Event{Kind: EventEndpointState, Endpoint: id, State: routing.Ready})
	}
	sim.handle(&Event{Kind: EventConnected, Endpoint: testStore, RunID: sim.runID, Uptime: time.Hour})
	for i := 0; i < 4000 && sim.coordinator.InFlight() > 0; i++ {
		if len(sim.pending) > 0 {
			sim.reply(0)
		} else {
			sim.advance(50 * ms)
		}
	}
	sim.advance(time.Minute)
	for len(sim.pending) > 0 {
		sim.reply(0) // the get of a probe, for instance
	}
	sim.checkNothingLeft()
	sim.checkRecovers()
}
