package flightrecorder

import "time"

// Event says what happened. The comment at each names the fields of its Entry.
type Event uint8

// Events, in the order in which a request meets them.
const (
	ConnectionAccepted   Event = iota // ID: the connection
	ConnectionClosed                  // ID: the connection, Reason: an invariant.CloseReason, Value: requests open on it
	RequestArrived                    // ID: the request, Value: ms until the client's deadline
	AttemptDenied                     // Endpoint, Attempt, Reason: an invariant.SendDenial
	AttemptSent                       // Endpoint, Attempt, Value: the deadline sent, in ms
	AttemptWritten                    // Endpoint, Attempt, Value: ms that its bytes took
	AttemptEnded                      // Endpoint, Attempt, Reason: a routing.Outcome
	AttemptAborted                    // Endpoint, Attempt, Value: 1 if it may have run
	RequestEnded                      // Reason: an invariant.EndReason, Value: ms until the client's deadline
	ServerDialled                     // Endpoint, Reason: a system.Fault, Value: ms that it took
	ServerClosed                      // Endpoint, Reason: an invariant.CloseReason, Value: attempts in flight on it
	EndpointListReceived              // Value: endpoints in it
	PurgeReceived                     // ID: the object, Value: the group
	ServerState                       // Endpoint, Reason: a routing.EndpointState
	Stalled                           // Value: ms
	ClockStepped                      // Value: ms, negative for a step back
	Violation                         // ID: the request or connection, Reason: an invariant.Violation
	events
)

var eventNames = [events]string{
	ConnectionAccepted:   "connection accepted",
	ConnectionClosed:     "connection closed",
	RequestArrived:       "request arrived",
	AttemptDenied:        "attempt denied",
	AttemptSent:          "attempt sent",
	AttemptWritten:       "attempt written",
	AttemptEnded:         "attempt ended",
	AttemptAborted:       "attempt aborted",
	RequestEnded:         "request ended",
	ServerDialled:        "server dialled",
	ServerClosed:         "server closed",
	EndpointListReceived: "endpoint list received",
	PurgeReceived:        "purge received",
	ServerState:          "server state",
	Stalled:              "stalled",
	ClockStepped:         "clock stepped",
	Violation:            "VIOLATION",
}

// String is the name under which an event is written out.
func (e Event) String() string { return eventNames[e] }

// Entry is one recorded event.
type Entry struct {
	At       time.Duration // since the start of the recorder
	Event    Event
	Reason   uint8
	Attempt  uint8
	ID       uint64
	Endpoint uint64
	Value    int64
}
