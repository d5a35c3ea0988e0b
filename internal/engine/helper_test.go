package engine

import (
	"fmt"
	"testing"
	"time"

	"fennelarch/internal/invariant"
	"fennelarch/policy/routing"

	"go.uber.org/zap"
)

// The endpoints of a test engine: one cache A, one parent P and the origin O.
const cache, parent, origin routing.EndpointID = 1, 2, 3

var endpointNames = [...]string{"none", "A", "P", "O"}

// The classes of a test engine.
const idempotentClass, nonIdempotentClass routing.ClassID = 0, 1

// testEngine drives an Engine step by step with its own clock, and prints the responses to clients and the attempts at
// endpoints.
type testEngine struct {
	*Engine
	start        time.Time
	elapsed      time.Duration // time since start on the test's clock
	attempts     []*Attempt
	abortWritten bool // what Abort returns
	quiet        bool
	responses    int // given to clients
}

func newTestEngine(cacheSettings ...LocalCacheSettings) *testEngine {
	engine := &testEngine{start: time.Now(), abortWritten: true}
	engine.Engine = New(Options{
		Routing: testSettings(), Seed: 1, QueueLength: 16, StartTime: engine.start, Transport: engine,
		LocalCache: append(cacheSettings, LocalCacheSettings{})[0], Log: zap.NewNop(),
	})
	engine.setWallClock(0)
	engine.Start(0)
	var endpoints []Endpoint
	for kind, id := range []routing.EndpointID{cache, parent, origin} {
		endpoints = append(endpoints, Endpoint{Endpoint: routing.Endpoint{
			ID: id, State: routing.Ready, Kind: routing.KindID(kind), Weight: 1,
		}})
	}
	engine.send(EndpointList{Endpoints: endpoints, Complete: true})
	return engine
}

func testSettings() routing.Settings {
	return routing.Settings{
		Routers: 1, ZoneRouters: []int{1}, ParentKind: 1, OriginKind: 2, AllowCancel: true, HedgedRequests: true,
		SendRetryAfter: true, MaxAttempts: 6, MaxRetryAfter: time.Second, DrainGrace: time.Second,
		SlowStartShare: 1, ParentSlowStartShare: 1, PurgeGrace: time.Second, PurgeCompleteAfter: 6 * time.Second,
		AllowDirect: true, ResponseDetail: routing.DetailFull, FlowKBPerSecond: 1000,
		Classes: []routing.Class{
			idempotentClass: {
				LatencyObjective: 500 * time.Millisecond, ObjectiveTransferFactor: 2, Deadline: 5 * time.Second, Value: 2,
			},
			nonIdempotentClass: {
				LatencyObjective: 700 * time.Millisecond, Deadline: 3 * time.Second, Value: 3,
				Idempotency: routing.NonIdempotent, Write: true,
			},
		},
	}
}

// setWallClock sets how far the wall clock is ahead of the time that has passed on the test's clock.
func (e *testEngine) setWallClock(ahead time.Duration) {
	e.ages.clock.readClocks = func() (time.Duration, time.Time) {
		return e.elapsed, e.start.Add(e.elapsed + ahead).Round(0)
	}
}

// send makes the engine handle a message now.
func (e *testEngine) send(message Message) {
	e.Handle(e.elapsed, Event{Time: e.start.Add(e.elapsed), Message: message})
}

// advance advances the test's clock in steps of at most a millisecond.
func (e *testEngine) advance(d time.Duration) {
	for end := e.elapsed + d; e.elapsed < end; {
		e.elapsed = min(end, e.elapsed+time.Millisecond)
		e.Tick(e.elapsed)
	}
}

// newRequest returns a request for object 7 that arrives now.
func (e *testEngine) newRequest(id routing.RequestID, class routing.ClassID, timeout time.Duration) *Request {
	return &Request{
		ID: id, Client: e, Tag: Tag(id), Class: class, Write: class == nonIdempotentClass, Object: 7, SizeKB: 100,
		Timeout: timeout, ReceivedAt: e.start.Add(e.elapsed),
	}
}

func (e *testEngine) sendRequest(id routing.RequestID, class routing.ClassID, timeout time.Duration) {
	e.send(e.newRequest(id, class, timeout))
}

// deliverResult sends the result of an attempt, identified by its index in the order of sending.
func (e *testEngine) deliverResult(attempt int, outcome routing.Outcome, note routing.Note) {
	e.send(AttemptResult{
		Attempt: e.attempts[attempt], Outcome: outcome, Note: note, Body: []byte("bytes"), ETag: "tag",
		GeneratedAt: e.start.Add(e.elapsed),
	})
}

func (e *testEngine) printf(format string, args ...any) {
	if !e.quiet {
		fmt.Printf("%7v ", e.elapsed)
		fmt.Printf(format+"\n", args...)
	}
}

func (e *testEngine) Respond(tag Tag, response Response) {
	e.responses++
	if response.NotModified {
		e.printf("request %d: not modified", tag)
		return
	}
	status := [...]string{"succeeded", "rejected", "failed"}[response.Status]
	e.printf("request %d: %s, %d bytes", tag, status, len(response.Body))
}

func (e *testEngine) UpdateEndpoints(EndpointList)   {}
func (e *testEngine) CheckHealth(routing.EndpointID) {}

func (e *testEngine) Send(attempt *Attempt) {
	e.attempts = append(e.attempts, attempt)
	e.printf("request %d: attempt at %s, fill from %s, for %v", attempt.Request.ID, endpointNames[attempt.Endpoint],
		endpointNames[attempt.Source], attempt.Deadline.Sub(e.start.Add(e.elapsed)))
}

func (e *testEngine) Abort(attempt *Attempt) bool {
	e.printf("request %d: attempt %d aborted", attempt.Request.ID, attempt.Number)
	return e.abortWritten
}

// checkedEngine records the responses to a client. It fails the test if an attempt is sent for a closed request or an
// invariant is violated.
type checkedEngine struct {
	*testEngine
	t        *testing.T
	scenario string
	statuses []Status
	isClosed bool // the client has left or has its response
}

func newCheckedEngine(t *testing.T, scenario string, cacheSettings ...LocalCacheSettings) *checkedEngine {
	t.Helper()
	engine := &checkedEngine{testEngine: newTestEngine(cacheSettings...), t: t, scenario: scenario}
	engine.quiet = true
	engine.transport = engine
	engine.monitor = newTestMonitor(func(reason string) { t.Errorf("%s: %s", scenario, reason) })
	return engine
}

func (e *checkedEngine) Respond(_ Tag, response Response) {
	e.statuses = append(e.statuses, response.Status)
	e.isClosed = true
}

func (e *checkedEngine) Send(attempt *Attempt) {
	if e.isClosed {
		e.t.Errorf("%s: attempt %d sent for a closed request", e.scenario, attempt.Number)
	}
	e.attempts = append(e.attempts, attempt)
}

func (e *checkedEngine) Abort(*Attempt) bool { return e.abortWritten }

func (e *checkedEngine) newRequest(id routing.RequestID, class routing.ClassID, timeout time.Duration) *Request {
	request := e.testEngine.newRequest(id, class, timeout)
	request.Client = e
	return request
}

// newTestMonitor returns a monitor that calls report for each violation. If report is nil, it only counts them.
func newTestMonitor(report func(reason string)) *invariant.Monitor {
	return invariant.NewMonitor(zap.NewNop(), nil, nil, report)
}
