package routing

import (
	"fmt"
	"testing"
	"time"
)

// testSlowStart returns the slow start of an endpoint that started at time.Minute.
func testSlowStart() slowStart {
	return slowStart{
		settings: &slowStartSettings{
			initialShare: 0.2, duration: 10 * time.Second, overloadFactor: 2, overloadWindow: 3 * time.Second,
		},
		startedAt: time.Minute, budgetStart: LongAgo,
	}
}

func TestWarmFractionGrowsToOne(t *testing.T) {
	ramp := testSlowStart()
	for name, test := range map[string]struct {
		age  time.Duration
		want float64
	}{
		"before the start":    {-time.Second, 0.2},
		"at the start":        {0, 0.2},
		"halfway":             {5 * time.Second, 0.6},
		"warmed up":           {10 * time.Second, 1},
		"long after":          {time.Hour, 1},
		"just before the end": {10*time.Second - 1, 0.99999999992},
	} {
		t.Run(name, func(t *testing.T) {
			if got := ramp.warmFraction(time.Minute + test.age); !isNear(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestEndpointWithoutSlowStartIsWarm(t *testing.T) {
	ramp := slowStart{startedAt: time.Minute}
	if got := ramp.warmFraction(time.Minute); got != 1 {
		t.Errorf("got %v, want 1", got)
	}
}

func TestBudgetBeginsOncePerStart(t *testing.T) {
	ramp := testSlowStart()
	if !ramp.beginBudget(time.Minute) || ramp.beginBudget(time.Minute+time.Second) {
		t.Error("the budget did not begin exactly once")
	}
	ramp.startedAt = 2 * time.Minute
	if !ramp.beginBudget(2 * time.Minute) {
		t.Error("the budget did not begin again after a restart")
	}
}

func TestConsumeKeepsTheRate(t *testing.T) {
	now := time.Minute
	ramp := testSlowStart()
	ramp.beginBudget(now)
	// The budget is 0.6 (budgetSafetyFactor) times 2 (overloadFactor) times 0.2 (initialShare) of one transfer at a
	// time: one transfer of 100 ms each 417 ms.
	const requests = 50
	for range requests {
		ramp.consume(1, 100*ms, 1, now)
	}
	interval := (ramp.nextAllowed - now) / requests
	if interval < 410*ms || interval > 420*ms {
		t.Errorf("got one request each %v, want about 417ms", interval)
	}
}

func TestConsumeSavesUpLessThanAWindow(t *testing.T) {
	now := time.Minute
	ramp := testSlowStart()
	ramp.beginBudget(now)
	now += 9 * time.Second // no requests in this time
	burst := 0
	for ; now >= ramp.nextAllowed; burst++ {
		ramp.consume(1, 100*ms, 1, now)
	}
	warm := ramp.warmFraction(now)
	if maxBurst := 2 * warm * 3 / 0.1; float64(burst) > maxBurst {
		t.Errorf("got %d requests at once, but the endpoint can bear only %.1f per window", burst, maxBurst)
	}
	if burst < 2 {
		t.Errorf("got %d requests at once, want at least 2 from the saved budget", burst)
	}
}

// Rule 4: a cache that has just started takes a fifth of its objects within its budget. The other requests go to its
// neighbour.
func Example_coldCache() {
	harness := newHarness(testSettings(), cacheA, cacheB)
	harness.changeEndpoint(cacheA, Ready, harness.now)
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

// Rule 4: a new router knows no sizes, and all caches of its location are cold. Until sizes are known, each request
// counts with its latency objective, so that only few are sent before the sizes are learned.
func Example_coldCacheAndUnknownSizes() {
	harness := newHarness(testSettings(), cacheA)
	harness.isQuiet = true
	harness.changeEndpoint(cacheA, Ready, harness.now)
	sent := 0
	for object := ObjectID(1); object <= 200; object++ {
		harness.requestWithoutSize(RequestID(object), object, time.Second)
		if harness.actions[0].Endpoint == cacheA {
			sent++
		}
	}
	fmt.Printf("%d of 200 went to A at once\n", sent)
	// Output:
	// 1 of 200 went to A at once
}

// Rule 4: twenty routers share a location, and the share of each in a cold cache's budget is less than one request.
// They take turns, each after a random delay, instead of all sending one request at once.
func Example_coldCacheAndManyRouters() {
	settings := testSettings()
	settings.Routers, settings.ZoneRouters = 20, []int{0, 0, 20}
	sent := 0
	for seed := range 20 {
		harness := newHarness(settings, cacheA)
		harness.router.random, harness.isQuiet = newPCG(uint64(seed)), true
		harness.changeEndpoint(cacheA, Ready, harness.now)
		for object := ObjectID(1); object <= 300; object++ {
			harness.requestWithoutSize(RequestID(object), object, time.Second)
			if harness.actions[0].Endpoint == cacheA {
				sent++
			}
			harness.now += 20 * ms
		}
	}
	fmt.Printf("%d in 6 s; 3 within 3 s would overload it\n", sent)
	// Output:
	// 4 in 6 s; 3 within 3 s would overload it
}

// Without slow start settings it is unknown what load a cold cache can bear, so it gets almost none.
func Example_slowStartSettingsMissing() {
	settings := testSettings()
	settings.SlowStartShare, settings.OverloadFactor = 0, 0
	harness := newHarness(settings, cacheA)
	harness.isQuiet = true
	harness.changeEndpoint(cacheA, Ready, harness.now)
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
