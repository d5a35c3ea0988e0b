package engine

import (
	"hash/fnv"
	"time"

	"fennelarch/internal/invariant"
	"fennelarch/policy/notification"
	"fennelarch/policy/routing"
)

// Message is a message to the engine: a *Request, AttemptResult, HealthCheckResult, EndpointList, Purge,
// DiscoveryReport, ClientGone or Shutdown. All but the first are sent as values.
type Message interface{ engineMessage() }

func (*Request) engineMessage()          {}
func (AttemptResult) engineMessage()     {}
func (HealthCheckResult) engineMessage() {}
func (EndpointList) engineMessage()      {}
func (Purge) engineMessage()             {}
func (DiscoveryReport) engineMessage()   {}
func (ClientGone) engineMessage()        {}
func (Shutdown) engineMessage()          {}

// Event is a message with the time of the occurrence that it reports.
type Event struct {
	Time    time.Time // zero: unknown; no queue delay is recorded
	Message Message
}

// Tag is the number by which a client identifies a request on its connection.
type Tag uint64

// ClientRequestID is the id that the client chose for a request. The id is the same on every hop.
type ClientRequestID uint64

// Request is a request as received from a client.
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
	SizeKB          float64 // 0: unknown
	Repeat          bool    // the client has sent the request before
	Write           bool
	HeldETag        string // ETag of the copy that the client holds
	IdempotencyKey  string // servers drop repeats with the same key
	Body            []byte
	Timeout         time.Duration // how long after ReceivedAt the client gives up
	ReceivedAt      time.Time     // earliest possible arrival of the last byte

	// OnDone, if set, is called once the engine and the transport no longer use the request and its body. It must not
	// block.
	OnDone func()

	Invariants *invariant.Request // shared record of how the request ends; nil: nothing is checked
}

// done drops the body, which timers may refer to for longer, and calls OnDone.
func (r *Request) done() {
	r.Body = nil
	if r.OnDone != nil {
		r.OnDone()
	}
}

// AttemptResult reports how an attempt ended at its endpoint.
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

// HealthCheckResult reports how a health check ended.
type HealthCheckResult struct {
	Endpoint   routing.EndpointID
	Outcome    routing.Outcome
	Elapsed    time.Duration
	LoadReport routing.LoadReport
}

// Endpoint is an entry of an endpoint list.
type Endpoint struct {
	routing.Endpoint
	UID      string
	Address  string
	BootTime time.Time // zero: long ago
}

// EndpointID returns the id of an endpoint. The id is a hash of the UID, so that all routers agree on it.
func EndpointID(uid string) routing.EndpointID {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(uid))
	return routing.EndpointID(max(1, hash.Sum64()))
}

// EndpointList is the complete list of endpoints, or an update to it.
type EndpointList struct {
	Endpoints []Endpoint
	Complete  bool          // endpoints missing from the list are gone
	MaxAge    time.Duration // longest possible time between its publication and its receipt
}

// MaxAgeBeforeStart is the MaxAge of a list that may have been published before this process started.
const MaxAgeBeforeStart = 24 * time.Hour

// Purge reports that an object was purged, or a group if Object is 0.
type Purge struct {
	Object routing.ObjectID
	Group  routing.GroupID
	Issued time.Time
}

// DiscoveryReport reports how current the delivered endpoint lists and purges are.
type DiscoveryReport struct {
	Kind notification.ReportKind
	At   time.Time
	Hold time.Duration // of a poll that was sent: how long the server may hold it

	EndsPoll bool // events are current because the poll that was sent last has ended
}

// Since returns the report for a clock that was at 0 at the given time.
func (r DiscoveryReport) Since(start time.Time) notification.Report {
	return notification.Report{Kind: r.Kind, At: r.At.Sub(start), Hold: r.Hold, EndsPoll: r.EndsPoll}
}

// ClientGone reports that a client no longer waits for a request.
type ClientGone struct{ Request routing.RequestID }

// Shutdown announces that this router is about to stop. A request still in flight at the end of the grace gets its
// final response then.
type Shutdown struct{ Grace time.Duration }
