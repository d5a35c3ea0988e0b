package routing

import (
	"fmt"
	"time"
)

// Where neither sizes nor sources are told, the shortest answers stand for hits: a busy cache gets no more, but an idle
// one always gets a request, so that a slow moment is not believed for ever. Found on a deployment that tells nothing:
// all requests were admitted until all were late.
func Example_noResponseDetail() {
	settings := testSettings()
	settings.ResponseDetail, settings.FlowKBPerSecond, settings.AllowDirect = DetailNone, 0, false
	settings.Classes[readClass].ObjectiveStretch = 0
	harness := newHarness(settings, cacheA)
	request := func(id RequestID) {
		harness.requestUntoldSize(id, 7, 3*time.Second)
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
	answer(3, 900*ms) // thrice as long as it needs: other routers send there too
	request(4)
	harness.advance(2100 * ms) // and then it may have capacity again
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

// Found on counter-net grown: sizes and links are guessed, the list tells the links. A fresh router takes what the link
// carries in time, not all that comes.
func Example_linkCapacityFromWeight() {
	for _, isLinkKnown := range []bool{false, true} {
		settings, sent := testSettings(), 0
		settings.WeightIsLinkCapacity = isLinkKnown
		harness := newHarness(settings, cacheA) // of weight 1
		harness.isMuted = true
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
