package routing

import (
	"fmt"
	"time"
)

// Where neither sizes nor ways are told, the shortest answers stand for hits: a cache with much to send gets no more,
// but one with nothing to do always gets one, so that a slow moment is not believed for ever. Found on a deployment
// that tells nothing: all was taken until all was late.
func Example_noResponseDetail() {
	set := testSettings()
	set.ResponseDetail, set.FlowKBPerSecond, set.AllowDirect = DetailNone, 0, false
	set.Classes[0].ObjectiveStretch = 0
	b := newHarness(set, cacheA)
	ask := func(id RequestID) {
		b.handle(&Event{Kind: EventRequest, Request: id, Object: 7, TimeLeft: 3 * time.Second})
	}
	answer := func(id RequestID, took time.Duration) {
		b.advance(took)
		b.handle(&Event{Kind: EventAttemptResult, Request: id, Endpoint: cacheA, Outcome: Succeeded, Elapsed: took, Final: true})
	}
	ask(1)
	answer(1, 900*ms)
	ask(2)
	answer(2, 300*ms)
	ask(3)
	answer(3, 900*ms) // thrice as long as it needs: others are sent there too
	ask(4)
	b.advance(2100 * ms) // and then it may have room again
	ask(5)
	ask(6)
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
	for _, told := range []bool{false, true} {
		set, sent := testSettings(), 0
		set.WeightIsLinkCapacity = told
		b := newHarness(set, cacheA) // of weight 1
		b.isMuted = true
		for id := RequestID(1); id <= 20; id++ {
			b.request(id, 0, ObjectID(id))
			if b.actions[0].Kind == ActionSend {
				sent++
			}
		}
		fmt.Printf("told %v: %d of 20 at once\n", told, sent)
	}
	// Output:
	// told false: 20 of 20 at once
	// told true: 2 of 20 at once
}
