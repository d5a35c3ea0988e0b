package routing

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func isNear(got, want float64) bool { return math.Abs(got-want) < 1e-9 }

func TestLinkLearnsItsCapacity(t *testing.T) {
	for name, test := range map[string]struct {
		slowdown, concurrent float64
		least, most          float64
	}{
		"congested":             {2, 10, 4.5, 5.5},
		"capacity below one":    {5, 1, 0.15, 0.25},
		"not below the minimum": {100, 1, 0.1, 0.11},
	} {
		t.Run(name, func(t *testing.T) {
			var learned link
			now := time.Minute
			for range 100 {
				now += time.Second
				learned.observe(test.slowdown, test.concurrent, minCacheLinkCapacity, now)
			}
			if learned.capacity < test.least || learned.capacity > test.most {
				t.Errorf("got capacity %v, want %v to %v", learned.capacity, test.least, test.most)
			}
		})
	}
}

func TestLinkAtFullPaceGrowsWhereItIsBusy(t *testing.T) {
	idle, busy := link{capacity: 10}, link{capacity: 10}
	idle.observe(1, 3, minCacheLinkCapacity, time.Minute)
	busy.observe(1, 12, minCacheLinkCapacity, time.Minute)
	if idle.capacity != 10 {
		t.Errorf("got capacity %v of an idle link, want 10", idle.capacity)
	}
	if busy.capacity <= 10 {
		t.Errorf("got capacity %v of a busy link, want more than 10", busy.capacity)
	}
}

func TestTransfersOfOtherRouters(t *testing.T) {
	now := time.Minute
	shared := link{concurrency: concurrency{current: 2, average: 2, changedAt: now}, capacity: 10}
	reported := shared
	reported.observeReport(4, now) // the first report has a weight of a quarter, so the mean utilization is 1
	dedicated := shared
	dedicated.dedicated = true
	for name, test := range map[string]struct {
		link  link
		share float64
		want  float64
	}{
		"alone":                         {shared, 1, 2},
		"as many for each other router": {shared, 0.25, 8},
		"mean of estimate and report":   {reported, 0.25, 2 + (6+8)/2},
		"dedicated link":                {dedicated, 0.25, 2},
	} {
		t.Run(name, func(t *testing.T) {
			if got := test.link.transfers(test.share, now); !isNear(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestConcurrencyAverageDecays(t *testing.T) {
	var counted concurrency
	counted.add(4, time.Minute)
	if got := counted.averageAt(time.Minute); got != 0 {
		t.Errorf("got average %v at the start, want 0", got)
	}
	if got, want := counted.averageAt(time.Minute+concurrencySpan), 4*(1-math.Exp(-1)); !isNear(got, want) {
		t.Errorf("got average %v after one span, want %v", got, want)
	}
	counted.add(-4, time.Hour)
	if got := counted.averageAt(2 * time.Hour); !isNear(got, 0) {
		t.Errorf("got average %v long after the last transfer, want 0", got)
	}
}

// The ingress link has capacity for one transfer. A router that is alone and has one fill at a time finds it free. One
// of twenty routers infers from its own fills that the link is full, and sends requests without fills.
func Example_sharedLink() {
	for _, routers := range []int{1, 20} {
		settings, fills := testSettings(), 0
		settings.Routers, settings.ZoneRouters = routers, []int{0, 0, routers}
		settings.ZoneIngressKBPerSecond = []float64{0, 0, 1000}
		harness := newHarness(settings, cacheA, cacheB)
		harness.isQuiet = true
		for id := RequestID(1); id <= 30; id++ {
			harness.request(id, readClass, ObjectID(id)*1000)
			if harness.actions[0].Source != harness.actions[0].Endpoint {
				fills++
			}
			harness.now += 400 * ms
			harness.handle(&Event{
				Kind: EventAttemptResult, Request: id, Outcome: Succeeded, Note: NoteFilled, Final: true,
				Elapsed: 400 * ms, FirstByteWait: ms,
			})
		}
		fmt.Printf("%d routers: %d of 30 requests are filled\n", routers, fills)
	}
	// Output:
	// 1 routers: 30 of 30 requests are filled
	// 20 routers: 5 of 30 requests are filled
}

// The load reports are stuck at a full link, and requests have no sizes. The link must not be closed permanently: one
// fill is always admitted.
func Example_frozenReports() {
	settings := testSettings()
	settings.ReportChannel, settings.ReportColumns = ReportsWithResponses, []Signal{SignalLinkUtilization}
	settings.ZoneIngressKBPerSecond = []float64{0, 0, 20000}
	harness := newHarness(settings, cacheA, cacheB)
	harness.isQuiet = true
	for id := RequestID(5000); id < 5030; id++ { // the router learns the usual size from hits
		harness.requestWithoutSize(id, ObjectID(id), time.Second)
		harness.result(id, harness.ownerOf(ObjectID(id)), 100*ms, Succeeded, NoteHit)
	}
	for id := RequestID(1); id <= 1200; id += 12 {
		for k := id; k < id+12; k++ {
			harness.requestWithoutSize(k, ObjectID(k), time.Second)
		}
		harness.now += 110 * ms
		for k := id; k < id+12; k++ {
			harness.handle(&Event{
				Kind: EventAttemptResult, Request: k, Outcome: Succeeded, Note: NoteFilled, Elapsed: 110 * ms,
				FirstByteWait: 10 * ms, Final: true, LoadReport: LoadReport{Count: 1, Values: [4]float64{50}},
			})
		}
	}
	harness.isQuiet = false
	harness.requestWithoutSize(2000, harness.firstObject(cacheA, parentP), time.Second)
	// Output:
	// 14.00s request 2000: attempt to A, fill from P
}
