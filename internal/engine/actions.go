package engine

import (
	"container/heap"

	"fennelarch/policy/routing"
)

// dispatch hands the router an event and carries out its actions, and those that follow from them.
func (e *Engine) dispatch(event *routing.Event) {
	e.actions = e.router.Handle(e.now, event, e.actions[:0])
	e.execute()
	e.dispatchPending()
}

// dispatchPending hands the router the events that carrying out its actions has caused.
func (e *Engine) dispatchPending() {
	for i := 0; i < len(e.pending); i++ {
		event := e.pending[i]
		e.actions = e.router.Handle(e.now, &event, e.actions[:0])
		e.execute()
	}
	e.pending = e.pending[:0]
}

// execute carries out the actions of the router's last call. What they cause becomes pending events.
func (e *Engine) execute() {
	for i := range e.actions {
		action := &e.actions[i]
		switch action.Kind {
		case routing.ActionLookup, routing.ActionSend, routing.ActionReject, routing.ActionFail, routing.ActionCancel:
			if request := e.requests[action.Request]; request != nil {
				e.executeOn(request, action)
			}
		case routing.ActionHealthCheck:
			e.transport.CheckHealth(action.Endpoint)
		case routing.ActionTimer:
			heap.Push(&e.timers, timer{at: e.now + action.Wait, routerTimer: action.Timer})
		case routing.ActionLog:
			e.log.Info(action.Text)
		case routing.ActionWatchEndpoints, routing.ActionPollEndpoints:
			// Endpoint lists are watched and polled without the engine, and come as messages.
		}
	}
}

// executeOn carries out an action on a request.
func (e *Engine) executeOn(request *activeRequest, action *routing.Action) {
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
	default: // no other action is on a request
	}
}
