package routing

import (
	"math"
	"time"
)

// Ids are opaque: they may be compared and hashed, and tell nothing else.
type (
	RequestID     uint64
	EndpointID    uint64 // a cache, a parent or the origin; 0 is none
	ObjectID      uint64
	GroupID       uint32
	ZoneID        int
	CellID        int
	KindID        int
	ClassID       int
	TenantID      int
	AttemptNumber int
)

// Note tells how an answer came about or what failed.
type Note uint8

// EventKind says what happened; the comment names the fields that are set.
type EventKind uint8

const (
	EventRequest       EventKind = iota // View Tariff Tenant Object Group Part SizeKB Left Repeat Write
	EventAttemptResult                  // View Leg Node Outcome Took Final Note Waited Report
	EventStreamStarted                  // View Leg Node Took
	EventClientGone                     // View
	EventEndpoints                      // List Members Ago
	EventPurge                          // Object Group Ago
	EventHealthCheck                    // Node Outcome Took Report
	EventTimer                          // Timer
	EventGossip                         // from another router; unused
)

// Outcome is how a leg or a probe ended.
type Outcome uint8

const (
	OutcomeNone      Outcome = iota
	Succeeded                // the client has its answer
	Failed                   // may have run
	Overloaded               // did not run
	TimedOut                 // may have run
	ConnectFailed            // did not run
	ConnectionBroken         // may have run
	Cancelled                // may have run
	NotSent                  // never sent
	CacheMiss                // did not run
)

const (
	NoteNone              Note = iota
	NoteHit                    // the cache had it
	NoteFilled                 // the source had it
	NoteViaOrigin              // filled by way of the origin
	NoteCoalesced              // joined a fill; with Missed: one is under way
	NoteStale                  // from a copy past its fresh time
	NoteSourceRefused          // the source refused
	NoteSourceUnreachable      // the source was not reached, broke off or ran out of time
	NoteSourceMiss             // the source lacks the object
	NoteNoFillCapacity         // the cache has no place for a fill
	NoteOriginFailed           // the origin failed behind the parent
)

// EndpointListKind says how Members relate to the list that is held.
type EndpointListKind uint8

const (
	EndpointListDelta EndpointListKind = iota
	EndpointListFull
	EndpointListCached
	EndpointListFailed
)

// EndpointState is what the list says of a node.
type EndpointState uint8

const (
	Gone EndpointState = iota
	Ready
	Draining
)

// Endpoint is one line of the list.
type Endpoint struct {
	ID        EndpointID
	State     EndpointState
	Kind      KindID
	Zone      ZoneID
	Cell      CellID
	Weight    float64
	StartedAt time.Duration
}

// LoadReport holds up to four values, in the order of Settings.Columns.
type LoadReport struct {
	Count  int
	Values [4]float64
}

// Event is what a router is told. Members is lent for the call only.
type Event struct {
	Kind          EventKind
	Request       RequestID
	Attempt       AttemptNumber
	Endpoint      EndpointID
	Outcome       Outcome
	Note          Note
	Final         bool // the view has its final answer
	Elapsed       time.Duration
	FirstByteWait time.Duration
	LoadReport    LoadReport

	Class    ClassID
	Tenant   TenantID
	Object   ObjectID
	Group    GroupID
	Part     int
	SizeKB   float64       // 0 where untold
	TimeLeft time.Duration // until the client gives up
	Repeat   bool
	Write    bool

	EndpointListKind EndpointListKind
	Endpoints        []Endpoint
	Age              time.Duration // how long ago it may have been told, or was issued
	Timer            uint64
}

// LocalCache is the router itself as a node, where the front end keeps copies for it.
const LocalCache = EndpointID(math.MaxUint64)

// LongAgo is the start of a node that has run for longer than anybody recalls.
const LongAgo = time.Duration(math.MinInt64 / 4)
