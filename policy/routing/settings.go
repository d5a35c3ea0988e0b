package routing

import "time"

// Idempotency says whether a request may run more than once.
type Idempotency uint8

// The degrees of idempotency.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // repeats are dropped within DedupScope for DedupWindow
	NonIdempotent                        // must not run twice
)

// DedupScope is the set of endpoints that share a record of idempotency keys, and therefore drop each other's repeats.
type DedupScope uint8

// The scopes: all endpoints, the endpoints of a zone, the endpoints of a cell.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// PeerFill says which other caches a cache may fill from.
type PeerFill uint8

// The permitted sources: no cache, the caches of the same location, all caches.
const (
	PeerFillNone PeerFill = iota
	PeerFillLocation
	PeerFillAny
)

// ResponseDetail says which notes an answer carries.
type ResponseDetail uint8

// The levels of detail.
const (
	DetailNone ResponseDetail = iota // no notes
	DetailHit                        // whether the answer was a hit
	DetailFull                       // also the source of a fill and the reason why a fill failed
)

// ReportChannel says which messages carry load reports.
type ReportChannel uint8

// The messages that carry load reports.
const (
	ReportsNone ReportChannel = iota
	ReportsWithResponses
	ReportsWithHealthChecks
)

// Signal is the quantity in one column of a load report.
type Signal uint8

// The signals of a load report. SignalOther stands for any other column, which the router ignores.
const (
	SignalOther Signal = iota
	SignalInFlight
	SignalQueued
	SignalUtilization
	SignalHits
	SignalLinkUtilization
)

// Class holds the settings of one class of requests.
type Class struct {
	LatencyObjective        time.Duration // an answer after this time is worth only LateValue
	ObjectiveTransferFactor float64       // the objective grows by this multiple of the transfer time
	Deadline                time.Duration // the client gives up after this time
	Value                   float64       // value of an answer within the objective
	LateValue               float64       // value of an answer after the objective
	Idempotency             Idempotency
	DedupScope              DedupScope
	DedupWindow             time.Duration // how long repeats with an idempotency key are dropped
	Stream                  bool
	Write                   bool          // runs at the origin and is never cached
	FreshDuration           time.Duration // time for which a copy is fresh, 0: until purged
	MaxStale                time.Duration // time past FreshDuration for which a stale copy may be served on request
}

// Tenant holds the settings of one tenant.
type Tenant struct {
	QuotaPerSecond float64 // requests per second across all routers
}

// Settings holds the fixed settings of a router.
type Settings struct {
	Routers                int // number of routers in all zones
	Zone                   ZoneID
	ZoneRouters            []int     // number of routers that serve each zone
	ZoneIngressKBPerSecond []float64 // KB per second into each zone, 0 if not known
	ParentKind             KindID    // -1: no parents
	OriginKind             KindID    // -1: no origin
	Classes                []Class
	Tenants                []Tenant

	HealthChecks   bool // health checks may be sent
	AllowCancel    bool // attempts may be cancelled
	HedgedRequests bool // a request may have two attempts in flight
	SendRetryAfter bool // a rejection may tell the client when to retry
	MaxRetryAfter  time.Duration
	MaxAttempts    int // per request
	ConnectTimeout time.Duration

	WatchEndpoints bool          // the endpoint list arrives only when requested
	PollInterval   time.Duration // interval of these requests

	DrainGrace              time.Duration
	SlowStartShare          float64 // share of its capacity with which a cache starts
	SlowStartDuration       time.Duration
	OverloadFactor          float64 // multiple of its capacity above which an overloaded cache fails
	OverloadWindow          time.Duration
	ParentSlowStartShare    float64
	ParentSlowStartDuration time.Duration
	ParentOverloadFactor    float64
	OriginOverloadFactor    float64 // 0: overload does not stop the origin
	OriginOverloadWindow    time.Duration
	PurgeGrace              time.Duration
	PurgeCompleteAfter      time.Duration // by then every cache has dropped its old copies

	AllowDirect     bool // requests may go directly to a parent or the origin
	CoalesceFills   bool // a request may join a fill in progress
	PeerFill        PeerFill
	ResponseDetail  ResponseDetail
	FlowKBPerSecond float64 // KB per second of one transfer to a client

	LocalCacheCapacity   float64 // transfers that fit on the router's own link, 0: the router keeps no copies
	WeightIsLinkCapacity bool    // an endpoint's weight is the approximate number of transfers that fit on its link

	ReportChannel ReportChannel
	ReportColumns []Signal
}
