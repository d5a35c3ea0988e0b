package frontend

import "time"

// readDeadline is when the connection has been idle for too long, or what comes first, or has begun to come, should
// be complete.
func (s *session) readDeadline(now time.Time) time.Time {
	if s.state == stateAwaitingMessage || s.input.Len() > 0 {
		return s.messageBegan.Add(s.shared.limits.MessageTimeout)
	}
	return now.Add(s.shared.limits.ClientIdleTimeout)
}

// handleReadTimeout gives memory back while nothing is to be done, and says whether the connection may be closed: so
// it may where a message that should be complete by now is not. All that is in flight fails then.
func (s *session) handleReadTimeout() (mayClose bool) {
	s.input.Release()
	s.output.Release()
	if s.input.Len() > 0 {
		s.failInFlight()
		s.rejectIncomplete()
	}
	return s.input.Len() > 0 || s.isIdle()
}

// rejectIncomplete rejects a request of which only a part has come, if that part has its tag: its last bytes may be
// on their way, and nobody would respond to them any more.
func (s *session) rejectIncomplete() {
	args := s.decoder.Partial(&s.input)
	if len(args) < 2 || string(args[0]) != verbRequest || len(args[1]) > s.shared.limits.FieldBytes {
		return
	}
	tag, isTag := parseTag(args[1])
	if _, isInFlight := s.inFlight[tag]; isTag && !isInFlight {
		s.respondRejected(string(args[1]), 0)
	}
}
