package frontend

import (
	"slices"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/invariant"
)

// Input is held while the admission policy pauses a connection, or while its client does not read. It stays in the
// input ring and is looked through, so that a cancel is heard and a deadline is kept all the same.

// scanHeldInput gives up what the client cancels in messages that were not parsed yet. It returns the first of the
// deadlines of the requests among them, or the zero time if there is none.
func (s *session) scanHeldInput() (firstDeadline time.Time) {
	input, decoder := s.input.Copy(), s.decoder.Fresh()
	for {
		args, err := decoder.Next(&input)
		if args == nil || err != nil {
			return firstDeadline
		}
		if len(args) < 2 {
			continue
		}
		switch string(args[0]) {
		case verbCancel:
			s.cancelInFlight(args[1])
		case verbRequest:
			request := s.parseRequest(args[2:])
			if request == nil {
				continue
			}
			deadline := s.arrivals.timeOf(input.Len() - decoder.FrameBytes()).Add(request.Timeout)
			if firstDeadline.IsZero() || deadline.Before(firstDeadline) {
				firstDeadline = deadline
			}
		}
	}
}

// cancelInFlight gives up the request with a tag, if there is one.
func (s *session) cancelInFlight(tagText []byte) {
	tag, isTag := parseTag(tagText)
	if _, isInFlight := s.inFlight[tag]; isTag && isInFlight {
		s.abandon(tag, invariant.EndCancelled)
	}
}

// isStale says whether a request came so long ago that its client may have cancelled it since, in what has not been
// read yet.
func (s *session) isStale(request *engine.Request, now time.Time) bool {
	return now.Sub(request.ReceivedAt) > s.shared.limits.StaleReadAge
}

// hasStaleRequest says whether a stale request is about to be handed on.
func (s *session) hasStaleRequest(now time.Time) bool {
	return slices.ContainsFunc(s.messages, func(message engine.Message) bool {
		request, isRequest := message.(*engine.Request)
		return isRequest && s.isStale(request, now)
	})
}

// rejectStale rejects the stale requests: nothing of them has been sent, so that they may be retried.
func (s *session) rejectStale(now time.Time) {
	for _, message := range slices.Clone(s.messages) {
		request, isRequest := message.(*engine.Request)
		if isRequest && s.isStale(request, now) {
			s.removeMessage(request)
			s.respond(request.Tag, engine.Response{Status: engine.StatusRejected})
		}
	}
}
