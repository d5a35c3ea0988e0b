package sharedstore

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/fake/redis"
	"fennelarch/internal/limits"
	"fennelarch/policy/routing"

	"go.uber.org/zap"

	policy "fennelarch/policy/sharedstore"
)

const (
	storeUID  = "s-redis"
	parentUID = "s-parent"

	// copyProvenAfter is the time after a router's start from which generated copies are known to be newer than every
	// purge, without the log of a store.
	copyProvenAfter = 600 * time.Millisecond
)

func testLimits() limits.Limits {
	return limits.Derive(limits.Inputs{
		Cores: 1, MemoryMB: 64, Sockets: 256, DrainGrace: time.Second, LongestDeadline: 3 * time.Second,
	})
}

// fakeParent answers fills at once, or not at all if it is silent.
type fakeParent struct {
	post     func(time.Time, engine.Message)
	body     []byte
	isSilent bool
	fail     routing.Outcome // of each fill, if it is set
	fills    []*engine.Attempt
	aborted  []*engine.Attempt
}

func (p *fakeParent) UpdateEndpoints(engine.EndpointList) {}
func (p *fakeParent) CheckHealth(routing.EndpointID)      {}

func (p *fakeParent) Abort(attempt *engine.Attempt) bool {
	p.aborted = append(p.aborted, attempt)
	return true
}

func (p *fakeParent) Send(attempt *engine.Attempt) {
	p.fills = append(p.fills, attempt)
	if p.isSilent {
		return
	}
	if p.fail != routing.OutcomeNone {
		go p.post(time.Now(), engine.AttemptResult{Attempt: attempt, Outcome: p.fail})
		return
	}
	go p.post(time.Now(), engine.AttemptResult{
		Attempt: attempt, Outcome: routing.Succeeded, Note: routing.NoteHit, Body: p.body, ETag: "5",
		GeneratedAt: time.Now(),
	})
}

// fixture is a transport with one store and one parent. Results for the engine are sent to a channel.
type fixture struct {
	*Transport
	redis   *redis.Store
	parent  *fakeParent
	results chan engine.AttemptResult
}

// newFixture returns a running transport that is connected to a fake store.
func newFixture(tb testing.TB, log *zap.Logger) *fixture {
	tb.Helper()
	store, err := redis.Start(redis.Config{InitialAge: time.Hour, User: "u", Password: "w"})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(store.Close)
	f := newFixtureWithStore(Store{
		UID: storeUID, Addresses: []string{store.Address()}, Weight: 1, Prefix: "t:",
		Credentials: Credentials{User: "u", Password: "w", Database: 1},
	}, log)
	f.redis = store
	f.start(tb)
	f.listParent()
	// The three commands that set up the connection are AUTH, SELECT and INFO.
	for until := time.Now().Add(5 * time.Second); store.Counts().Commands < 3 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	return f
}

// newUnconnectedFixture returns a transport that is not running, with a store that counts as connected though it has no
// connection, as right after the end of a connection.
func newUnconnectedFixture(tb testing.TB) *fixture {
	tb.Helper()
	f := newFixtureWithStore(Store{UID: storeUID, Weight: 1, Prefix: "t:"}, zap.NewNop())
	f.listParent()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handle(&policy.Event{
		Kind: policy.EventConnected, Endpoint: engine.EndpointID(storeUID), RunID: 1, Uptime: time.Hour,
	})
	return f
}

func newFixtureWithStore(store Store, log *zap.Logger) *fixture {
	f := &fixture{results: make(chan engine.AttemptResult, 64)}
	f.Transport = New(Options{
		Limits: testLimits(),
		Routing: routing.Settings{
			ParentKind: 1, OriginKind: 2, FlowKBPerSecond: 1000,
			Classes: []routing.Class{{LatencyObjective: time.Second}},
		},
		Policy:    policy.Settings{MaxInFlight: 64, MaxValueBytes: 240_000, MaxTTL: time.Minute, UseLease: true},
		Seed:      1,
		Stores:    []Store{store},
		StartedAt: time.Now().Add(-time.Second),
		Deliver: func(_ time.Time, message engine.Message) {
			if result, ok := message.(engine.AttemptResult); ok {
				f.results <- result
			}
		},
		Log: log,
	})
	f.parent = &fakeParent{post: f.Post, body: []byte(strings.Repeat("x", 20_000))}
	f.SetInner(f.parent)
	return f
}

// start runs the transport until the test ends, and checks that its goroutines end then.
func (f *fixture) start(tb testing.TB) {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(ended)
	}()
	tb.Cleanup(func() {
		cancel()
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			tb.Error("Run did not return after its context ended")
		}
	})
}

// listParent delivers an endpoint list with the parent alone, to which the transport adds the store.
func (f *fixture) listParent() {
	parent := routing.Endpoint{ID: engine.EndpointID(parentUID), State: routing.Ready, Kind: 1}
	list := engine.EndpointList{
		Complete: true, Endpoints: []engine.Endpoint{{UID: parentUID, Endpoint: parent}},
	}
	f.UpdateEndpoints(f.ObserveDiscovery(list).(engine.EndpointList))
}

// listParentDraining lists the parent as draining, so that earlier requests are no longer filled from it.
func (f *fixture) listParentDraining() {
	parent := routing.Endpoint{ID: engine.EndpointID(parentUID), State: routing.Draining, Kind: 1}
	f.UpdateEndpoints(engine.EndpointList{Endpoints: []engine.Endpoint{{UID: parentUID, Endpoint: parent}}})
}

func (f *fixture) request(object routing.ObjectID) *engine.Attempt {
	return f.requestFrom(object, engine.EndpointID(parentUID))
}

// requestFrom requests an object that may be filled from a source; 0 stands for no source.
func (f *fixture) requestFrom(object routing.ObjectID, source routing.EndpointID) *engine.Attempt {
	now := time.Now()
	attempt := &engine.Attempt{
		Request: &engine.Request{
			Object: object, Group: 1, SizeKB: 10, Timeout: time.Second, ReceivedAt: now,
		},
		Endpoint: engine.EndpointID(storeUID), Source: source,
		Deadline: now.Add(time.Second), SentAt: now,
	}
	f.Send(attempt)
	return attempt
}

func (f *fixture) result(tb testing.TB) engine.AttemptResult {
	tb.Helper()
	select {
	case result := <-f.results:
		return result
	case <-time.After(5 * time.Second):
		tb.Fatal("no result within 5 s")
		return engine.AttemptResult{}
	}
}

// TestResetFillMayHaveRun guards against BUSY for a request that ran at the source of a store, by the proof that it did
// not run.
func TestResetFillMayHaveRun(t *testing.T) {
	f := newFixture(t, zap.NewNop())
	for outcome, mayHaveRun := range map[routing.Outcome]bool{
		routing.ConnectionBroken: true, routing.Failed: true, routing.TimedOut: true,
		routing.ConnectFailed: false, routing.Overloaded: false, routing.CacheMiss: false,
	} {
		f.parent.fail = outcome
		f.request(routing.ObjectID(100 + outcome))
		if result := f.result(t); result.Outcome.ProvesNotRun() == mayHaveRun {
			t.Errorf("a fill that ended with outcome %d is reported as outcome %d", outcome, result.Outcome)
		}
	}
}

// TestStoresAreMarked guards against repeats in another group than that of the source at which a request ran.
func TestStoresAreMarked(t *testing.T) {
	f := newUnconnectedFixture(t)
	listed := engine.Endpoint{UID: storeUID, Endpoint: routing.Endpoint{ID: engine.EndpointID(storeUID)}}
	parent := engine.Endpoint{UID: parentUID, Endpoint: routing.Endpoint{ID: engine.EndpointID(parentUID), Kind: 1}}
	for _, list := range []engine.EndpointList{
		{Endpoints: []engine.Endpoint{listed, parent}},
		{Endpoints: []engine.Endpoint{parent}, Complete: true},
	} {
		list = f.ObserveDiscovery(list).(engine.EndpointList)
		for _, endpoint := range list.Endpoints {
			if want := endpoint.UID == storeUID; endpoint.RunsAtSource != want {
				t.Errorf("%s: requests run at the source: %v", endpoint.UID, endpoint.RunsAtSource)
			}
		}
	}
}

// A miss is filled and stored, the next request is a hit with the same body, and a purge leads to another fill.
func TestFillHitAndPurge(t *testing.T) {
	f := newFixture(t, zap.NewNop())
	time.Sleep(copyProvenAfter)
	f.request(7)
	result := f.result(t)
	if result.Outcome != routing.Succeeded || result.Note != routing.NoteFilled ||
		!bytes.Equal(result.Body, f.parent.body) {
		t.Fatalf("got outcome %v, note %v, %d bytes, want a filled result", result.Outcome, result.Note, len(result.Body))
	}
	time.Sleep(30 * time.Millisecond)
	f.request(7)
	result = f.result(t)
	if result.Note != routing.NoteHit || !bytes.Equal(result.Body, f.parent.body) || result.ETag != "5" {
		t.Fatalf("got note %v, %d bytes, want a hit", result.Note, len(result.Body))
	}
	f.ObserveDiscovery(engine.Purge{Object: 7, Issued: time.Now()})
	time.Sleep(5 * time.Millisecond)
	f.request(7)
	if result := f.result(t); result.Note != routing.NoteFilled {
		t.Fatalf("got note %v after a purge, want a filled result", result.Note)
	}
	time.Sleep(30 * time.Millisecond) // until the copy is stored again
	f.waitUntilNothingLeft(t)
}

// A write is rejected without an operation at the store.
func TestWriteIsRefused(t *testing.T) {
	f := newFixture(t, zap.NewNop())
	write := &engine.Attempt{Request: &engine.Request{Object: 7, Write: true}, Endpoint: engine.EndpointID(storeUID)}
	f.Send(write)
	result := f.result(t)
	if result.Outcome != routing.CacheMiss || result.Note != routing.NoteNoFillCapacity || result.Attempt != write {
		t.Errorf("got outcome %v, note %v, want a miss without fill capacity", result.Outcome, result.Note)
	}
	if f.lastOperation != 0 {
		t.Errorf("a write started %d operations, want 0", f.lastOperation)
	}
}

// An attempt that is abandoned while the store is silent gets no result, and its operation is removed.
func TestAbortLeavesNothing(t *testing.T) {
	f := newFixture(t, zap.NewNop())
	f.redis.SetFault(redis.Fault{Silent: true})
	if attempt := f.request(8); !f.Abort(attempt) {
		t.Error("Abort returned false")
	}
	select {
	case result := <-f.results:
		t.Errorf("an abandoned attempt has a result with outcome %v", result.Outcome)
	case <-time.After(50 * time.Millisecond):
	}
	f.checkNothingLeft(t)
}

// checkNothingLeft checks that no attempt and no operation is left, without waiting.
func (f *fixture) checkNothingLeft(tb testing.TB) {
	tb.Helper()
	if attempts, operations := f.countOpen(); attempts > 0 || operations > 0 {
		tb.Errorf("%d attempts and %d operations are left", attempts, operations)
	}
}

// waitUntilNothingLeft waits up to a second for operations in progress, such as a set, and fails if any remain.
func (f *fixture) waitUntilNothingLeft(tb testing.TB) {
	tb.Helper()
	for until := time.Now().Add(time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if attempts, operations := f.countOpen(); attempts == 0 && operations == 0 {
			return
		}
	}
	f.checkNothingLeft(tb)
}

func (f *fixture) countOpen() (attempts, operations int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.byAttempt), len(f.operations)
}

// maxImmediateFill is the maximum time of a fill that starts without a timer. It is shorter than the time after which
// the first get counts as late, which would also start a fill.
const maxImmediateFill = 20 * time.Millisecond

// immediateFillTries is the number of tries of which one must succeed. A pause of the machine delays some of them; a
// fill that waits for a timer would fail all of them.
const immediateFillTries = 5

// If the store cannot be reached, the fill starts at once, whether the loss of the connection was noticed or not.
func TestUnreachableStoreIsBypassed(t *testing.T) {
	t.Run("noticed", func(t *testing.T) {
		checkFilledAtOnce(t, func() (elapsed time.Duration, timeouts uint64) {
			f := newFixture(t, zap.NewNop())
			f.redis.Close()
			for until := time.Now().Add(5 * time.Second); !f.isDisconnected() && time.Now().Before(until); {
				time.Sleep(time.Millisecond)
			}
			elapsed = f.fillTime(t)
			counts := f.Counts()
			if counts.Bypassed != 1 || counts.Gets != 0 {
				t.Errorf("%d requests bypassed the store after %d gets, want 1 and 0", counts.Bypassed, counts.Gets)
			}
			return elapsed, counts.Timeouts
		})
	})
	t.Run("not noticed", func(t *testing.T) {
		checkFilledAtOnce(t, func() (elapsed time.Duration, timeouts uint64) {
			f := newUnconnectedFixture(t)
			f.start(t)
			elapsed = f.fillTime(t)
			counts := f.Counts()
			if counts.Bypassed != 0 || counts.Gets != 1 {
				t.Errorf("%d requests bypassed the store after %d gets, want 0 and 1", counts.Bypassed, counts.Gets)
			}
			return elapsed, counts.Timeouts
		})
	})
}

// checkFilledAtOnce checks that a request is filled without waiting for a timer.
func checkFilledAtOnce(t *testing.T, measure func() (elapsed time.Duration, timeouts uint64)) {
	t.Helper()
	var elapsed time.Duration
	var timeouts uint64
	for range immediateFillTries {
		if elapsed, timeouts = measure(); elapsed <= maxImmediateFill && timeouts == 0 {
			return
		}
	}
	t.Errorf("the result took %v and %d timers fired, want at most maxImmediateFill and none", elapsed, timeouts)
}

// fillTime sends a request and returns how long it took to be filled.
func (f *fixture) fillTime(tb testing.TB) time.Duration {
	tb.Helper()
	startedAt := time.Now()
	f.request(9)
	result := f.result(tb)
	elapsed := time.Since(startedAt)
	if result.Outcome != routing.Succeeded || result.Note != routing.NoteFilled {
		tb.Errorf("got outcome %v, note %v, want a filled result", result.Outcome, result.Note)
	}
	return elapsed
}

// The fill of an abandoned attempt is aborted.
func TestAbortWhileFilling(t *testing.T) {
	f := newUnconnectedFixture(t)
	f.silenceParent()
	f.start(t)
	attempt := f.request(7)
	for until := time.Now().Add(5 * time.Second); f.fillsSent() == 0 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	if !f.Abort(attempt) {
		t.Error("Abort returned false")
	}
	f.checkNothingLeft(t)
	f.mu.Lock()
	defer f.mu.Unlock()
	if fills := f.parent.fills; len(fills) != 1 || !slices.Equal(f.parent.aborted, fills) {
		t.Errorf("%d fills, %d of them aborted; want 1 of 1", len(fills), len(f.parent.aborted))
	}
}
