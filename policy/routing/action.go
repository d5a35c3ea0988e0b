package routing

import (
	"time"
)

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
