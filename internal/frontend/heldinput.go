package frontend

import (
	"slices"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/invariant"
)

// Input is held while the admission policy pauses a connection or while the client does not read its responses. Held
// input stays unparsed in the input ring, but is scanned for cancels and deadlines.

// heldScan is the result of a scan of held input.
type heldScan struct {
	arrivedBytes  int64 // on the connection by then
	inputBytes    int   // held then
	firstDeadline time.Time
}

// scanHeldInput abandons the requests in flight that are cancelled in the held input. It returns the earliest deadline
// of the requests in the held input, or the zero time if there are none. The same input is scanned once.
func (s *session) scanHeldInput() (firstDeadline time.Time) {
	if s.lastScan.arrivedBytes != s.arrivals.totalBytes || s.lastScan.inputBytes != s.input.Len() {
		s.lastScan = heldScan{s.arrivals.totalBytes, s.input.Len(), s.scanInput()}
	}
	return s.lastScan.firstDeadline
}

// scanInput scans a copy of the input for scanHeldInput.
func (s *session) scanInput() (firstDeadline time.Time) {
	input, decoder := s.input.Copy(), s.decoder.ScanCopy()
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
			deadline := s.arrivals.arrivalTime(input.Len() - decoder.FrameBytes()).Add(request.Timeout)
			if firstDeadline.IsZero() || deadline.Before(firstDeadline) {
				firstDeadline = deadline
			}
		}
	}
}

// cancelInFlight abandons the request in flight with the given tag, if there is one.
func (s *session) cancelInFlight(tagText []byte) {
	tag, isTag := parseTag(tagText)
	if _, isInFlight := s.inFlight[tag]; isTag && isInFlight {
		s.abandon(tag, invariant.EndCancelled)
	}
}

// isStale reports whether a request arrived so long ago that the client may have cancelled it in input that has not
// been read yet.
func (s *session) isStale(request *engine.Request, now time.Time) bool {
	return now.Sub(request.ReceivedAt) > s.shared.limits.StaleReadAge
}

// hasRequest reports whether the messages for the engine contain a request.
func (s *session) hasRequest() bool {
	return slices.ContainsFunc(s.messages, func(message engine.Message) bool {
		_, isRequest := message.(*engine.Request)
		return isRequest
	})
}

// hasStaleRequest reports whether the messages for the engine contain a stale request.
func (s *session) hasStaleRequest(now time.Time) bool {
	return slices.ContainsFunc(s.messages, func(message engine.Message) bool {
		request, isRequest := message.(*engine.Request)
		return isRequest && s.isStale(request, now)
	})
}

// rejectStale rejects the stale requests among the messages for the engine. The engine has not seen them, so that they
// are safe to retry.
func (s *session) rejectStale(now time.Time) {
	for _, message := range slices.Clone(s.messages) {
		request, isRequest := message.(*engine.Request)
		if isRequest && s.isStale(request, now) {
			s.removeMessage(request)
			s.respond(request.Tag, engine.Response{Status: engine.StatusRejected})
		}
	}
}
