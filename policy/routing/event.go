package routing

import (
	"math"
	"time"
)

// RequestID names an open request. Ids are opaque: they may be compared and hashed, and tell nothing else.
type RequestID uint64

// EndpointID names a cache, a parent or the origin; 0 is none.
type EndpointID uint64

// ObjectID names an object; 0 is none.
type ObjectID uint64

// GroupID names a group of objects that are purged together.
type GroupID uint32

// ZoneID is the number of a zone, the location of routers and caches.
type ZoneID int

// CellID is the number of a cell, a part of a zone.
type CellID int

// KindID is the number of a kind of endpoint, as the settings name them.
type KindID int

// ClassID is the number of a request class, its place in Settings.Classes.
type ClassID int

// TenantID is the number of a tenant, its place in Settings.Tenants.
type TenantID int

// AttemptNumber counts the attempts of a request from 0.
type AttemptNumber int

// LocalCache is the router itself as an endpoint, where the front end keeps copies for it.
const LocalCache = EndpointID(math.MaxUint64)

// LongAgo is the start of an endpoint that has been warm for as long as is known.
const LongAgo = time.Duration(math.MinInt64 / 4)

// EventKind says what happened.
type EventKind uint8

// The kinds of events; each comment names the fields of Event that are set.
const (
	// EventRequest is a new request: Request, Class, Tenant, Object, Group, Part, SizeKB, TimeLeft, Repeat, Write.
	EventRequest EventKind = iota
	// EventAttemptResult is the end of an attempt: Request, Attempt, Endpoint, Outcome, Elapsed, Final, Note,
	// FirstByteWait, LoadReport.
	EventAttemptResult
	// EventStreamStarted says that the client gets its answer already: Request, Attempt, Endpoint, Elapsed.
	EventStreamStarted
	// EventClientGone says that the client has left or given up: Request.
	EventClientGone
	// EventEndpoints is the endpoint list or a change of it: EndpointListKind, Endpoints, Age.
	EventEndpoints
	// EventPurge makes older copies invalid: Object or Group, Age.
	EventPurge
	// EventHealthCheck is the result of a health check: Endpoint, Outcome, Elapsed, LoadReport.
	EventHealthCheck
	// EventTimer says that a timer has run out: Timer.
	EventTimer
	// EventGossip comes from another router; it is not used.
	EventGossip
)

// Outcome is how an attempt or a health check ended.
type Outcome uint8

// The outcomes. Only after those that say so is it known that the request did not run.
const (
	OutcomeNone      Outcome = iota
	Succeeded                // the client has its answer
	Failed                   // may have run
	Overloaded               // did not run
	TimedOut                 // may have run
	ConnectFailed            // did not run
	ConnectionBroken         // may have run
	Cancelled                // may have run
	NotSent                  // did not run
	CacheMiss                // did not run
)

// Note tells how an answer came about or what failed.
type Note uint8

// The notes.
const (
	NoteNone              Note = iota
	NoteHit                    // the cache had a copy
	NoteFilled                 // the source had a copy
	NoteViaOrigin              // filled by way of the origin
	NoteCoalesced              // joined a fill; with CacheMiss: one is under way
	NoteStale                  // from a copy past its fresh time
	NoteSourceRefused          // the source refused
	NoteSourceUnreachable      // the source was not reached, broke off or ran out of time
	NoteSourceMiss             // the source does not have the object
	NoteNoFillCapacity         // the cache has no capacity for a fill
	NoteOriginFailed           // the origin failed behind the parent
)

// EndpointListKind says how Event.Endpoints relate to the list that is known.
type EndpointListKind uint8

// The kinds of endpoint lists.
const (
	EndpointListDelta  EndpointListKind = iota // changes of the known list
	EndpointListFull                           // the whole list
	EndpointListCached                         // the whole list, from before the start
	EndpointListFailed                         // the list could not be had
)

// EndpointState is what the list says of an endpoint.
type EndpointState uint8

// The states of an endpoint.
const (
	Gone EndpointState = iota
	Ready
	Draining
)

// Endpoint is one line of the endpoint list.
type Endpoint struct {
	ID        EndpointID
	State     EndpointState
	Kind      KindID
	Zone      ZoneID
	Cell      CellID
	Weight    float64
	StartedAt time.Duration
}

// LoadReport holds up to four values, in the order of Settings.ReportColumns.
type LoadReport struct {
	Count  int
	Values [4]float64
}

// Event is what a router is told. Endpoints is lent for the call only.
type Event struct {
	Kind          EventKind
	Request       RequestID
	Attempt       AttemptNumber
	Endpoint      EndpointID
	Outcome       Outcome
	Note          Note
	Final         bool // the client has its final answer
	Elapsed       time.Duration
	FirstByteWait time.Duration
	LoadReport    LoadReport

	Class    ClassID
	Tenant   TenantID
	Object   ObjectID
	Group    GroupID
	Part     int
	SizeKB   float64       // 0 where it is not told
	TimeLeft time.Duration // until the client gives up
	Repeat   bool
	Write    bool

	EndpointListKind EndpointListKind
	Endpoints        []Endpoint
	Age              time.Duration // how old the list may be, or how long ago the purge was issued
	Timer            uint64
}
