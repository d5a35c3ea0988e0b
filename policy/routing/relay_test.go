package routing

import (
	"time"
)

// Objects of a moved arc are filled from the previous owner for 30 s if it has a copy, and otherwise from the parent.
func Example_relay() {
	harness := newHarness(testSettings(), cacheA, cacheB)
	object := harness.firstObject(cacheA, parentP)
	harness.changeEndpoint(cacheA, Draining, LongAgo)
	harness.request(1, readClass, object)
	harness.result(1, cacheB, 20*ms, CacheMiss, NoteSourceMiss)
	harness.result(1, cacheB, 150*ms, Succeeded, NoteFilled)
	harness.changeEndpoint(cacheA, Ready, LongAgo) // ready again within its drain grace: the arc moves back
	harness.request(2, readClass, object)
	harness.result(2, cacheA, 120*ms, Succeeded, NoteFilled)
	harness.advance(31 * time.Second)
	harness.request(3, readClass, object)
	harness.result(3, cacheA, 110*ms, Succeeded, NoteHit)
	// Output:
	//   0.00s request 1: attempt to B, fill from A, only if cached
	//   0.02s request 1: attempt to B, fill from P
	//   0.17s request 2: attempt to A, fill from B, only if cached
	//  31.29s request 3: attempt to A, fill from P
}
