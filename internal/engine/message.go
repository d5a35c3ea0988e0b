package engine

import (
	"hash/fnv"
	"time"

	"fennelarch/internal/invariant"
	"fennelarch/policy/routing"
)

// Message is anything that the engine can be sent. The set is closed: *Request, AttemptResult, HealthCheckResult,
// EndpointList, Purge, ClientGone and Shutdown; the last six are sent as values.
type Message interface{ engineMessage() }

func (*Request) engineMessage()          {}
func (AttemptResult) engineMessage()     {}
func (HealthCheckResult) engineMessage() {}
func (EndpointList) engineMessage()      {}
func (Purge) engineMessage()             {}
func (ClientGone) engineMessage()        {}
func (Shutdown) engineMessage()          {}

// Event is a message with the time at which what it reports happened.
type Event struct {
	Time    time.Time
	Message Message
}

// Tag is the number by which a client names a request on its connection.
type Tag uint64

// ClientRequestID is the id of a request that its client chose; it stays the same on every hop.
type ClientRequestID uint64

// Request is a request as its client sent it.
type Request struct {
	ID     routing.RequestID
	Client Client
	Tag    Tag

	ClientRequestID ClientRequestID // forwarded unchanged, as are object, part, idempotency key and body
	Class           routing.ClassID
	Tenant          routing.TenantID
	Object          routing.ObjectID
	Group           routing.GroupID
	Part            int
	SizeKB          float64
	Repeat          bool
	Write           bool
	HeldETag        string // of the copy that the client holds
	IdempotencyKey  string // servers drop repeats with the same key
	Body            []byte
	Timeout         time.Duration // from ReceivedAt until the client gives up
	ReceivedAt      time.Time     // the earliest time at which its last byte may have arrived

	Invariants *invariant.Request // shared record of how it ends; nil: nothing is checked
}

// AttemptResult is how an attempt ended at its endpoint.
type AttemptResult struct {
	Attempt       *Attempt
	Outcome       routing.Outcome
	Note          routing.Note
	FirstByteWait time.Duration
	LoadReport    routing.LoadReport
	NotModified   bool // the copy that the client holds is current
	Body          []byte
	ETag          string    // of the body
	GeneratedAt   time.Time // when the origin generated the body; zero if unknown
}

// HealthCheckResult is how a health check ended.
type HealthCheckResult struct {
	Endpoint   routing.EndpointID
	Outcome    routing.Outcome
	Elapsed    time.Duration
	LoadReport routing.LoadReport
}

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	routing.Endpoint
	UID      string
	Address  string
	BootTime time.Time // zero: long ago
}

// EndpointID is the id of an endpoint: a hash of its UID, so that all routers agree on it.
func EndpointID(uid string) routing.EndpointID {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(uid))
	return routing.EndpointID(max(1, hash.Sum64()))
}

// EndpointList is the list of endpoints, or a change of it.
type EndpointList struct {
	Endpoints []Endpoint
	Complete  bool          // endpoints that are not in it are gone
	Age       time.Duration // how long before its receipt it may have been published
}

// AgeBeforeStart is the age of what was published before this process started.
const AgeBeforeStart = 24 * time.Hour

// Purge reports that an object was purged, or a group where the object is 0.
type Purge struct {
	Object routing.ObjectID
	Group  routing.GroupID
	Issued time.Time
}

// ClientGone reports that a client no longer waits for a request.
type ClientGone struct{ Request routing.RequestID }

// Shutdown announces that this router will stop: each request still in flight after the grace gets its final response
// then.
type Shutdown struct{ Grace time.Duration }
