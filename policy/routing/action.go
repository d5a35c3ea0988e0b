package routing

import "time"

// ActionKind says what is to be done.
type ActionKind uint8

// The kinds of actions; each comment names the fields of Action that are set.
const (
	// ActionLookup asks an endpoint for what it has cached: Request, Endpoint, Timeout. The router does not use it.
	ActionLookup ActionKind = iota
	// ActionSend sends an attempt: Request, Endpoint, Source, Timeout, StartWithin, MaxAge, CacheRank, FillOptions.
	ActionSend
	// ActionReject rejects a request: Request, Wait until the client may come back.
	ActionReject
	// ActionFail fails a request, which may have run: Request.
	ActionFail
	// ActionCancel cancels an attempt: Request, Attempt.
	ActionCancel
	// ActionHealthCheck sends a health check: Endpoint.
	ActionHealthCheck
	// ActionTimer sets a timer: Wait, Timer.
	ActionTimer
	// ActionWatchEndpoints asks for the endpoint list and its changes.
	ActionWatchEndpoints
	// ActionPollEndpoints asks for the endpoint list once. The router does not use it.
	ActionPollEndpoints
	// ActionLog writes a log line: Text.
	ActionLog
)

// FillOptions is a set of options for a miss.
type FillOptions uint8

// The options for a miss, which may be combined.
const (
	CoalesceFill         FillOptions = 1  // wait for a fill under way
	OnlyIfCached         FillOptions = 2  // the source gives only what it has cached
	NoStore              FillOptions = 4  // the parent keeps no copy
	StaleWhileRevalidate FillOptions = 8  // serve an ageing copy and fetch it anew in the background
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
	MaxAge      time.Duration // 0: the class's own limit
	CacheRank   uint8         // 0 no copy, 1 to 3 the rank
	FillOptions FillOptions
	Wait        time.Duration
	Timer       uint64
	Text        string
}
