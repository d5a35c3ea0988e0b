package routing

import (
	"math"
	"time"
)

// RequestID identifies an open request. Ids are opaque and may only be compared and hashed.
type RequestID uint64

// EndpointID identifies a cache, a parent or the origin; 0 stands for no endpoint.
type EndpointID uint64

// ObjectID identifies an object; 0 stands for no object.
type ObjectID uint64

// GroupID identifies a group of objects that can be purged together.
type GroupID uint32

// ZoneID is the number of a zone, which is a location of routers and caches.
type ZoneID int

// CellID is the number of a cell, a part of a zone.
type CellID int

// KindID is the number of a kind of endpoint. Settings.ParentKind and Settings.OriginKind are such numbers.
type KindID int

// ClassID is the index of a request class in Settings.Classes.
type ClassID int

// TenantID is the index of a tenant in Settings.Tenants.
type TenantID int

// AttemptNumber is the number of an attempt of a request, starting at 0.
type AttemptNumber int

// LocalCache is the endpoint id of the router's own cache, in which the front end keeps copies.
const LocalCache = EndpointID(math.MaxUint64)

// LongAgo is the start time of an endpoint that is warm and whose real start is unknown.
const LongAgo = time.Duration(math.MinInt64 / 4)

// EventKind is the kind of an event.
type EventKind uint8

// The kinds of events. Each comment lists the fields of Event that are set.
const (
	// EventRequest is a new request: Request, Class, Tenant, Object, Group, Part, SizeKB, TimeLeft, Repeat, Write.
	EventRequest EventKind = iota
	// EventAttemptResult reports the end of an attempt: Request, Attempt, Endpoint, Outcome, Elapsed, Final, Note,
	// FirstByteWait, LoadReport.
	EventAttemptResult
	// EventStreamStarted reports that the client has begun to receive its answer: Request, Attempt, Endpoint, Elapsed.
	EventStreamStarted
	// EventClientGone reports that the client has disconnected or given up: Request.
	EventClientGone
	// EventEndpoints is the endpoint list or a change to it: EndpointListKind, Endpoints, Age.
	EventEndpoints
	// EventPurge invalidates older copies: Object or Group, Age.
	EventPurge
	// EventHealthCheckResult is the result of a health check: Endpoint, Outcome, Elapsed, LoadReport.
	EventHealthCheckResult
	// EventTimer reports that a timer has expired: Timer.
	EventTimer
	// EventGossip is a message of another router. The router ignores it.
	EventGossip
)

// Outcome is how an attempt or a health check ended.
type Outcome uint8

// The outcomes of an attempt. Only an outcome marked "did not run" ensures that the request did not run.
const (
	OutcomeNone      Outcome = iota
	Succeeded                // the client has received its answer
	Failed                   // may have run
	Overloaded               // did not run
	TimedOut                 // may have run
	ConnectFailed            // did not run
	ConnectionBroken         // may have run
	Cancelled                // may have run
	NotSent                  // did not run
	CacheMiss                // did not run
)

// ProvesNotRun reports whether the outcome ensures that the request did not run.
func (o Outcome) ProvesNotRun() bool {
	switch o {
	case Overloaded, ConnectFailed, NotSent, CacheMiss:
		return true
	default:
		return false
	}
}

// Note says how an answer was produced or what failed.
type Note uint8

// The notes of an attempt's result.
const (
	NoteNone              Note = iota
	NoteHit                    // the cache had a copy
	NoteFilled                 // filled from the source's own copy
	NoteViaOrigin              // filled from a source that fetched the object from the origin
	NoteCoalesced              // joined a fill in progress; with CacheMiss: a fill is in progress
	NoteStale                  // served from a copy that is no longer fresh
	NoteSourceRefused          // the source refused the fill
	NoteSourceUnreachable      // the source could not be reached, closed the connection or timed out
	NoteSourceMiss             // the source does not have the object
	NoteNoFillCapacity         // the cache has no capacity for a fill
	NoteOriginFailed           // the parent's request to the origin failed
)

// EndpointListKind says how Event.Endpoints relates to the known endpoint list.
type EndpointListKind uint8

// The kinds of endpoint lists.
const (
	EndpointListDelta  EndpointListKind = iota // changes to the known list
	EndpointListFull                           // the whole list
	EndpointListCached                         // the whole list, as saved before the router started
	EndpointListFailed                         // the list could not be fetched
)

// EndpointState is the state of an endpoint in the endpoint list.
type EndpointState uint8

// The states of an endpoint.
const (
	Gone EndpointState = iota
	Ready
	Draining
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID        EndpointID
	State     EndpointState
	Kind      KindID
	Zone      ZoneID
	Cell      CellID
	Weight    float64
	StartedAt time.Duration

	// IsReplaced is set for an endpoint that is gone and whose address belongs to another one: nothing may be sent to it,
	// whatever is left of its drain grace.
	IsReplaced bool

	// RunsAtSource is set for an endpoint for which the router itself fetches what the endpoint lacks, such as a shared
	// store: a request runs at the source of its attempt, never at the endpoint.
	RunsAtSource bool
}

// LoadReport holds up to four values, in the order of Settings.ReportColumns.
type LoadReport struct {
	Count  int
	Values [4]float64
}

// Event is the input of Router.Handle. The router does not keep Endpoints after the call.
type Event struct {
	Kind          EventKind
	Request       RequestID
	Attempt       AttemptNumber
	Endpoint      EndpointID
	Outcome       Outcome
	Note          Note
	Final         bool          // the client has received its final answer
	Elapsed       time.Duration // since the attempt or the health check was sent
	FirstByteWait time.Duration // part of Elapsed until the first byte of the answer
	LoadReport    LoadReport

	Class    ClassID
	Tenant   TenantID
	Object   ObjectID
	Group    GroupID
	Part     int
	SizeKB   float64       // 0 if the request does not include it
	TimeLeft time.Duration // until the client gives up
	Repeat   bool          // the client has sent the request before
	Write    bool

	EndpointListKind EndpointListKind
	Endpoints        []Endpoint
	Age              time.Duration // maximum age of the list, or the time since the purge was issued
	Timer            uint64
}
