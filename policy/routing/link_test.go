package routing

import (
	"fmt"
	"time"
)

// Links are reckoned whole: a router alone, with one fill at a time, finds a link that fits one free; one of twenty
// finds it full once its own fills tell what the others have there, and asks the caches only.
func Example_sharedLink() {
	for _, routers := range []int{1, 20} {
		set, fills := testSettings(), 0
		set.Routers, set.ZoneRouters, set.ZoneIngressKBPerSecond = routers, []int{0, 0, routers}, []float64{0, 0, 1000}
		b := newHarness(set, cacheA, cacheB)
		b.isMuted = true
		for id := RequestID(1); id <= 30; id++ {
			b.request(id, 0, ObjectID(id)*1000)
			if b.actions[0].Source != b.actions[0].Endpoint {
				fills++
			}
			b.now += 400 * ms
			b.handle(&Event{Kind: EventAttemptResult, Request: id, Outcome: Succeeded, Note: NoteFilled, Elapsed: 400 * ms, FirstByteWait: ms, Final: true})
		}
		fmt.Printf("%d routers: %d of 30 views are filled\n", routers, fills)
	}
	// Output:
	// 1 routers: 30 of 30 views are filled
	// 20 routers: 5 of 30 views are filled
}

// On no list: load reports frozen at a full link, sizes untold. The link may not be shut for good: one fill always
// goes.
func Example_frozenReports() {
	set := testSettings()
	set.ReportChannel, set.ReportColumns, set.ZoneIngressKBPerSecond = ReportsWithResponses, []Signal{SignalLinkUtilization}, []float64{0, 0, 20000}
	b := newHarness(set, cacheA, cacheB)
	b.isMuted = true
	for id := RequestID(5000); id < 5030; id++ { // hits tell the usual size
		b.handle(&Event{Kind: EventRequest, Request: id, Object: ObjectID(id), TimeLeft: time.Second})
		b.result(id, b.ownerOf(ObjectID(id)), 100*ms, Succeeded, NoteHit)
	}
	b.isMuted = false
	for id := RequestID(1); id <= 1200; id += 12 {
		for k := id; k < id+12; k++ {
			b.actions = b.router.Handle(b.now, &Event{Kind: EventRequest, Request: k, Object: ObjectID(k), TimeLeft: time.Second}, b.actions[:0])
		}
		b.now += 110 * ms
		for k := id; k < id+12; k++ {
			b.actions = b.router.Handle(b.now, &Event{
				Kind: EventAttemptResult, Request: k, Outcome: Succeeded, Note: NoteFilled, Elapsed: 110 * ms,
				FirstByteWait: 10 * ms, Final: true, LoadReport: LoadReport{Count: 1, Values: [4]float64{50}},
			}, b.actions[:0])
		}
	}
	b.handle(&Event{Kind: EventRequest, Request: 2000, Object: b.firstObject(cacheA, parentP), TimeLeft: time.Second})
	// Output:
	// 14.00s request 2000: attempt to A, fill from P
}
