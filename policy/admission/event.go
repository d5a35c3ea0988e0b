package admission

import "time"

// ConnID identifies one connection; the front end numbers them from 1.
type ConnID uint64

// EventKind says what happened; the comment of each kind names the fields of Event that are set.
type EventKind uint8

// The kinds of events.
const (
	EventArrive                EventKind = iota // Conn, Peer, TLS: a connection was accepted by the system
	EventHandshakeDone                          // Conn, Peer (of the certificate, or none), Elapsed: the handshake is over
	EventMessage                                // Conn: a complete message came
	EventRequest                                // Conn, Elapsed (event queue delay): it wants to open a request
	EventRequestEnd                             // Conn, InTime, Rejected: one of its requests has its response
	EventBusy                                   // Conn: a request is open or something is to be written
	EventIdle                                   // Conn: nothing is any more
	EventClosed                                 // Conn
	EventNoDescriptors                          // no descriptor is left, in the process or the system
	EventNoUpstreamDescriptors                  // none is left for a connection to an endpoint
	EventDescriptorAvailable                    // a descriptor could be had again
)

// Event is one thing that happened to a connection or to the descriptors of the process.
type Event struct {
	Kind     EventKind
	Conn     ConnID
	Peer     Peer
	TLS      bool
	InTime   bool // the request was served within its latency objective
	Rejected bool // the request was rejected by the routing policy
	Elapsed  time.Duration
}
