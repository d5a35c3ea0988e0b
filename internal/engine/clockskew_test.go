package engine

// The wall clock steps, here and elsewhere: a timestamp never makes anything older or younger than is safe.

import (
	"fmt"
	"testing"
	"time"

	"fennelarch/policy/routing"
)

// bootAge is how old the engine takes an endpoint with a boot time to be.
func (e *testEngine) bootAge(bootTime time.Time) time.Duration {
	e.send(EndpointList{Endpoints: []Endpoint{{
		Endpoint: routing.Endpoint{ID: 9, State: routing.Ready, Weight: 1}, BootTime: bootTime.Round(0),
	}}})
	return e.now - e.endpoints[0].StartedAt
}

// clockCase is a step of the wall clock of this machine, and how far the clock of another machine is ahead.
type clockCase struct{ step, otherAhead time.Duration }

func (c clockCase) String() string {
	return fmt.Sprintf("step %v, timestamps ahead by %v", c.step, c.otherAhead)
}

func clockCases(steps ...time.Duration) (cases []clockCase) {
	for _, step := range steps {
		cases = append(cases, clockCase{step, 0}, clockCase{step, step})
	}
	return cases
}

func TestWallClockSteps(t *testing.T) {
	for _, testCase := range clockCases(0, -time.Hour, time.Hour, -5*time.Second, 5*time.Second) {
		t.Run(testCase.String(), func(t *testing.T) { checkAgesAcrossStep(t, testCase) })
	}
	t.Run("local cache", func(t *testing.T) {
		for _, testCase := range clockCases(0, -time.Hour, time.Hour) {
			t.Run(testCase.String(), func(t *testing.T) { checkLocalCacheAcrossStep(t, testCase) })
		}
	})
}

// An endpoint started a moment ago, by a clock that has stepped, or by one that has not: it is never taken for older
// than it is, nor for one that starts later, and listing it again does not make it younger. The same holds for a purge.
func checkAgesAcrossStep(t *testing.T, clocks clockCase) {
	t.Helper()
	const trueAge = 2 * time.Second
	engine := newCheckedEngine(t, clocks.String())
	engine.setWallClock(clocks.step)
	engine.pass(10 * time.Second)
	bootTime := engine.start.Add(engine.at - trueAge + clocks.otherAhead)
	first := engine.bootAge(bootTime)
	if first > trueAge || first < 0 || clocks.step == 0 && first != trueAge {
		t.Errorf("an endpoint that started %v ago is taken for one of %v", trueAge, first)
	}
	engine.pass(3 * time.Second)
	if again := engine.bootAge(bootTime); again != first+3*time.Second {
		t.Errorf("listed again 3 s later, its age is %v after %v", again, first)
	}

	engine.send(Purge{Object: 7, Issued: engine.start.Add(engine.at - trueAge + clocks.otherAhead).Round(0)})
	engine.pass(time.Second)
	engine.send(engine.newRequest(1, idempotentClass, 2*time.Second))
	if maxAge := engine.attempts[0].MaxAge; maxAge <= 0 || maxAge > trueAge+time.Second {
		t.Errorf("%v after a purge copies may be %v old", trueAge+time.Second, maxAge)
	}
}

// A local copy with a timestamp of either clock is not served once it was purged, nor once it is older than it may be.
func checkLocalCacheAcrossStep(t *testing.T, clocks clockCase) {
	t.Helper()
	engine := newCheckedEngine(t, clocks.String(), LocalCacheSettings{
		Bytes: 1 << 20, FlowBytesPerSecond: 1e6, LinkBytesPerSecond: 1e6, MaxTransferTime: 10 * time.Second,
	})
	wanted := &Request{Object: 7}
	isServed := func(maxAge time.Duration) bool { return engine.localCache.find(wanted, maxAge, engine.now) != nil }
	receive := func(id routing.RequestID, generatedAt time.Duration) {
		engine.isClosed = false
		engine.send(engine.newRequest(id, idempotentClass, 2*time.Second))
		engine.send(AttemptResult{
			Attempt: engine.attempts[len(engine.attempts)-1], Outcome: routing.Succeeded, Note: routing.NoteHit,
			Body: []byte("bytes"), ETag: "tag", GeneratedAt: engine.start.Add(generatedAt).Round(0),
		})
	}
	receive(1, engine.at+clocks.otherAhead)
	engine.setWallClock(clocks.step)
	engine.pass(time.Second)
	if clocks.step == 0 && !isServed(time.Minute) {
		t.Error("a copy is lost without any step")
	}
	engine.at += 30 * time.Minute
	engine.Handle(engine.at, Event{})
	if isServed(time.Minute) {
		t.Error("a copy half an hour old is served where a minute is allowed")
	}
	engine.send(Purge{Object: 7, Issued: engine.start.Add(engine.at + clocks.step).Round(0)})
	if isServed(0) {
		t.Error("a purged copy is served")
	}
	// What was on its way when the purge was received is older than it, whatever its timestamp says.
	receive(2, engine.at-time.Second+clocks.otherAhead)
	if isServed(0) {
		t.Error("a copy from before a purge is kept after it")
	}
}
