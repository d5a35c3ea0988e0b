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

// requestOutcome is the way in which a request ended, for the report to the admission policy.
type requestOutcome uint8

const (
	outcomeFailed    requestOutcome = iota
	outcomeAbandoned                // cancelled, or its connection ended or failed
	outcomeServed
	outcomeRejected
)

// handleRequest opens a request if it is admitted and valid. The admission policy is asked before the request is
// parsed, because a rejected request must cost next to nothing.
func (s *session) handleRequest(tag engine.Tag, args [][]byte, arrivedAt time.Time) {
	if s.decoder.IsBodySkipped() {
		s.respondToSkippedBody(string(args[1]))
		return
	}
	if retryAfter, admitted := s.admit(admission.Event{Kind: admission.EventRequest}); !admitted {
		s.respondRejected(string(args[1]), retryAfter)
		return
	}
	request := s.parseRequest(args[2:])
	if request == nil || len(s.inFlight) >= s.shared.limits.OpenPerConnection || !s.shared.openID(request) {
		s.admit(admission.Event{Kind: admission.EventRequestEnd})
		s.admit(admission.Event{Kind: admission.EventRequestReleased})
		s.respondInvalid(args[1])
		return
	}
	if retryAfter, hasMemory := s.takeBody(request, args); !hasMemory {
		s.shared.answeredID(request)
		s.admit(admission.Event{Kind: admission.EventRequestEnd})
		request.OnDone()
		s.respondRejected(string(args[1]), retryAfter)
		return
	}
	request.ID = routing.RequestID(s.shared.lastRequestID.Add(1))
	request.Client, request.Tag, request.ReceivedAt = s.client, tag, arrivedAt
	request.Invariants = s.shared.monitor.NewRequest(
		uint64(request.ClientRequestID), arrivedAt.Add(request.Timeout), s.shared.classSettings[request.Class].repeatPolicy)
	if s.mayHaveLeft != nil {
		request.Invariants.WatchClient(func() bool { return s.mayHaveLeft(arrivedAt) })
	}
	s.inFlight[tag] = request
	s.messages = append(s.messages, request)
}

// sortedTags returns the tags of all requests in flight in ascending order.
func (s *session) sortedTags() []engine.Tag { return slices.Sorted(maps.Keys(s.inFlight)) }

// cancel abandons a request in flight, or removes its response if none of it is in the output ring yet.
func (s *session) cancel(tag engine.Tag) {
	if _, isInFlight := s.inFlight[tag]; isInFlight {
		s.admit(admission.Event{Kind: admission.EventCancel})
		s.abandon(tag, invariant.EndCancelled)
		return
	}
	s.admit(admission.Event{Kind: admission.EventIdleMessage})
	s.removePending(formatTag(tag))
}

// abandon ends a request in flight without waiting for the engine's response. If the engine already has the request, it
// is told to give up; otherwise it never gets the request.
func (s *session) abandon(tag engine.Tag, reason invariant.EndReason) {
	request := s.inFlight[tag]
	request.Invariants.End(reason, time.Now())
	if !s.removeMessage(request) {
		s.messages = append(s.messages, engine.ClientGone{Request: request.ID})
	}
	s.finish(tag, outcomeAbandoned)
}

// removeMessage removes a request from the messages for the engine and reports whether it was among them.
func (s *session) removeMessage(request *engine.Request) bool {
	index := slices.IndexFunc(s.messages, func(m engine.Message) bool { return m == engine.Message(request) })
	if index < 0 {
		return false
	}
	s.messages = slices.Delete(s.messages, index, index+1)
	request.OnDone() // the engine never gets it
	return true
}

// failInFlight fails all requests in flight, because the client's input is malformed or incomplete.
func (s *session) failInFlight() {
	for _, tag := range s.sortedTags() {
		s.abandon(tag, invariant.EndFailed)
		s.respondFailed(formatTag(tag))
	}
}

// finish removes a request from those in flight and reports its end to the admission policy.
func (s *session) finish(tag engine.Tag, outcome requestOutcome) {
	request := s.inFlight[tag]
	objective := s.shared.classSettings[request.Class].objectiveFor(request.SizeKB)
	isLate := time.Since(request.ReceivedAt) > objective
	s.admit(admission.Event{
		Kind:     admission.EventRequestEnd,
		InTime:   outcome == outcomeServed && !isLate,
		Rejected: outcome == outcomeRejected,
	})
	s.shared.answeredID(request)
	delete(s.inFlight, tag)
}
