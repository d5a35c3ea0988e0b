package sharedstore

import (
	"time"

	"fennelarch/policy/routing"
)

// ActionKind says what the caller is to do. The comments name the fields of Action that are set.
type ActionKind uint8

// The actions that a Coordinator asks for.
const (
	// ActionGet asks the store for the operation's copy: Operation.
	ActionGet ActionKind = iota
	// ActionAcquireLease tries to acquire the lease on the operation's copy: Operation, TTL.
	ActionAcquireLease
	// ActionReleaseLease gives the lease back: Operation.
	ActionReleaseLease
	// ActionStartFill fetches the copy from the operation's source: Operation, MaxAge.
	ActionStartFill
	// ActionAbortFill abandons the fill: Operation.
	ActionAbortFill
	// ActionSet stores the copy that the fill brought: Operation, TTL, ValidFrom.
	ActionSet
	// ActionComplete answers the operation: Operation, CopyFrom (the operation that has the copy), Outcome, Note,
	// FirstByteWait.
	ActionComplete
	// ActionForget says that no further action names the operation: Operation.
	ActionForget
	// ActionSetTimer wants an EventTimer after a delay: Operation or Endpoint, Delay, TimerID.
	ActionSetTimer
	// ActionAnnounceStart reports when a store was started: Endpoint, Uptime.
	ActionAnnounceStart
	// ActionLog writes a line to the log: Endpoint, Message.
	ActionLog
)

// Action is one output of a Coordinator. Actions are to be carried out in the order given.
type Action struct {
	Kind          ActionKind
	Operation     OperationID
	CopyFrom      OperationID
	Endpoint      routing.EndpointID
	TTL           time.Duration
	Delay         time.Duration
	Uptime        time.Duration
	MaxAge        time.Duration // oldest copy that the source may return, 0: any
	ValidFrom     Timestamp
	Outcome       routing.Outcome
	Note          routing.Note
	FirstByteWait time.Duration
	TimerID       uint64
	Message       string
}
