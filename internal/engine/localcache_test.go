package engine

import (
	"testing"
	"time"

	"fennelarch/policy/routing"
)

// testCache is a local cache with methods that take object ids.
type testCache struct {
	*localCache
	now   time.Duration
	epoch time.Time // wall-clock time when now was 0
}

func newTestCache() *testCache {
	return &testCache{
		localCache: newLocalCache(LocalCacheSettings{
			MaxBytes:           3 * (1000 + entryOverheadBytes),
			FlowBytesPerSecond: 1000, LinkBytesPerSecond: 2500, MaxTransferTime: 10 * time.Second,
		}),
		now: time.Hour, epoch: time.Now(),
	}
}

func requestFor(object routing.ObjectID) *Request {
	return &Request{Object: object, Group: routing.GroupID(object % 2)}
}

func (c *testCache) storeObject(object routing.ObjectID, generatedAt time.Duration) {
	result := &AttemptResult{Body: make([]byte, 1000), GeneratedAt: c.epoch.Add(generatedAt)}
	c.store(requestFor(object), result, c.now, generatedAt)
}

func (c *testCache) holds(object routing.ObjectID) bool {
	return c.find(requestFor(object), 0, c.now) != nil
}

func TestLocalCacheEvictsLeastRecentlyUsed(t *testing.T) {
	c := newTestCache()
	for object := range routing.ObjectID(3) {
		c.storeObject(object+1, c.now)
	}
	c.find(requestFor(1), 0, c.now)
	c.storeObject(4, c.now)
	c.storeObject(4, c.now)
	if !c.holds(1) || c.holds(2) || c.bytes > c.settings.MaxBytes || c.recentlyUsed.Len() != 3 {
		t.Errorf("%d copies, %d bytes, want 3 copies within the limit, with object 1 and without object 2",
			c.recentlyUsed.Len(), c.bytes)
	}
	if c.find(requestFor(1), time.Second, c.now+2*time.Second) != nil {
		t.Error("copy older than maxAge served")
	}
}

func TestLocalCachePurgesGroup(t *testing.T) {
	c := newTestCache()
	for _, object := range []routing.ObjectID{1, 3, 4} {
		c.storeObject(object, c.now)
	}
	c.purge(Purge{Group: 1, Issued: c.epoch.Add(c.now)}, c.now+time.Minute, c.now)
	c.storeObject(1, c.now-time.Second)
	if c.holds(1) || c.holds(3) || !c.holds(4) {
		t.Error("purge of a group did not remove exactly the copies of that group")
	}
	if c.storeObject(1, c.now+time.Millisecond); !c.holds(1) {
		t.Error("copy generated after the purge not stored")
	}
}

func TestLocalCacheStoresNothingOfUnknownAge(t *testing.T) {
	c := newTestCache()
	if c.store(requestFor(5), &AttemptResult{Body: make([]byte, 1000)}, c.now, c.now); c.holds(5) {
		t.Error("copy of unknown age stored")
	}
}

func TestLocalCacheTransfersShareLink(t *testing.T) {
	c := newTestCache()
	for i, want := range []time.Duration{2, 2, 3} { // two slots on the link
		if got := c.transfer(time.Second, 1000); got != want*time.Second {
			t.Errorf("transfer %d ends at %v, want 2s, 2s and 3s in turn", i, got)
		}
	}
}

// A copy is evicted or purged, or the client leaves, while the body is being sent from the local cache: the client
// still gets a single response, and the attempt ends once.
func TestLocalCopyRemovedDuringTransfer(t *testing.T) {
	for _, testCase := range []struct {
		name   string
		remove func(engine *checkedEngine)
	}{
		{"purged", func(engine *checkedEngine) { engine.send(Purge{Object: 7, Issued: engine.start.Add(engine.elapsed)}) }},
		{"evicted", func(engine *checkedEngine) {
			other := &Request{Object: 8, Timeout: time.Second}
			result := &AttemptResult{Body: make([]byte, 900), ETag: "other", GeneratedAt: engine.start.Add(engine.elapsed)}
			engine.localCache.store(other, result, engine.elapsed, engine.elapsed)
		}},
		{"client left", func(engine *checkedEngine) { engine.send(ClientGone{2}) }},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			engine := newCheckedEngine(t, testCase.name, LocalCacheSettings{
				MaxBytes: 1300, FlowBytesPerSecond: 1000, LinkBytesPerSecond: 1000, MaxTransferTime: time.Second,
			})
			engine.send(engine.newRequest(1, idempotentClass, 3*time.Second))
			engine.deliverResult(0, routing.Succeeded, routing.NoteHit)
			engine.isClosed = false
			engine.send(engine.newRequest(2, idempotentClass, 3*time.Second))
			// All endpoints are overloaded: only the local cache remains.
			for i := 1; i < len(engine.attempts) && len(engine.statuses) < 2; i++ {
				engine.deliverResult(i, routing.Overloaded, 0)
			}
			if len(engine.statuses) != 2 || engine.statuses[1] != StatusOK {
				t.Fatalf("responses %v, want two, the second StatusOK", engine.statuses)
			}
			testCase.remove(engine)
			engine.advance(time.Second)
			if len(engine.statuses) != 2 {
				t.Errorf("%d responses, want 2", len(engine.statuses))
			}
			engine.checkEmpty()
		})
	}
}
