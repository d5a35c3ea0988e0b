package frontend

import (
	"bytes"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/resp"
	"fennelarch/policy/admission"
)

// The admission policy decides which request bodies are held. It is asked about a long body before that is read: a body
// that is not admitted is discarded as it arrives, and its request is rejected. An admitted body is held until the
// engine is done with its request, and so are the request's records.

// requestBody is the state of the body that is being received.
type requestBody struct {
	heldBytes  int // length of an admitted body whose request has not been forwarded
	isRejected bool
	retryAfter time.Duration // of a rejected one
}

// allocateBody returns the memory for a long body, given the strings before it.
func (s *session) allocateBody(head [][]byte, length int) ([]byte, resp.BodyDecision) {
	const stringsBeforeBody = 2 + bodyIndex // verb and tag first
	isRequest := len(head) == stringsBeforeBody && string(head[0]) == verbRequest
	if !isRequest || length > s.shared.limits.RequestBodyBytes {
		return nil, resp.BodySkipped
	}
	retryAfter, admitted := s.admit(admission.Event{Kind: admission.EventBody, Bytes: int64(length)})
	if !admitted {
		s.body = requestBody{isRejected: true, retryAfter: retryAfter}
		return nil, resp.BodySkipped
	}
	s.body = requestBody{heldBytes: length}
	return make([]byte, length), resp.BodyAllocated
}

// respondToSkippedBody rejects a request whose body was not admitted. Any other frame with a long last string is
// invalid.
func (s *session) respondToSkippedBody(tag string) {
	if s.body.isRejected {
		s.respondRejected(tag, s.body.retryAfter)
		return
	}
	s.respondInvalid([]byte(tag))
}

// takeBody gives a request its body, which is held from now on until the engine is done with the request. It reports
// false if the body is not admitted.
func (s *session) takeBody(request *engine.Request, args [][]byte) (retryAfter time.Duration, admitted bool) {
	release := admission.Event{Kind: admission.EventRequestReleased}
	request.OnDone = func() {
		s.shared.finishedID(request)
		s.admit(release)
	}
	if len(args) <= 2+bodyIndex || len(args[2+bodyIndex]) == 0 {
		return 0, true
	}
	body := args[2+bodyIndex]
	if s.body.heldBytes == 0 { // a short body, which is still in the input ring
		retryAfter, admitted := s.admit(admission.Event{Kind: admission.EventBody, Bytes: int64(len(body))})
		if !admitted {
			return retryAfter, false
		}
		body = bytes.Clone(body)
	}
	s.body = requestBody{}
	release.Bytes = int64(len(body))
	request.Body = body
	return 0, true
}

// releaseBody gives up the body that is being received, unless a request has taken it.
func (s *session) releaseBody() {
	if s.body.heldBytes > 0 {
		s.admit(admission.Event{Kind: admission.EventBodyReleased, Bytes: int64(s.body.heldBytes)})
	}
	s.body = requestBody{}
}
