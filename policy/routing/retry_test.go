package routing

import (
	"time"
)

// Rule 2: a write that is not idempotent is retried, after a backoff, only if it provably did not run.
func Example_nonIdempotentWrite() {
	harness := newHarness(testSettings(), cacheA)
	harness.request(1, writeClass, 7)
	harness.result(1, origin, 20*ms, Overloaded, NoteNone)
	harness.advance(200 * ms)
	harness.result(1, origin, 20*ms, Succeeded, NoteNone)
	harness.request(2, writeClass, 8)
	harness.result(2, origin, 20*ms, ConnectionBroken, NoteNone)
	harness.advance(200 * ms)
	// Output:
	//   0.00s request 1: attempt to origin, fill from origin
	//   0.14s request 1: attempt to origin, fill from origin
	//   0.24s request 2: attempt to origin, fill from origin
	//   0.26s request 2: failed
}

// Rule 2: a request with an idempotency key that may have run is retried inside its cell only, and is not rejected.
func Example_idempotencyKey() {
	settings := testSettings()
	class := &settings.Classes[readClass]
	class.Idempotency, class.DedupScope, class.DedupWindow = IdempotentWithKey, ScopeCell, 5*time.Second
	harness := newHarness(settings, cacheA, cacheB)
	moved := member(cacheB)
	moved.Cell = 1 // B is in another cell than A
	harness.handle(&Event{Kind: EventEndpoints, EndpointListKind: EndpointListDelta, Endpoints: []Endpoint{moved}})
	harness.router.endpoints[harness.router.endpointByID[cacheB]].cell = 1
	harness.request(1, readClass, harness.firstObject(cacheA, parentP))
	harness.result(1, cacheA, 20*ms, Failed, NoteNone)
	harness.request(2, readClass, harness.firstObject(cacheA, parentP))
	harness.result(2, cacheA, 20*ms, ConnectFailed, NoteNone)
	// Output:
	//   0.00s request 1: attempt to A, fill from P
	//   0.02s request 1: failed
	//   0.02s request 2: attempt to A, fill from P
	//   0.04s request 2: attempt to B, fill from P
}

// Rule 2: a repeat of what may have run must be on its way while repeats are dropped, whenever its connection comes up.
func Example_idempotencyWindow() {
	settings := testSettings()
	class := &settings.Classes[readClass]
	class.Idempotency, class.DedupWindow = IdempotentWithKey, 300*ms
	harness := newHarness(settings, cacheA, cacheB, cacheC)
	harness.request(1, readClass, harness.firstObject(cacheA, parentP))
	harness.result(1, cacheA, 20*ms, ConnectFailed, NoteNone)     // it did not run
	harness.result(1, cacheB, 100*ms, ConnectionBroken, NoteNone) // it may have
	harness.result(1, cacheC, 210*ms, ConnectFailed, NoteNone)
	// Output:
	//   0.00s request 1: attempt to A, fill from P
	//   0.02s request 1: attempt to B, fill from P
	//   0.12s request 1: attempt to C, fill from P, start within 200ms
	//   0.33s request 1: rejected
}
