package routing

import (
	"time"
)

// A parent that is not reached: origin fills at first, after 10 s its arc is the next parent's, with trials between;
// once listed gone and back ready it has its arc again.
func Example_parentLoss() {
	b := newHarness(testSettings(), cacheA)
	o := b.firstObject(cacheA, parentP)
	for id := RequestID(1); id <= 3; id++ {
		b.request(id, 0, o)
		if id < 3 {
			b.result(id, cacheA, 20*ms, Overloaded, NoteSourceUnreachable)
		}
		b.result(id, cacheA, 150*ms, Succeeded, NoteViaOrigin)
	}
	b.advance(10 * time.Second)
	b.request(4, 0, o) // due for a trial
	b.result(4, cacheA, 20*ms, Overloaded, NoteSourceUnreachable)
	b.result(4, cacheA, 150*ms, Succeeded, NoteViaOrigin)
	b.request(5, 0, o)
	b.result(5, cacheA, 150*ms, Succeeded, NoteFilled)
	// Output:
	//   0.00s request 1: attempt to A, fill from P
	//   0.02s request 1: attempt to A, fill from origin
	//   0.17s request 2: attempt to A, fill from P
	//   0.19s request 2: attempt to A, fill from origin
	//   0.34s request 3: attempt to A, fill from origin
	//  10.49s request 4: attempt to A, fill from P
	//  10.51s request 4: attempt to A, fill from origin
	//  10.66s request 5: attempt to A, fill from Q
}

// Found on depot-records: clients ask for what no node can do, and all nodes say so. Each view is turned back once two
// have, and no node goes out; one that errs where another does not goes out, and what ends many legs at once counts
// once.
func Example_requestsOwnFault() {
	b := newHarness(testSettings(), cacheA, cacheB)
	o := b.firstObject(cacheA, parentP)
	b.isMuted = true
	for id := RequestID(1); id <= 8; id++ {
		b.request(id, 0, o)
		b.result(id, cacheA, ms, Failed, NoteNone)
		b.result(id, cacheB, ms, Failed, NoteNone)
	}
	b.isMuted = false
	b.request(9, 0, o)
	b.result(9, cacheA, ms, Failed, NoteNone)
	b.result(9, cacheB, ms, Failed, NoteNone)
	b.isMuted = true
	for id := RequestID(10); id <= 16; id++ {
		b.request(id, 0, o)
	}
	for id := RequestID(10); id <= 16; id++ {
		b.result(id, cacheA, 0, ConnectionBroken, NoteNone)
		b.result(id, cacheB, 0, Succeeded, NoteHit)
	}
	b.isMuted = false
	for id := RequestID(17); id <= 21; id++ {
		b.request(id, 0, o)
		if id < 20 {
			b.result(id, cacheA, ms, Failed, NoteNone)
		}
		b.result(id, cacheB, 100*ms, Succeeded, NoteHit)
	}
	// Output:
	//   0.02s request 9: attempt to A, fill from P
	//   0.02s request 9: attempt to B, fill from P
	//   0.02s request 9: rejected
	//   0.02s request 17: attempt to A, fill from P
	//   0.02s request 17: attempt to B, fill from P
	//   0.12s request 18: attempt to A, fill from P
	//   0.12s request 18: attempt to B, fill from P
	//   0.22s request 19: attempt to A, fill from P
	//   0.22s request 19: attempt to B, fill from P
	//   0.32s request 20: attempt to B, fill from P
	//   0.42s request 21: attempt to B, fill from P
}

// Found on branch-library grown: all caches break some connections, none is lost. They go out one by one, and then
// health is not asked; one that answers from a kept copy is not taken for restarted.
func Example_brokenEverywhere() {
	set := testSettings()
	set.AllowDirect = false
	b := newHarness(set, cacheA, cacheB)
	b.isMuted = true
	o := b.firstObject(cacheA, parentP)
	for id := RequestID(1); id <= 4; id++ {
		b.request(id, 0, o)
		b.result(id, cacheA, 10*ms, ConnectionBroken, NoteNone)
		b.result(id, cacheB, 10*ms, ConnectionBroken, NoteNone)
	}
	b.isMuted = false
	for id := RequestID(5); id <= 8; id++ {
		b.request(id, 0, o)
		b.result(id, cacheA, 300*ms, Succeeded, NoteHit)
	}
	// Output:
	//   0.08s request 5: attempt to A, fill from P
	//   0.38s request 6: attempt to A, fill from P
	//   0.68s request 7: attempt to A, fill from P
	//   0.98s request 8: attempt to A, fill from P
}

// Found on branch-library: a parent that begins its fills in good time, and then drags, counts as failing.
func Example_draggingParent() {
	b := newHarness(testSettings(), cacheA)
	for id := RequestID(1); id <= 6; id++ {
		b.request(id, 0, 7+ObjectID(id)*1000)
		b.advance(2 * time.Second)
		b.handle(&Event{
			Kind: EventAttemptResult, Request: id, Endpoint: cacheA, Outcome: Succeeded, Note: NoteFilled, Elapsed: 2 * time.Second,
			FirstByteWait: 20 * ms, Final: true,
		})
	}
	// Output:
	//   0.00s request 1: attempt to A, fill from P
	//   2.00s request 2: attempt to A, fill from Q
	//   2.36s request 2: attempt to A, fill from origin
	//   4.00s request 2: attempt 1 cancelled
	//   4.00s request 3: attempt to A, fill from P
	//   6.00s request 4: attempt to A, fill from Q
	//   8.00s request 5: attempt to A, fill from origin
	//  10.00s request 6: attempt to A, fill from P
}
