package routing

import (
	"fmt"
	"time"
)

// Found on depot-records at tight due times: the usual wait for the origin is a little too long, so half of all fills
// would come in time. They go while the gate is wide, and with a narrow one the parent is asked for what it holds.
func Example_originWaitMayBeSpared() {
	b := newHarness(testSettings(), cacheA)
	for i, window := range []float64{24, 4} {
		b.router.origins.wait, b.router.origins.limit = 650*ms, window
		b.router.origins.inFlight.add(1, b.now) // the one trial is out
		b.request(RequestID(i+1), 0, b.firstObject(cacheA, parentP)+ObjectID(100*i))
		b.result(RequestID(i+1), cacheA, 150*ms, Succeeded, NoteFilled)
	}
	// Output:
	//   0.00s request 1: attempt to A, fill from P
	//   0.15s request 2: attempt to A, fill from P, only if cached
}

// Found on depot-records at five times its usual rate: the gate is as wide as what is out with answers in good time
// asks for, and as narrow as ever once they are late.
func Example_originLimitWidens() {
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

// Found on depot-records: a parent falls silent, and clients send writes by the hundred and give them up at once.
// Neither says much of the origin: what lacks its parent is filled from there at once.
func Example_originLimiterIgnoresCancelledWrites() {
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
	//   2.20s request 201: attempt to A, fill from origin
	//   2.20s request 202: attempt to A, fill from origin
	//   2.20s request 203: attempt to A, fill from origin
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
	//  70.00s request 42: attempt to A, fill from P
	//  70.00s request 43: attempt to A, fill from Q, only if cached
	//  70.00s request 44: attempt to A, fill from Q, only if cached
	//  70.02s request 44: rejected
}
