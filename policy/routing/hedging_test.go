package routing

// After a hedged attempt no cache is left while the first attempt is still in flight. The late result of the first
// attempt must end the request, although the request has no current cache.
func Example_noCacheLeft() {
	settings := testSettings()
	settings.AllowDirect = false
	harness := newHarness(settings, cacheA, cacheB)
	harness.request(1, readClass, harness.firstObject(cacheA, parentP))
	harness.advance(400 * ms) // attempt 0 is overdue and A is silent, so attempt 1 is sent
	harness.handle(&Event{
		Kind: EventAttemptResult, Request: 1, Attempt: 1, Endpoint: cacheB,
		Outcome: Overloaded, Note: NoteNoFillCapacity,
	})
	harness.handle(&Event{
		Kind: EventAttemptResult, Request: 1, Attempt: 0, Endpoint: cacheA,
		Outcome: CacheMiss, Note: NoteSourceMiss,
	})
	// Output:
	//   0.00s request 1: attempt to A, fill from P
	//   0.36s request 1: attempt to B, fill from P
	//   0.40s request 1: rejected
}

// A silent cache: an attempt is hedged once it is overdue and its endpoint has shown no sign of life since the attempt
// was sent. The endpoint is ejected. A late answer to an attempt sent before the ejection shows that the endpoint did
// not restart.
func Example_silentCache() {
	harness := newHarness(testSettings(), cacheA, cacheB)
	object := harness.firstObject(cacheA, parentP)
	harness.advance(20 * ms)
	harness.request(1, readClass, object)
	harness.request(2, readClass, object)
	harness.advance(500 * ms)
	harness.request(3, readClass, object) // A is ejected by now
	harness.result(1, cacheA, 100*ms, Succeeded, NoteHit)
	harness.request(4, readClass, object)
	// Output:
	//   0.02s request 1: attempt to A, fill from P
	//   0.02s request 2: attempt to A, fill from P
	//   0.38s request 1: attempt to B, fill from P
	//   0.38s request 2: attempt to B, fill from P
	//   0.52s request 3: attempt to B, fill from P
	//   0.62s request 1: attempt 1 cancelled
	//   0.62s request 4: attempt to B, fill from P
}
