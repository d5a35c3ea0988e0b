package routing

import (
	"fmt"
	"time"
)

// harness drives a router with events and prints its actions in readable form.
type harness struct {
	router      *Router
	now         time.Duration
	actions     []Action // actions after the last event
	nextAttempt map[RequestID]AttemptNumber
	isQuiet     bool // print nothing
}

// Endpoints of the tests: caches of the router's location, parents and the origin.
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

// Classes of the test settings.
const (
	readClass ClassID = iota
	writeClass
)

// testSettings returns the default settings of the tests: an idempotent class of reads and a class of writes, with full
// response detail and all features enabled.
func testSettings() Settings {
	return Settings{
		Routers: 1, Zone: 2, ZoneRouters: []int{0, 0, 1}, ParentKind: 1, OriginKind: 2,
		Classes: []Class{
			{LatencyObjective: 500 * ms, ObjectiveTransferFactor: 2, Deadline: 5 * time.Second, Value: 2},
			{LatencyObjective: 700 * ms, Deadline: 3 * time.Second, Value: 3, Idempotency: NonIdempotent, Write: true},
		},
		AllowCancel: true, HedgedRequests: true, SendRetryAfter: true, MaxAttempts: 6, MaxRetryAfter: 500 * ms,
		DrainGrace:     time.Second,
		SlowStartShare: 0.2, SlowStartDuration: 16 * time.Second, OverloadFactor: 2.5, OverloadWindow: 3 * time.Second,
		ParentSlowStartShare: 0.07, ParentSlowStartDuration: 20 * time.Second, ParentOverloadFactor: 2,
		PurgeGrace: time.Second, PurgeCompleteAfter: 6 * time.Second,
		AllowDirect: true, PeerFill: PeerFillLocation, ResponseDetail: DetailFull, FlowKBPerSecond: 1000,
	}
}

// newHarness starts a router with the given caches, both parents and the origin.
func newHarness(settings Settings, caches ...EndpointID) *harness {
	h := &harness{router: New(settings, 1), now: time.Minute, nextAttempt: map[RequestID]AttemptNumber{}}
	h.actions = h.router.Start(h.now, nil)
	h.listEndpoints(EndpointListCached, append(caches, parentP, parentQ, origin)...)
	return h
}

// member returns the list entry of a ready and warm endpoint.
func member(id EndpointID) Endpoint {
	listed := Endpoint{ID: id, State: Ready, Zone: 2, Weight: 1, StartedAt: LongAgo}
	switch {
	case id == origin:
		listed.Kind, listed.Zone = 2, 0
	case id >= parentP && id < origin:
		listed.Kind, listed.Zone = 1, 0
	}
	return listed
}

func members(ids ...EndpointID) []Endpoint {
	var listed []Endpoint
	for _, id := range ids {
		listed = append(listed, member(id))
	}
	return listed
}

func drainingMember(id EndpointID) Endpoint {
	listed := member(id)
	listed.State = Draining
	return listed
}

func (h *harness) listEndpoints(kind EndpointListKind, ids ...EndpointID) {
	h.handle(&Event{Kind: EventEndpoints, EndpointListKind: kind, Endpoints: members(ids...)})
}

// changeEndpoint reports the state and the start time (LongAgo: unchanged) of one endpoint.
func (h *harness) changeEndpoint(id EndpointID, state EndpointState, startedAt time.Duration) {
	listed := member(id)
	listed.State, listed.StartedAt = state, startedAt
	h.handle(&Event{Kind: EventEndpoints, EndpointListKind: EndpointListDelta, Endpoints: []Endpoint{listed}})
}

// handle passes an event to the router, prints the resulting actions, and ends the attempts that the router cancels.
func (h *harness) handle(event *Event) {
	h.actions = h.router.Handle(h.now, event, h.actions[:0])
	for _, action := range h.actions {
		h.print(&action)
		if action.Kind == ActionCancel {
			h.router.Handle(h.now, &Event{
				Kind: EventAttemptResult, Request: action.Request, Attempt: action.Attempt,
				Outcome: Cancelled, Final: true,
			}, nil)
		}
	}
}

func (h *harness) print(action *Action) {
	if h.isQuiet {
		return
	}
	seconds := (h.now - time.Minute).Seconds()
	prefix := fmt.Sprintf("%6.2fs request %d", seconds, action.Request)
	switch action.Kind {
	case ActionLookup, ActionSend:
		target, source := endpointNames[action.Endpoint], endpointNames[action.Source]
		fmt.Printf("%s: attempt to %s, fill from %s%s\n", prefix, target, source, describeOptions(action))
	case ActionReject:
		fmt.Printf("%s: rejected\n", prefix)
	case ActionFail:
		fmt.Printf("%s: failed\n", prefix)
	case ActionCancel:
		fmt.Printf("%s: attempt %d cancelled\n", prefix, action.Attempt)
	case ActionWatchEndpoints:
		fmt.Printf("%6.2fs the endpoint list is requested\n", seconds)
	default:
	}
}

func describeOptions(action *Action) string {
	text := ""
	if action.FillOptions&OnlyIfCached != 0 {
		text = ", only if cached"
	}
	if action.MaxAge > 0 {
		text += fmt.Sprintf(", max age %v", action.MaxAge)
	}
	if action.StartWithin > 0 {
		text += fmt.Sprintf(", start within %v", action.StartWithin)
	}
	return text
}

// request sends a request for an object of 100 KB, which takes a tenth of a second without congestion.
func (h *harness) request(id RequestID, class ClassID, object ObjectID) {
	h.nextAttempt[id] = 0
	h.handle(&Event{
		Kind: EventRequest, Request: id, Class: class, Object: object, Group: GroupID(object % 8), SizeKB: 100,
		TimeLeft: 3 * time.Second, Write: class == writeClass,
	})
}

// requestWithoutSize sends a read request without a size.
func (h *harness) requestWithoutSize(id RequestID, object ObjectID, timeLeft time.Duration) {
	h.handle(&Event{Kind: EventRequest, Request: id, Object: object, TimeLeft: timeLeft})
}

// result ends an attempt of a request after a time. Successive calls end the attempts in the order of their sending.
func (h *harness) result(id RequestID, endpoint EndpointID, after time.Duration, outcome Outcome, note Note) {
	h.advance(after)
	h.handle(&Event{
		Kind: EventAttemptResult, Request: id, Attempt: h.nextAttempt[id], Endpoint: endpoint,
		Outcome: outcome, Note: note, Final: outcome == Succeeded,
		Elapsed: after, FirstByteWait: max(0, after-110*ms),
	})
	h.nextAttempt[id]++
}

// advance advances the time and handles the router's ticks.
func (h *harness) advance(duration time.Duration) {
	for end := h.now + duration; h.now < end; {
		h.now = min(end, h.now+tickInterval)
		h.handle(&Event{Kind: EventTimer, Timer: timerTick})
	}
}

// ownerOf returns the cache that owns the object.
func (h *harness) ownerOf(object ObjectID) EndpointID {
	return h.router.endpoints[h.router.caches.owner(mix(uint64(object)))].id
}

// parentOf returns the parent that owns the object.
func (h *harness) parentOf(object ObjectID) EndpointID {
	return h.router.endpoints[h.router.parents.owner(mix(uint64(object)))].id
}

// firstObject returns the lowest object id that the given cache and parent own.
func (h *harness) firstObject(cache, parent EndpointID) ObjectID {
	for object := ObjectID(1); ; object++ {
		if h.ownerOf(object) == cache && h.parentOf(object) == parent {
			return object
		}
	}
}
