package frontend

import (
	"slices"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/invariant"
)

// response is one that waits to be put into the output ring.
type response struct {
	tag    string
	status string
	fields string
	body   []byte
}

// backlogReserveParts: this part of the memory for responses is kept for clients of which next to nothing waits.
const backlogReserveParts = 8

func (s *session) enqueue(r response) { s.pendingResponses = append(s.pendingResponses, r) }

func (s *session) respondFailed(tag string) { s.enqueue(response{tag: tag, status: statusFailed}) }

// respondRejected rejects a request, and says when to retry where that is known.
func (s *session) respondRejected(tag string, retryAfter time.Duration) {
	s.enqueue(response{tag: tag, status: statusRejected, fields: retryAfterField(retryAfter)})
}

// respond adds the final response of a request, unless the client has given it up. One for which there is no memory
// fails.
func (s *session) respond(tag engine.Tag, from engine.Response) {
	request, isInFlight := s.inFlight[tag]
	if !isInFlight {
		return
	}
	hasRoom := s.hasBacklogRoom(len(from.Body))
	request.Invariants.End(endReasonOf(from, hasRoom), time.Now())
	s.finish(tag, outcomeOf(from.Status))
	tagText := formatTag(tag)
	switch {
	case from.Status == engine.StatusOK && from.NotModified:
		s.enqueue(response{tag: tagText, status: statusOK, fields: responseNotModified})
	case from.Status == engine.StatusOK && hasRoom:
		s.addBacklog(len(from.Body))
		s.enqueue(response{tag: tagText, status: statusOK, body: from.Body})
	case from.Status == engine.StatusRejected:
		s.respondRejected(tagText, from.RetryAfter)
	default:
		s.respondFailed(tagText)
	}
}

// endReasonOf is how a request ends by a response.
func endReasonOf(from engine.Response, hasRoom bool) invariant.EndReason {
	switch {
	case from.Status == engine.StatusOK && (hasRoom || from.NotModified):
		return invariant.EndServed
	case from.Status == engine.StatusRejected:
		return invariant.EndRejected
	}
	return invariant.EndFailed
}

func outcomeOf(status engine.Status) requestOutcome {
	switch status {
	case engine.StatusOK:
		return outcomeServed
	case engine.StatusRejected:
		return outcomeRejected
	default:
		return outcomeFailed
	}
}

// addBacklog counts bytes of response bodies that wait, or, if negative, no longer do.
func (s *session) addBacklog(bytes int) {
	s.backlogBytes += int64(bytes)
	s.shared.backlogBytes.Add(int64(bytes))
}

// hasBacklogRoom says whether there is memory for a response that waits. The last part of it is for clients of which
// next to nothing waits: one that does not read must not cost others their responses.
func (s *session) hasBacklogRoom(bytes int) bool {
	bounds := &s.shared.limits
	total := s.shared.backlogBytes.Load() + int64(bytes)
	if total <= bounds.ResponseBacklogBytes-bounds.ResponseBacklogBytes/backlogReserveParts {
		return true
	}
	return total <= bounds.ResponseBacklogBytes && s.backlogBytes+int64(bytes) <= int64(bounds.ResponseBodyBytes)
}

// removePending takes responses with a tag back of which nothing is in the stream.
func (s *session) removePending(tag string) {
	s.pendingResponses = slices.DeleteFunc(s.pendingResponses, func(pending response) bool {
		if pending.tag != tag {
			return false
		}
		s.addBacklog(-len(pending.body))
		return true
	})
}

// nextOutput is what is to be written next.
func (s *session) nextOutput() []byte { return s.output.Next(s.beginNextResponse) }

// wroteOutput says how much of it was written.
func (s *session) wroteOutput(bytes int) { s.output.Advance(bytes) }

// beginNextResponse puts the next response into the output ring; the body of the last one is in.
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
