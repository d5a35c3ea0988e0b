package routing

import (
	"testing"
	"time"
)

// A server that left before this router heard of it has no grace left, whether the list tells it all at once or event
// by event.
func TestDrainBeforeTheStart(t *testing.T) {
	for name, tell := range map[string]func(b *harness){
		"first seen as it drains": func(b *harness) {
			b.handle(&Event{Kind: EventEndpoints, EndpointListKind: EndpointListFull, Age: time.Minute, Endpoints: []Endpoint{member(cacheA), drainingMember(cacheB), member(parentP), member(origin)}})
		},
		"ready, then draining, long ago": func(b *harness) {
			b.handle(&Event{Kind: EventEndpoints, EndpointListKind: EndpointListFull, Age: time.Minute, Endpoints: []Endpoint{member(cacheA), member(cacheB), member(parentP), member(origin)}})
			b.handle(&Event{Kind: EventEndpoints, Age: time.Minute, Endpoints: []Endpoint{drainingMember(cacheB)}})
		},
		"missing in a whole list": func(b *harness) {
			b.handle(&Event{Kind: EventEndpoints, EndpointListKind: EndpointListFull, Age: time.Minute, Endpoints: []Endpoint{member(cacheA), member(cacheB), member(parentP), member(origin)}})
			b.handle(&Event{Kind: EventEndpoints, EndpointListKind: EndpointListFull, Age: time.Minute, Endpoints: []Endpoint{member(cacheA), member(parentP), member(origin)}})
		},
	} {
		b := &harness{router: New(testSettings(), 1), nextAttempt: map[RequestID]AttemptNumber{}, isMuted: true}
		b.actions = b.router.Start(0, nil)
		tell(b)
		if n, known := b.router.endpointByID[cacheB]; known && b.router.isUsable(n) {
			t.Errorf("%s: it may still be named at the start", name)
		}
		for id := range RequestID(40) {
			b.request(id+1, 0, ObjectID(id+1))
		}
		for _, v := range b.router.requests.slots {
			for _, l := range v.attempts[:v.attemptCount] {
				if b.router.endpoints[l.endpoint].id == cacheB || b.router.endpoints[l.source].id == cacheB {
					t.Errorf("%s: an attempt names it", name)
				}
			}
		}
	}
	// One that is told now has its grace, as ever.
	b := newHarness(testSettings(), cacheA, cacheB)
	b.isMuted = true
	b.handle(&Event{Kind: EventEndpoints, Endpoints: []Endpoint{drainingMember(cacheB)}})
	if !b.router.isUsable(b.router.endpointByID[cacheB]) {
		t.Error("a drain that is told now has no grace")
	}
}

func drainingMember(n EndpointID) Endpoint {
	m := member(n)
	m.State = Draining
	return m
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
	//   0.89s request 1: attempt to B, fill from A, only if cached
	//   0.99s request 2: attempt to B, fill from P
}
