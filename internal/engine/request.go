package engine

import (
	"container/heap"
	"fmt"
	"time"

	"fennelarch/internal/invariant"
	"fennelarch/policy/routing"

	"go.uber.org/zap"
)

// requestState is the state of a request.
type requestState uint8

const (
	requestOpen      requestState = iota // the client is waiting
	requestResponded                     // the final response has been given to the client
	requestCancelled                     // the client no longer waits
	requestStates
)

var requestStateNames = [requestStates]string{"open", "responded", "cancelled"}

// String returns the name of the state in logs.
func (s requestState) String() string { return requestStateNames[s] }

// requestTransitions lists the valid transitions. A closed request never changes its state again, and is removed once
// none of its attempts is in flight.
var requestTransitions = [requestStates][requestStates]bool{
	requestOpen: {requestResponded: true, requestCancelled: true},
}

// activeRequest is a request that is open or has attempts in flight.
type activeRequest struct {
	*Request
	deadline         time.Duration
	state            requestState
	attempts         []*Attempt // by number
	attemptsInFlight int
}

func (r *activeRequest) isOpen() bool { return r.state == requestOpen }

// closeRequest moves an open request to a closed state. Any other transition is a violation and changes nothing.
func (e *Engine) closeRequest(request *activeRequest, state requestState) (closed bool) {
	if !requestTransitions[request.state][state] {
		e.reportInvalidTransition(request.Request, "request", request.state, state)
		return false
	}
	request.state = state
	e.inFlight.Add(-1)
	return true
}

func (e *Engine) reportInvalidTransition(request *Request, subject string, from, to fmt.Stringer) {
	e.monitor.RecordViolation(invariant.InvalidTransition, uint64(request.ClientRequestID),
		zap.String("of", subject), zap.Stringer("from", from), zap.Stringer("to", to))
}

func (e *Engine) handleRequest(request *Request) {
	if !request.Invariants.IsOpen() { // the client left while the request was in the queue
		e.counts.Requests++
		e.counts.ClientCancelled++
		request.done()
		return
	}
	deadline := min(e.shutdownDeadline, request.ReceivedAt.Sub(e.startTime)+request.Timeout)
	e.requests[request.ID] = &activeRequest{Request: request, deadline: deadline}
	e.inFlight.Add(1)
	e.counts.Requests++
	heap.Push(&e.timers, timer{at: deadline, request: request.ID})
	e.dispatch(&routing.Event{
		Kind: routing.EventRequest, Request: request.ID, Class: request.Class, Tenant: request.Tenant,
		Object: request.Object, Group: request.Group, Part: request.Part, SizeKB: request.SizeKB,
		TimeLeft: deadline - e.now, Repeat: request.Repeat, Write: request.Write,
	})
}

// respond gives the final response to the client.
func (e *Engine) respond(request *activeRequest, response Response) {
	if !e.closeRequest(request, requestResponded) {
		return
	}
	switch response.Status {
	case StatusOK:
		e.counts.Succeeded++
	case StatusRejected:
		e.counts.Rejected++
	default:
		e.counts.Failed++
	}
	request.Client.Respond(request.Tag, response)
}

// expireRequest ends a request whose deadline has passed. Its attempts time out. If the router does not respond to the
// request when it is told of the timeouts, the request fails.
func (e *Engine) expireRequest(id routing.RequestID) {
	request := e.requests[id]
	if request == nil || !request.isOpen() {
		return
	}
	for _, attempt := range request.attempts {
		e.abort(attempt, routing.TimedOut)
	}
	e.dispatchPending()
	if request.isOpen() {
		e.respond(request, Response{Status: StatusFailed})
		e.dispatchClientGone(request)
	}
}

func (e *Engine) handleClientGone(message ClientGone) {
	request := e.requests[message.Request]
	if request == nil || !request.isOpen() {
		return
	}
	e.counts.ClientCancelled++
	e.closeRequest(request, requestCancelled)
	e.dispatchClientGone(request)
}

// dispatchClientGone tells the router that a closed request needs no further work.
func (e *Engine) dispatchClientGone(request *activeRequest) {
	e.dispatch(&routing.Event{Kind: routing.EventClientGone, Request: request.ID})
	e.removeIfDone(request)
}

// removeIfDone removes a request that is closed and has no attempt in flight.
func (e *Engine) removeIfDone(request *activeRequest) {
	if e.requests[request.ID] == request && !request.isOpen() && request.attemptsInFlight == 0 {
		delete(e.requests, request.ID)
		request.done()
	}
}
