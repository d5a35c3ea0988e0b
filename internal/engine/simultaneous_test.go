package engine

// This test plays events that occur at the same time on the engine's clock, in every order: the result of an attempt, a
// second result, the client's leaving, the deadline and the shutdown.

import (
	"fmt"
	"testing"
	"time"

	"fennelarch/policy/routing"
)

// permutations returns all permutations of the numbers below n.
func permutations(n int) (all [][]int) {
	if n == 0 {
		return [][]int{nil}
	}
	for _, shorter := range permutations(n - 1) {
		for at := range n {
			longer := append([]int(nil), shorter[:at]...)
			all = append(all, append(append(longer, n-1), shorter[at:]...))
		}
	}
	return all
}

// simultaneousCase describes the events that occur at the same time and their order.
type simultaneousCase struct {
	name         string
	class        routing.ClassID
	outcome      routing.Outcome // of the first attempt
	note         routing.Note
	abortWritten bool
	timeout      time.Duration
	order        []int // of the events, by their numbers in playEvents
}

func (c *simultaneousCase) String() string {
	return fmt.Sprintf("class %d, %s, abort reports written %v, timeout %v, order %v",
		c.class, c.name, c.abortWritten, c.timeout, c.order)
}

// Whichever events coincide with the result of an attempt, and in whichever order: a client that stays gets one
// response, and a client that left before it gets none; no attempt is sent for a closed request; a request that is not
// idempotent and may have run is not sent again; and the engine keeps no state. The events are played both when the
// deadline passes and long before.
func TestSimultaneousEventsInEveryOrder(t *testing.T) {
	for _, result := range []simultaneousCase{
		{name: "succeeded", outcome: routing.Succeeded, note: routing.NoteHit},
		{name: "connection broken", outcome: routing.ConnectionBroken},
		{name: "connect failed", outcome: routing.ConnectFailed},
		{name: "cache miss", outcome: routing.CacheMiss, note: routing.NoteSourceMiss},
		{name: "failed", outcome: routing.Failed},
		{name: "overloaded", outcome: routing.Overloaded},
	} {
		t.Run(result.name, func(t *testing.T) {
			for _, class := range []routing.ClassID{idempotentClass, nonIdempotentClass} {
				for _, abortWritten := range []bool{true, false} {
					for _, timeout := range []time.Duration{300 * time.Millisecond, 3 * time.Second} {
						for _, order := range permutations(5) {
							testCase := result
							testCase.class, testCase.abortWritten, testCase.timeout, testCase.order = class, abortWritten, timeout, order
							checkSimultaneousEvents(t, &testCase)
						}
					}
				}
			}
		})
	}
}

// simultaneousOutcome is the outcome of the simultaneous events.
type simultaneousOutcome struct {
	clientGone          bool
	responsesBeforeGone int
	mayHaveRun          bool // according to the result of the first attempt
}

func checkSimultaneousEvents(t *testing.T, testCase *simultaneousCase) {
	t.Helper()
	engine := newCheckedEngine(t, testCase.String())
	engine.abortWritten = testCase.abortWritten
	engine.send(engine.newRequest(1, testCase.class, testCase.timeout))
	if len(engine.attempts) != 1 {
		t.Fatalf("%v: %d attempts, want 1", testCase, len(engine.attempts))
	}
	engine.advance(299 * time.Millisecond)
	attemptsBefore := len(engine.attempts)
	engine.elapsed += time.Millisecond
	after := engine.playEvents(testCase)
	engine.advance(4 * time.Second)
	for i := range engine.attempts { // ends the attempts still in flight
		engine.deliverResult(i, routing.ConnectionBroken, 0)
	}
	engine.advance(time.Second)
	mustNotRepeat := testCase.class == nonIdempotentClass && after.mayHaveRun
	switch n := len(engine.statuses); {
	case n > 1 || n == 0 && !after.clientGone:
		t.Fatalf("%v: %d responses, want 1, or 0 if the client has left", testCase, n)
	case after.clientGone && n > after.responsesBeforeGone:
		t.Fatalf("%v: response to a client that had gone", testCase)
	case mustNotRepeat && len(engine.attempts) > attemptsBefore:
		t.Fatalf("%v: non-idempotent request that may have run was sent again", testCase)
	case mustNotRepeat && n == 1 && engine.statuses[0] == StatusRejected:
		t.Fatalf("%v: request rejected although it may have run", testCase)
	}
	engine.checkEmpty()
}

func (e *checkedEngine) playEvents(c *simultaneousCase) (after simultaneousOutcome) {
	for _, step := range c.order {
		switch step {
		case 0:
			mayRun := c.outcome == routing.ConnectionBroken || c.outcome == routing.Failed
			after.mayHaveRun = after.mayHaveRun || !e.attempts[0].hasEnded() && mayRun
			e.deliverResult(0, c.outcome, c.note)
		case 1:
			if !after.clientGone {
				after.responsesBeforeGone = len(e.statuses)
			}
			after.clientGone, e.isClosed = true, true
			e.send(ClientGone{1})
		case 2: // the deadline, if it has passed
			e.Tick(e.elapsed)
		case 3:
			e.deliverResult(0, routing.Succeeded, routing.NoteHit) // a second result
		case 4:
			e.send(Shutdown{Grace: time.Second})
		}
	}
	return after
}

// checkEmpty fails the test if the engine still holds a request.
func (e *checkedEngine) checkEmpty() {
	e.t.Helper()
	if len(e.requests) != 0 || e.InFlight() != 0 {
		e.t.Fatalf("%s: engine holds %d requests, %d in flight, want none", e.scenario, len(e.requests), e.InFlight())
	}
}
