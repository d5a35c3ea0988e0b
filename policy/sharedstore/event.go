package sharedstore

import (
	"time"

	"fennelarch/policy/routing"
)

// OperationID identifies one request to a store. The caller numbers operations from 1; 0 is none.
type OperationID uint64

// Timestamp is a wall-clock time in milliseconds since the Unix epoch; 0 is none.
type Timestamp int64

// Reply is the result of a command at a store.
type Reply uint8

// The replies of a store. From ReplyLoading on they are errors.
const (
	ReplyNone         Reply = iota
	ReplyHit                // a valid value; GeneratedAt and ValidFrom are set
	ReplyMiss               // no value
	ReplyCorrupt            // a value that is truncated, foreign, damaged or of a newer format
	ReplyOK                 // a lease was acquired or a value stored
	ReplyLeaseHeld          // another router holds the lease
	ReplyLoading            // the store is loading its data set
	ReplyOutOfMemory        // no memory for a value
	ReplyReadOnly           // the store takes no writes
	ReplyDenied             // authentication or permission is missing
	ReplyBusy               // the store is busy with a long command
	ReplyMoved              // the key belongs to another store of a cluster
	ReplyUnknownError       // any other error
	ReplyDisconnected       // the connection ended before the reply, or there was none
)

// EventKind says what happened. The comments name the fields of Event that are set.
type EventKind uint8

// The events that a Coordinator handles.
const (
	// EventRequest starts an operation: Operation, Endpoint, Object, Part, Group, Source, OnlyIfCached, UntilObjective,
	// UntilDeadline, MaxAge, TTL.
	EventRequest EventKind = iota
	// EventGetDone ends a get: Operation, Endpoint, Reply, GeneratedAt, ValidFrom, Elapsed.
	EventGetDone
	// EventLeaseDone ends the attempt to acquire a lease: Operation, Endpoint, Reply, Elapsed.
	EventLeaseDone
	// EventFillDone ends a fill: Operation, Outcome, Note, FirstByteWait, Elapsed, GeneratedAt, BodyBytes.
	EventFillDone
	// EventSetDone ends a set: Operation, Endpoint, Reply, Elapsed.
	EventSetDone
	// EventCancel abandons an operation: Operation.
	EventCancel
	// EventTimer reports a timer that was set by ActionSetTimer: Operation, or Endpoint where that is 0, and TimerID.
	EventTimer
	// EventConnected reports a new connection to a store: Endpoint, RunID, Uptime.
	EventConnected
	// EventDisconnected reports that a store cannot be reached: Endpoint.
	EventDisconnected
	// EventEndpointState reports what the endpoint list says of any endpoint: Endpoint, State.
	EventEndpointState
	// EventDataLost reports that a store lost its data without a restart: Endpoint.
	EventDataLost
)

// Event is one input of a Coordinator. Kind says which fields are set.
type Event struct {
	Kind           EventKind
	Operation      OperationID
	Endpoint       routing.EndpointID
	Source         routing.EndpointID // fills come from here, 0: no fill is possible
	OnlyIfCached   bool               // the source is to serve only what it has cached
	Object         routing.ObjectID
	Part           int
	Group          routing.GroupID
	UntilObjective time.Duration // time left until the request's latency objective
	UntilDeadline  time.Duration // time left until the attempt is abandoned
	MaxAge         time.Duration // oldest copy that will do, 0: any
	TTL            time.Duration // how long a copy of this class is usable, 0: until purged
	Reply          Reply
	Outcome        routing.Outcome
	Note           routing.Note
	FirstByteWait  time.Duration
	Elapsed        time.Duration // how long the command or the fill took
	GeneratedAt    Timestamp     // when the origin generated the copy
	ValidFrom      Timestamp     // no purge before this can have been missed by the copy
	BodyBytes      int
	RunID          uint64        // identifies one run of a store's process
	Uptime         time.Duration // how long that run has lasted
	State          routing.EndpointState
	TimerID        uint64
}

// isError says whether the command was not carried out.
func (r Reply) isError() bool { return r >= ReplyLoading }
