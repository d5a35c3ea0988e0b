package routing

import (
	"fmt"
	"testing"
	"time"
)

// firstObject returns the first object from 1 on whose cache and parent are the ones named.
func (b *harness) firstObject(cache, parent EndpointID) ObjectID {
	for o := ObjectID(1); ; o++ {
		if b.ownerOf(o) == cache && b.parentOf(o) == parent {
			return o
		}
	}
}

func Example_ordinaryPath() {
	b := newHarness(testSettings(), cacheA, cacheB)
	o := b.firstObject(cacheA, parentP)
	b.request(1, 0, o)
	b.result(1, cacheA, 150*ms, Succeeded, NoteFilled)
	b.request(2, 0, o) // the same object: the same cache and source
	b.result(2, cacheA, 110*ms, Succeeded, NoteHit)
	b.request(3, 0, b.firstObject(cacheB, parentQ))
	b.result(3, cacheB, 150*ms, Succeeded, NoteFilled)
	// Output:
	//   0.00s view 1: leg to A, fill from P
	//   0.15s view 2: leg to A, fill from P
	//   0.26s view 3: leg to B, fill from Q
}

// A slot that moved is filled from its former owner for 30 s, holds-only, then the parent is named.
func Example_relay() {
	b := newHarness(testSettings(), cacheA, cacheB)
	o := b.firstObject(cacheA, parentP)
	b.change(cacheA, Draining, LongAgo)
	b.request(1, 0, o)
	b.result(1, cacheB, 20*ms, CacheMiss, NoteSourceMiss)
	b.result(1, cacheB, 150*ms, Succeeded, NoteFilled)
	b.change(cacheA, Ready, LongAgo) // back before its grace ran out: the slot moves again
	b.request(2, 0, o)
	b.result(2, cacheA, 120*ms, Succeeded, NoteFilled)
	b.advance(31 * time.Second)
	b.request(3, 0, o)
	b.result(3, cacheA, 110*ms, Succeeded, NoteHit)
	// Output:
	//   0.00s view 1: leg to B, fill from A, holds-only
	//   0.02s view 1: leg to B, fill from P
	//   0.17s view 2: leg to A, fill from B, holds-only
	//  31.29s view 3: leg to A, fill from P
}

// A parent that is not reached: origin fills at first, after 10 s its arc is the next parent's, with trials between;
// once listed gone and back ready it has its arc again.
func Example_parentLoss() {
	b := newHarness(testSettings(), cacheA)
	o := b.firstObject(cacheA, parentP)
	for id := RequestID(1); id <= 3; id++ {
		b.request(id, 0, o)
		if id < 3 {
			b.result(id, cacheA, 20*ms, Overloaded, NoteSourceUnreachable)
		}
		b.result(id, cacheA, 150*ms, Succeeded, NoteViaOrigin)
	}
	b.advance(10 * time.Second)
	b.request(4, 0, o) // due for a trial
	b.result(4, cacheA, 20*ms, Overloaded, NoteSourceUnreachable)
	b.result(4, cacheA, 150*ms, Succeeded, NoteViaOrigin)
	b.request(5, 0, o)
	b.result(5, cacheA, 150*ms, Succeeded, NoteFilled)
	// Output:
	//   0.00s view 1: leg to A, fill from P
	//   0.02s view 1: leg to A, fill from origin
	//   0.17s view 2: leg to A, fill from P
	//   0.19s view 2: leg to A, fill from origin
	//   0.34s view 3: leg to A, fill from origin
	//  10.49s view 4: leg to A, fill from P
	//  10.51s view 4: leg to A, fill from origin
	//  10.66s view 5: leg to A, fill from Q
}

// Rule 1: one final answer, at once when the last leg has failed, and nothing after it.
func Example_oneAnswer() {
	b := newHarness(testSettings(), cacheA)
	b.request(1, 0, 7)
	b.result(1, cacheA, 200*ms, TimedOut, NoteNone)
	b.handle(&Event{Kind: EventClientGone, Request: 1}) // an id no longer held
	b.advance(time.Second)
	b.request(2, 0, b.firstObject(cacheA, parentQ))
	b.handle(&Event{Kind: EventClientGone, Request: 2}) // the client left: nothing more is owed
	b.result(2, cacheA, 10*ms, Cancelled, NoteNone)
	// Output:
	//   0.00s view 1: leg to A, fill from P
	//   0.20s view 1: turned back
	//   1.20s view 2: leg to A, fill from Q
	//   1.20s view 2: leg 0 cancelled
}

// Rule 2: a one-shot write goes again, after a wait, only if it provably did not run.
func Example_oneShot() {
	b := newHarness(testSettings(), cacheA)
	b.request(1, 1, 7)
	b.result(1, origin, 20*ms, Overloaded, NoteNone)
	b.advance(200 * ms)
	b.result(1, origin, 20*ms, Succeeded, NoteNone)
	b.request(2, 1, 8)
	b.result(2, origin, 20*ms, ConnectionBroken, NoteNone)
	b.advance(200 * ms)
	// Output:
	//   0.00s view 1: leg to origin, fill from origin
	//   0.14s view 1: leg to origin, fill from origin
	//   0.24s view 2: leg to origin, fill from origin
	//   0.26s view 2: terminated
}

// Rule 2: a stamped view that may have run goes again inside its cell only, and is not turned back.
func Example_stamped() {
	set := testSettings()
	set.Classes[0].Idempotency, set.Classes[0].DedupScope, set.Classes[0].DedupWindow = IdempotentWithKey, ScopeCell, 5*time.Second
	b := newHarness(set, cacheA, cacheB)
	m := member(cacheB)
	m.Cell = 1 // B is in another cell than A
	b.handle(&Event{Kind: EventEndpoints, EndpointListKind: EndpointListDelta, Endpoints: []Endpoint{m}})
	b.router.endpoints[b.router.endpointByID[cacheB]].cell = 1
	b.request(1, 0, b.firstObject(cacheA, parentP))
	b.result(1, cacheA, 20*ms, Failed, NoteNone)
	b.request(2, 0, b.firstObject(cacheA, parentP))
	b.result(2, cacheA, 20*ms, ConnectFailed, NoteNone)
	// Output:
	//   0.00s view 1: leg to A, fill from P
	//   0.02s view 1: terminated
	//   0.02s view 2: leg to A, fill from P
	//   0.04s view 2: leg to B, fill from P
}

// Rule 2: a repeat of what may have run must be on its way while repeats are dropped, whenever its connection comes up.
func Example_stampedWindow() {
	set := testSettings()
	set.Classes[0].Idempotency, set.Classes[0].DedupWindow = IdempotentWithKey, 300*ms
	b := newHarness(set, cacheA, cacheB, cacheC)
	b.request(1, 0, b.firstObject(cacheA, parentP))
	b.result(1, cacheA, 20*ms, ConnectFailed, NoteNone)     // it did not run
	b.result(1, cacheB, 100*ms, ConnectionBroken, NoteNone) // it may have
	b.result(1, cacheC, 210*ms, ConnectFailed, NoteNone)
	// Output:
	//   0.00s view 1: leg to A, fill from P
	//   0.02s view 1: leg to B, fill from P
	//   0.12s view 1: leg to C, fill from P, on its way within 200ms
	//   0.33s view 1: turned back
}

// Where neither sizes nor ways are told, the shortest answers stand for hits: a cache with much to send gets no more, but one
// with nothing to do always gets one, so that a slow moment is not believed for ever. Found on a deployment that tells nothing: all
// was taken until all was late.
func Example_nothingTold() {
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
	//   0.00s view 1: leg to A, fill from P
	//   0.90s view 2: leg to A, fill from P
	//   1.20s view 3: leg to A, fill from P
	//   2.10s view 4: turned back
	//   4.20s view 5: leg to A, fill from P
	//   4.20s view 6: turned back
}

// Rule 3: a cache told to drain gets no view at once, and is no source once its grace is over.
func Example_drain() {
	b := newHarness(testSettings(), cacheA, cacheB)
	o := b.firstObject(cacheA, parentP)
	b.change(cacheA, Draining, LongAgo)
	b.advance(890 * ms)
	b.request(1, 0, o)
	b.result(1, cacheB, 100*ms, Succeeded, NoteFilled)
	b.request(2, 0, o+1000)
	// Output:
	//   0.89s view 1: leg to B, fill from A, holds-only
	//   0.99s view 2: leg to B, fill from P
}

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
	//  17.00s view 1000: leg to A, fill from B, holds-only
	// 1 of 20 went to A while it was cold
}

// Rule 4, found by a hunt on counter-net: a fresh router that knows no sizes, and a location that is all cold. Until
// sizes are known a view weighs its due time, so that few go before anything is learned.
func Example_coldAndUnknowing() {
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

// Found on branch-library grown: a second copy finds no cache left while the first leg is still out; its late end must not
// be taken for one at that cache.
func Example_noCacheLeft() {
	set := testSettings()
	set.AllowDirect = false
	b := newHarness(set, cacheA, cacheB)
	b.request(1, 0, b.firstObject(cacheA, parentP))
	b.advance(400 * ms) // overdue and silent: a second copy
	b.handle(&Event{Kind: EventAttemptResult, Request: 1, Attempt: 1, Endpoint: cacheB, Outcome: Overloaded, Note: NoteNoFillCapacity})
	b.handle(&Event{Kind: EventAttemptResult, Request: 1, Attempt: 0, Endpoint: cacheA, Outcome: CacheMiss, Note: NoteSourceMiss})
	// Output:
	//   0.00s view 1: leg to A, fill from P
	//   0.36s view 1: leg to B, fill from P
	//   0.40s view 1: turned back
}

// Rule 4, found on branch-library grown: twenty routers share a location, and each is less than one view of a cold
// cache's budget. They take turns, from a start by chance, in place of one view each at once.
func Example_coldAmongMany() {
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
func Example_coldFiguresMissing() {
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

// Links are reckoned whole: a router alone, with one fill at a time, finds a link that fits one free; one of twenty finds
// it full once its own fills tell what the others have there, and asks the caches only.
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

// Found on counter-net grown: sizes and links are guessed, the list tells the links. A fresh router takes what the link
// carries in time, not all that comes.
func Example_toldLink() {
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

// Rule 5: after a purge only younger copies will do, until all old ones are dropped.
func Example_purge() {
	b := newHarness(testSettings(), cacheA)
	b.handle(&Event{Kind: EventPurge, Object: 9, Group: 1, Age: 200 * ms})
	b.request(1, 0, 9)
	b.request(2, 0, 17) // same group, not purged
	b.advance(time.Second)
	b.handle(&Event{Kind: EventPurge, Group: 1, Age: 300 * ms})
	b.request(3, 0, 17)
	b.request(4, 0, 9)
	b.advance(7 * time.Second)
	b.request(5, 0, 9)
	// Output:
	//   0.00s view 1: leg to A, fill from P, no older than 199ms
	//   0.00s view 2: leg to A, fill from P
	//   1.00s view 3: leg to A, fill from P, no older than 299ms
	//   1.00s view 4: leg to A, fill from P, no older than 299ms
	//   8.00s view 5: leg to A, fill from P
}

// Found on depot-records: a silent cache. A leg that is overdue at a node not heard of since gets a second copy, and
// three good answers end the outage; one to a leg sent before it shows that there was no restart.
func Example_silence() {
	b := newHarness(testSettings(), cacheA, cacheB)
	o := b.firstObject(cacheA, parentP)
	b.advance(20 * ms)
	b.request(1, 0, o)
	b.request(2, 0, o)
	b.advance(500 * ms)
	b.request(3, 0, o) // A is out by now
	b.result(1, cacheA, 100*ms, Succeeded, NoteHit)
	b.request(4, 0, o)
	// Output:
	//   0.02s view 1: leg to A, fill from P
	//   0.02s view 2: leg to A, fill from P
	//   0.38s view 1: leg to B, fill from P
	//   0.38s view 2: leg to B, fill from P
	//   0.52s view 3: leg to B, fill from P
	//   0.62s view 1: leg 1 cancelled
	//   0.62s view 4: leg to B, fill from P
}

// Found on depot-records at tight due times: the usual wait for the origin is a little too long, so half of all fills would
// come in time. They go while the gate is wide, and with a narrow one the parent is asked for what it holds.
func Example_hopeWhileWide() {
	b := newHarness(testSettings(), cacheA)
	for i, window := range []float64{24, 4} {
		b.router.origins.wait, b.router.origins.limit = 650*ms, window
		b.router.origins.inFlight.add(1, b.now) // the one trial is out
		b.request(RequestID(i+1), 0, b.firstObject(cacheA, parentP)+ObjectID(100*i))
		b.result(RequestID(i+1), cacheA, 150*ms, Succeeded, NoteFilled)
	}
	// Output:
	//   0.00s view 1: leg to A, fill from P
	//   0.15s view 2: leg to A, fill from P, holds-only
}

// Found on depot-records at five times its usual rate: the gate is as wide as what is out with answers in good time asks for,
// and as narrow as ever once they are late.
func Example_gateWidens() {
	g := originLimiter{limit: initialOriginLimit, share: 0.5}
	for _, c := range []struct {
		busy float64
		late bool
	}{{5, false}, {20, false}, {5, false}, {5, true}} {
		g.inFlight.current = c.busy
		for range 60 {
			g.observe(50*ms, c.late, g.observedAt+100*ms)
		}
		fmt.Printf("%g out, late %v: %g\n", c.busy, c.late, g.limit)
	}
	// Output:
	// 5 out, late false: 24
	// 20 out, late false: 76.5
	// 5 out, late false: 24
	// 5 out, late true: 1
}

// Found on depot-records: a parent falls silent, and clients send writes by the hundred and give them up at once. Neither
// says much of the origin: what lacks its parent is filled from there at once.
func Example_gateBelieves() {
	b := newHarness(testSettings(), cacheA, cacheB)
	b.isMuted = true
	for id := RequestID(1); id <= 80; id++ {
		b.request(id, 1, ObjectID(id))
		b.advance(20 * ms)
		b.handle(&Event{Kind: EventClientGone, Request: id})
	}
	o := b.firstObject(cacheA, parentP)
	for id := RequestID(101); id <= 105; id++ {
		b.request(id, 0, o)
		for hit, c := range []EndpointID{cacheA, cacheB} { // the caches are well
			b.request(id*10+RequestID(hit), 0, b.firstObject(c, parentQ))
			b.result(id*10+RequestID(hit), c, 60*ms, Succeeded, NoteHit)
		}
	}
	b.isMuted = false
	for id := RequestID(201); id <= 203; id++ {
		b.request(id, 0, o)
	}
	// Output:
	//   2.20s view 201: leg to A, fill from origin
	//   2.20s view 202: leg to A, fill from origin
	//   2.20s view 203: leg to A, fill from origin
}

// Found on depot-records: clients ask for what no node can do, and all nodes say so. Each view is turned back once two have,
// and no node goes out; one that errs where another does not goes out, and what ends many legs at once counts once.
func Example_viewsOwnFault() {
	b := newHarness(testSettings(), cacheA, cacheB)
	o := b.firstObject(cacheA, parentP)
	b.isMuted = true
	for id := RequestID(1); id <= 8; id++ {
		b.request(id, 0, o)
		b.result(id, cacheA, ms, Failed, NoteNone)
		b.result(id, cacheB, ms, Failed, NoteNone)
	}
	b.isMuted = false
	b.request(9, 0, o)
	b.result(9, cacheA, ms, Failed, NoteNone)
	b.result(9, cacheB, ms, Failed, NoteNone)
	b.isMuted = true
	for id := RequestID(10); id <= 16; id++ {
		b.request(id, 0, o)
	}
	for id := RequestID(10); id <= 16; id++ {
		b.result(id, cacheA, 0, ConnectionBroken, NoteNone)
		b.result(id, cacheB, 0, Succeeded, NoteHit)
	}
	b.isMuted = false
	for id := RequestID(17); id <= 21; id++ {
		b.request(id, 0, o)
		if id < 20 {
			b.result(id, cacheA, ms, Failed, NoteNone)
		}
		b.result(id, cacheB, 100*ms, Succeeded, NoteHit)
	}
	// Output:
	//   0.02s view 9: leg to A, fill from P
	//   0.02s view 9: leg to B, fill from P
	//   0.02s view 9: turned back
	//   0.02s view 17: leg to A, fill from P
	//   0.02s view 17: leg to B, fill from P
	//   0.12s view 18: leg to A, fill from P
	//   0.12s view 18: leg to B, fill from P
	//   0.22s view 19: leg to A, fill from P
	//   0.22s view 19: leg to B, fill from P
	//   0.32s view 20: leg to B, fill from P
	//   0.42s view 21: leg to B, fill from P
}

// Found on branch-library grown: all caches break some connections, none is lost. They go out one by one, and then health
// is not asked; one that answers from a kept copy is not taken for restarted.
func Example_brokenEverywhere() {
	set := testSettings()
	set.AllowDirect = false
	b := newHarness(set, cacheA, cacheB)
	b.isMuted = true
	o := b.firstObject(cacheA, parentP)
	for id := RequestID(1); id <= 4; id++ {
		b.request(id, 0, o)
		b.result(id, cacheA, 10*ms, ConnectionBroken, NoteNone)
		b.result(id, cacheB, 10*ms, ConnectionBroken, NoteNone)
	}
	b.isMuted = false
	for id := RequestID(5); id <= 8; id++ {
		b.request(id, 0, o)
		b.result(id, cacheA, 300*ms, Succeeded, NoteHit)
	}
	// Output:
	//   0.08s view 5: leg to A, fill from P
	//   0.38s view 6: leg to A, fill from P
	//   0.68s view 7: leg to A, fill from P
	//   0.98s view 8: leg to A, fill from P
}

// Found on branch-library: a slow origin. Late fills close the gate; then the parent is asked holds-only, and a view
// that would have to wait for the origin is turned back.
func Example_slowOrigin() {
	b := newHarness(testSettings(), cacheA)
	b.isMuted = true
	for id := RequestID(1); id <= 40; id++ {
		b.request(id, 0, ObjectID(id))
		b.result(id, cacheA, 1500*ms, Succeeded, NoteViaOrigin)
	}
	b.advance(10 * time.Second) // trials keep a distance
	b.isMuted = false
	b.request(42, 0, 1000)
	b.request(43, 0, 1001)
	b.request(44, 0, 1002)
	b.result(44, cacheA, 20*ms, CacheMiss, NoteSourceMiss)
	// Output:
	//  70.00s view 42: leg to A, fill from P
	//  70.00s view 43: leg to A, fill from Q, holds-only
	//  70.00s view 44: leg to A, fill from Q, holds-only
	//  70.02s view 44: turned back
}

// Found on depot-records and counter-net: all caches lost. Views go straight to a parent, by way of the origin, and
// count on the location's link: once that is full, they are turned back.
func Example_pastTheCaches() {
	set := testSettings()
	set.ZoneIngressKBPerSecond = []float64{0, 0, 1000} // one transfer at full pace
	b := newHarness(set, cacheA)
	for id := RequestID(1); id <= 2; id++ {
		b.request(id, 0, b.firstObject(cacheA, parentP))
		b.result(id, cacheA, 20*ms, ConnectFailed, NoteNone)
		b.result(id, parentP, 110*ms, Succeeded, NoteFilled)
	}
	for id := RequestID(3); id <= 8; id++ {
		b.request(id, 0, b.firstObject(cacheA, parentQ))
	}
	// Output:
	//   0.00s view 1: leg to A, fill from P
	//   0.02s view 1: leg to P, fill from origin
	//   0.13s view 2: leg to A, fill from P
	//   0.15s view 2: leg to P, fill from origin
	//   0.26s view 3: leg to Q, fill from origin
	//   0.26s view 4: leg to Q, fill from origin
	//   0.26s view 5: leg to Q, fill from origin
	//   0.26s view 6: turned back
	//   0.26s view 7: turned back
	//   0.26s view 8: turned back
}

// Found on branch-library: a parent that begins its fills in good time, and then drags, counts as failing.
func Example_draggingParent() {
	b := newHarness(testSettings(), cacheA)
	for id := RequestID(1); id <= 6; id++ {
		b.request(id, 0, 7+ObjectID(id)*1000)
		b.advance(2 * time.Second)
		b.handle(&Event{
			Kind: EventAttemptResult, Request: id, Endpoint: cacheA, Outcome: Succeeded, Note: NoteFilled, Elapsed: 2 * time.Second,
			FirstByteWait: 20 * ms, Final: true,
		})
	}
	// Output:
	//   0.00s view 1: leg to A, fill from P
	//   2.00s view 2: leg to A, fill from Q
	//   2.36s view 2: leg to A, fill from origin
	//   4.00s view 2: leg 1 cancelled
	//   4.00s view 3: leg to A, fill from P
	//   6.00s view 4: leg to A, fill from Q
	//   8.00s view 5: leg to A, fill from origin
	//  10.00s view 6: leg to A, fill from P
}

// On no list: load reports frozen at a full link, sizes untold. The link may not be shut for good: one fill always goes.
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
	// 14.00s view 2000: leg to A, fill from P
}

// What the caches cannot give in time, a copy of the router's own may: it is asked last, and not for a
// view that may not run twice; after a purge no copy from before it will do.
func Example_ownCopies() {
	set := testSettings()
	set.LocalCacheCapacity, set.AllowDirect = 1, false
	b := newHarness(set, cacheA)
	b.request(1, 0, 7)
	b.result(1, cacheA, 20*ms, Overloaded, NoteNoFillCapacity)
	b.handle(&Event{Kind: EventStreamStarted, Request: 1, Attempt: 1})
	b.handle(&Event{Kind: EventPurge, Object: 8, Age: 100 * ms})
	b.request(2, 0, 8)
	b.result(2, cacheA, 20*ms, Overloaded, NoteNoFillCapacity)
	b.result(2, LocalCache, 0, CacheMiss, NoteNone)
	b.result(1, LocalCache, 100*ms, Succeeded, NoteNone)
	b.request(3, 1, 9)
	b.result(3, cacheA, 20*ms, Failed, NoteNone)
	b.list(EndpointListFull)
	b.request(4, 0, 7)
	// Output:
	//   0.00s view 1: leg to A, fill from P
	//   0.02s view 1: leg to own, fill from own
	//   0.02s view 2: leg to A, fill from A, no older than 99ms
	//   0.04s view 2: leg to own, fill from own, no older than 119ms
	//   0.04s view 2: turned back
	//   0.14s view 3: leg to A, fill from origin
	//   0.16s view 3: terminated
	//   0.16s view 4: leg to own, fill from own
}

// The list by asking: asked for at the start, and again after a failure.
func Example_askForList() {
	set := testSettings()
	set.PollEndpoints = true
	b := newHarness(set, cacheA)
	b.handle(&Event{Kind: EventEndpoints, EndpointListKind: EndpointListFailed})
	for i := range b.actions {
		if a := &b.actions[i]; a.Kind == ActionTimer && a.Timer == timerEndpointList {
			b.now += a.Wait
			b.handle(&Event{Kind: EventTimer, Timer: timerEndpointList})
		}
	}
	// Output:
	//   0.45s the list is asked for
}

// Many list changes, purges, objects and views leave the state bounded: places are used again.
func Example_boundedState() {
	b := newHarness(testSettings(), cacheA)
	b.isMuted = true
	for i := range 5000 {
		n := EndpointID(10000 + i)
		b.change(n, Ready, LongAgo)
		b.handle(&Event{Kind: EventPurge, Object: ObjectID(i + 1)})
		b.handle(&Event{Kind: EventRequest, Request: RequestID(i + 1), Object: ObjectID(i), SizeKB: 10, TimeLeft: time.Second})
		b.handle(&Event{Kind: EventAttemptResult, Request: RequestID(i + 1), Outcome: Succeeded, Note: NoteHit, Elapsed: 10 * ms, Final: true})
		b.change(n, Gone, LongAgo)
		b.now += 2 * time.Second
	}
	r := b.router
	fmt.Println(len(r.endpoints), len(r.endpointByID), len(r.purges), len(r.requests), len(r.requestByID), len(r.previousRings), len(r.history))
	// Output:
	// 35 35 4 1 0 3 16384
}

// The ordinary path allocates nothing once the slab has grown.
func TestOrdinaryPathAllocatesNothing(t *testing.T) {
	b := newHarness(testSettings(), cacheA, cacheB)
	id := RequestID(0)
	view, end := Event{Kind: EventRequest, SizeKB: 100, TimeLeft: time.Second}, Event{
		Kind: EventAttemptResult, Outcome: Succeeded,
		Note: NoteHit, Elapsed: 100 * ms, Final: true,
	}
	got := testing.AllocsPerRun(1000, func() {
		id++
		view.Request, view.Object, end.Request = id, ObjectID(id%50), id
		b.actions = b.router.Handle(b.now, &view, b.actions[:0])
		if len(b.actions) != 1 || b.actions[0].Kind != ActionSend {
			t.Fatal("the view was not sent")
		}
		b.now += 100 * ms
		b.actions = b.router.Handle(b.now, &end, b.actions[:0])
	})
	if got != 0 {
		t.Errorf("the ordinary path allocates %v times a view", got)
	}
}
