package routing

import (
	"fmt"
	"time"
)

// Rule 4: a cache that just started has a fifth of its slots, and a budget besides; the rest goes to its neighbour.
func Example_coldCache() {
	b := newHarness(testSettings(), cacheA, cacheB)
	b.change(cacheA, Ready, b.now)
	toA, sent := 0, 0
	for o := ObjectID(1); sent < 20; o++ {
		if b.ownerOf(o) != cacheA {
			continue
		}
		sent++
		b.actions = b.router.Handle(b.now, &Event{Kind: EventRequest, Request: RequestID(o), Object: o, SizeKB: 100, TimeLeft: time.Second}, b.actions[:0])
		if b.actions[0].Endpoint == cacheA {
			toA++
		}
	}
	b.now += 17 * time.Second
	b.request(1000, 0, b.firstObject(cacheA, parentP))
	fmt.Printf("%d of 20 went to A while it was cold\n", toA)
	// Output:
	//  17.00s request 1000: attempt to A, fill from B, only if cached
	// 1 of 20 went to A while it was cold
}

// Rule 4, found by a hunt on counter-net: a fresh router that knows no sizes, and a location that is all cold. Until
// sizes are known a view weighs its due time, so that few go before anything is learned.
func Example_coldCacheAndUnknownSizes() {
	b := newHarness(testSettings(), cacheA)
	b.change(cacheA, Ready, b.now)
	sent := 0
	for o := ObjectID(1); o <= 200; o++ {
		b.actions = b.router.Handle(b.now, &Event{Kind: EventRequest, Request: RequestID(o), Object: o, TimeLeft: time.Second}, b.actions[:0])
		if b.actions[0].Endpoint == cacheA {
			sent++
		}
	}
	fmt.Printf("%d of 200 went to A at once\n", sent)
	// Output:
	// 1 of 200 went to A at once
}

// Rule 4, found on branch-library grown: twenty routers share a location, and each is less than one view of a cold
// cache's budget. They take turns, from a start by chance, in place of one view each at once.
func Example_coldCacheAndManyRouters() {
	set := testSettings()
	set.Routers, set.ZoneRouters = 20, []int{0, 0, 20}
	sent := 0
	for seed := range 20 {
		b := newHarness(set, cacheA)
		b.router.random, b.isMuted = newPCG(uint64(seed)), true
		b.change(cacheA, Ready, b.now)
		for o := ObjectID(1); o <= 300; o++ {
			b.actions = b.router.Handle(b.now, &Event{Kind: EventRequest, Request: RequestID(o), Object: o, TimeLeft: time.Second}, b.actions[:0])
			if b.actions[0].Endpoint == cacheA {
				sent++
			}
			b.now += 20 * ms
		}
	}
	fmt.Printf("%d in 6 s; 3 within 3 s would push it over\n", sent)
	// Output:
	// 4 in 6 s; 3 within 3 s would push it over
}

// Settings without the figures of cold nodes: nothing is known to be borne, so a cold cache gets no herd.
func Example_slowStartSettingsMissing() {
	set := testSettings()
	set.SlowStartShare, set.OverloadFactor = 0, 0
	b := newHarness(set, cacheA)
	b.isMuted = true
	b.change(cacheA, Ready, b.now)
	sent := 0
	for id := RequestID(1); id <= 50; id++ {
		b.request(id, 0, ObjectID(id))
		if b.actions[0].Endpoint == cacheA {
			sent++
		}
	}
	fmt.Printf("%d of 50 went to A\n", sent)
	// Output:
	// 1 of 50 went to A
}
