package routing

// An idempotent request that the caches cannot serve in time goes to the router's own cache. After a purge the local
// cache must not answer from an older copy.
func Example_localCache() {
	settings := testSettings()
	settings.LocalCacheCapacity, settings.AllowDirect = 1, false
	harness := newHarness(settings, cacheA)
	harness.request(1, readClass, 7)
	harness.result(1, cacheA, 20*ms, Overloaded, NoteNoFillCapacity)
	harness.handle(&Event{Kind: EventStreamStarted, Request: 1, Attempt: 1})
	harness.handle(&Event{Kind: EventPurge, Object: 8, Age: 100 * ms})
	harness.request(2, readClass, 8)
	harness.result(2, cacheA, 20*ms, Overloaded, NoteNoFillCapacity)
	harness.result(2, LocalCache, 0, CacheMiss, NoteNone)
	harness.result(1, LocalCache, 100*ms, Succeeded, NoteNone)
	harness.request(3, writeClass, 9)
	harness.result(3, cacheA, 20*ms, Failed, NoteNone)
	harness.listEndpoints(EndpointListFull)
	harness.request(4, readClass, 7)
	// Output:
	//   0.00s request 1: attempt to A, fill from P
	//   0.02s request 1: attempt to local cache, fill from local cache
	//   0.02s request 2: attempt to A, fill from A, max age 99ms
	//   0.04s request 2: attempt to local cache, fill from local cache, max age 119ms
	//   0.04s request 2: rejected
	//   0.14s request 3: attempt to A, fill from origin
	//   0.16s request 3: failed
	//   0.16s request 4: attempt to local cache, fill from local cache
}
