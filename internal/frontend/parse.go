package frontend

import (
	"errors"
	"time"

	"fennelarch/internal/resp"
	"fennelarch/policy/admission"
)

// errTagInUse says that a tag was used again while its request was in flight: no response under it could be
// distinguished from another.
var errTagInUse = errors.New("tag is in use")

// inputSpace is where what comes next is to be read into.
func (s *session) inputSpace() []byte { return s.input.Tail() }

// received says how much was read into the input space, and when it may have come at the earliest; nothing of it is
// parsed yet.
func (s *session) received(bytes int, now, cameAt time.Time) {
	if s.state == stateEstablished && s.input.Len() == 0 {
		s.messageBegan = now
	}
	s.input.Commit(bytes)
	s.arrivals.add(bytes, cameAt)
}

// isBackpressured says that the client must read its responses before more input is taken.
func (s *session) isBackpressured() bool {
	return len(s.pendingResponses) >= s.shared.limits.PendingResponses
}

// parse takes the complete messages that have come; of a closed connection none, as its client has gone. After an
// error nothing on the connection can be understood any more, and all that was in flight has failed.
func (s *session) parse(now time.Time) error {
	for !s.state.isClosed() && !s.isBackpressured() {
		args, err := s.decoder.Next(&s.input)
		if err == nil && args != nil {
			s.noteMessage(now)
			err = s.handleFrame(args, s.arrivals.takeTimeOf(s.input.Len()-s.decoder.FrameBytes()))
		}
		if err != nil {
			s.failInFlight()
		}
		if args == nil || err != nil {
			return err
		}
	}
	return nil
}

// noteMessage keeps account of a complete message; the first one is reported to the admission policy.
func (s *session) noteMessage(now time.Time) {
	s.messageBegan = now
	if s.state == stateAwaitingMessage {
		s.transition(signalMessage)
		s.admit(admission.Event{Kind: admission.EventMessage})
	}
}

// handleFrame takes one frame. What cannot be used gets a response under its tag; without a tag, or under one that is
// in use, no response could be distinguished from another.
func (s *session) handleFrame(args [][]byte, cameAt time.Time) error {
	if len(args) < 2 || len(args[1]) > s.shared.limits.FieldBytes {
		return resp.ErrFraming
	}
	tag, isTag := parseTag(args[1])
	if !isTag {
		s.respondFailed(string(args[1]))
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
		s.enqueue(response{tag: string(args[1]), status: statusPong})
	case verbRequest:
		s.handleRequest(tag, args, cameAt)
	default:
		s.respondFailed(string(args[1]))
	}
	return nil
}
