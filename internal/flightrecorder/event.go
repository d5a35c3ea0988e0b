package flightrecorder

import "time"

// Event is the kind of a recorded event. The comment at each value lists the fields that its entries set besides At.
type Event uint8

// The events, roughly in the order in which they occur to a request.
const (
	ConnectionAccepted   Event = iota // ID: the connection
	ConnectionClosed                  // ID: the connection, Reason: an invariant.CloseReason, Value: open requests
	RequestArrived                    // ID: the request, Value: ms until the client's deadline
	AttemptDenied                     // ID: the request, Endpoint, Attempt, Reason: an invariant.SendDenial
	AttemptSent                       // ID: the request, Endpoint, Attempt, Value: time limit sent to the server, in ms
	AttemptWritten                    // ID: the request, Endpoint, Attempt, Value: duration of the write, in ms
	AttemptEnded                      // ID: the request, Endpoint, Attempt, Reason: a routing.Outcome
	AttemptAborted                    // ID: the request, Endpoint, Attempt, Value: 1 if the attempt may have run
	RequestEnded                      // ID: the request, Reason: an invariant.EndReason, Value: ms until the deadline
	ServerDialled                     // Endpoint, Reason: a system.Fault, Value: duration of the dial, in ms
	ServerClosed                      // Endpoint, Reason: an invariant.CloseReason, Value: attempts in flight
	EndpointListReceived              // Value: number of endpoints in the list
	PurgeReceived                     // ID: the object, Value: the group
	ServerState                       // Endpoint, Reason: a routing.EndpointState
	Stalled                           // Value: duration of the stall, in ms
	ClockStepped                      // Value: size of the step in ms, negative for a step back
	Violation                         // ID: the request, connection or endpoint, Reason: an invariant.Violation
	eventCount
)

var eventNames = [eventCount]string{
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

// String returns the name under which an event is written out.
func (e Event) String() string { return eventNames[e] }

// Entry is one recorded event. Event determines which of the other fields are set.
type Entry struct {
	At       time.Duration // since the start of the recorder
	Event    Event
	Reason   uint8
	Attempt  uint8
	ID       uint64
	Endpoint uint64
	Value    int64
}
