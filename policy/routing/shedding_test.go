package routing

// What the caches cannot give in time, a copy of the router's own may: it is asked last, and not for a
// view that may not run twice; after a purge no copy from before it will do.
func Example_localCache() {
	set := testSettings()
	set.LocalCacheCapacity, set.AllowDirect = 1, false
	b := newHarness(set, cacheA)
	b.request(1, 0, 7)
	b.result(1, cacheA, 20*ms, Overloaded, NoteNoFillCapacity)
	b.handle(&Event{Kind: EventStreamStarted, Request: 1, Attempt: 1})
	b.handle(&Event{Kind: EventPurge, Object: 8, Age: 100 * ms})
	b.request(2, 0, 8)
	b.result(2, cacheA, 20*ms, Overloaded, NoteNoFillCapacity)
	b.result(2, LocalCache, 0, CacheMiss, NoteNone)
	b.result(1, LocalCache, 100*ms, Succeeded, NoteNone)
	b.request(3, 1, 9)
	b.result(3, cacheA, 20*ms, Failed, NoteNone)
	b.list(EndpointListFull)
	b.request(4, 0, 7)
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
