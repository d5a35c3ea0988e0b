package admission

import "time"

// ConnID identifies a connection. The front end numbers connections from 1.
type ConnID uint64

// EventKind is the kind of an Event. The comment on each kind lists the fields of Event that are set.
type EventKind uint8

// The kinds of events.
const (
	EventArrival                      EventKind = iota // Conn, Peer, TLS: the kernel has accepted a connection
	EventHandshakeDone                                 // Conn, Peer, Elapsed: the TLS handshake has ended
	EventMessage                                       // Conn: a complete message was received
	EventRequest                                       // Conn, Elapsed: the client sent a request
	EventRequestEnd                                    // Conn, InTime, Rejected: an admitted request has ended
	EventRequestReleased                               // Conn, Bytes: its records and its body are no longer held
	EventIdleMessage                                   // Conn: the client sent a message that opened no request
	EventCancel                                        // Conn: the client cancelled an open request
	EventBody                                          // Conn, Bytes: the client sends the body of a request
	EventBodyReleased                                  // Conn, Bytes: an admitted body without a request is not held
	EventBusy                                          // Conn: a request is open or output is pending
	EventIdle                                          // Conn: no request is open and no output is pending
	EventClosed                                        // Conn: the connection was closed
	EventDescriptorsExhausted                          // the process or the system has run out of file descriptors
	EventUpstreamDescriptorsExhausted                  // there was no descriptor for a connection to an endpoint
	EventDescriptorAvailable                           // a descriptor is available
)

// Event is a change of a connection or of the file descriptors of the process.
type Event struct {
	Kind     EventKind
	Conn     ConnID
	Peer     Peer          // address or, after a handshake, client certificate; zero without a certificate
	TLS      bool          // the connection begins with a TLS handshake
	InTime   bool          // the request was served within its latency objective
	Rejected bool          // the request was rejected by the routing policy
	Bytes    int64         // length of the body
	Elapsed  time.Duration // CPU time of the handshake, or event queue delay of the request
}
