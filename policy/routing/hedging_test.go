package routing

// Found on branch-library grown: a second copy finds no cache left while the first leg is still out; its late end must
// not be taken for one at that cache.
func Example_noCacheLeft() {
	set := testSettings()
	set.AllowDirect = false
	b := newHarness(set, cacheA, cacheB)
	b.request(1, 0, b.firstObject(cacheA, parentP))
	b.advance(400 * ms) // overdue and silent: a second copy
	b.handle(&Event{Kind: EventAttemptResult, Request: 1, Attempt: 1, Endpoint: cacheB, Outcome: Overloaded, Note: NoteNoFillCapacity})
	b.handle(&Event{Kind: EventAttemptResult, Request: 1, Attempt: 0, Endpoint: cacheA, Outcome: CacheMiss, Note: NoteSourceMiss})
	// Output:
	//   0.00s request 1: attempt to A, fill from P
	//   0.36s request 1: attempt to B, fill from P
	//   0.40s request 1: rejected
}

// Found on depot-records: a silent cache. A leg that is overdue at a node not heard of since gets a second copy, and
// three good answers end the outage; one to a leg sent before it shows that there was no restart.
func Example_silentCache() {
	b := newHarness(testSettings(), cacheA, cacheB)
	o := b.firstObject(cacheA, parentP)
	b.advance(20 * ms)
	b.request(1, 0, o)
	b.request(2, 0, o)
	b.advance(500 * ms)
	b.request(3, 0, o) // A is out by now
	b.result(1, cacheA, 100*ms, Succeeded, NoteHit)
	b.request(4, 0, o)
	// Output:
	//   0.02s request 1: attempt to A, fill from P
	//   0.02s request 2: attempt to A, fill from P
	//   0.38s request 1: attempt to B, fill from P
	//   0.38s request 2: attempt to B, fill from P
	//   0.52s request 3: attempt to B, fill from P
	//   0.62s request 1: attempt 1 cancelled
	//   0.62s request 4: attempt to B, fill from P
}
