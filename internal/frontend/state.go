package frontend

// connectionState is the phase of a client connection.
type connectionState uint8

const (
	stateHandshaking     connectionState = iota // the TLS handshake is not over
	stateAwaitingMessage                        // no complete message has come yet
	stateEstablished                            // a complete message has come
	stateClosed                                 // it is no longer in use, whoever ended it
	stateClientLeft                             // its client was found to have left while its input was held
	connectionStateCount
)

var connectionStateNames = [connectionStateCount]string{
	"handshaking", "awaiting_message", "established", "closed", "client_left",
}

// String is the name under which a state is logged.
func (s connectionState) String() string { return connectionStateNames[s] }

// isClosed says whether nothing is read or written any more.
func (s connectionState) isClosed() bool { return s == stateClosed || s == stateClientLeft }

// connectionSignal is what changes the state of a client connection.
type connectionSignal uint8

const (
	signalHandshakeDone connectionSignal = iota
	signalMessage                        // a complete message came
	signalClose                          // the connection is given up, or broken
	signalClientLeft                     // the client was found to have left
	connectionSignalCount
)

var connectionSignalNames = [connectionSignalCount]string{"handshake_done", "message", "close", "client_left"}

// String is the name under which a signal is logged.
func (s connectionSignal) String() string { return connectionSignalNames[s] }

// invalidState marks the transitions that no order of events can bring about.
const invalidState = connectionStateCount

// connectionTransitions says which state follows. Closing is possible in each state and as often as one likes.
var connectionTransitions = [connectionStateCount][connectionSignalCount]connectionState{
	//                    handshake done        message           close            client left
	stateHandshaking:     {stateAwaitingMessage, invalidState, stateClosed, invalidState},
	stateAwaitingMessage: {invalidState, stateEstablished, stateClosed, stateClientLeft},
	stateEstablished:     {invalidState, stateEstablished, stateClosed, stateClientLeft},
	stateClosed:          {invalidState, invalidState, stateClosed, stateClientLeft},
	stateClientLeft:      {invalidState, invalidState, stateClientLeft, stateClientLeft},
}

// transition follows the table. An invalid transition leaves the state as it is and is counted.
func (s *session) transition(signal connectionSignal) {
	next := connectionTransitions[s.state][signal]
	if next == invalidState {
		s.shared.reportInvalidTransition(s.connID, s.state, signal)
		return
	}
	s.state = next
}
