package engine

import (
	"testing"
	"time"

	"fennelarch/policy/routing"
)

// The time that a request waits in the queue is deducted from its timeout and reported in the counts.
func TestEventQueueDelay(t *testing.T) {
	engine := newTestEngine()
	engine.quiet = true
	request := engine.newRequest(1, idempotentClass, time.Second)
	request.SizeKB = 1
	request.ReceivedAt = engine.start.Add(100 * time.Millisecond)
	engine.elapsed = 400 * time.Millisecond
	engine.Handle(engine.elapsed, Event{Time: request.ReceivedAt, Message: request})
	if len(engine.attempts) != 1 || engine.counts.EventQueueDelay != 300*time.Millisecond {
		t.Fatalf("%d attempts, want 1; event queue delay %v, want 300ms", len(engine.attempts), engine.counts.EventQueueDelay)
	}
	if deadline := engine.attempts[0].Deadline.Sub(engine.start); deadline != 1100*time.Millisecond {
		t.Errorf("deadline %v, want 1.1s", deadline)
	}
}

// The engine keeps no state of requests that have ended, however they ended.
func TestNoRequestIsLeft(t *testing.T) {
	engine := newCheckedEngine(t, "every way to end")
	engine.transport = engine.testEngine // requests overlap here, and checkedEngine supports only one at a time
	outcomes := []routing.Outcome{
		routing.Succeeded, routing.Failed, routing.Overloaded, routing.ConnectFailed, routing.ConnectionBroken,
		routing.NotSent, routing.CacheMiss,
	}
	for i := range 5000 {
		id := routing.RequestID(i + 1)
		engine.sendRequest(id, routing.ClassID(i%5/4), time.Duration(i%400)*time.Millisecond)
		engine.advance(time.Duration(i%3) * time.Millisecond)
		for k := max(0, len(engine.attempts)-4); k < len(engine.attempts); k++ {
			engine.deliverResult(k, outcomes[(i+k)%len(outcomes)], routing.Note(i%11))
		}
		if i%7 == 0 {
			engine.send(ClientGone{Request: id})
		}
	}
	engine.advance(10 * time.Second)
	engine.checkEmpty()
	if len(engine.timers) > 1 || len(engine.pending) > 0 {
		t.Errorf("%d timers, want at most 1; %d pending events, want 0", len(engine.timers), len(engine.pending))
	}
	c := engine.counts
	if c.Succeeded+c.Rejected+c.Failed+c.ClientCancelled != c.Requests || c.Succeeded == 0 || c.ClientCancelled == 0 {
		t.Errorf("counts %+v, want outcomes that add up to the requests, succeeded and cancelled ones among them", c)
	}
}

// An invalid transition is counted as a violation and changes nothing.
func TestInvalidTransitionsAreCounted(t *testing.T) {
	for _, testCase := range []struct {
		name string
		play func(engine *testEngine, request *activeRequest)

		wantResponses, wantInFlight, wantAttempts int
	}{
		{"a second response", func(engine *testEngine, request *activeRequest) {
			engine.respond(request, Response{Status: StatusOK})
			engine.respond(request, Response{Status: StatusFailed})
		}, 1, 0, 1},
		{"a second end of an attempt", func(engine *testEngine, request *activeRequest) {
			engine.endAttempt(request, request.attempts[0], attemptCompleted)
			engine.endAttempt(request, request.attempts[0], attemptAborted)
		}, 0, 1, 0},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			engine := newTestEngine()
			engine.quiet = true
			engine.monitor = newTestMonitor(nil)
			engine.sendRequest(1, idempotentClass, time.Second)
			request := engine.requests[1]
			testCase.play(engine, request)
			counts, _ := engine.monitor.Counts()
			if engine.monitor.Violations() != 1 || counts["invalid_transition"] != 1 {
				t.Errorf("violations %v, want one invalid_transition", counts)
			}
			if request.attemptsInFlight != testCase.wantAttempts || engine.InFlight() != testCase.wantInFlight {
				t.Errorf("%d attempts and %d requests in flight, want those of the case",
					request.attemptsInFlight, engine.InFlight())
			}
			if engine.responses != testCase.wantResponses || engine.counts.Failed != 0 {
				t.Errorf("%d responses, want those of the case; %d failed, want 0", engine.responses, engine.counts.Failed)
			}
		})
	}
}
