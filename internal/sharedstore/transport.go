// Package sharedstore carries attempts to shared stores that speak RESP2 (Redis). Transport stands between the engine
// and the transport of all other endpoints: an attempt at a store becomes gets, leases, fills and sets as the
// decisions in policy/sharedstore want, and ends as an attempt at a cache does. Transport decides nothing and never
// blocks the engine.
//
// One connection to each store is kept by a storeClient; connection is the state machine behind it, without a socket.
// Commands and replies are in command.go and reply.go, the stored form of values and keys in value.go and keys.go.
package sharedstore

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/limits"
	"fennelarch/policy/routing"

	"go.uber.org/zap"

	decide "fennelarch/policy/sharedstore"
)

// Store is what the operator says of one store.
type Store struct {
	UID         string
	Addresses   []string // none: the address of the endpoint list
	Listed      bool     // the endpoint list names it; otherwise this router adds it
	Weight      float64
	Prefix      string // of all keys
	Credentials Credentials
	TLS         *tls.Config
}

// Credentials is what a new connection authenticates with; all of it may be empty.
type Credentials struct {
	User     string
	Password string
	Database int
}

// Options configures a Transport.
type Options struct {
	Limits    limits.Limits
	Routing   routing.Settings
	Decisions decide.Settings // Epoch is set from StartedAt
	Seed      uint64
	Stores    []Store
	StartedAt time.Time
	// Deliver takes messages for the engine. It is called from goroutines of this transport and of the inner one, never
	// from the engine's, and may block.
	Deliver func(at time.Time, message engine.Message)
	Log     *zap.Logger
}

// Transport is an engine.Transport that knows stores. Its lock is taken before those of its clients and of the inner
// transport.
type Transport struct {
	limits    limits.Limits
	routing   routing.Settings
	log       *zap.Logger
	startedAt time.Time
	inner     engine.Transport // of all other endpoints
	deliver   func(at time.Time, message engine.Message)
	wake      chan struct{}
	clients   map[routing.EndpointID]*storeClient

	mu            sync.Mutex
	coordinator   *decide.Coordinator
	members       map[routing.EndpointID]engine.Endpoint // the stores as last listed
	kinds         map[routing.EndpointID]routing.KindID
	origin        routing.EndpointID
	lastOperation decide.OperationID
	operations    map[decide.OperationID]*operation
	byAttempt     map[*engine.Attempt]decide.OperationID // attempts at stores, and fills
	timers        timerQueue
	unsent        []unsentCommand // Run reports them as failed
	outbox        []engine.Event
	actions       []decide.Action // for reuse
}

// New returns a transport for the stores given. SetInner comes before anything else.
func New(options Options) *Transport {
	t := &Transport{
		limits:     options.Limits,
		routing:    options.Routing,
		log:        options.Log,
		startedAt:  options.StartedAt,
		deliver:    options.Deliver,
		wake:       make(chan struct{}, 1),
		clients:    map[routing.EndpointID]*storeClient{},
		members:    map[routing.EndpointID]engine.Endpoint{},
		kinds:      map[routing.EndpointID]routing.KindID{},
		operations: map[decide.OperationID]*operation{},
		byAttempt:  map[*engine.Attempt]decide.OperationID{},
	}
	var ids []routing.EndpointID
	for _, store := range options.Stores {
		id := engine.EndpointID(store.UID)
		ids = append(ids, id)
		t.clients[id] = newStoreClient(t, id, store)
	}
	decisions := options.Decisions
	decisions.Epoch = decide.Timestamp(options.StartedAt.UnixMilli())
	t.coordinator = decide.New(decisions, options.Seed, ids...)
	return t
}

// SetInner sets the transport of all other endpoints.
func (t *Transport) SetInner(inner engine.Transport) { t.inner = inner }

// Run keeps the connections, fires timers, reports commands that found no connection as failed, and delivers messages
// until the context ends. It returns when its goroutines have ended.
func (t *Transport) Run(ctx context.Context) {
	var clients sync.WaitGroup
	defer clients.Wait()
	for _, client := range t.clients {
		clients.Go(func() { client.run(ctx) })
	}
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for {
		t.mu.Lock()
		t.fireTimers(alarm)
		hasUnsent := t.failNextUnsent() // one at a time, so that the engine gets the lock in between
		t.mu.Unlock()
		t.flush()
		if hasUnsent {
			continue
		}
		select {
		case <-t.wake:
		case <-alarm.C:
		case <-ctx.Done():
			return
		}
	}
}

// Send takes an attempt: at a store, at a cache that is to be filled from one, or at any other endpoint.
func (t *Transport) Send(attempt *engine.Attempt) {
	client := t.clients[attempt.Endpoint]
	isRelay := client == nil
	if isRelay {
		// No cache can fetch from a store: this router serves the store's copy instead.
		client = t.clients[attempt.Source]
	}
	switch {
	case client == nil:
		t.inner.Send(attempt)
	case attempt.Request.Write:
		t.refuseWrite(attempt)
	case isRelay:
		t.startOperation(&operation{attempt: attempt, client: client, isRelay: true})
	default:
		t.startOperation(&operation{attempt: attempt, client: client, source: attempt.Source})
	}
}

// Abort abandons an attempt. A request that may go to a store may be repeated: it does not matter whether it was
// written.
func (t *Transport) Abort(attempt *engine.Attempt) bool {
	t.mu.Lock()
	defer t.unlockAndWake()
	id, known := t.byAttempt[attempt]
	if !known {
		return t.inner.Abort(attempt)
	}
	t.operations[id].isComplete = true
	t.handle(&decide.Event{Kind: decide.EventCancel, Operation: id})
	return true
}

// CheckHealth asks an endpoint for its state.
func (t *Transport) CheckHealth(id routing.EndpointID) {
	client := t.clients[id]
	if client == nil {
		t.inner.CheckHealth(id)
		return
	}
	if !client.send(pingCommand()) {
		t.mu.Lock()
		defer t.unlockAndWake()
		t.post(engine.HealthCheckResult{Endpoint: id, Outcome: routing.ConnectFailed})
	}
}

// Post takes what the inner transport reports: the ends of fills are for this transport, all else is for the engine.
func (t *Transport) Post(at time.Time, message engine.Message) {
	if result, is := message.(engine.AttemptResult); is && t.finishFill(&result, at) {
		return
	}
	t.deliver(at, message)
}

// UpdateSettings applies settings that changed while the router runs.
func (t *Transport) UpdateSettings(settings decide.Settings) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coordinator.UpdateSettings(settings)
}

// Limits are the limits that the transport was created with.
func (t *Transport) Limits() limits.Limits { return t.limits }

// Counts is what was decided so far.
func (t *Transport) Counts() decide.Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.coordinator.Counts
}

// now is the time by the clock of the decisions.
func (t *Transport) now() time.Duration { return time.Since(t.startedAt) }

// post puts a message into the outbox. It is delivered by flush on a goroutine that may block, or by Run.
func (t *Transport) post(message engine.Message) {
	t.outbox = append(t.outbox, engine.Event{Time: time.Now(), Message: message})
}

// flush delivers the outbox. It may block, so it is never called by the engine's goroutine.
func (t *Transport) flush() {
	t.mu.Lock()
	outbox := t.outbox
	t.outbox = nil
	t.mu.Unlock()
	for _, event := range outbox {
		t.deliver(event.Time, event.Message)
	}
}

// unlockAndWake unlocks on the engine's own goroutine, which must not wait for itself: Run delivers the outbox.
func (t *Transport) unlockAndWake() {
	if len(t.outbox) > 0 {
		t.wakeRun()
	}
	t.mu.Unlock()
}

func (t *Transport) wakeRun() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}
