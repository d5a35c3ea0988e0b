package frontend

import (
	"errors"
	"time"

	"fennelarch/internal/resp"
	"fennelarch/policy/admission"
)

// errTagInUse is returned if a tag is used again while its request is in flight, as the client could not tell the two
// responses apart.
var errTagInUse = errors.New("tag is in use")

// inputBuffer returns the buffer for the next read.
func (s *session) inputBuffer() []byte { return s.decoder.Buffer(&s.input) }

// addInput adds bytes that were read into inputBuffer to the input, without parsing them. arrivedAt is the earliest
// time at which they may have arrived.
func (s *session) addInput(bytes int, now, arrivedAt time.Time) {
	if s.state == stateEstablished && s.input.Len() == 0 {
		s.messageStartedAt = now
	}
	s.decoder.Commit(&s.input, bytes)
	s.arrivals.add(bytes, arrivedAt)
}

// isBackpressured reports whether the client must read its responses before more input is parsed.
func (s *session) isBackpressured() bool {
	return len(s.pendingResponses) >= s.shared.limits.PendingResponses
}

// parse handles the complete messages in the input; once the session is closed, it handles none. After an error the
// rest of the input is meaningless, and all requests in flight have failed.
func (s *session) parse(now time.Time) error {
	for !s.state.isClosed() && !s.isBackpressured() {
		args, err := s.decoder.Next(&s.input)
		if err == nil && args != nil {
			s.recordMessage(now)
			err = s.handleFrame(args, s.arrivals.takeArrivalTime(s.input.Len()-s.decoder.FrameBytes()))
			s.releaseBody() // unless the request has taken it
		}
		if err != nil {
			s.failInFlight()
		}
		if args == nil || err != nil {
			s.input.Shrink()
			return err
		}
	}
	return nil
}

// recordMessage records a complete message and reports the first one to the admission policy.
func (s *session) recordMessage(now time.Time) {
	s.messageStartedAt = now
	if s.state == stateAwaitingMessage {
		s.transition(signalMessage)
		s.admit(admission.Event{Kind: admission.EventMessage})
	}
}

// handleFrame handles one frame. An unusable frame gets a FAILED response under its tag. A frame without a tag, or with
// a tag in use, is an error, because the client could not attribute a response.
func (s *session) handleFrame(args [][]byte, arrivedAt time.Time) error {
	if len(args) < 2 || len(args[1]) > s.shared.limits.FieldBytes {
		return resp.ErrMalformed
	}
	tag, isTag := parseTag(args[1])
	if !isTag {
		s.respondInvalid(args[1])
		return nil
	}
	if string(args[0]) == verbCancel {
		s.cancel(tag)
		return nil
	}
	if _, isInFlight := s.inFlight[tag]; isInFlight {
		return errTagInUse
	}
	switch string(args[0]) {
	case verbPing:
		s.admit(admission.Event{Kind: admission.EventIdleMessage})
		s.enqueue(response{tag: string(args[1]), status: statusPong})
	case verbRequest:
		s.handleRequest(tag, args, arrivedAt)
	default:
		s.respondInvalid(args[1])
	}
	return nil
}

// respondInvalid fails a message that is no valid request.
func (s *session) respondInvalid(tag []byte) {
	s.admit(admission.Event{Kind: admission.EventIdleMessage})
	s.respondFailed(string(tag))
}
