package frontend

import (
	"slices"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/invariant"
)

// response is a response that waits to be copied into the output ring.
type response struct {
	tag    string
	status string
	fields string
	body   []byte
}

// backlogReserveParts is the number of parts into which the memory for response bodies is divided. One part is reserved
// for connections whose waiting bodies do not exceed ResponseBodyBytes.
const backlogReserveParts = 8

func (s *session) enqueue(r response) { s.pendingResponses = append(s.pendingResponses, r) }

func (s *session) respondFailed(tag string) { s.enqueue(response{tag: tag, status: statusFailed}) }

// respondRejected rejects a request. The response tells the client when to retry if retryAfter is positive.
func (s *session) respondRejected(tag string, retryAfter time.Duration) {
	s.enqueue(response{tag: tag, status: statusRejected, fields: retryAfterField(retryAfter)})
}

// respond enqueues the final response to a request, unless the request was abandoned. If there is no memory for the
// body, the request fails.
func (s *session) respond(tag engine.Tag, engineResponse engine.Response) {
	request, isInFlight := s.inFlight[tag]
	if !isInFlight {
		return
	}
	hasRoom := s.hasBacklogRoom(len(engineResponse.Body))
	reason := endReasonOf(engineResponse, hasRoom)
	request.Invariants.End(reason, time.Now())
	s.finish(tag, outcomeOf(reason))
	tagText := formatTag(tag)
	switch {
	case engineResponse.Status == engine.StatusOK && engineResponse.NotModified:
		s.enqueue(response{tag: tagText, status: statusOK, fields: responseNotModified})
	case engineResponse.Status == engine.StatusOK && hasRoom:
		s.addBacklog(len(engineResponse.Body))
		s.enqueue(response{tag: tagText, status: statusOK, body: engineResponse.Body})
	case engineResponse.Status == engine.StatusRejected:
		s.respondRejected(tagText, engineResponse.RetryAfter)
	default:
		s.respondFailed(tagText)
	}
}

// endReasonOf returns the end reason of a request that gets the given response.
func endReasonOf(engineResponse engine.Response, hasRoom bool) invariant.EndReason {
	switch {
	case engineResponse.Status == engine.StatusOK && (hasRoom || engineResponse.NotModified):
		return invariant.EndServed
	case engineResponse.Status == engine.StatusRejected:
		return invariant.EndRejected
	}
	return invariant.EndFailed
}

// outcomeOf returns the outcome to report for a request that got its final response. A response without memory for its
// body is a failure.
func outcomeOf(reason invariant.EndReason) requestOutcome {
	switch reason {
	case invariant.EndServed:
		return outcomeServed
	case invariant.EndRejected:
		return outcomeRejected
	default:
		return outcomeFailed
	}
}

// addBacklog adds to the number of waiting bytes of response bodies; a negative number subtracts.
func (s *session) addBacklog(bytes int) {
	s.backlogBytes += int64(bytes)
	s.shared.backlogBytes.Add(int64(bytes))
}

// hasBacklogRoom reports whether there is memory for a response body of the given length. The last part of the memory
// is reserved for connections with few waiting bytes, so that a client that does not read costs others no responses.
func (s *session) hasBacklogRoom(bytes int) bool {
	bounds := &s.shared.limits
	total := s.shared.backlogBytes.Load() + int64(bytes)
	if total <= bounds.ResponseBacklogBytes-bounds.ResponseBacklogBytes/backlogReserveParts {
		return true
	}
	return total <= bounds.ResponseBacklogBytes && s.backlogBytes+int64(bytes) <= int64(bounds.ResponseBodyBytes)
}

// removePending discards pending responses with the given tag.
func (s *session) removePending(tag string) {
	s.pendingResponses = slices.DeleteFunc(s.pendingResponses, func(pending response) bool {
		if pending.tag != tag {
			return false
		}
		s.addBacklog(-len(pending.body))
		return true
	})
}

// nextOutput returns the bytes to write next.
func (s *session) nextOutput() []byte { return s.output.Next(s.beginNextResponse) }

// advanceOutput removes bytes that were written from the output.
func (s *session) advanceOutput(bytes int) {
	s.output.Advance(bytes)
	if s.output.Empty() {
		s.output.Shrink()
	}
}

// beginNextResponse starts to copy the next response into the output ring, and reports whether there was one. The body
// of the previous response has been copied completely.
func (s *session) beginNextResponse() bool {
	s.addBacklog(int(-s.outputBodyBytes))
	s.outputBodyBytes = 0
	if len(s.pendingResponses) == 0 {
		return false
	}
	next := s.pendingResponses[0]
	s.pendingResponses = slices.Delete(s.pendingResponses, 0, 1)
	s.output.Put(next.body, []byte(next.tag), []byte(next.status), []byte(next.fields))
	s.outputBodyBytes = int64(len(next.body))
	return true
}
