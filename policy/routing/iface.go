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
	ViewID   uint64
	NodeID   uint64 // a cache, a parent or the origin; 0 is none
	ObjectID uint64
	GroupID  uint32
	ZoneID   int
	CellID   int
	KindID   int
	TariffID int
	TenantID int
	LegNo    int
)

// Own is the router itself as a node, where the front end keeps copies for it.
const Own = NodeID(math.MaxUint64)

// LongAgo is the start of a node that has run for longer than anybody recalls.
const LongAgo = time.Duration(math.MinInt64 / 4)

// Effect says what a repeat of a view would do.
type Effect uint8

const (
	Harmless Effect = iota // may run again
	Stamped                // repeats are dropped inside a scope, for a while
	OneShot                // must never run twice
)

// Scope is the set of nodes that drops the repeats of a stamped view.
type Scope uint8

const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Reach says which caches may be the source of a fill.
type Reach uint8

const (
	ReachNone Reach = iota
	ReachLocation
	ReachAny
)

// Tells says how much an answer tells of the way it took.
type Tells uint8

const (
	TellsNone Tells = iota
	TellsHit
	TellsAll
)

// Via says where load reports come with.
type Via uint8

const (
	ViaNone Via = iota
	ViaAnswers
	ViaProbe
)

// Signal is one column of a load report.
type Signal uint8

const (
	SignalOther Signal = iota
	SignalHeld
	SignalQueued
	SignalBusy
	SignalHits
	SignalPipe
)

// Tariff is what the settings say of one kind of view.
type Tariff struct {
	Due        time.Duration // answers later than this earn LatePayoff
	DueStretch float64       // Due grows by this multiple of the sending time
	Hard       time.Duration // the client's whole patience
	Payoff     float64
	LatePayoff float64
	Effect     Effect
	Scope      Scope
	Window     time.Duration // how long repeats of a stamped view are dropped
	Stream     bool
	Write      bool          // runs at the origin and is never kept
	Fresh      time.Duration // 0: good until purged
	Grace      time.Duration // how much older a copy may be when asked for
}

// Tenant is a customer's part of the service.
type Tenant struct {
	Allowance float64 // views a second across all routers
}

// Settings are what a router is told at its start.
type Settings struct {
	Routers     int
	Zone        ZoneID
	ZoneRouters []int     // routers that serve each zone
	ZoneInlet   []float64 // KB a second into each zone, 0 where untold
	ParentKind  KindID    // -1: no parents
	OriginKind  KindID    // -1: no origin
	Tariffs     []Tariff
	Tenants     []Tenant

	Probes, Cancel, SecondCopies, RetryAfter bool
	Legs                                     int // legs a view may have
	MaxWait                                  time.Duration
	ConnectLimit                             time.Duration

	AskForList bool          // the list comes only when asked for
	AskWithin  time.Duration // and must be asked for this often

	DrainGrace         time.Duration
	ColdShare          float64 // of its capacity a cache starts with
	ColdFor            time.Duration
	FallMultiple       float64
	FallFor            time.Duration
	ParentColdShare    float64
	ParentColdFor      time.Duration
	ParentFallMultiple float64
	OriginFallMultiple float64 // 0: it never stops
	OriginFallFor      time.Duration
	PurgeGrace         time.Duration
	PurgeDone          time.Duration // by then every old copy is dropped

	Direct   bool // views may go straight to a parent or the origin
	Joins    bool // a view may join a fill under way
	Siblings Reach
	Tells    Tells
	FlowKB   float64 // KB a second of one transfer to a client

	OwnRoom      float64 // transfers that fit on the router's own link, 0: it keeps no copies
	WeightIsLink bool    // a node's weight counts the transfers that its link carries, if roughly

	Reports Via
	Columns []Signal
}

// EventKind says what happened; the comment names the fields that are set.
type EventKind uint8

const (
	EventView    EventKind = iota // View Tariff Tenant Object Group Part KB Left Repeat Write
	EventLegEnd                   // View Leg Node Outcome Took Final Note Waited Report
	EventStream                   // View Leg Node Took
	EventGone                     // View
	EventList                     // List Members Ago
	EventPurge                    // Object Group Ago
	EventProbed                   // Node Outcome Took Report
	EventTimer                    // Timer
	EventMessage                  // from another router; unused
)

// Outcome is how a leg or a probe ended.
type Outcome uint8

const (
	OutcomeNone Outcome = iota
	Succeeded           // the client has its answer
	Errored             // may have run
	Full                // did not run
	TimedOut            // may have run
	Unconnected         // did not run
	Broken              // may have run
	Cancelled           // may have run
	Moot                // never sent
	Missed              // did not run
)

// Note tells how an answer came about or what failed.
type Note uint8

const (
	NoteNone       Note = iota
	NoteHit             // the cache had it
	NoteFilled          // the source had it
	NoteViaOrigin       // filled by way of the origin
	NoteJoined          // joined a fill; with Missed: one is under way
	NoteStale           // from a copy past its fresh time
	NoteRefused         // the source refused
	NoteUnreached       // the source was not reached, broke off or ran out of time
	NoteLacks           // the source lacks the object
	NoteNoPlace         // the cache has no place for a fill
	NoteOriginFail      // the origin failed behind the parent
)

// ListKind says how Members relate to the list that is held.
type ListKind uint8

const (
	ListChanges ListKind = iota
	ListFull
	ListCached
	ListFailed
)

// State is what the list says of a node.
type State uint8

const (
	Gone State = iota
	Ready
	Draining
)

// Member is one line of the list.
type Member struct {
	Node    NodeID
	State   State
	Kind    KindID
	Zone    ZoneID
	Cell    CellID
	Weight  float64
	Started time.Duration
}

// Report holds up to four values, in the order of Settings.Columns.
type Report struct {
	N int
	V [4]float64
}

// Event is what a router is told. Members is lent for the call only.
type Event struct {
	Kind    EventKind
	View    ViewID
	Leg     LegNo
	Node    NodeID
	Outcome Outcome
	Note    Note
	Final   bool // the view has its final answer
	Took    time.Duration
	Waited  time.Duration
	Report  Report

	Tariff TariffID
	Tenant TenantID
	Object ObjectID
	Group  GroupID
	Part   int
	KB     float64       // 0 where untold
	Left   time.Duration // until the client gives up
	Repeat bool
	Write  bool

	List    ListKind
	Members []Member
	Ago     time.Duration // how long ago it may have been told, or was issued
	Timer   uint64
}

// ActionKind says what is to be done; the comment names the fields that are set.
type ActionKind uint8

const (
	ActionAsk       ActionKind = iota // View Node Limit: only what the node holds
	ActionGet                         // View Node Source Limit Age Keep How
	ActionTurnBack                    // View Wait
	ActionTerminate                   // View
	ActionCancel                      // View Leg
	ActionProbe                       // Node
	ActionTimer                       // Wait Timer
	ActionFollow                      // ask for the list and its changes
	ActionList                        // ask for the list once
	ActionLog                         // Text
)

// How is a sum of orders for a miss.
type How uint8

const (
	HowJoin      How = 1  // wait for a fill under way
	HowHoldsOnly How = 2  // the source gives only what it holds
	HowNoCopy    How = 4  // the parent keeps no copy
	HowRenew     How = 8  // serve an ageing copy and fetch it anew behind
	HowCopy      How = 16 // the router itself keeps a copy of the answer
)

// Action is what the router wants done, in the order given.
type Action struct {
	Kind   ActionKind
	View   ViewID
	Leg    LegNo
	Node   NodeID
	Source NodeID
	Limit  time.Duration // 0: until the client gives up
	Begin  time.Duration // on its way by then, or never; 0: no bound of its own
	Age    time.Duration // 0: the tariff's fresh time, or any age
	Keep   uint8         // 0 no copy, 1 to 3 the rank
	How    How
	Wait   time.Duration
	Timer  uint64
	Text   string
}
