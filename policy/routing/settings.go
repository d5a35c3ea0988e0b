package routing

import (
	"time"
)

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
