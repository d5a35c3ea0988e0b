package routing

import (
	"fmt"
	"time"
)

// Rule 4: a cache that just started has a fifth of its objects, and a budget besides; the rest goes to its neighbour.
func Example_coldCache() {
	harness := newHarness(testSettings(), cacheA, cacheB)
	harness.change(cacheA, Ready, harness.now)
	toA, sent := 0, 0
	for object := ObjectID(1); sent < 20; object++ {
		if harness.ownerOf(object) != cacheA {
			continue
		}
		sent++
		harness.actions = harness.router.Handle(harness.now, &Event{
			Kind: EventRequest, Request: RequestID(object), Object: object, SizeKB: 100, TimeLeft: time.Second,
		}, harness.actions[:0])
		if harness.actions[0].Endpoint == cacheA {
			toA++
		}
	}
	harness.now += 17 * time.Second
	harness.request(1000, readClass, harness.firstObject(cacheA, parentP))
	fmt.Printf("%d of 20 went to A while it was cold\n", toA)
	// Output:
	//  17.00s request 1000: attempt to A, fill from B, only if cached
	// 1 of 20 went to A while it was cold
}

// Rule 4, found on counter-net: a fresh router that knows no sizes, and a location that is all cold. Until
// sizes are known a request weighs its objective, so that few go before anything is learned.
func Example_coldCacheAndUnknownSizes() {
	harness := newHarness(testSettings(), cacheA)
	harness.isMuted = true
	harness.change(cacheA, Ready, harness.now)
	sent := 0
	for object := ObjectID(1); object <= 200; object++ {
		harness.requestUntoldSize(RequestID(object), object, time.Second)
		if harness.actions[0].Endpoint == cacheA {
			sent++
		}
	}
	fmt.Printf("%d of 200 went to A at once\n", sent)
	// Output:
	// 1 of 200 went to A at once
}

// Rule 4, found on branch-library grown: twenty routers share a location, and each has less than one request of a
// cold cache's budget. They take turns, from a random start, in place of one request each at once.
func Example_coldCacheAndManyRouters() {
	settings := testSettings()
	settings.Routers, settings.ZoneRouters = 20, []int{0, 0, 20}
	sent := 0
	for seed := range 20 {
		harness := newHarness(settings, cacheA)
		harness.router.random, harness.isMuted = newPCG(uint64(seed)), true
		harness.change(cacheA, Ready, harness.now)
		for object := ObjectID(1); object <= 300; object++ {
			harness.requestUntoldSize(RequestID(object), object, time.Second)
			if harness.actions[0].Endpoint == cacheA {
				sent++
			}
			harness.now += 20 * ms
		}
	}
	fmt.Printf("%d in 6 s; 3 within 3 s would push it over\n", sent)
	// Output:
	// 4 in 6 s; 3 within 3 s would push it over
}

// Settings without the figures of slow start: a cold cache is not known to bear anything, so it gets almost nothing.
func Example_slowStartSettingsMissing() {
	settings := testSettings()
	settings.SlowStartShare, settings.OverloadFactor = 0, 0
	harness := newHarness(settings, cacheA)
	harness.isMuted = true
	harness.change(cacheA, Ready, harness.now)
	sent := 0
	for id := RequestID(1); id <= 50; id++ {
		harness.request(id, readClass, ObjectID(id))
		if harness.actions[0].Endpoint == cacheA {
			sent++
		}
	}
	fmt.Printf("%d of 50 went to A\n", sent)
	// Output:
	// 1 of 50 went to A
}
