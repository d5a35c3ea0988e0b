package routing

import (
	"fmt"
	"time"
)

// A link is shared: a router alone, with one fill at a time, finds a link that fits one free; one of twenty finds it
// full once its own fills tell what the others have there, and asks the caches only.
func Example_sharedLink() {
	for _, routers := range []int{1, 20} {
		settings, fills := testSettings(), 0
		settings.Routers, settings.ZoneRouters = routers, []int{0, 0, routers}
		settings.ZoneIngressKBPerSecond = []float64{0, 0, 1000}
		harness := newHarness(settings, cacheA, cacheB)
		harness.isMuted = true
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

// Load reports frozen at a full link, and sizes that are not told. The link may not be closed for good: one fill always
// goes.
func Example_frozenReports() {
	settings := testSettings()
	settings.ReportChannel, settings.ReportColumns = ReportsWithResponses, []Signal{SignalLinkUtilization}
	settings.ZoneIngressKBPerSecond = []float64{0, 0, 20000}
	harness := newHarness(settings, cacheA, cacheB)
	harness.isMuted = true
	for id := RequestID(5000); id < 5030; id++ { // hits tell the usual size
		harness.requestUntoldSize(id, ObjectID(id), time.Second)
		harness.result(id, harness.ownerOf(ObjectID(id)), 100*ms, Succeeded, NoteHit)
	}
	for id := RequestID(1); id <= 1200; id += 12 {
		for k := id; k < id+12; k++ {
			harness.requestUntoldSize(k, ObjectID(k), time.Second)
		}
		harness.now += 110 * ms
		for k := id; k < id+12; k++ {
			harness.handle(&Event{
				Kind: EventAttemptResult, Request: k, Outcome: Succeeded, Note: NoteFilled, Elapsed: 110 * ms,
				FirstByteWait: 10 * ms, Final: true, LoadReport: LoadReport{Count: 1, Values: [4]float64{50}},
			})
		}
	}
	harness.isMuted = false
	harness.requestUntoldSize(2000, harness.firstObject(cacheA, parentP), time.Second)
	// Output:
	// 14.00s request 2000: attempt to A, fill from P
}
