package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestOriginLimiterClosesAndOpens(t *testing.T) {
	now := time.Minute
	limiter := originLimiter{limit: initialOriginLimit, share: 1}
	for range 20 {
		now += originFailureInterval
		limiter.recordFailure(now)
	}
	if !limiter.isClosed() || !limiter.updateClosed() || !limiter.closed {
		t.Fatalf("not closed at a limit of %v", limiter.limit)
	}
	for limiter.limit < initialOriginLimit {
		if limiter.updateClosed() {
			t.Fatalf("logged as open at a limit of %v", limiter.limit)
		}
		now += 100 * ms
		limiter.observe(50*ms, false, now)
	}
	if !limiter.updateClosed() || limiter.closed {
		t.Errorf("still closed at a limit of %v", limiter.limit)
	}
}

func TestFailuresTogetherCountOnce(t *testing.T) {
	limiter := originLimiter{limit: 16, share: 1}
	for range 10 {
		limiter.recordFailure(time.Minute)
	}
	if limiter.limit != 12 {
		t.Errorf("the limit is %v, want 12", limiter.limit)
	}
}

func TestClosedLimiterLetsTrialsThrough(t *testing.T) {
	now := time.Minute
	limiter := originLimiter{limit: minOriginLimit, share: 0.5}
	if !limiter.hasCapacity(minOriginLimit, now) {
		t.Fatal("no first trial")
	}
	limiter.begin(1, 0.5, now)
	limiter.end(1, now)
	interval := 2 * originTrialInterval // half a limit tries half as often
	if limiter.hasCapacity(minOriginLimit, now+interval-1) {
		t.Error("a second trial too soon")
	}
	if !limiter.hasCapacity(minOriginLimit, now+interval) {
		t.Error("no second trial")
	}
	limiter.begin(1, 0.5, now+interval)
	if limiter.hasCapacity(minOriginLimit, now+time.Hour) {
		t.Error("a trial beside one in flight")
	}
}

func TestOpenLimiterCountsWhatIsInFlight(t *testing.T) {
	limiter := originLimiter{limit: 8, share: 1}
	for range 8 {
		if !limiter.hasCapacity(limiter.limit, time.Minute) {
			t.Fatal("no capacity below the limit")
		}
		limiter.begin(1, 0, time.Minute)
	}
	if limiter.hasCapacity(limiter.limit, time.Minute) {
		t.Error("capacity at the limit")
	}
}

// Found on depot-records at tight objectives: the usual wait for the origin is a little too long, so half of all fills
// would come in time. They go while the limit is wide, and with a narrow one the parent is asked for what it has
// cached.
func Example_originWaitMayBeSpared() {
	harness := newHarness(testSettings(), cacheA)
	for i, limit := range []float64{24, 4} {
		harness.router.originLimiter.wait, harness.router.originLimiter.limit = 650*ms, limit
		harness.router.originLimiter.inFlight.add(1, harness.now) // the one trial is in flight
		harness.request(RequestID(i+1), readClass, harness.firstObject(cacheA, parentP)+ObjectID(100*i))
		harness.result(RequestID(i+1), cacheA, 150*ms, Succeeded, NoteFilled)
	}
	// Output:
	//   0.00s request 1: attempt to A, fill from P
	//   0.15s request 2: attempt to A, fill from P, only if cached
}

// Found on depot-records at five times its usual rate: the limit is as wide as what is in flight with answers in
// good time asks for, and as narrow as ever once they are late.
func Example_originLimitWidens() {
	limiter := originLimiter{limit: initialOriginLimit, share: 0.5}
	for _, test := range []struct {
		inFlight float64
		isLate   bool
	}{{5, false}, {20, false}, {5, false}, {5, true}} {
		limiter.inFlight.current = test.inFlight
		for range 60 {
			limiter.observe(50*ms, test.isLate, limiter.observedAt+100*ms)
		}
		fmt.Printf("%g in flight, late %v: %g\n", test.inFlight, test.isLate, limiter.limit)
	}
	// Output:
	// 5 in flight, late false: 24
	// 20 in flight, late false: 76.5
	// 5 in flight, late false: 24
	// 5 in flight, late true: 1
}

// Found on depot-records: a parent falls silent, and clients send writes by the hundred and give them up at once.
// Neither says much of the origin: what its parent does not give is filled from the origin at once.
func Example_originLimiterIgnoresCancelledWrites() {
	harness := newHarness(testSettings(), cacheA, cacheB)
	harness.isMuted = true
	for id := RequestID(1); id <= 80; id++ {
		harness.request(id, writeClass, ObjectID(id))
		harness.advance(20 * ms)
		harness.handle(&Event{Kind: EventClientGone, Request: id})
	}
	object := harness.firstObject(cacheA, parentP)
	for id := RequestID(101); id <= 105; id++ {
		harness.request(id, readClass, object)
		for i, cache := range []EndpointID{cacheA, cacheB} { // the caches are well
			harness.request(id*10+RequestID(i), readClass, harness.firstObject(cache, parentQ))
			harness.result(id*10+RequestID(i), cache, 60*ms, Succeeded, NoteHit)
		}
	}
	harness.isMuted = false
	for id := RequestID(201); id <= 203; id++ {
		harness.request(id, readClass, object)
	}
	// Output:
	//   2.20s request 201: attempt to A, fill from origin
	//   2.20s request 202: attempt to A, fill from origin
	//   2.20s request 203: attempt to A, fill from origin
}

// Found on branch-library: a slow origin. Late fills close the limiter; then the parent is asked for what it has
// cached, and a request that would have to wait for the origin is rejected.
func Example_slowOrigin() {
	harness := newHarness(testSettings(), cacheA)
	harness.isMuted = true
	for id := RequestID(1); id <= 40; id++ {
		harness.request(id, readClass, ObjectID(id))
		harness.result(id, cacheA, 1500*ms, Succeeded, NoteViaOrigin)
	}
	harness.advance(10 * time.Second) // trials keep a distance
	harness.isMuted = false
	harness.request(42, readClass, 1000)
	harness.request(43, readClass, 1001)
	harness.request(44, readClass, 1002)
	harness.result(44, cacheA, 20*ms, CacheMiss, NoteSourceMiss)
	// Output:
	//  70.00s request 42: attempt to A, fill from P
	//  70.00s request 43: attempt to A, fill from Q, only if cached
	//  70.00s request 44: attempt to A, fill from Q, only if cached
	//  70.02s request 44: rejected
}
