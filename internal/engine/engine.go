// Package engine drives a routing.Router and carries out its actions. The goroutine that runs Engine.Run owns the
// router, its clock and timers, and the requests and attempts in flight; all others post messages to the engine. The
// engine must never block, make a routing decision, or depend on a protocol: clients and endpoints are behind the
// interfaces Client and Transport.
package engine

import (
	"container/heap"
	"math"
	"sync/atomic"
	"time"

	"fennelarch/internal/flightrecorder"
	"fennelarch/internal/invariant"
	"fennelarch/policy/membership"
	"fennelarch/policy/notification"
	"fennelarch/policy/routing"

	"go.uber.org/zap"
)

// Counts holds totals since the start, except for InFlight and EventQueueDelay.
type Counts struct {
	Requests        uint64
	Succeeded       uint64
	Rejected        uint64
	Failed          uint64
	ClientCancelled uint64
	Attempts        uint64
	LocalCacheHits  uint64
	InFlight        int64
	EventQueueDelay time.Duration // the longest since the last report
}

// Options configures an Engine.
type Options struct {
	Routing     routing.Settings
	Seed        uint64
	QueueLength int       // capacity of the event queue
	StartTime   time.Time // time 0 of the engine's clock
	Transport   Transport
	LocalCache  LocalCacheSettings
	Log         *zap.Logger // required

	Monitor     *invariant.Monitor     // optional: counts violations and gives readers priority after a stall
	OnClockStep func(by time.Duration) // optional: called when the wall clock has stepped
}

// Engine drives the router. After Start, call either Run, or Handle and Tick for each event and timer.
type Engine struct {
	events        chan Event
	cancellations cancellations

	router    *routing.Router
	settings  routing.Settings
	transport Transport
	log       *zap.Logger
	monitor   *invariant.Monitor

	startTime        time.Time
	now              time.Duration
	shutdownDeadline time.Duration // latest deadline of any request
	ages             ageEstimator
	bootTimes        bootTimes
	addresses        membership.Addresses

	requests   map[routing.RequestID]*activeRequest
	localCache *localCache
	purgesDue  notification.Horizon // up to when purges count as notified
	timers     timerHeap

	compactTimersAt int // number of timers

	actions   []routing.Action   // returned by the router's last call
	pending   []routing.Event    // caused by the engine, not yet passed to the router
	endpoints []routing.Endpoint // of the last endpoint list; the slice is reused

	counts          Counts
	inFlight        atomic.Int64
	eventQueueDelay atomic.Int64 // of the last event, in nanoseconds
}

// New returns an engine whose clock is at 0 at options.StartTime.
func New(options Options) *Engine {
	options.Routing.LocalCacheCapacity = options.LocalCache.Capacity()
	engine := &Engine{
		events:           make(chan Event, options.QueueLength),
		cancellations:    cancellations{signal: make(chan struct{}, 1)},
		router:           routing.New(options.Routing, options.Seed),
		settings:         options.Routing,
		transport:        options.Transport,
		log:              options.Log,
		startTime:        options.StartTime,
		shutdownDeadline: math.MaxInt64,
		ages:             ageEstimator{newClockSkew(options.StartTime, timestampHorizon(&options.Routing))},
		bootTimes:        bootTimes{},
		addresses:        membership.New(),
		requests:         map[routing.RequestID]*activeRequest{},
		localCache:       newLocalCache(options.LocalCache),
		compactTimersAt:  minTimersToCompact,
		purgesDue:        notification.New(notification.SettingsFor(&options.Routing)),
	}
	engine.router.SetPurgeHorizon(&engine.purgesDue)
	engine.watchClockSteps(options.Monitor, options.OnClockStep)
	return engine
}

func (e *Engine) watchClockSteps(monitor *invariant.Monitor, onClockStep func(by time.Duration)) {
	e.monitor = monitor
	e.ages.clock.onStep = func(by time.Duration) {
		if onClockStep != nil {
			onClockStep(by)
		}
		monitor.Record(flightrecorder.Entry{Event: flightrecorder.ClockStepped, Value: by.Milliseconds()})
		e.log.Warn("the wall clock stepped", zap.Duration("by", by))
	}
}

// Post sends the engine a message about an event at a given time. Post rejects a request while the queue is full:
// blocking would stop the reads from the client's connection, and a cancellation behind the request would go unseen. A
// ClientGone message is always accepted at once; any other message blocks until the queue has room.
func (e *Engine) Post(at time.Time, message Message) (accepted bool) {
	switch message := message.(type) {
	case ClientGone:
		e.cancellations.add(message)
	case *Request:
		select {
		case e.events <- Event{at, message}:
		default:
			return false
		}
	default:
		e.events <- Event{at, message}
	}
	return true
}

// InFlight returns the number of open requests, plus the number of messages in the queue.
func (e *Engine) InFlight() int { return int(e.inFlight.Load()) + len(e.events) }

// EventQueueDelay returns how long the last event waited in the queue.
func (e *Engine) EventQueueDelay() time.Duration { return time.Duration(e.eventQueueDelay.Load()) }

// Run drives the engine by the system clock until done is closed, and calls report with its counts every
// reportInterval.
func (e *Engine) Run(done <-chan struct{}, reportInterval time.Duration, report func(Counts)) {
	timer := time.NewTimer(0)
	lastReport := e.now
	for {
		select {
		case event := <-e.events:
			e.drainAfterStall()
			e.handleCancellations()
			e.Handle(time.Since(e.startTime), event)
		case <-e.cancellations.signal:
			e.handleCancellations()
		case <-timer.C:
			e.drainAfterStall()
			e.handleCancellations()
		case <-done:
			return
		}
		now := time.Since(e.startTime)
		e.Tick(now)
		if now-lastReport >= reportInterval {
			lastReport = now
			e.counts.InFlight = e.inFlight.Load()
			report(e.counts)
			e.counts.EventQueueDelay = 0
		}
		if len(e.timers) > 0 {
			timer.Reset(e.timers[0].at - now)
		}
	}
}

// drainAfterStall lets readers run first after a stall of the process, and handles what they have read. This may
// include a cancellation, or the response of an endpoint that would otherwise be treated as unresponsive.
func (e *Engine) drainAfterStall() {
	if !e.monitor.StallDetector().Settle() {
		return
	}
	e.handleCancellations()
	for range len(e.events) {
		e.Handle(time.Since(e.startTime), <-e.events)
	}
}

// Start starts the router. It must be called before any event is handled.
func (e *Engine) Start(now time.Duration) {
	e.now = now
	e.actions = e.router.Start(now, e.actions[:0])
	e.execute()
}

// Handle handles one event at time now.
func (e *Engine) Handle(now time.Duration, event Event) {
	e.now = max(now, e.now)
	if !event.Time.IsZero() {
		delay := e.now - event.Time.Sub(e.startTime)
		e.counts.EventQueueDelay = max(e.counts.EventQueueDelay, delay)
		e.eventQueueDelay.Store(int64(delay))
	}
	switch message := event.Message.(type) {
	case *Request:
		e.handleRequest(message)
	case AttemptResult:
		e.handleAttemptResult(&message, event.Time.Sub(e.startTime))
	case HealthCheckResult:
		e.handleHealthCheckResult(&message)
	case EndpointList:
		e.handleEndpointList(&message)
	case Purge:
		e.handlePurge(message)
	case DiscoveryReport:
		e.purgesDue.Record(message.Since(e.startTime))
	case ClientGone:
		e.handleClientGone(message)
	case Shutdown:
		e.handleShutdown(message)
	}
}

func (e *Engine) handleHealthCheckResult(result *HealthCheckResult) {
	e.dispatch(&routing.Event{
		Kind: routing.EventHealthCheckResult, Endpoint: result.Endpoint, Outcome: result.Outcome,
		Elapsed: result.Elapsed, LoadReport: result.LoadReport,
	})
}

// handleShutdown limits the deadline of every request to the end of the grace.
func (e *Engine) handleShutdown(shutdown Shutdown) {
	e.shutdownDeadline = e.now + shutdown.Grace
	for id, request := range e.requests {
		if request.deadline > e.shutdownDeadline {
			request.deadline = e.shutdownDeadline
			heap.Push(&e.timers, timer{at: request.deadline, request: id})
		}
	}
}
