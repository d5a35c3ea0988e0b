package routing

import (
	"fmt"
	"testing"
	"time"
)

func Example_ordinaryPath() {
	harness := newHarness(testSettings(), cacheA, cacheB)
	object := harness.firstObject(cacheA, parentP)
	harness.request(1, readClass, object)
	harness.result(1, cacheA, 150*ms, Succeeded, NoteFilled)
	harness.request(2, readClass, object) // the same object, so the same cache and source
	harness.result(2, cacheA, 110*ms, Succeeded, NoteHit)
	harness.request(3, readClass, harness.firstObject(cacheB, parentQ))
	harness.result(3, cacheB, 150*ms, Succeeded, NoteFilled)
	// Output:
	//   0.00s request 1: attempt to A, fill from P
	//   0.15s request 2: attempt to A, fill from P
	//   0.26s request 3: attempt to B, fill from Q
}

// Rule 1: a request gets one final answer, immediately after its last attempt has failed, and no attempt after it.
func Example_oneAnswer() {
	harness := newHarness(testSettings(), cacheA)
	harness.request(1, readClass, 7)
	harness.result(1, cacheA, 200*ms, TimedOut, NoteNone)
	harness.handle(&Event{Kind: EventClientGone, Request: 1}) // request 1 is no longer open
	harness.advance(time.Second)
	harness.request(2, readClass, harness.firstObject(cacheA, parentQ))
	harness.handle(&Event{Kind: EventClientGone, Request: 2}) // the client has left, so no answer follows
	harness.result(2, cacheA, 10*ms, Cancelled, NoteNone)
	// Output:
	//   0.00s request 1: attempt to A, fill from P
	//   0.20s request 1: rejected
	//   1.20s request 2: attempt to A, fill from Q
	//   1.20s request 2: attempt 0 cancelled
}

// All caches are lost: requests go directly to a parent, which fills them from the origin. They use the location's
// ingress link, and are rejected once it is full.
func Example_bypassCaches() {
	settings := testSettings()
	settings.ZoneIngressKBPerSecond = []float64{0, 0, 1000} // capacity for one transfer
	harness := newHarness(settings, cacheA)
	for id := RequestID(1); id <= 2; id++ {
		harness.request(id, readClass, harness.firstObject(cacheA, parentP))
		harness.result(id, cacheA, 20*ms, ConnectFailed, NoteNone)
		harness.result(id, parentP, 110*ms, Succeeded, NoteFilled)
	}
	for id := RequestID(3); id <= 8; id++ {
		harness.request(id, readClass, harness.firstObject(cacheA, parentQ))
	}
	// Output:
	//   0.00s request 1: attempt to A, fill from P
	//   0.02s request 1: attempt to P, fill from origin
	//   0.13s request 2: attempt to A, fill from P
	//   0.15s request 2: attempt to P, fill from origin
	//   0.26s request 3: attempt to Q, fill from origin
	//   0.26s request 4: attempt to Q, fill from origin
	//   0.26s request 5: attempt to Q, fill from origin
	//   0.26s request 6: rejected
	//   0.26s request 7: rejected
	//   0.26s request 8: rejected
}

// After many list changes, purges, objects and requests the state is bounded, because slots are reused.
func Example_boundedState() {
	harness := newHarness(testSettings(), cacheA)
	harness.isQuiet = true
	for i := range 5000 {
		id := EndpointID(10000 + i)
		harness.changeEndpoint(id, Ready, LongAgo)
		harness.handle(&Event{Kind: EventPurge, Object: ObjectID(i + 1)})
		harness.handle(&Event{
			Kind: EventRequest, Request: RequestID(i + 1), Object: ObjectID(i), SizeKB: 10, TimeLeft: time.Second,
		})
		harness.handle(&Event{
			Kind: EventAttemptResult, Request: RequestID(i + 1), Outcome: Succeeded, Note: NoteHit,
			Elapsed: 10 * ms, Final: true,
		})
		harness.changeEndpoint(id, Gone, LongAgo)
		harness.now += 2 * time.Second
	}
	r := harness.router
	fmt.Println(len(r.endpoints), len(r.endpointByID), len(r.purges), len(r.requests.slots), len(r.requests.slotByID),
		len(r.previousRings), len(r.history.records))
	// Output:
	// 35 35 4 1 0 3 16384
}

// The ordinary path does not allocate once the request table has grown.
func TestOrdinaryPathAllocatesNothing(t *testing.T) {
	harness := newHarness(testSettings(), cacheA, cacheB)
	id := RequestID(0)
	request := Event{Kind: EventRequest, SizeKB: 100, TimeLeft: time.Second}
	result := Event{
		Kind: EventAttemptResult, Outcome: Succeeded, Note: NoteHit, Elapsed: 100 * ms, Final: true,
	}
	got := testing.AllocsPerRun(1000, func() {
		id++
		request.Request, request.Object, result.Request = id, ObjectID(id%50), id
		harness.actions = harness.router.Handle(harness.now, &request, harness.actions[:0])
		if len(harness.actions) != 1 || harness.actions[0].Kind != ActionSend {
			t.Fatal("the request was not sent")
		}
		harness.now += 100 * ms
		harness.actions = harness.router.Handle(harness.now, &result, harness.actions[:0])
	})
	if got != 0 {
		t.Errorf("the ordinary path makes %v allocations per request, want 0", got)
	}
}
