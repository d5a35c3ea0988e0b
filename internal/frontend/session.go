// Package frontend serves client connections: it accepts them under the admission policy, turns their bytes into
// requests for the engine, and writes the responses.
//
// A session is the state machine of one connection, apart from sockets: session.go has its life, parse.go and
// requestfields.go what comes in, inflight.go its open requests, responses.go what goes out, deadlines.go its time
// limits and heldinput.go what is done with input that may not be taken yet. A connection drives a session over a
// socket: reader.go and writer.go are its two goroutines. server.go, listener.go, admission.go, rejection.go and
// tls.go are what connections are accepted with. wireformat.go holds the words of the protocol.
package frontend

import (
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/invariant"
	"fennelarch/internal/resp"
	"fennelarch/policy/admission"
)

// session is the protocol state of one client connection: it is fed bytes, turns them into requests, and puts
// responses into the stream. It touches no socket, never waits, and decides nothing about a request.
type session struct {
	shared *sharedState
	client engine.Client    // whom the engine responds to
	connID admission.ConnID // for reports of invalid transitions
	state  connectionState

	// admit asks the admission policy whether a request may be opened, and tells it of its end.
	admit func(admission.Event) (retryAfter time.Duration, admitted bool)

	input        resp.Ring
	decoder      resp.Decoder
	arrivals     arrivals  // of what is in the input ring
	messageBegan time.Time // the one that is coming, or the last one, or the connection if none has come

	inFlight map[engine.Tag]*engine.Request
	messages []engine.Message // *engine.Request and engine.ClientGone, to be taken by the driver

	output           resp.Writer
	pendingResponses []response // nothing of them is in the output ring
	outputBodyBytes  int64      // length of the body that is being put into the output ring
	backlogBytes     int64      // of response bodies that are not in the output ring, of this session
}

func newSession(
	shared *sharedState, client engine.Client,
	admit func(admission.Event) (retryAfter time.Duration, admitted bool), now time.Time,
) *session {
	bounds := &shared.limits
	return &session{
		shared: shared, client: client, state: stateAwaitingMessage, admit: admit,
		input: resp.Ring{MaxBytes: bounds.ClientReadBuffer}, decoder: newDecoder(bounds), messageBegan: now,
		inFlight: map[engine.Tag]*engine.Request{},
		output:   resp.Writer{Ring: resp.Ring{MaxBytes: bounds.ClientWriteBuffer}},
	}
}

// isIdle says whether no request is in flight and no response waits to be written.
func (s *session) isIdle() bool {
	return s.state.isClosed() || len(s.inFlight) == 0 && len(s.pendingResponses) == 0 && s.output.Empty()
}

// mayClose says whether the session is idle and nothing has begun to come. A connection that has sent no message yet
// is about to, and has the grace to do so.
func (s *session) mayClose(now time.Time, grace time.Duration) bool {
	if !s.isIdle() || s.input.Len() > 0 {
		return false
	}
	return s.state != stateAwaitingMessage || grace <= 0 || now.Sub(s.messageBegan) >= grace
}

// takeMessages hands over what the engine is to be sent.
func (s *session) takeMessages() []engine.Message {
	messages := s.messages
	s.messages = nil
	return messages
}

// close gives up all that is in flight or waits to be written, as the connection is no more. Closing again does
// nothing more.
func (s *session) close() { s.closeWith(signalClose) }

// closeAsClientLeft is the same where the client was found to have closed the connection.
func (s *session) closeAsClientLeft() { s.closeWith(signalClientLeft) }

func (s *session) closeWith(signal connectionSignal) {
	s.transition(signal)
	for _, tag := range s.sortedTags() {
		s.abandon(tag, invariant.EndClientLeft)
	}
	for _, pending := range s.pendingResponses {
		s.outputBodyBytes += int64(len(pending.body))
	}
	s.addBacklog(int(-s.outputBodyBytes))
	s.pendingResponses, s.outputBodyBytes = nil, 0
}
