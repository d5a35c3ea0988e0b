package routing

import (
	"fmt"
	"time"
)

// A bench drives one router by hand and prints what it does, in words that a person can read.
type harness struct {
	router      *Router
	now         time.Duration
	actions     []Action
	nextAttempt map[RequestID]AttemptNumber
	isMuted     bool // prints nothing
}

// Nodes of the small fleet that the traces use: caches of the router's location, parents and the origin.
const (
	cacheA EndpointID = 101 + iota
	cacheB
	cacheC
	cacheD
)

const (
	parentP EndpointID = 201 + iota
	parentQ
)

const origin EndpointID = 301

var endpointNames = map[EndpointID]string{
	cacheA: "A", cacheB: "B", cacheC: "C", cacheD: "D", parentP: "P", parentQ: "Q",
	origin: "origin", LocalCache: "local cache",
}

// testSettings are the settings that the traces start from: one harmless tariff, one write, everything told and
// allowed.
func testSettings() Settings {
	return Settings{
		Routers: 1, Zone: 2, ZoneRouters: []int{0, 0, 1}, ParentKind: 1, OriginKind: 2,
		Classes: []Class{
			{LatencyObjective: 500 * ms, ObjectiveStretch: 2, Deadline: 5 * time.Second, Value: 2},
			{LatencyObjective: 700 * ms, Deadline: 3 * time.Second, Value: 3, Idempotency: NonIdempotent, Write: true},
		},
		Cancel: true, HedgedRequests: true, RetryAfter: true, MaxAttempts: 6, MaxRetryAfter: 500 * ms,
		DrainGrace: time.Second, SlowStartShare: 0.2, SlowStartFor: 16 * time.Second, OverloadFactor: 2.5, OverloadWindow: 3 * time.Second,
		ParentSlowStartShare: 0.07, ParentSlowStartFor: 20 * time.Second, ParentOverloadFactor: 2,
		PurgeGrace: time.Second, PurgeCompleteAfter: 6 * time.Second,
		AllowDirect: true, PeerFill: PeerFillLocation, ResponseDetail: DetailFull, FlowKBPerSecond: 1000,
	}
}

func newHarness(set Settings, caches ...EndpointID) *harness {
	b := &harness{router: New(set, 1), now: time.Minute, nextAttempt: map[RequestID]AttemptNumber{}}
	b.actions = b.router.Start(b.now, nil)
	b.list(EndpointListCached, append(caches, parentP, parentQ, origin)...)
	return b
}

func member(n EndpointID) Endpoint {
	m := Endpoint{ID: n, State: Ready, Zone: 2, Weight: 1, StartedAt: LongAgo}
	switch {
	case n == origin:
		m.Kind, m.Zone = 2, 0
	case n >= parentP && n < origin:
		m.Kind, m.Zone = 1, 0
	}
	return m
}

func (b *harness) list(k EndpointListKind, nodes ...EndpointID) {
	e := Event{Kind: EventEndpoints, EndpointListKind: k}
	for _, n := range nodes {
		e.Endpoints = append(e.Endpoints, member(n))
	}
	b.handle(&e)
}

// change tells of one node: its state, and when it started (LongAgo: unchanged).
func (b *harness) change(n EndpointID, s EndpointState, started time.Duration) {
	m := member(n)
	m.State, m.StartedAt = s, started
	b.handle(&Event{Kind: EventEndpoints, EndpointListKind: EndpointListDelta, Endpoints: []Endpoint{m}})
}

func (b *harness) handle(e *Event) {
	b.actions = b.router.Handle(b.now, e, b.actions[:0])
	for _, a := range b.actions {
		b.print(&a)
		if a.Kind == ActionCancel { // it ends at once
			b.router.Handle(b.now, &Event{Kind: EventAttemptResult, Request: a.Request, Attempt: a.Attempt, Outcome: Cancelled, Final: true}, nil)
		}
	}
}

func (b *harness) print(a *Action) {
	if b.isMuted {
		return
	}
	at := fmt.Sprintf("%6.2fs request %d", (b.now - time.Minute).Seconds(), a.Request)
	switch a.Kind {
	case ActionLookup, ActionSend:
		how := ""
		if a.FillOptions&OnlyIfCached != 0 {
			how = ", only if cached"
		}
		if a.MaxAge > 0 {
			how += fmt.Sprintf(", max age %v", a.MaxAge)
		}
		if a.StartWithin > 0 {
			how += fmt.Sprintf(", start within %v", a.StartWithin)
		}
		fmt.Printf("%s: attempt to %s, fill from %s%s\n", at, endpointNames[a.Endpoint], endpointNames[a.Source], how)
	case ActionReject:
		fmt.Printf("%s: rejected\n", at)
	case ActionFail:
		fmt.Printf("%s: failed\n", at)
	case ActionCancel:
		fmt.Printf("%s: attempt %d cancelled\n", at, a.Attempt)
	case ActionWatchEndpoints:
		fmt.Printf("%6.2fs the endpoint list is requested\n", (b.now - time.Minute).Seconds())
	}
}

// request brings a view of 100 KB: a tenth of a second at full pace.
func (b *harness) request(id RequestID, tariff ClassID, o ObjectID) {
	b.nextAttempt[id] = 0
	b.handle(&Event{
		Kind: EventRequest, Request: id, Class: tariff, Object: o, Group: GroupID(o % 8), SizeKB: 100, TimeLeft: 3 * time.Second,
		Write: tariff == 1,
	})
}

// result ends a view's next leg after a time.
func (b *harness) result(id RequestID, n EndpointID, after time.Duration, o Outcome, note Note) {
	b.advance(after)
	b.handle(&Event{
		Kind: EventAttemptResult, Request: id, Attempt: b.nextAttempt[id], Endpoint: n, Outcome: o, Note: note, Elapsed: after,
		FirstByteWait: max(0, after-110*ms), Final: o == Succeeded,
	})
	b.nextAttempt[id]++
}

// advance lets time go by with the router's ticks.
func (b *harness) advance(d time.Duration) {
	for end := b.now + d; b.now < end; {
		b.now = min(end, b.now+20*ms)
		b.handle(&Event{Kind: EventTimer, Timer: timerTick})
	}
}

func (b *harness) ownerOf(o ObjectID) EndpointID {
	n := b.router.caches.owner(mix(uint64(o)))
	return b.router.endpoints[n].id
}

func (b *harness) parentOf(o ObjectID) EndpointID {
	n := b.router.parents.owner(mix(uint64(o)))
	return b.router.endpoints[n].id
}

// firstObject returns the first object from 1 on whose cache and parent are the ones named.
func (b *harness) firstObject(cache, parent EndpointID) ObjectID {
	for o := ObjectID(1); ; o++ {
		if b.ownerOf(o) == cache && b.parentOf(o) == parent {
			return o
		}
	}
}
