package routing

import (
	"testing"
	"time"
)

// An endpoint that began to drain before this router learned of it has no grace left, whether one list or several
// events report the drain.
func TestDrainBeforeTheStartHasNoGrace(t *testing.T) {
	fullList := func(h *harness, endpoints ...Endpoint) {
		h.handle(&Event{
			Kind: EventEndpoints, EndpointListKind: EndpointListFull, Age: time.Minute,
			Endpoints: append(endpoints, members(parentP, origin)...),
		})
	}
	for name, report := range map[string]func(h *harness){
		"first listed as draining": func(h *harness) {
			fullList(h, member(cacheA), drainingMember(cacheB))
		},
		"ready, then draining for a minute": func(h *harness) {
			fullList(h, member(cacheA), member(cacheB))
			h.handle(&Event{Kind: EventEndpoints, Age: time.Minute, Endpoints: []Endpoint{drainingMember(cacheB)}})
		},
		"missing from a whole list": func(h *harness) {
			fullList(h, member(cacheA), member(cacheB))
			fullList(h, member(cacheA))
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := &harness{router: New(testSettings(), 1), nextAttempt: map[RequestID]AttemptNumber{}, isQuiet: true}
			h.actions = h.router.Start(0, nil)
			report(h)
			if index, isKnown := h.router.endpointByID[cacheB]; isKnown && h.router.isUsable(index) {
				t.Error("the draining endpoint is still usable")
			}
			for id := range RequestID(40) {
				h.request(id+1, readClass, ObjectID(id+1))
			}
			expectNoAttemptNames(t, h.router, cacheB)
		})
	}
}

func expectNoAttemptNames(t *testing.T, router *Router, id EndpointID) {
	t.Helper()
	for i := range router.requests.slots {
		for _, att := range router.requests.slots[i].sentAttempts() {
			if router.endpoints[att.endpoint].id == id || router.endpoints[att.source].id == id {
				t.Errorf("an attempt names endpoint %d after its drain grace", id)
			}
		}
	}
}

func TestDrainToldNowHasItsGrace(t *testing.T) {
	h := newHarness(testSettings(), cacheA, cacheB)
	h.isQuiet = true
	h.handle(&Event{Kind: EventEndpoints, Endpoints: []Endpoint{drainingMember(cacheB)}})
	if !h.router.isUsable(h.router.endpointByID[cacheB]) {
		t.Error("an endpoint that has just begun to drain is not usable")
	}
}

// Rule 3: a draining cache gets no new requests, and it is not a fill source once its grace is over.
func Example_drain() {
	h := newHarness(testSettings(), cacheA, cacheB)
	object := h.firstObject(cacheA, parentP)
	h.changeEndpoint(cacheA, Draining, LongAgo)
	h.advance(890 * ms)
	h.request(1, readClass, object)
	h.result(1, cacheB, 100*ms, Succeeded, NoteFilled)
	h.request(2, readClass, object+1000)
	// Output:
	//   0.89s request 1: attempt to B, fill from A, only if cached
	//   0.99s request 2: attempt to B, fill from P
}
