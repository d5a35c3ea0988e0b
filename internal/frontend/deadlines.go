package frontend

import "time"

// readDeadline returns the time by which the first message or a message that has begun must be complete, or else the
// time at which the connection has been idle for too long.
func (s *session) readDeadline(now time.Time) time.Time {
	if s.state == stateAwaitingMessage || s.input.Len() > 0 {
		return s.messageStartedAt.Add(s.shared.limits.MessageTimeout)
	}
	return now.Add(s.shared.limits.ClientIdleTimeout)
}

// handleReadTimeout releases unused memory and reports whether the connection may be closed: it is idle, or a message
// is still incomplete. In the latter case, all requests in flight fail.
func (s *session) handleReadTimeout() (mayClose bool) {
	s.input.Release()
	s.output.Release()
	if s.input.Len() > 0 {
		s.failInFlight()
		s.rejectIncomplete()
	}
	return s.input.Len() > 0 || s.isIdle()
}

// rejectIncomplete rejects a request of which only a part has arrived, if that part contains its tag. The rest may be
// on its way, and would get no response once the connection is closed.
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
