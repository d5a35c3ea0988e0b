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
		t.Fatalf("the limiter is not closed at a limit of %v", limiter.limit)
	}
	for limiter.limit < initialOriginLimit {
		if limiter.updateClosed() {
			t.Fatalf("the limiter is logged as open at a limit of %v", limiter.limit)
		}
		now += 100 * ms
		limiter.observe(50*ms, false, now)
	}
	if !limiter.updateClosed() || limiter.closed {
		t.Errorf("the limiter is still closed at a limit of %v", limiter.limit)
	}
}

func TestFailuresTogetherCountOnce(t *testing.T) {
	limiter := originLimiter{limit: 16, share: 1}
	for range 10 {
		limiter.recordFailure(time.Minute)
	}
	if limiter.limit != 12 {
		t.Errorf("got limit %v, want 12", limiter.limit)
	}
}

func TestClosedLimiterLetsTrialsThrough(t *testing.T) {
	now := time.Minute
	limiter := originLimiter{limit: minOriginLimit, share: 0.5}
	if !limiter.hasCapacity(minOriginLimit, now) {
		t.Fatal("the first trial is not admitted")
	}
	limiter.begin(1, 0.5, now)
	limiter.end(1, now)
	interval := 2 * originTrialInterval // with half a full limit, trials are half as frequent
	if limiter.hasCapacity(minOriginLimit, now+interval-1) {
		t.Error("the second trial is admitted too early")
	}
	if !limiter.hasCapacity(minOriginLimit, now+interval) {
		t.Error("the second trial is not admitted")
	}
	limiter.begin(1, 0.5, now+interval)
	if limiter.hasCapacity(minOriginLimit, now+time.Hour) {
		t.Error("a trial is admitted while another is in flight")
	}
}

func TestOpenLimiterCountsWhatIsInFlight(t *testing.T) {
	limiter := originLimiter{limit: 8, share: 1}
	for range 8 {
		if !limiter.hasCapacity(limiter.limit, time.Minute) {
			t.Fatal("the limiter has no capacity below the limit")
		}
		limiter.begin(1, 0, time.Minute)
	}
	if limiter.hasCapacity(limiter.limit, time.Minute) {
		t.Error("the limiter has capacity at the limit")
	}
}

// Fills with the usual wait for the origin are a little late, but half of all fills have a shorter wait. With a high
// limit such a fill is admitted; with a low limit the parent may answer only from its cache.
func Example_originWaitMayBeSpared() {
	harness := newHarness(testSettings(), cacheA)
	for i, limit := range []float64{24, 4} {
		harness.router.originLimiter.wait, harness.router.originLimiter.limit = 650*ms, limit
		harness.router.originLimiter.inFlight.add(1, harness.now) // the fill that is always admitted
		harness.request(RequestID(i+1), readClass, harness.firstObject(cacheA, parentP)+ObjectID(100*i))
		harness.result(RequestID(i+1), cacheA, 150*ms, Succeeded, NoteFilled)
	}
	// Output:
	//   0.00s request 1: attempt to A, fill from P
	//   0.15s request 2: attempt to A, fill from P, only if cached
}

// With timely answers the limit rises with the number of fills in flight, and with late answers it falls to the
// minimum. With a fixed maximum, requests would be rejected under five times the usual load.
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

// A parent is silent, and clients cancel many writes soon after sending them. Neither means that the origin is slow, so
// the origin limiter must stay open for fills that replace those of the parent.
func Example_originLimiterIgnoresCancelledWrites() {
	harness := newHarness(testSettings(), cacheA, cacheB)
	harness.isQuiet = true
	for id := RequestID(1); id <= 80; id++ {
		harness.request(id, writeClass, ObjectID(id))
		harness.advance(20 * ms)
		harness.handle(&Event{Kind: EventClientGone, Request: id})
	}
	object := harness.firstObject(cacheA, parentP)
	for id := RequestID(101); id <= 105; id++ {
		harness.request(id, readClass, object)
		for i, cache := range []EndpointID{cacheA, cacheB} { // the caches are healthy
			harness.request(id*10+RequestID(i), readClass, harness.firstObject(cache, parentQ))
			harness.result(id*10+RequestID(i), cache, 60*ms, Succeeded, NoteHit)
		}
	}
	harness.isQuiet = false
	for id := RequestID(201); id <= 203; id++ {
		harness.request(id, readClass, object)
	}
	// Output:
	//   2.20s request 201: attempt to A, fill from origin
	//   2.20s request 202: attempt to A, fill from origin
	//   2.20s request 203: attempt to A, fill from origin
}

// A slow origin: late fills close the limiter. Then parents may answer only from their caches, and a request that would
// have to wait for the origin is rejected.
func Example_slowOrigin() {
	harness := newHarness(testSettings(), cacheA)
	harness.isQuiet = true
	for id := RequestID(1); id <= 40; id++ {
		harness.request(id, readClass, ObjectID(id))
		harness.result(id, cacheA, 1500*ms, Succeeded, NoteViaOrigin)
	}
	harness.advance(10 * time.Second) // until the next trial is due
	harness.isQuiet = false
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
