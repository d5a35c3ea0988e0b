package engine

import (
	"container/heap"
	"time"

	"fennelarch/policy/routing"
)

// attemptState is the state of an attempt.
type attemptState uint8

const (
	attemptInFlight  attemptState = iota
	attemptCompleted              // the transport or the local cache has reported a result
	attemptAborted                // the engine has aborted the attempt
	attemptStates
)

var attemptStateNames = [attemptStates]string{"in_flight", "completed", "aborted"}

// String returns the name of the state in logs.
func (s attemptState) String() string { return attemptStateNames[s] }

// attemptTransitions lists the valid transitions: an attempt ends only once.
var attemptTransitions = [attemptStates][attemptStates]bool{
	attemptInFlight: {attemptCompleted: true, attemptAborted: true},
}

// Attempt is one try to get a request served by an endpoint.
type Attempt struct {
	Request  *Request
	Number   routing.AttemptNumber
	Endpoint routing.EndpointID
	Source   routing.EndpointID // where the endpoint fills from; 0: no fill

	Deadline time.Time // when the attempt is aborted; the endpoint is sent the time left until then
	NotAfter time.Time // latest time to send the attempt; zero: no limit of its own

	MaxAge      time.Duration // of a copy; 0: the limit of the class
	CacheRank   uint8         // 0: the cache keeps no copy
	FillOptions routing.FillOptions

	TransportState any // used by the transport only

	SentAt time.Time     // when the engine started the attempt
	sentAt time.Duration // SentAt on the engine's clock
	state  attemptState
}

func (a *Attempt) hasEnded() bool { return a.state != attemptInFlight }

// endAttempt moves an attempt in flight to a final state. Any other transition is a violation and changes nothing.
func (e *Engine) endAttempt(request *activeRequest, attempt *Attempt, state attemptState) {
	if !attemptTransitions[attempt.state][state] {
		e.reportInvalidTransition(attempt.Request, "attempt", attempt.state, state)
		return
	}
	attempt.state = state
	request.attemptsInFlight--
}

// startAttempt starts the attempt that an action requests.
func (e *Engine) startAttempt(request *activeRequest, action *routing.Action) {
	attempt := e.newAttempt(request, action)
	request.attempts = append(request.attempts, attempt)
	request.attemptsInFlight++
	if !request.Invariants.IsOpen() { // the client has just left, and its ClientGone message has yet to be handled
		e.endAttempt(request, attempt, attemptAborted)
		e.pending = append(e.pending, attemptResultEvent(attempt, routing.NotSent))
		return
	}
	if attempt.Endpoint == routing.LocalCache {
		e.serveFromLocalCache(request, attempt)
		return
	}
	e.counts.Attempts++
	limit := e.startTime.Add(e.now + action.Timeout)
	if action.Timeout > 0 && limit.Before(attempt.Deadline) {
		attempt.Deadline = limit
		heap.Push(&e.timers, timer{at: e.now + action.Timeout, request: request.ID, attempt: attempt})
	}
	e.transport.Send(attempt)
}

func (e *Engine) newAttempt(request *activeRequest, action *routing.Action) *Attempt {
	attempt := &Attempt{
		Request:     request.Request,
		Number:      routing.AttemptNumber(len(request.attempts)),
		Endpoint:    action.Endpoint,
		Deadline:    e.startTime.Add(request.deadline),
		MaxAge:      action.MaxAge,
		CacheRank:   action.CacheRank,
		FillOptions: action.FillOptions,
		SentAt:      e.startTime.Add(e.now),
		sentAt:      e.now,
	}
	if action.StartWithin > 0 {
		attempt.NotAfter = e.startTime.Add(e.now + action.StartWithin)
	}
	if action.Kind == routing.ActionSend && action.Source != action.Endpoint {
		attempt.Source = action.Source
	}
	return attempt
}

// handleAttemptResult handles the result of an attempt that ended at endedAt on the engine's clock. It ignores the
// result of an attempt that has already ended, since a result and an abort can cross.
func (e *Engine) handleAttemptResult(result *AttemptResult, endedAt time.Duration) {
	attempt := result.Attempt
	if attempt.hasEnded() {
		return
	}
	request := e.requests[attempt.Request.ID]
	if result.Outcome == routing.Succeeded && request.isOpen() {
		e.respond(request, Response{Status: StatusOK, NotModified: result.NotModified, Body: result.Body})
	}
	if result.Outcome == routing.Succeeded && attempt.FillOptions&routing.StoreLocally != 0 {
		e.storeLocally(result)
	}
	e.endAttempt(request, attempt, attemptCompleted)
	event := attemptResultEvent(attempt, result.Outcome)
	event.Note = result.Note
	event.Final = !request.isOpen()
	event.Elapsed = max(0, min(endedAt, e.now)-attempt.sentAt)
	event.FirstByteWait = result.FirstByteWait
	event.LoadReport = result.LoadReport
	e.dispatch(&event)
	e.removeIfDone(request)
}

// abort aborts an attempt in flight and adds an event about its end to e.pending.
func (e *Engine) abort(attempt *Attempt, outcome routing.Outcome) {
	if attempt.hasEnded() {
		return
	}
	if written := e.transport.Abort(attempt); !written {
		outcome = routing.NotSent
	}
	request := e.requests[attempt.Request.ID]
	e.endAttempt(request, attempt, attemptAborted)
	event := attemptResultEvent(attempt, outcome)
	event.Final = !request.isOpen()
	event.Elapsed = e.now - attempt.sentAt
	e.pending = append(e.pending, event)
	e.removeIfDone(request)
}

// attemptResultEvent returns the event that tells the router how an attempt ended.
func attemptResultEvent(attempt *Attempt, outcome routing.Outcome) routing.Event {
	return routing.Event{
		Kind: routing.EventAttemptResult, Request: attempt.Request.ID, Attempt: attempt.Number,
		Endpoint: attempt.Endpoint, Outcome: outcome,
	}
}
