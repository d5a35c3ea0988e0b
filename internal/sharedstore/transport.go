// Package sharedstore sends attempts to shared stores that speak RESP2 (Redis). Transport sits between the engine and
// the transport to all other endpoints. It turns an attempt at a store into the gets, leases, fills and sets that
// policy/sharedstore decides on, and reports the result like that of an attempt at a cache. Transport makes no
// decisions of its own and never blocks the engine.
//
// A storeClient keeps one connection to each store; connection is the state machine of that connection and uses no
// socket. command.go builds commands, reply.go parses replies, and value.go and keys.go define the stored format.
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

	policy "fennelarch/policy/sharedstore"
)

// Store is the operator's configuration of one store.
type Store struct {
	UID         string
	Addresses   []string // tried in turn; if empty, the address in the endpoint list is used
	Listed      bool     // the endpoint list contains the store; otherwise this router adds it
	Weight      float64
	Prefix      string // prefix of all keys
	Credentials Credentials
	TLS         *tls.Config
}

// Credentials holds the login and the database of a new connection. Each field may be empty.
type Credentials struct {
	User     string
	Password string
	Database int
}

// Options configures a Transport.
type Options struct {
	Limits    limits.Limits
	Routing   routing.Settings
	Policy    policy.Settings // Epoch is set from StartedAt
	Seed      uint64
	Stores    []Store
	StartedAt time.Time
	// Deliver passes a message to the engine. It may block; it is called on goroutines of this transport and of the
	// inner transport, but never on the engine's.
	Deliver func(at time.Time, message engine.Message)
	Log     *zap.Logger
}

// Transport is an engine.Transport that handles shared stores and passes all other endpoints on to an inner transport.
// Its lock is acquired before those of its clients and of the inner transport.
type Transport struct {
	limits    limits.Limits
	routing   routing.Settings
	log       *zap.Logger
	startedAt time.Time
	inner     engine.Transport // to all other endpoints
	deliver   func(at time.Time, message engine.Message)
	wake      chan struct{} // wakes Run
	clients   map[routing.EndpointID]*storeClient

	mu             sync.Mutex
	coordinator    *policy.Coordinator
	storeEndpoints map[routing.EndpointID]engine.Endpoint // the stores, as in the last endpoint list
	endpointKinds  map[routing.EndpointID]routing.KindID  // of all endpoints that are listed
	origin         routing.EndpointID                     // the origin that was last listed as ready
	lastOperation  policy.OperationID
	operations     map[policy.OperationID]*operation
	byAttempt      map[*engine.Attempt]policy.OperationID // operations by their attempt at a store and by their fill
	timers         timerQueue
	unsent         []unsentCommand // to be reported as failed by Run
	outbox         []engine.Event  // to be delivered to the engine
	actions        []policy.Action // for reuse
}

// New returns a transport for the given stores. SetInner must be called before any other method.
func New(options Options) *Transport {
	t := &Transport{
		limits:         options.Limits,
		routing:        options.Routing,
		log:            options.Log,
		startedAt:      options.StartedAt,
		deliver:        options.Deliver,
		wake:           make(chan struct{}, 1),
		clients:        map[routing.EndpointID]*storeClient{},
		storeEndpoints: map[routing.EndpointID]engine.Endpoint{},
		endpointKinds:  map[routing.EndpointID]routing.KindID{},
		operations:     map[policy.OperationID]*operation{},
		byAttempt:      map[*engine.Attempt]policy.OperationID{},
	}
	var ids []routing.EndpointID
	for _, store := range options.Stores {
		id := engine.EndpointID(store.UID)
		ids = append(ids, id)
		t.clients[id] = newStoreClient(t, id, store)
	}
	settings := options.Policy
	settings.Epoch = policy.Timestamp(options.StartedAt.UnixMilli())
	t.coordinator = policy.New(settings, options.Seed, ids...)
	return t
}

// SetInner sets the transport to all other endpoints.
func (t *Transport) SetInner(inner engine.Transport) { t.inner = inner }

// Run keeps the connections to the stores, fires timers, reports unsent commands as failed and delivers messages until
// the context is done. It returns once its goroutines have ended.
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
		hasUnsent := t.failNextUnsent() // one at a time, so that the engine can acquire the lock in between
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

// Send starts an attempt at a store, at a cache that is to be filled from a store, or at any other endpoint.
func (t *Transport) Send(attempt *engine.Attempt) {
	client := t.clients[attempt.Endpoint]
	isRelay := client == nil
	if isRelay {
		// Caches cannot fetch from a store, so this router returns the store's copy itself.
		client = t.clients[attempt.Source]
	}
	switch {
	case client == nil:
		t.inner.Send(attempt)
	case attempt.Request.Write:
		t.rejectWrite(attempt)
	case isRelay:
		t.startOperation(&operation{attempt: attempt, client: client, isRelay: true})
	default:
		t.startOperation(&operation{attempt: attempt, client: client, source: attempt.Source})
	}
}

// Abort abandons an attempt and reports whether any of it may have been written. At a store the answer is always true:
// only requests that may be repeated are sent there, so the difference does not matter.
func (t *Transport) Abort(attempt *engine.Attempt) bool {
	t.mu.Lock()
	defer t.unlockAndWake()
	id, known := t.byAttempt[attempt]
	if !known {
		return t.inner.Abort(attempt)
	}
	t.operations[id].isComplete = true
	t.handle(&policy.Event{Kind: policy.EventCancel, Operation: id})
	return true
}

// CheckHealth starts a health check of an endpoint.
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

// Post takes a message from the inner transport. The result of a fill is handled here; all else goes to the engine.
func (t *Transport) Post(at time.Time, message engine.Message) {
	if result, ok := message.(engine.AttemptResult); ok && t.finishFill(&result, at) {
		return
	}
	t.deliver(at, message)
}

// UpdateSettings applies settings that changed while the router runs.
func (t *Transport) UpdateSettings(settings policy.Settings) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coordinator.UpdateSettings(settings)
}

// Limits returns the limits that the transport was created with.
func (t *Transport) Limits() limits.Limits { return t.limits }

// Counts returns the counts of all decisions so far.
func (t *Transport) Counts() policy.Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.coordinator.Counts
}

// now returns the time since the router's start, which is the clock of the policy.
func (t *Transport) now() time.Duration { return time.Since(t.startedAt) }

// post puts a message into the outbox, which flush delivers.
func (t *Transport) post(message engine.Message) {
	t.outbox = append(t.outbox, engine.Event{Time: time.Now(), Message: message})
}

// flush delivers the messages in the outbox. It may block, so it must not be called on the engine's goroutine.
func (t *Transport) flush() {
	t.mu.Lock()
	outbox := t.outbox
	t.outbox = nil
	t.mu.Unlock()
	for _, event := range outbox {
		t.deliver(event.Time, event.Message)
	}
}

// unlockAndWake releases the lock in methods that the engine's goroutine may call. That goroutine must not deliver
// messages to itself, so Run is woken to deliver the outbox.
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
