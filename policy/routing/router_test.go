package routing

import (
	"fmt"
	"testing"
	"time"
)

func Example_ordinaryPath() {
	b := newHarness(testSettings(), cacheA, cacheB)
	o := b.firstObject(cacheA, parentP)
	b.request(1, 0, o)
	b.result(1, cacheA, 150*ms, Succeeded, NoteFilled)
	b.request(2, 0, o) // the same object: the same cache and source
	b.result(2, cacheA, 110*ms, Succeeded, NoteHit)
	b.request(3, 0, b.firstObject(cacheB, parentQ))
	b.result(3, cacheB, 150*ms, Succeeded, NoteFilled)
	// Output:
	//   0.00s request 1: attempt to A, fill from P
	//   0.15s request 2: attempt to A, fill from P
	//   0.26s request 3: attempt to B, fill from Q
}

// Rule 1: one final answer, at once when the last leg has failed, and nothing after it.
func Example_oneAnswer() {
	b := newHarness(testSettings(), cacheA)
	b.request(1, 0, 7)
	b.result(1, cacheA, 200*ms, TimedOut, NoteNone)
	b.handle(&Event{Kind: EventClientGone, Request: 1}) // an id no longer held
	b.advance(time.Second)
	b.request(2, 0, b.firstObject(cacheA, parentQ))
	b.handle(&Event{Kind: EventClientGone, Request: 2}) // the client left: nothing more is owed
	b.result(2, cacheA, 10*ms, Cancelled, NoteNone)
	// Output:
	//   0.00s request 1: attempt to A, fill from P
	//   0.20s request 1: rejected
	//   1.20s request 2: attempt to A, fill from Q
	//   1.20s request 2: attempt 0 cancelled
}

// Found on depot-records and counter-net: all caches lost. Views go straight to a parent, by way of the origin, and
// count on the location's link: once that is full, they are turned back.
func Example_bypassCaches() {
	set := testSettings()
	set.ZoneIngressKBPerSecond = []float64{0, 0, 1000} // one transfer at full pace
	b := newHarness(set, cacheA)
	for id := RequestID(1); id <= 2; id++ {
		b.request(id, 0, b.firstObject(cacheA, parentP))
		b.result(id, cacheA, 20*ms, ConnectFailed, NoteNone)
		b.result(id, parentP, 110*ms, Succeeded, NoteFilled)
	}
	for id := RequestID(3); id <= 8; id++ {
		b.request(id, 0, b.firstObject(cacheA, parentQ))
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

// Many list changes, purges, objects and views leave the state bounded: places are used again.
func Example_boundedState() {
	b := newHarness(testSettings(), cacheA)
	b.isMuted = true
	for i := range 5000 {
		n := EndpointID(10000 + i)
		b.change(n, Ready, LongAgo)
		b.handle(&Event{Kind: EventPurge, Object: ObjectID(i + 1)})
		b.handle(&Event{Kind: EventRequest, Request: RequestID(i + 1), Object: ObjectID(i), SizeKB: 10, TimeLeft: time.Second})
		b.handle(&Event{Kind: EventAttemptResult, Request: RequestID(i + 1), Outcome: Succeeded, Note: NoteHit, Elapsed: 10 * ms, Final: true})
		b.change(n, Gone, LongAgo)
		b.now += 2 * time.Second
	}
	r := b.router
	fmt.Println(len(r.endpoints), len(r.endpointByID), len(r.purges), len(r.requests.slots), len(r.requests.slotByID), len(r.previousRings), len(r.history.records))
	// Output:
	// 35 35 4 1 0 3 16384
}

// The ordinary path allocates nothing once the slab has grown.
func TestOrdinaryPathAllocatesNothing(t *testing.T) {
	b := newHarness(testSettings(), cacheA, cacheB)
	id := RequestID(0)
	view, end := Event{Kind: EventRequest, SizeKB: 100, TimeLeft: time.Second}, Event{
		Kind: EventAttemptResult, Outcome: Succeeded,
		Note: NoteHit, Elapsed: 100 * ms, Final: true,
	}
	got := testing.AllocsPerRun(1000, func() {
		id++
		view.Request, view.Object, end.Request = id, ObjectID(id%50), id
		b.actions = b.router.Handle(b.now, &view, b.actions[:0])
		if len(b.actions) != 1 || b.actions[0].Kind != ActionSend {
			t.Fatal("the view was not sent")
		}
		b.now += 100 * ms
		b.actions = b.router.Handle(b.now, &end, b.actions[:0])
	})
	if got != 0 {
		t.Errorf("the ordinary path allocates %v times a view", got)
	}
}
