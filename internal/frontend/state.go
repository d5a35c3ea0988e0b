package frontend

// connectionState is the phase of a client connection.
type connectionState uint8

const (
	stateHandshaking     connectionState = iota // the TLS handshake has not ended
	stateAwaitingMessage                        // no complete message received yet
	stateEstablished                            // a complete message was received
	stateClosed                                 // no longer in use, whichever side ended the connection
	stateClientLeft                             // the client was found to have left while input was read ahead
	connectionStateCount
)

var connectionStateNames = [connectionStateCount]string{
	"handshaking", "awaiting_message", "established", "closed", "client_left",
}

// String returns the name of the state in the log.
func (s connectionState) String() string { return connectionStateNames[s] }

// isClosed reports whether the connection is no longer read or written.
func (s connectionState) isClosed() bool { return s == stateClosed || s == stateClientLeft }

// connectionSignal is an input of the state machine of a client connection.
type connectionSignal uint8

const (
	signalHandshakeDone connectionSignal = iota
	signalMessage                        // a complete message was received
	signalClose                          // the connection is closed or broken
	signalClientLeft                     // the client was found to have left
	connectionSignalCount
)

var connectionSignalNames = [connectionSignalCount]string{"handshake_done", "message", "close", "client_left"}

// String returns the name of the signal in the log.
func (s connectionSignal) String() string { return connectionSignalNames[s] }

// invalidState marks transitions that no sequence of events can cause.
const invalidState = connectionStateCount

// connectionTransitions holds the next state for each state and signal. A connection may be closed in any state and
// more than once.
var connectionTransitions = [connectionStateCount][connectionSignalCount]connectionState{
	//                    handshake done        message           close            client left
	stateHandshaking:     {stateAwaitingMessage, invalidState, stateClosed, invalidState},
	stateAwaitingMessage: {invalidState, stateEstablished, stateClosed, stateClientLeft},
	stateEstablished:     {invalidState, stateEstablished, stateClosed, stateClientLeft},
	stateClosed:          {invalidState, invalidState, stateClosed, stateClientLeft},
	stateClientLeft:      {invalidState, invalidState, stateClientLeft, stateClientLeft},
}

// transition applies a signal. An invalid signal leaves the state unchanged and is reported.
func (s *session) transition(signal connectionSignal) {
	next := connectionTransitions[s.state][signal]
	if next == invalidState {
		s.shared.reportInvalidTransition(s.connID, s.state, signal)
		return
	}
	s.state = next
}
