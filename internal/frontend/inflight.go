package frontend

import (
	"maps"
	"slices"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/invariant"
	"fennelarch/policy/admission"
	"fennelarch/policy/routing"
)

// requestOutcome is how a request ended, as reported to the admission policy.
type requestOutcome uint8

const (
	outcomeFailed    requestOutcome = iota
	outcomeAbandoned                // its client took it back or left
	outcomeServed
	outcomeRejected
)

// handleRequest opens a request, if it is admitted and can be used. The admission policy is asked before the request
// is read: one that is not admitted must cost next to nothing.
func (s *session) handleRequest(tag engine.Tag, args [][]byte, cameAt time.Time) {
	if retryAfter, admitted := s.admit(admission.Event{Kind: admission.EventRequest}); !admitted {
		s.respondRejected(string(args[1]), retryAfter)
		return
	}
	request := s.parseRequest(args[2:])
	if request == nil || len(s.inFlight) >= s.shared.limits.OpenPerConnection || !s.shared.claim(request) {
		s.admit(admission.Event{Kind: admission.EventRequestEnd})
		s.respondFailed(string(args[1]))
		return
	}
	request.ID = routing.RequestID(s.shared.lastRequestID.Add(1))
	request.Client, request.Tag, request.ReceivedAt = s.client, tag, cameAt
	request.Invariants = s.shared.monitor.NewRequest(
		uint64(request.ClientRequestID), cameAt.Add(request.Timeout), s.shared.classSettings[request.Class].repeat)
	s.inFlight[tag] = request
	s.messages = append(s.messages, request)
}

// sortedTags are the tags of all requests in flight.
func (s *session) sortedTags() []engine.Tag { return slices.Sorted(maps.Keys(s.inFlight)) }

// cancel gives a request up; a response of which nothing is in the stream yet is taken back.
func (s *session) cancel(tag engine.Tag) {
	if _, isInFlight := s.inFlight[tag]; isInFlight {
		s.abandon(tag, invariant.EndCancelled)
		return
	}
	s.removePending(formatTag(tag))
}

// abandon gives a request in flight up: no response of the engine is waited for. One that was not handed on yet never
// is.
func (s *session) abandon(tag engine.Tag, reason invariant.EndReason) {
	request := s.inFlight[tag]
	request.Invariants.End(reason, time.Now())
	if !s.removeMessage(request) {
		s.messages = append(s.messages, engine.ClientGone{Request: request.ID})
	}
	s.finish(tag, outcomeAbandoned)
}

// removeMessage takes a request out of what the engine is to be sent, and says whether it was there.
func (s *session) removeMessage(request *engine.Request) bool {
	index := slices.IndexFunc(s.messages, func(m engine.Message) bool { return m == engine.Message(request) })
	if index < 0 {
		return false
	}
	s.messages = slices.Delete(s.messages, index, index+1)
	return true
}

// failInFlight fails all that is in flight: the client has sent what can't be read, so that it could not tell what a
// response is for.
func (s *session) failInFlight() {
	for _, tag := range s.sortedTags() {
		s.abandon(tag, invariant.EndFailed)
		s.respondFailed(formatTag(tag))
	}
}

// finish takes a request out of those in flight and tells the admission policy how it ended.
func (s *session) finish(tag engine.Tag, outcome requestOutcome) {
	request := s.inFlight[tag]
	objective := s.shared.classSettings[request.Class].objectiveFor(request.SizeKB)
	isLate := time.Since(request.ReceivedAt) > objective
	s.admit(admission.Event{
		Kind:     admission.EventRequestEnd,
		InTime:   outcome == outcomeServed && !isLate,
		Rejected: outcome == outcomeRejected,
	})
	s.shared.release(request.ClientRequestID)
	delete(s.inFlight, tag)
}
