package engine

import (
	"testing"
	"time"

	"fennelarch/internal/invariant"
	"fennelarch/policy/routing"

	"go.uber.org/zap"
)

// newRecordedRequest returns a request that arrives now, with a record of its invariants.
func (e *checkedEngine) newRecordedRequest(id routing.RequestID, timeout time.Duration) *Request {
	request := e.newRequest(id, idempotentClass, timeout)
	request.Invariants = e.monitor.NewRequest(uint64(id), request.ReceivedAt.Add(timeout), invariant.RepeatPolicy{})
	return request
}

// A client leaves while its request is in the engine's queue: no attempt is sent, and the engine keeps nothing.
func TestClientGoneBeforeItsRequest(t *testing.T) {
	for _, testCase := range []struct {
		name string
		play func(engine *checkedEngine, request *Request)
	}{
		{"ClientGone before the request", func(engine *checkedEngine, request *Request) {
			engine.send(ClientGone{request.ID})
			engine.send(request)
		}},
		{"ClientGone after the request", func(engine *checkedEngine, request *Request) {
			engine.send(request)
			engine.send(ClientGone{request.ID})
		}},
		{"ClientGone not received", func(engine *checkedEngine, request *Request) { engine.send(request) }},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			engine := newCheckedEngine(t, testCase.name)
			request := engine.newRecordedRequest(1, 2*time.Second)
			request.Invariants.End(invariant.EndClientLeft, engine.start)
			engine.isClosed = true
			testCase.play(engine, request)
			engine.advance(3 * time.Second)
			if len(engine.attempts) > 0 || len(engine.statuses) > 0 {
				t.Errorf("%d attempts, %d responses, want none", len(engine.attempts), len(engine.statuses))
			}
			engine.checkEmpty()
		})
	}
}

// A client leaves between two attempts: the next attempt is not sent, although the router requests it.
func TestClientGoneBetweenAttempts(t *testing.T) {
	engine := newCheckedEngine(t, "between attempts")
	request := engine.newRecordedRequest(1, 2*time.Second)
	engine.send(request)
	if len(engine.attempts) != 1 {
		t.Fatalf("%d attempts, want 1", len(engine.attempts))
	}
	request.Invariants.End(invariant.EndCancelled, engine.start)
	engine.isClosed = true
	engine.deliverResult(0, routing.CacheMiss, routing.NoteSourceMiss)
	engine.send(ClientGone{1})
	engine.advance(3 * time.Second)
	if len(engine.attempts) != 1 {
		t.Errorf("%d attempts after the client has left, want 1", len(engine.attempts))
	}
	engine.checkEmpty()
}

// A full queue rejects requests without blocking, while ClientGone messages are always accepted.
func TestFullQueue(t *testing.T) {
	engine := New(Options{Seed: 1, QueueLength: 2, StartTime: time.Now(), Log: zap.NewNop()})
	now := time.Now()
	for i := range 2 {
		if !engine.Post(now, &Request{ID: routing.RequestID(i + 1)}) {
			t.Fatal("request rejected although the queue has room")
		}
	}
	if engine.Post(now, &Request{ID: 3}) {
		t.Error("request accepted although the queue is full")
	}
	done := make(chan bool)
	go func() { done <- engine.Post(now, ClientGone{1}) && engine.Post(now, ClientGone{2}) }()
	select {
	case accepted := <-done:
		if gone := engine.cancellations.take(); !accepted || len(gone) != 2 || gone[0].Request != 1 {
			t.Errorf("ClientGone messages %v, want those of requests 1 and 2", gone)
		}
	case <-time.After(10 * time.Second):
		t.Error("Post of a ClientGone message blocks")
	}
}
