package routing

import "time"

// Idempotency says what a repeat of a request would do.
type Idempotency uint8

// What a repeat would do.
const (
	Idempotent        Idempotency = iota // may run again
	IdempotentWithKey                    // repeats are dropped inside a scope, for a while
	NonIdempotent                        // must never run twice
)

// DedupScope is the set of endpoints that share the record of idempotency keys, and so drop each other's repeats.
type DedupScope uint8

// The scopes: all endpoints, those of a zone, those of a cell.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// PeerFill says which caches may be the source of a fill.
type PeerFill uint8

// The caches that may be a source: none, those of the same location, all.
const (
	PeerFillNone PeerFill = iota
	PeerFillLocation
	PeerFillAny
)

// ResponseDetail says how much an answer tells of the way it took.
type ResponseDetail uint8

// The details of answers.
const (
	DetailNone ResponseDetail = iota // none
	DetailHit                        // whether it was a hit
	DetailFull                       // the source as well, and why a fill failed
)

// ReportChannel says what load reports come with.
type ReportChannel uint8

// The channels of load reports.
const (
	ReportsNone ReportChannel = iota
	ReportsWithResponses
	ReportsWithHealthChecks
)

// Signal is one column of a load report.
type Signal uint8

// The columns of a load report. Those that the router does not read are SignalOther.
const (
	SignalOther Signal = iota
	SignalInFlight
	SignalQueued
	SignalUtilization
	SignalHits
	SignalLinkUtilization
)

// Class is what the settings say of one class of requests.
type Class struct {
	LatencyObjective time.Duration // an answer later than this is worth LateValue
	ObjectiveStretch float64       // the objective grows by this multiple of the transfer time
	Deadline         time.Duration // the client gives up after this
	Value            float64       // of an answer within the objective
	LateValue        float64       // of an answer after it
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      time.Duration // how long repeats with an idempotency key are dropped
	Stream           bool
	Write            bool          // runs at the origin and is never cached
	FreshFor         time.Duration // 0: fresh until purged
	MaxStale         time.Duration // how much older a copy may be when asked for
}

// Tenant is a customer's part of the service.
type Tenant struct {
	QuotaPerSecond float64 // requests a second across all routers
}

// Settings are what a router is told at its start.
type Settings struct {
	Routers                int
	Zone                   ZoneID
	ZoneRouters            []int     // routers that serve each zone
	ZoneIngressKBPerSecond []float64 // KB a second into each zone, 0 where it is not told
	ParentKind             KindID    // -1: no parents
	OriginKind             KindID    // -1: no origin
	Classes                []Class
	Tenants                []Tenant

	HealthChecks   bool // may be sent
	Cancel         bool // attempts may be cancelled
	HedgedRequests bool // a request may have two attempts in flight
	RetryAfter     bool // a rejected client may be told when to come back
	MaxRetryAfter  time.Duration
	MaxAttempts    int // of a request
	ConnectTimeout time.Duration

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

	AllowDirect     bool // requests may go straight to a parent or the origin
	CoalesceFills   bool // a request may join a fill under way
	PeerFill        PeerFill
	ResponseDetail  ResponseDetail
	FlowKBPerSecond float64 // KB a second of one transfer to a client

	LocalCacheCapacity   float64 // transfers that fit on the router's own link, 0: it keeps no copies
	WeightIsLinkCapacity bool    // an endpoint's weight counts, if roughly, the transfers that its link carries

	ReportChannel ReportChannel
	ReportColumns []Signal
}
