package routing

// This file is the door to the decisions: a front end calls New, Start, then Handle for each event.

import "time"

// New returns a router with empty hands.
func New(set Settings, seed uint64) *Router {
	r := &Router{
		set: set, rng: newPCG(seed), index: map[EndpointID]int32{}, byID: map[RequestID]int32{}, origin: none, own: none,
		rows: make([]row, len(set.Classes)), tenants: make([]allowance, len(set.Tenants)),
		memory: make([]memo, memorySize), gate: gate{window: gateStart}, share: 1, retries: retriesMost,
	}
	z := int(set.Zone)
	if z < len(set.ZoneRouters) && set.ZoneRouters[z] > 1 {
		r.share = 1 / float64(set.ZoneRouters[z])
	}
	r.inlet.room = set.inlet()
	if set.LocalCacheCapacity > 0 {
		r.own = r.place()
		r.nodes[r.own] = node{id: LocalCache, role: roleOwn, state: Ready, started: LongAgo, pipe: pipe{room: set.LocalCacheCapacity}}
	}
	if r.set.MaxAttempts <= 0 || r.set.MaxAttempts > maxLegs {
		r.set.MaxAttempts = maxLegs
	}
	return r
}

// Start begins the router's life.
func (r *Router) Start(now time.Duration, acts []Action) []Action {
	r.now, r.acts = now, acts
	r.timer(tick, timerTick)
	if r.set.PollEndpoints {
		r.act(Action{Kind: ActionWatchEndpoints})
	}
	return r.acts
}

// Handle takes one event and returns the actions that it calls for, appended to acts.
func (r *Router) Handle(now time.Duration, e *Event, acts []Action) []Action {
	r.now, r.acts = now, acts
	v := r.find(e.Request)
	switch e.Kind {
	case EventRequest:
		r.arrive(e)
	case EventAttemptResult:
		r.legEnd(v, e)
	case EventStreamStarted:
		if v != nil {
			v.streaming = true
		}
	case EventClientGone:
		if v != nil {
			r.close(v)
		}
	case EventEndpoints:
		if e.EndpointListKind == EndpointListFailed {
			r.timer(followWait+time.Duration(r.rng.float()*float64(followWait)), timerList)
		} else {
			r.enlist(e)
			r.rebuild()
		}
	case EventPurge:
		r.purged(e)
	case EventHealthCheck:
		if n, known := r.index[e.Endpoint]; known {
			r.report(n, &e.LoadReport)
		}
	case EventTimer:
		switch e.Timer {
		case timerTick:
			r.timer(tick, timerTick)
			r.lookOver()
		case timerList:
			r.act(Action{Kind: ActionWatchEndpoints})
		}
	}
	return r.acts
}
