package engine

import (
	"container/heap"

	"fennelarch/policy/routing"
)

// dispatch passes an event to the router and carries out the actions it returns, then does the same for the events that
// result.
func (e *Engine) dispatch(event *routing.Event) {
	e.actions = e.router.Handle(e.now, event, e.actions[:0])
	e.execute()
	e.dispatchPending()
}

// dispatchPending passes the pending events to the router, including those that its actions add.
func (e *Engine) dispatchPending() {
	for i := 0; i < len(e.pending); i++ {
		event := e.pending[i]
		e.actions = e.router.Handle(e.now, &event, e.actions[:0])
		e.execute()
	}
	e.pending = e.pending[:0]
}

// execute carries out the actions that the router's last call returned. Events that result are added to e.pending.
func (e *Engine) execute() {
	for i := range e.actions {
		action := &e.actions[i]
		switch action.Kind {
		case routing.ActionLookup, routing.ActionSend, routing.ActionReject, routing.ActionFail, routing.ActionCancel:
			if request := e.requests[action.Request]; request != nil {
				e.executeRequestAction(request, action)
			}
		case routing.ActionHealthCheck:
			e.transport.CheckHealth(action.Endpoint)
		case routing.ActionTimer:
			heap.Push(&e.timers, timer{at: e.now + action.Wait, routerTimer: action.Timer})
		case routing.ActionLog:
			e.log.Info(action.Text)
		case routing.ActionWatchEndpoints, routing.ActionPollEndpoints:
			// Endpoint lists are fetched outside the engine and arrive as EndpointList messages.
		}
	}
}

// executeRequestAction carries out an action that concerns a request.
func (e *Engine) executeRequestAction(request *activeRequest, action *routing.Action) {
	switch action.Kind {
	case routing.ActionLookup, routing.ActionSend:
		if request.isOpen() {
			e.startAttempt(request, action)
		}
	case routing.ActionReject:
		e.respond(request, Response{Status: StatusRejected, RetryAfter: action.Wait})
		e.removeIfDone(request)
	case routing.ActionFail:
		e.respond(request, Response{Status: StatusFailed})
		e.removeIfDone(request)
	case routing.ActionCancel:
		if int(action.Attempt) < len(request.attempts) {
			e.abort(request.attempts[action.Attempt], routing.Cancelled)
		}
	default: // no other action concerns a request
	}
}
