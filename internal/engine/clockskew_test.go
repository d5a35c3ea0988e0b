package engine

// These tests step the wall clocks of this machine and of others: the age derived from a timestamp always errs on the
// safe side.

import (
	"fmt"
	"testing"
	"time"

	"fennelarch/policy/routing"
)

// estimatedAge returns the age that the engine estimates for an endpoint with the given boot time.
func (e *testEngine) estimatedAge(bootTime time.Time) time.Duration {
	e.send(EndpointList{Endpoints: []Endpoint{{
		Endpoint: routing.Endpoint{ID: 9, State: routing.Ready, Weight: 1}, BootTime: bootTime.Round(0),
	}}})
	return e.now - e.endpoints[0].StartedAt
}

// clockCase holds the size of a step of this machine's wall clock, and how far another machine's clock is ahead.
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

// checkAgesAcrossStep lists an endpoint that has just started, with a boot time from a clock that has stepped or one
// that has not. The estimated age never exceeds the true age and is never negative, and a second listing does not
// reduce it. After a purge, attempts accept no copies older than the purge.
func checkAgesAcrossStep(t *testing.T, clocks clockCase) {
	t.Helper()
	const trueAge = 2 * time.Second
	engine := newCheckedEngine(t, clocks.String())
	engine.setWallClock(clocks.step)
	engine.advance(10 * time.Second)
	bootTime := engine.start.Add(engine.elapsed - trueAge + clocks.otherAhead)
	first := engine.estimatedAge(bootTime)
	if first > trueAge || first < 0 || clocks.step == 0 && first != trueAge {
		t.Errorf("estimated age of an endpoint that started %v ago: %v, want at most that and no less than 0", trueAge, first)
	}
	engine.advance(3 * time.Second)
	if again := engine.estimatedAge(bootTime); again != first+3*time.Second {
		t.Errorf("estimated age 3 s later: %v, want 3s more than %v", again, first)
	}

	engine.send(Purge{Object: 7, Issued: engine.start.Add(engine.elapsed - trueAge + clocks.otherAhead).Round(0)})
	engine.advance(time.Second)
	engine.send(engine.newRequest(1, idempotentClass, 2*time.Second))
	if maxAge := engine.attempts[0].MaxAge; maxAge <= 0 || maxAge > trueAge+time.Second {
		t.Errorf("maximum age of copies %v after a purge: %v, want at most that and more than 0", trueAge+time.Second, maxAge)
	}
}

// checkLocalCacheAcrossStep checks that a copy with a timestamp of either clock is not served once it has been purged
// or has exceeded its maximum age.
func checkLocalCacheAcrossStep(t *testing.T, clocks clockCase) {
	t.Helper()
	engine := newCheckedEngine(t, clocks.String(), LocalCacheSettings{
		MaxBytes: 1 << 20, FlowBytesPerSecond: 1e6, LinkBytesPerSecond: 1e6, MaxTransferTime: 10 * time.Second,
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
	receive(1, engine.elapsed+clocks.otherAhead)
	engine.setWallClock(clocks.step)
	engine.advance(time.Second)
	if clocks.step == 0 && !isServed(time.Minute) {
		t.Error("copy lost although the clock did not step")
	}
	engine.elapsed += 30 * time.Minute
	engine.Handle(engine.elapsed, Event{})
	if isServed(time.Minute) {
		t.Error("copy half an hour old served with a maximum age of a minute")
	}
	engine.send(Purge{Object: 7, Issued: engine.start.Add(engine.elapsed + clocks.step).Round(0)})
	if isServed(0) {
		t.Error("purged copy served")
	}
	// A response that was in transit when the purge was received counts as older, whatever its timestamp says.
	receive(2, engine.elapsed-time.Second+clocks.otherAhead)
	if isServed(0) {
		t.Error("copy generated before a purge was stored after it")
	}
}
