package engine

import (
	"fmt"
	"time"

	"fennelarch/policy/routing"
)

// If the source of a fill lacks the object, the next attempt fills from the next source.
func Example_retryAfterMiss() {
	engine := newTestEngine()
	engine.sendRequest(1, idempotentClass, 2*time.Second)
	engine.advance(50 * time.Millisecond)
	engine.deliverResult(0, routing.CacheMiss, routing.NoteSourceMiss)
	engine.advance(50 * time.Millisecond)
	engine.deliverResult(1, routing.Succeeded, routing.NoteFilled)
	engine.deliverResult(1, routing.Succeeded, routing.NoteFilled) // a second result is ignored
	fmt.Println(len(engine.requests), engine.InFlight())
	// Output:
	//      0s request 1: attempt at A, fill from P, for 2s
	//    50ms request 1: attempt at A, fill from O, for 1.95s
	//   100ms request 1: succeeded, 5 bytes
	// 0 0
}

// At the deadline of a request, its attempts are aborted and its client gets a single response.
func Example_deadline() {
	engine := newTestEngine()
	engine.sendRequest(1, idempotentClass, 300*time.Millisecond)
	engine.sendRequest(2, nonIdempotentClass, 300*time.Millisecond)
	engine.advance(time.Second)
	engine.deliverResult(0, routing.Succeeded, routing.NoteHit)
	fmt.Println(len(engine.requests), engine.InFlight())
	// Output:
	//      0s request 1: attempt at A, fill from P, for 300ms
	//      0s request 2: attempt at O, fill from none, for 300ms
	//   300ms request 1: attempt 0 aborted
	//   300ms request 1: rejected, 0 bytes
	//   300ms request 2: attempt 0 aborted
	//   300ms request 2: failed, 0 bytes
	// 0 0
}

// A client that has gone gets no response, and the attempts of its request are aborted.
func Example_clientGone() {
	engine := newTestEngine()
	engine.sendRequest(1, idempotentClass, 2*time.Second)
	engine.advance(10 * time.Millisecond)
	engine.send(ClientGone{Request: 1})
	engine.send(ClientGone{Request: 1})
	engine.deliverResult(0, routing.Succeeded, routing.NoteHit)
	engine.advance(3 * time.Second)
	fmt.Println(len(engine.requests), engine.InFlight())
	// Output:
	//      0s request 1: attempt at A, fill from P, for 2s
	//    10ms request 1: attempt 0 aborted
	// 0 0
}

// A request that is not idempotent is retried, or rejected, only if it provably did not run. Otherwise it fails.
func Example_nonIdempotent() {
	engine := newTestEngine()
	engine.sendRequest(1, nonIdempotentClass, 2*time.Second)
	engine.deliverResult(0, routing.ConnectFailed, 0)
	engine.advance(200 * time.Millisecond)
	engine.deliverResult(1, routing.ConnectionBroken, 0)
	engine.sendRequest(2, nonIdempotentClass, 100*time.Millisecond)
	engine.abortWritten = false // at its deadline, no part of the next attempt has been written
	engine.advance(time.Second)
	fmt.Println(len(engine.requests), engine.InFlight())
	// Output:
	//      0s request 1: attempt at O, fill from none, for 2s
	//   120ms request 1: attempt at O, fill from none, for 1.88s
	//   200ms request 1: failed, 0 bytes
	//   200ms request 2: attempt at O, fill from none, for 100ms
	//   300ms request 2: attempt 0 aborted
	//   300ms request 2: rejected, 0 bytes
	// 0 0
}

// At a shutdown, every request gets its response within the grace, including requests that arrive later.
func Example_shutdown() {
	engine := newTestEngine()
	engine.sendRequest(1, idempotentClass, 5*time.Second)
	engine.advance(100 * time.Millisecond)
	engine.send(Shutdown{Grace: time.Second})
	engine.advance(500 * time.Millisecond)
	engine.sendRequest(2, idempotentClass, 5*time.Second)
	engine.sendRequest(3, idempotentClass, 5*time.Second)
	engine.advance(100 * time.Millisecond)
	engine.deliverResult(2, routing.Succeeded, routing.NoteHit)
	engine.advance(time.Second)
	fmt.Println(len(engine.requests), engine.InFlight())
	// Output:
	//      0s request 1: attempt at A, fill from P, for 5s
	//   600ms request 2: attempt at A, fill from P, for 500ms
	//   600ms request 3: attempt at A, fill from P, for 500ms
	//   700ms request 3: succeeded, 5 bytes
	//   960ms request 2: attempt at A, fill from O, for 140ms
	//    1.1s request 1: attempt 0 aborted
	//    1.1s request 1: rejected, 0 bytes
	//    1.1s request 2: attempt 0 aborted
	//    1.1s request 2: attempt 1 aborted
	//    1.1s request 2: rejected, 0 bytes
	// 0 0
}

// A response that passed through the router is stored, and served from the local cache when the request would otherwise
// be rejected, unless the copy was purged. A client that holds the same copy gets a response without body. The attempt
// ends when the link has carried the body.
func Example_localCache() {
	engine := newTestEngine(LocalCacheSettings{
		MaxBytes: 1 << 20, FlowBytesPerSecond: 50, LinkBytesPerSecond: 50, MaxTransferTime: 10 * time.Second,
	})
	engine.sendRequest(1, idempotentClass, 2*time.Second)
	engine.deliverResult(0, routing.Succeeded, routing.NoteHit)
	engine.send(EndpointList{Complete: true}) // no endpoint is left
	engine.sendRequest(2, idempotentClass, 2*time.Second)
	fmt.Println(len(engine.requests), engine.InFlight())
	engine.sendRequest(3, idempotentClass, 2*time.Second) // queued on the link behind request 2, and still in time
	engine.advance(100 * time.Millisecond)
	fmt.Println(len(engine.requests), engine.InFlight())
	conditional := engine.newRequest(4, idempotentClass, time.Second)
	conditional.HeldETag = "tag"
	engine.send(conditional)
	engine.advance(100 * time.Millisecond)
	engine.send(Purge{Group: 1, Issued: engine.start.Add(engine.elapsed)})
	engine.sendRequest(5, idempotentClass, 2*time.Second)
	engine.advance(100 * time.Millisecond)
	engine.send(Purge{Object: 7, Issued: engine.start.Add(engine.elapsed)})
	engine.sendRequest(6, idempotentClass, 2*time.Second)
	engine.advance(time.Second)
	fmt.Println(len(engine.requests), engine.InFlight(), engine.counts.LocalCacheHits)
	// Output:
	//      0s request 1: attempt at A, fill from P, for 2s
	//      0s request 1: succeeded, 5 bytes
	//      0s request 2: succeeded, 5 bytes
	// 1 0
	//      0s request 3: succeeded, 5 bytes
	// 1 0
	//   100ms request 4: not modified
	//   200ms request 5: succeeded, 5 bytes
	//   300ms request 6: rejected, 0 bytes
	// 0 0 4
}
