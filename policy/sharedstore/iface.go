// Package store decides how a shared store is used as a node of a location: when it is asked, written or passed by, how
// much may be out at once, what one just started may be asked, who fills a miss, and which copy is proved newer than
// every purge. It is free of I/O, clocks and goroutines: it is told events and times and hands back what to do.
// table.go holds what follows what, store.go the loop that reads it, health.go limits and budgets, ledger.go purges.
// This file holds only the types through which a carrier drives it.
package sharedstore

import (
	"time"

	"fennelarch/policy/routing"
)

// OperationID is one leg to a store: the carrier numbers them from 1.
type OperationID uint64

// Timestamp is a time by the Unix clock, in milliseconds; 0 is none.
type Timestamp int64

// Settings are what the decisions are told at the start.
type Settings struct {
	Routers            int           // that share the store, this one counted
	Capacity           float64       // commands a second of a warm store, 0 where untold
	SlowStartShare     float64       // of its capacity just after its start
	SlowStartFor       time.Duration // until it has all of it, in a straight line
	OverloadFactor     float64       // of the capacity of the moment that all routers together may ask of a cold one
	MaxInFlight        int           // commands out at once, whatever the answer times
	MaxValueBytes      int           // the longest value
	MaxTTL             time.Duration // the longest that a copy may stay in the store
	DrainGrace         time.Duration
	PurgeCompleteAfter time.Duration // by then a source has dropped what was purged, 0 where untold
	Lease              bool          // misses of one object at several routers become one fill
	Epoch              Timestamp     // the Unix time at which the carrier's clock was 0
}

// Reply is how a command ended at the store.
type Reply uint8

const (
	ReplyNone         Reply = iota
	ReplyHit                // a whole value of ours; Born
	ReplyMiss               // no value
	ReplyCorrupt            // a value that is cut, foreign, corrupt or of a newer form
	ReplyOK                 // a lease or a set was taken
	ReplyLeaseHeld          // another has the lease
	ReplyLoading            // the store reads its data in
	ReplyOutOfMemory        // no memory for a value
	ReplyReadOnly           // it takes no values
	ReplyDenied             // it wants another user or word
	ReplyBusy               // it runs something long
	ReplyMoved              // the key belongs to another store
	ReplyUnknownError       // any other refusal
	ReplyDisconnected       // the connection ended first, or there was none
)

// EventKind says what happened; the comment names the fields that are set.
type EventKind uint8

const (
	EventRequest       EventKind = iota // Op Node Object Part Group Source Held Due Left Age
	EventGetDone                        // Op Node Reply Born Valid Took
	EventLeaseDone                      // Op Node Reply Took
	EventFillDone                       // Op Outcome Note Waited Took Born Size
	EventSetDone                        // Op Node Reply Took
	EventCancel                         // Op: the leg was given up
	EventTimer                          // Op Timer
	EventConnected                      // Node Run Age: a connection is up; the store's run, and how long it has run
	EventDisconnected                   // Node: no connection can be had
	EventEndpointState                  // Node State: what the list says of any node
	EventDataLost                       // Node: the store lost its data without a new run
)

// Event is what the decisions are told.
type Event struct {
	Kind           EventKind
	Operation      OperationID
	Endpoint       routing.EndpointID
	Source         routing.EndpointID
	OnlyIfCached   bool // the source gives only what it holds
	Object         routing.ObjectID
	Part           int
	Group          routing.GroupID
	UntilObjective time.Duration // until the view's due time
	UntilDeadline  time.Duration // until the leg is given up
	Age            time.Duration // the oldest copy that will do, 0: any
	TTL            time.Duration // how long a copy of this tariff is good, 0: until purged
	Reply          Reply
	Outcome        routing.Outcome
	Note           routing.Note
	FirstByteWait  time.Duration
	Elapsed        time.Duration
	GeneratedAt    Timestamp
	ValidFrom      Timestamp
	BodyBytes      int // of the body
	RunID          uint64
	State          routing.EndpointState
	TimerID        uint64
}

// ActionKind says what is to be done; the comment names the fields that are set.
type ActionKind uint8

const (
	ActionGet           ActionKind = iota // Op
	ActionAcquireLease                    // Op Wait: for how long
	ActionReleaseLease                    // Op
	ActionStartFill                       // Op Age: from the leg's source
	ActionAbortFill                       // Op: give it up
	ActionSet                             // Op Valid Wait: how long it stays
	ActionComplete                        // Op From Outcome Note Waited: the leg is over; From has the copy
	ActionForget                          // Op: nothing of it comes any more
	ActionSetTimer                        // Op Wait Timer
	ActionAnnounceStart                   // Node Wait: it started so long ago
	ActionLog                             // Node Text
)

// Action is what the decisions want done, in the order given.
type Action struct {
	Kind          ActionKind
	Operation     OperationID
	CopyFrom      OperationID
	Endpoint      routing.EndpointID
	Wait          time.Duration
	MaxAge        time.Duration
	ValidFrom     Timestamp
	Outcome       routing.Outcome
	Note          routing.Note
	FirstByteWait time.Duration
	TimerID       uint64
	Message       string
}

// Counts is what was decided so far.
type Counts struct {
	Gets, Hits, Misses, Spoilt, Old, Fills, Passed, Joined, Leases, Waits, Sets, Refused, Overdue uint64
}
