package sharedstore

import (
	"time"

	"fennelarch/policy/routing"
)

// ActionKind identifies what the caller must do. The comment of each kind lists the fields of Action that are set.
type ActionKind uint8

// The actions that a Coordinator requests.
const (
	// ActionGet asks the store for the operation's copy: Operation.
	ActionGet ActionKind = iota
	// ActionAcquireLease tries to acquire the lease on the operation's copy: Operation, TTL.
	ActionAcquireLease
	// ActionReleaseLease releases the lease: Operation.
	ActionReleaseLease
	// ActionStartFill fetches the copy from the operation's source: Operation, MaxAge.
	ActionStartFill
	// ActionAbortFill abandons the fill: Operation.
	ActionAbortFill
	// ActionSet stores the copy that the fill returned: Operation, TTL, ValidFrom.
	ActionSet
	// ActionComplete answers the operation: Operation, CopyFrom (the operation that has the copy), Outcome, Note,
	// FirstByteWait.
	ActionComplete
	// ActionForget announces that no further action names the operation: Operation.
	ActionForget
	// ActionSetTimer requests an EventTimer after a delay: Operation or Endpoint, Delay, TimerID.
	ActionSetTimer
	// ActionAnnounceStart reports that a store started, and how long ago: Endpoint, Uptime.
	ActionAnnounceStart
	// ActionLog writes a line to the log: Endpoint, Message.
	ActionLog
)

// Action is one output of a Coordinator. The caller must carry out actions in the order given.
type Action struct {
	Kind          ActionKind
	Operation     OperationID
	CopyFrom      OperationID
	Endpoint      routing.EndpointID
	TTL           time.Duration
	Delay         time.Duration
	Uptime        time.Duration
	MaxAge        time.Duration // maximum age of a copy that the source may return, 0: any
	ValidFrom     Timestamp
	Outcome       routing.Outcome
	Note          routing.Note
	FirstByteWait time.Duration
	TimerID       uint64
	Message       string
}
