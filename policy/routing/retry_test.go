package routing

import (
	"testing"
	"time"
)

func TestRetryBudgetIsLimited(t *testing.T) {
	budget := newRetryBudget()
	spent := 0
	for budget.take() {
		spent++
	}
	if spent != maxRetryTokens {
		t.Errorf("got a burst of %d retries, want %d", spent, maxRetryTokens)
	}
	for range 40 {
		budget.deposit()
	}
	for spent = 0; budget.hasToken(); spent++ {
		budget.take()
	}
	if spent != 10 {
		t.Errorf("got %d retries for 40 requests, want 10", spent)
	}
}

func TestRetryBudgetSavesNoMoreThanABurst(t *testing.T) {
	budget := newRetryBudget()
	for range 1000 {
		budget.deposit()
	}
	if budget.tokens != maxRetryTokens {
		t.Errorf("got %v tokens, want %d", budget.tokens, maxRetryTokens)
	}
}

func TestInDedupScope(t *testing.T) {
	here := endpoint{zone: 1, cell: 1}
	for name, test := range map[string]struct {
		scope DedupScope
		other endpoint
		want  bool
	}{
		"all, another zone":                 {ScopeAll, endpoint{zone: 2, cell: 1}, true},
		"zone, another zone":                {ScopeZone, endpoint{zone: 2, cell: 1}, false},
		"zone, another cell":                {ScopeZone, endpoint{zone: 1, cell: 2}, true},
		"cell, another cell":                {ScopeCell, endpoint{zone: 1, cell: 2}, false},
		"cell, same cell":                   {ScopeCell, endpoint{zone: 1, cell: 1}, true},
		"cell, same number in another zone": {ScopeCell, endpoint{zone: 2, cell: 1}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := inDedupScope(test.scope, &here, &test.other); got != test.want {
				t.Errorf("unexpected result %v of inDedupScope", got)
			}
		})
	}
}

// Rule 2: a write that is not idempotent is retried, after a backoff, only if it certainly did not run.
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

// Rule 2: a request with an idempotency key of scope cell that may have run is not retried in another cell. It fails
// instead of being rejected, because the client's retry might go to another cell.
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

// Rule 2: what a shared store lacks is fetched by the router, so a request runs at its source. With a key of scope
// cell, it is not repeated at a source in another cell, though the store is the same; in the same cell it is.
func Example_idempotencyKeyThroughStore() {
	settings := testSettings()
	class := &settings.Classes[readClass]
	class.Idempotency, class.DedupScope, class.DedupWindow = IdempotentWithKey, ScopeCell, 5*time.Second
	harness := newHarness(settings, cacheA)
	store := member(cacheA)
	store.RunsAtSource = true
	harness.handle(&Event{Kind: EventEndpoints, EndpointListKind: EndpointListDelta, Endpoints: []Endpoint{store}})
	object := harness.firstObject(cacheA, parentP)
	harness.request(1, readClass, object)
	harness.result(1, cacheA, 20*ms, Failed, NoteSourceUnreachable)
	harness.router.endpoints[harness.router.endpointByID[parentP]].cell = 1
	harness.request(2, readClass, object)
	harness.result(2, cacheA, 20*ms, Failed, NoteSourceUnreachable)
	// Output:
	//   0.00s request 1: attempt to A, fill from P
	//   0.02s request 1: attempt to A, fill from origin, start within 4.98s
	//   0.02s request 2: attempt to A, fill from P
	//   0.04s request 2: failed
}

// Rule 2: a repeat of a request that may have run must be sent within the dedup window, however long connecting takes.
func Example_idempotencyWindow() {
	settings := testSettings()
	class := &settings.Classes[readClass]
	class.Idempotency, class.DedupWindow = IdempotentWithKey, 300*ms
	harness := newHarness(settings, cacheA, cacheB, cacheC)
	harness.request(1, readClass, harness.firstObject(cacheA, parentP))
	harness.result(1, cacheA, 20*ms, ConnectFailed, NoteNone)     // did not run
	harness.result(1, cacheB, 100*ms, ConnectionBroken, NoteNone) // may have run
	harness.result(1, cacheC, 210*ms, ConnectFailed, NoteNone)
	// Output:
	//   0.00s request 1: attempt to A, fill from P
	//   0.02s request 1: attempt to B, fill from P
	//   0.12s request 1: attempt to C, fill from P, start within 200ms
	//   0.33s request 1: rejected
}
