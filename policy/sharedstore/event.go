package sharedstore

import (
	"time"

	"fennelarch/policy/routing"
)

// OperationID identifies one request to a store. The caller numbers operations from 1; 0 means no operation.
type OperationID uint64

// Timestamp is a wall-clock time in milliseconds since the Unix epoch; 0 means no time.
type Timestamp int64

// Reply is a store's reply to a command.
type Reply uint8

// The replies of a store. ReplyLoading and all replies after it are errors.
const (
	ReplyNone         Reply = iota
	ReplyHit                // a valid value; GeneratedAt and ValidFrom are set
	ReplyMiss               // no value
	ReplyCorrupt            // a value that is truncated, damaged, in a newer format or not written by a router
	ReplyOK                 // a lease was acquired or a value stored
	ReplyLeaseHeld          // another router holds the lease
	ReplyLoading            // the store is loading its data set
	ReplyOutOfMemory        // the store has no memory left for a value
	ReplyReadOnly           // the store accepts no writes
	ReplyDenied             // authentication failed or a permission is missing
	ReplyBusy               // the store is busy with a long-running command
	ReplyMoved              // another store of a cluster has the key
	ReplyUnknownError       // any other error
	ReplyDisconnected       // the connection ended before the reply, or there was no connection
)

// EventKind identifies what happened. The comment of each kind lists the fields of Event that are set.
type EventKind uint8

// The events that a Coordinator handles.
const (
	// EventRequest starts an operation: Operation, Endpoint, Object, Part, Group, Source, OnlyIfCached, UntilObjective,
	// UntilDeadline, MaxAge, TTL.
	EventRequest EventKind = iota
	// EventGetDone reports the end of a get: Operation, Endpoint, Reply, GeneratedAt, ValidFrom, Elapsed.
	EventGetDone
	// EventLeaseDone reports the end of an attempt to acquire a lease: Operation, Endpoint, Reply, Elapsed.
	EventLeaseDone
	// EventFillDone reports the end of a fill: Operation, Outcome, Note, FirstByteWait, Elapsed, GeneratedAt, BodyBytes.
	EventFillDone
	// EventSetDone reports the end of a set: Operation, Endpoint, Reply, Elapsed.
	EventSetDone
	// EventCancel cancels an operation that no request waits for any longer: Operation.
	EventCancel
	// EventTimer reports that a timer set by ActionSetTimer fired: Operation, or Endpoint if Operation is 0, and TimerID.
	EventTimer
	// EventConnected reports a new connection to a store: Endpoint, RunID, Uptime.
	EventConnected
	// EventDisconnected reports that a store cannot be reached: Endpoint.
	EventDisconnected
	// EventEndpointState reports the state of any endpoint in the endpoint list: Endpoint, State.
	EventEndpointState
	// EventDataLost reports that a store lost its data without a restart: Endpoint.
	EventDataLost
)

// Event is one input of a Coordinator. Kind determines which fields are set.
type Event struct {
	Kind           EventKind
	Operation      OperationID
	Endpoint       routing.EndpointID
	Source         routing.EndpointID // where fills come from, 0: no fill is possible
	OnlyIfCached   bool               // the source may serve only what it has cached
	Object         routing.ObjectID
	Part           int
	Group          routing.GroupID
	UntilObjective time.Duration // time left until the request's latency objective
	UntilDeadline  time.Duration // time left until the attempt is abandoned
	MaxAge         time.Duration // maximum age of an acceptable copy, 0: any
	TTL            time.Duration // how long a copy of this class is usable, 0: until purged
	Reply          Reply
	Outcome        routing.Outcome
	Note           routing.Note
	FirstByteWait  time.Duration
	Elapsed        time.Duration // how long the command or the fill took
	GeneratedAt    Timestamp     // when the origin generated the copy
	ValidFrom      Timestamp     // the copy reflects every purge issued before this time
	BodyBytes      int
	RunID          uint64        // identifies one run of a store's process
	Uptime         time.Duration // how long that run has lasted so far
	State          routing.EndpointState
	TimerID        uint64
}

// isError reports whether the command failed.
func (r Reply) isError() bool { return r >= ReplyLoading }
