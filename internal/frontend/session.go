// Package frontend serves client connections: it accepts them under the admission policy, turns their bytes into
// requests for the engine, and writes the responses.
//
// A session is the state machine of a connection and does no I/O. session.go holds its life cycle, parse.go and
// requestfields.go its input, inflight.go its open requests, responses.go its output, deadlines.go its time limits, and
// heldinput.go handles input that may not be parsed yet. A connection drives a session over a socket with two
// goroutines, in reader.go and writer.go. server.go, listener.go, admission.go, rejection.go and tls.go accept and
// reject connections. wireformat.go holds the client protocol.
package frontend

import (
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/invariant"
	"fennelarch/internal/resp"
	"fennelarch/policy/admission"
)

// session is the protocol state of a client connection. It turns input bytes into requests and responses into output
// bytes. It uses no socket, never blocks, and makes no decisions about requests.
type session struct {
	shared *sharedState
	client engine.Client    // receiver of the engine's responses
	connID admission.ConnID // for reports of invalid transitions
	state  connectionState

	// mayHaveLeft reports whether the client of a request received at a time has closed the connection, or may have
	// closed it or cancelled the request behind unread input. It may be nil.
	mayHaveLeft func(receivedAt time.Time) bool

	// admit passes an event to the admission policy. For EventRequest, it returns whether the request is admitted.
	admit func(admission.Event) (retryAfter time.Duration, admitted bool)

	input            resp.Ring
	decoder          resp.Decoder
	arrivals         arrivals // arrival times of the bytes in input
	lastScan         heldScan
	body             requestBody
	messageStartedAt time.Time // start of the incomplete message, else end of the last message or start of the connection

	inFlight map[engine.Tag]*engine.Request
	messages []engine.Message // *engine.Request and engine.ClientGone values for the engine, not yet taken

	output           resp.Writer
	pendingResponses []response // responses of which nothing is in the output ring yet
	outputBodyBytes  int64      // length of the body that is being copied into the output ring
	backlogBytes     int64      // total length of this session's response bodies that are not in the output ring yet
}

func newSession(
	shared *sharedState, client engine.Client,
	admit func(admission.Event) (retryAfter time.Duration, admitted bool), now time.Time,
) *session {
	bounds := &shared.limits
	s := &session{
		shared: shared, client: client, state: stateAwaitingMessage, admit: admit,
		input: resp.Ring{MaxBytes: bounds.ClientReadBuffer}, decoder: newDecoder(bounds), messageStartedAt: now,
		inFlight: map[engine.Tag]*engine.Request{},
		output:   resp.Writer{Ring: resp.Ring{MaxBytes: bounds.ClientWriteBuffer}},
	}
	s.decoder.AllocateBody = s.allocateBody
	return s
}

// isIdle reports whether no request is in flight and no response waits to be written.
func (s *session) isIdle() bool {
	return s.state.isClosed() || len(s.inFlight) == 0 && len(s.pendingResponses) == 0 && s.output.Empty()
}

// mayClose reports whether the session is idle and has no unparsed input. A connection that has not sent a message yet
// has the given grace to do so.
func (s *session) mayClose(now time.Time, grace time.Duration) bool {
	if !s.isIdle() || s.input.Len() > 0 {
		return false
	}
	return s.state != stateAwaitingMessage || grace <= 0 || now.Sub(s.messageStartedAt) >= grace
}

// takeMessages returns the messages for the engine and removes them from the session.
func (s *session) takeMessages() []engine.Message {
	messages := s.messages
	s.messages = nil
	return messages
}

// close abandons all requests in flight and discards pending responses, because the connection has ended. It may be
// called more than once.
func (s *session) close() { s.closeWith(signalClose) }

// closeAsClientLeft is like close, for a connection that the client was found to have closed.
func (s *session) closeAsClientLeft() { s.closeWith(signalClientLeft) }

func (s *session) closeWith(signal connectionSignal) {
	s.transition(signal)
	s.releaseBody()
	for _, tag := range s.sortedTags() {
		s.abandon(tag, invariant.EndClientLeft)
	}
	for _, pending := range s.pendingResponses {
		s.outputBodyBytes += int64(len(pending.body))
	}
	s.addBacklog(int(-s.outputBodyBytes))
	s.pendingResponses, s.outputBodyBytes = nil, 0
}
