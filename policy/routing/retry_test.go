package routing

import (
	"time"
)

// Rule 2: a one-shot write goes again, after a wait, only if it provably did not run.
func Example_nonIdempotentWrite() {
	b := newHarness(testSettings(), cacheA)
	b.request(1, 1, 7)
	b.result(1, origin, 20*ms, Overloaded, NoteNone)
	b.advance(200 * ms)
	b.result(1, origin, 20*ms, Succeeded, NoteNone)
	b.request(2, 1, 8)
	b.result(2, origin, 20*ms, ConnectionBroken, NoteNone)
	b.advance(200 * ms)
	// Output:
	//   0.00s request 1: attempt to origin, fill from origin
	//   0.14s request 1: attempt to origin, fill from origin
	//   0.24s request 2: attempt to origin, fill from origin
	//   0.26s request 2: failed
}

// Rule 2: a stamped view that may have run goes again inside its cell only, and is not turned back.
func Example_idempotencyKey() {
	set := testSettings()
	set.Classes[0].Idempotency, set.Classes[0].DedupScope, set.Classes[0].DedupWindow = IdempotentWithKey, ScopeCell, 5*time.Second
	b := newHarness(set, cacheA, cacheB)
	m := member(cacheB)
	m.Cell = 1 // B is in another cell than A
	b.handle(&Event{Kind: EventEndpoints, EndpointListKind: EndpointListDelta, Endpoints: []Endpoint{m}})
	b.router.endpoints[b.router.endpointByID[cacheB]].cell = 1
	b.request(1, 0, b.firstObject(cacheA, parentP))
	b.result(1, cacheA, 20*ms, Failed, NoteNone)
	b.request(2, 0, b.firstObject(cacheA, parentP))
	b.result(2, cacheA, 20*ms, ConnectFailed, NoteNone)
	// Output:
	//   0.00s request 1: attempt to A, fill from P
	//   0.02s request 1: failed
	//   0.02s request 2: attempt to A, fill from P
	//   0.04s request 2: attempt to B, fill from P
}

// Rule 2: a repeat of what may have run must be on its way while repeats are dropped, whenever its connection comes up.
func Example_idempotencyWindow() {
	set := testSettings()
	set.Classes[0].Idempotency, set.Classes[0].DedupWindow = IdempotentWithKey, 300*ms
	b := newHarness(set, cacheA, cacheB, cacheC)
	b.request(1, 0, b.firstObject(cacheA, parentP))
	b.result(1, cacheA, 20*ms, ConnectFailed, NoteNone)     // it did not run
	b.result(1, cacheB, 100*ms, ConnectionBroken, NoteNone) // it may have
	b.result(1, cacheC, 210*ms, ConnectFailed, NoteNone)
	// Output:
	//   0.00s request 1: attempt to A, fill from P
	//   0.02s request 1: attempt to B, fill from P
	//   0.12s request 1: attempt to C, fill from P, start within 200ms
	//   0.33s request 1: rejected
}
