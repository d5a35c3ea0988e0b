package routing

import (
	"time"
)

// A slot that moved is filled from its former owner for 30 s, holds-only, then the parent is named.
func Example_relay() {
	b := newHarness(testSettings(), cacheA, cacheB)
	o := b.firstObject(cacheA, parentP)
	b.change(cacheA, Draining, LongAgo)
	b.request(1, 0, o)
	b.result(1, cacheB, 20*ms, CacheMiss, NoteSourceMiss)
	b.result(1, cacheB, 150*ms, Succeeded, NoteFilled)
	b.change(cacheA, Ready, LongAgo) // back before its grace ran out: the slot moves again
	b.request(2, 0, o)
	b.result(2, cacheA, 120*ms, Succeeded, NoteFilled)
	b.advance(31 * time.Second)
	b.request(3, 0, o)
	b.result(3, cacheA, 110*ms, Succeeded, NoteHit)
	// Output:
	//   0.00s request 1: attempt to B, fill from A, only if cached
	//   0.02s request 1: attempt to B, fill from P
	//   0.17s request 2: attempt to A, fill from B, only if cached
	//  31.29s request 3: attempt to A, fill from P
}
