package routing

import (
	"fmt"
	"time"
)

// Without response detail and sizes, the shortest answer counts as a hit. A busy cache gets no more requests, but an
// idle cache always gets one, so that a slow period does not shut it out permanently. If congestion went unnoticed, all
// requests would be admitted until all are late.
func Example_noResponseDetail() {
	settings := testSettings()
	settings.ResponseDetail, settings.FlowKBPerSecond, settings.AllowDirect = DetailNone, 0, false
	settings.Classes[readClass].ObjectiveTransferFactor = 0
	harness := newHarness(settings, cacheA)
	request := func(id RequestID) {
		harness.requestWithoutSize(id, 7, 3*time.Second)
	}
	answer := func(id RequestID, took time.Duration) {
		harness.advance(took)
		harness.handle(&Event{
			Kind: EventAttemptResult, Request: id, Endpoint: cacheA, Outcome: Succeeded, Elapsed: took, Final: true,
		})
	}
	request(1)
	answer(1, 900*ms)
	request(2)
	answer(2, 300*ms)
	request(3)
	answer(3, 900*ms) // three times the shortest: other routers use the cache too
	request(4)
	harness.advance(2100 * ms) // the estimated capacity is no longer trusted
	request(5)
	request(6)
	// Output:
	//   0.00s request 1: attempt to A, fill from P
	//   0.90s request 2: attempt to A, fill from P
	//   1.20s request 3: attempt to A, fill from P
	//   2.10s request 4: rejected
	//   4.20s request 5: attempt to A, fill from P
	//   4.20s request 6: rejected
}

// If the weights in the endpoint list are link capacities, a new router admits only the requests that the link can
// serve in time. Otherwise it admits all requests until it has estimated the capacity.
func Example_linkCapacityFromWeight() {
	for _, isLinkKnown := range []bool{false, true} {
		settings, sent := testSettings(), 0
		settings.WeightIsLinkCapacity = isLinkKnown
		harness := newHarness(settings, cacheA) // of weight 1
		harness.isQuiet = true
		for id := RequestID(1); id <= 20; id++ {
			harness.request(id, readClass, ObjectID(id))
			if harness.actions[0].Kind == ActionSend {
				sent++
			}
		}
		fmt.Printf("link known %v: %d of 20 at once\n", isLinkKnown, sent)
	}
	// Output:
	// link known false: 20 of 20 at once
	// link known true: 2 of 20 at once
}
