package routing

import (
	"fmt"
	"testing"
	"time"
)

// testSlowStart is the slow start of an endpoint that started after a minute.
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
		"before its start":  {-time.Second, 0.2},
		"at its start":      {0, 0.2},
		"half way":          {5 * time.Second, 0.6},
		"warmed up":         {10 * time.Second, 1},
		"long warmed up":    {time.Hour, 1},
		"one step too soon": {10*time.Second - 1, 0.99999999992},
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
		t.Errorf("got %v", got)
	}
}

func TestBudgetBeginsOncePerStart(t *testing.T) {
	ramp := testSlowStart()
	if !ramp.beginBudget(time.Minute) || ramp.beginBudget(time.Minute+time.Second) {
		t.Error("the budget did not begin once")
	}
	ramp.startedAt = 2 * time.Minute
	if !ramp.beginBudget(2 * time.Minute) {
		t.Error("the budget did not begin again with a new start")
	}
}

func TestConsumeKeepsTheRate(t *testing.T) {
	now := time.Minute
	ramp := testSlowStart()
	ramp.beginBudget(now)
	// 0.6 of twice a fifth of one transfer at a time: one of 100 ms each 417 ms.
	const requests = 50
	for range requests {
		ramp.consume(1, 100*ms, 1, now)
	}
	gap := (ramp.nextAllowed - now) / requests
	if gap < 410*ms || gap > 420*ms {
		t.Errorf("one request each %v", gap)
	}
}

func TestConsumeSavesUpLessThanAWindow(t *testing.T) {
	now := time.Minute
	ramp := testSlowStart()
	ramp.beginBudget(now)
	now += 9 * time.Second // nothing was asked of it
	atOnce := 0
	for ; now >= ramp.nextAllowed; atOnce++ {
		ramp.consume(1, 100*ms, 1, now)
	}
	warm := ramp.warmFraction(now)
	if most := 2 * warm * 3 / 0.1; float64(atOnce) > most {
		t.Errorf("%d requests at once, but a window bears %.1f", atOnce, most)
	}
	if atOnce < 2 {
		t.Errorf("nothing was saved up: %d at once", atOnce)
	}
}

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
