// Package rules decides, for one router, where each view is served from, where
// a miss is filled from and how a copy is kept. rules.go holds every decision;
// this file holds only the types through which a front end drives it. No
// protocol is named here, so that several front ends can share the decisions.
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

// LocalCache is the router itself as a node, where the front end keeps copies for it.
const LocalCache = EndpointID(math.MaxUint64)

// LongAgo is the start of a node that has run for longer than anybody recalls.
const LongAgo = time.Duration(math.MinInt64 / 4)

// Idempotency says what a repeat of a view would do.
type Idempotency uint8

const (
	Idempotent        Idempotency = iota // may run again
	IdempotentWithKey                    // repeats are dropped inside a scope, for a while
	NonIdempotent                        // must never run twice
)

// DedupScope is the set of nodes that drops the repeats of a stamped view.
type DedupScope uint8

const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// PeerFill says which caches may be the source of a fill.
type PeerFill uint8

const (
	PeerFillNone PeerFill = iota
	PeerFillLocation
	PeerFillAny
)

// ResponseDetail says how much an answer tells of the way it took.
type ResponseDetail uint8

const (
	DetailNone ResponseDetail = iota
	DetailHit
	DetailFull
)

// ReportChannel says where load reports come with.
type ReportChannel uint8

const (
	ReportsNone ReportChannel = iota
	ReportsWithResponses
	ReportsWithHealthChecks
)

// Signal is one column of a load report.
type Signal uint8

const (
	SignalOther Signal = iota
	SignalInFlight
	SignalQueued
	SignalUtilization
	SignalHits
	SignalLinkUtilization
)

// Class is what the settings say of one kind of view.
type Class struct {
	LatencyObjective time.Duration // answers later than this earn LateValue
	ObjectiveStretch float64       // Due grows by this multiple of the sending time
	Deadline         time.Duration // the client's whole patience
	Value            float64
	LateValue        float64
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      time.Duration // how long repeats of a stamped view are dropped
	Stream           bool
	Write            bool          // runs at the origin and is never kept
	FreshFor         time.Duration // 0: good until purged
	MaxStale         time.Duration // how much older a copy may be when asked for
}

// Tenant is a customer's part of the service.
type Tenant struct {
	QuotaPerSecond float64 // views a second across all routers
}

// Settings are what a router is told at its start.
type Settings struct {
	Routers                int
	Zone                   ZoneID
	ZoneRouters            []int     // routers that serve each zone
	ZoneIngressKBPerSecond []float64 // KB a second into each zone, 0 where untold
	ParentKind             KindID    // -1: no parents
	OriginKind             KindID    // -1: no origin
	Classes                []Class
	Tenants                []Tenant

	HealthChecks, Cancel, HedgedRequests, RetryAfter bool
	MaxAttempts                                      int // legs a view may have
	MaxRetryAfter                                    time.Duration
	ConnectTimeout                                   time.Duration

	PollEndpoints bool          // the list comes only when asked for
	PollInterval  time.Duration // and must be asked for this often

	DrainGrace           time.Duration
	SlowStartShare       float64 // of its capacity a cache starts with
	SlowStartFor         time.Duration
	OverloadFactor       float64
	OverloadWindow       time.Duration
	ParentSlowStartShare float64
	ParentSlowStartFor   time.Duration
	ParentOverloadFactor float64
	OriginOverloadFactor float64 // 0: it never stops
	OriginOverloadWindow time.Duration
	PurgeGrace           time.Duration
	PurgeCompleteAfter   time.Duration // by then every old copy is dropped

	AllowDirect     bool // views may go straight to a parent or the origin
	CoalesceFills   bool // a view may join a fill under way
	PeerFill        PeerFill
	ResponseDetail  ResponseDetail
	FlowKBPerSecond float64 // KB a second of one transfer to a client

	LocalCacheCapacity   float64 // transfers that fit on the router's own link, 0: it keeps no copies
	WeightIsLinkCapacity bool    // a node's weight counts the transfers that its link carries, if roughly

	ReportChannel ReportChannel
	ReportColumns []Signal
}

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

// Note tells how an answer came about or what failed.
type Note uint8

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

// ActionKind says what is to be done; the comment names the fields that are set.
type ActionKind uint8

const (
	ActionLookup         ActionKind = iota // View Node Limit: only what the node holds
	ActionSend                             // View Node Source Limit Age Keep How
	ActionReject                           // View Wait
	ActionFail                             // View
	ActionCancel                           // View Leg
	ActionHealthCheck                      // Node
	ActionTimer                            // Wait Timer
	ActionWatchEndpoints                   // ask for the list and its changes
	ActionPollEndpoints                    // ask for the list once
	ActionLog                              // Text
)

// FillOptions is a sum of orders for a miss.
type FillOptions uint8

const (
	CoalesceFill         FillOptions = 1  // wait for a fill under way
	OnlyIfCached         FillOptions = 2  // the source gives only what it holds
	NoStore              FillOptions = 4  // the parent keeps no copy
	StaleWhileRevalidate FillOptions = 8  // serve an ageing copy and fetch it anew behind
	StoreLocally         FillOptions = 16 // the router itself keeps a copy of the answer
)

// Action is what the router wants done, in the order given.
type Action struct {
	Kind        ActionKind
	Request     RequestID
	Attempt     AttemptNumber
	Endpoint    EndpointID
	Source      EndpointID
	Timeout     time.Duration // 0: until the client gives up
	StartWithin time.Duration // on its way by then, or never; 0: no bound of its own
	MaxAge      time.Duration // 0: the tariff's fresh time, or any age
	CacheRank   uint8         // 0 no copy, 1 to 3 the rank
	FillOptions FillOptions
	Wait        time.Duration
	Timer       uint64
	Text        string
}
