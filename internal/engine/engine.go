// Package engine drives the routing decisions. One goroutine runs Engine.Run and owns the router, its clock, its timers
// and the requests and attempts in flight; everything else posts messages to it. It carries out the actions that the
// router asks for. It must never block, make a decision of its own, or know a protocol: clients and endpoints are
// behind the interfaces Client and Transport.
package engine

import (
	"container/heap"
	"math"
	"sync/atomic"
	"time"

	"fennelarch/internal/flightrecorder"
	"fennelarch/internal/invariant"
	"fennelarch/policy/routing"

	"go.uber.org/zap"
)

// Counts are totals since the start, but for InFlight and EventQueueDelay.
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

// Options are what an engine is built with.
type Options struct {
	Routing     routing.Settings
	Seed        uint64
	QueueLength int       // events that may wait for the engine
	StartTime   time.Time // when its clock stands at 0
	Transport   Transport
	LocalCache  LocalCacheSettings
	Log         *zap.Logger // required

	Monitor     *invariant.Monitor     // optional: counts violations and lets readers go first after a stall
	OnClockStep func(by time.Duration) // optional: called when the wall clock has stepped
}

// Engine is driven by Run, or by hand through Handle and Tick.
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
	shutdownDeadline time.Duration // no request lasts longer
	ages             ageEstimator
	bootTimes        bootTimes

	requests   map[routing.RequestID]*activeRequest
	localCache *localCache
	timers     timerHeap

	actions   []routing.Action   // of the last call of the router
	pending   []routing.Event    // that this side caused and the router has not seen yet
	endpoints []routing.Endpoint // of the last list; reused

	counts          Counts
	inFlight        atomic.Int64
	eventQueueDelay atomic.Int64 // of the last event, in nanoseconds
}

// New returns an engine whose clock starts at the start time of the options.
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
		requests:         map[routing.RequestID]*activeRequest{},
		localCache:       newLocalCache(options.LocalCache),
	}
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

// Post sends the engine a message about what happened at a time. A request is not accepted while the queue is full: its
// client's connection must go on being read, or a cancellation behind it would not be seen. That a client has gone is
// always accepted, at once; any other message waits for its turn.
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

// InFlight is the number of requests without a final response, including what waits in the queue.
func (e *Engine) InFlight() int { return int(e.inFlight.Load()) + len(e.events) }

// EventQueueDelay is how long the last event waited.
func (e *Engine) EventQueueDelay() time.Duration { return time.Duration(e.eventQueueDelay.Load()) }

// Run drives the engine by the system's clock until done is closed, and reports its counts at an interval.
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

// drainAfterStall lets readers go first once the process has stood still, and handles what they read: it may be a
// cancellation, or the response of an endpoint that would otherwise count as silent.
func (e *Engine) drainAfterStall() {
	if !e.monitor.Watch().Settle() {
		return
	}
	e.handleCancellations()
	for range len(e.events) {
		e.Handle(time.Since(e.startTime), <-e.events)
	}
}

// Start starts the router; it comes before any event.
func (e *Engine) Start(now time.Duration) {
	e.now = now
	e.actions = e.router.Start(now, e.actions[:0])
	e.execute()
}

// Handle handles one event.
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
	case ClientGone:
		e.handleClientGone(message)
	case Shutdown:
		e.handleShutdown(message)
	}
}

func (e *Engine) handleHealthCheckResult(result *HealthCheckResult) {
	e.dispatch(&routing.Event{
		Kind: routing.EventHealthCheck, Endpoint: result.Endpoint, Outcome: result.Outcome,
		Elapsed: result.Elapsed, LoadReport: result.LoadReport,
	})
}

// handleShutdown brings the deadline of every request forward to the end of the grace.
func (e *Engine) handleShutdown(shutdown Shutdown) {
	e.shutdownDeadline = e.now + shutdown.Grace
	for id, request := range e.requests {
		if request.deadline > e.shutdownDeadline {
			request.deadline = e.shutdownDeadline
			heap.Push(&e.timers, timer{at: request.deadline, request: id})
		}
	}
}
