package routing

import "time"

// ActionKind is the kind of an action.
type ActionKind uint8

// The kinds of actions. Each comment lists the fields of Action that are set.
const (
	// ActionLookup asks an endpoint for a cached copy: Request, Endpoint, Timeout. The router never emits it.
	ActionLookup ActionKind = iota
	// ActionSend sends an attempt: Request, Endpoint, Source, Timeout, StartWithin, MaxAge, CacheRank, FillOptions.
	ActionSend
	// ActionReject rejects a request: Request, Wait (the delay before the client may retry).
	ActionReject
	// ActionFail reports to the client that its request, which may have run, has failed: Request.
	ActionFail
	// ActionCancel cancels an attempt: Request, Attempt.
	ActionCancel
	// ActionHealthCheck sends a health check: Endpoint.
	ActionHealthCheck
	// ActionTimer sets a timer: Wait, Timer.
	ActionTimer
	// ActionWatchEndpoints requests the endpoint list and its later changes.
	ActionWatchEndpoints
	// ActionPollEndpoints requests the endpoint list once. The router never emits it.
	ActionPollEndpoints
	// ActionLog writes a log line: Text.
	ActionLog
)

// FillOptions is a set of options for an attempt and the fill that it may cause.
type FillOptions uint8

// The fill options, which can be combined.
const (
	CoalesceFill         FillOptions = 1  // wait for a fill in progress
	OnlyIfCached         FillOptions = 2  // the source answers only from its cache
	NoStore              FillOptions = 4  // the parent keeps no copy
	StaleWhileRevalidate FillOptions = 8  // serve a stale copy and refresh it in the background
	StoreLocally         FillOptions = 16 // the router itself keeps a copy of the answer
)

// Action is an instruction of the router to the front end. Actions are carried out in the order in which they are
// returned.
type Action struct {
	Kind        ActionKind
	Request     RequestID
	Attempt     AttemptNumber
	Endpoint    EndpointID
	Source      EndpointID
	Timeout     time.Duration // 0: the request's deadline
	StartWithin time.Duration // not sent if it cannot be sent within this time; 0: no such limit
	MaxAge      time.Duration // maximum age of a copy; 0: the limit of the class
	CacheRank   uint8         // rank of the cached copy, 1 to 3; 0: the cache keeps no copy
	FillOptions FillOptions
	Wait        time.Duration
	Timer       uint64
	Text        string
}
