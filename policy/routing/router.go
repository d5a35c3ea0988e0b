package routing

// This file is the door to the decisions: a front end calls New, Start, then Handle for each event.

import "time"

// New returns a router with empty hands.
func New(set Settings, seed uint64) *Router {
	r := &Router{set: set, rng: newPCG(seed), index: map[NodeID]int32{}, byID: map[ViewID]int32{}, origin: none, own: none,
		rows: make([]row, len(set.Tariffs)), tenants: make([]allowance, len(set.Tenants)),
		memory: make([]memo, memorySize), gate: gate{window: gateStart}, share: 1, retries: retriesMost}
	z := int(set.Zone)
	if z < len(set.ZoneRouters) && set.ZoneRouters[z] > 1 {
		r.share = 1 / float64(set.ZoneRouters[z])
	}
	r.inlet.room = set.inlet()
	if set.OwnRoom > 0 {
		r.own = r.place()
		r.nodes[r.own] = node{id: Own, role: roleOwn, state: Ready, started: LongAgo, pipe: pipe{room: set.OwnRoom}}
	}
	if r.set.Legs <= 0 || r.set.Legs > maxLegs {
		r.set.Legs = maxLegs
	}
	return r
}

// Start begins the router's life.
func (r *Router) Start(now time.Duration, acts []Action) []Action {
	r.now, r.acts = now, acts
	r.timer(tick, timerTick)
	if r.set.AskForList {
		r.act(Action{Kind: ActionFollow})
	}
	return r.acts
}

// Handle takes one event and returns the actions that it calls for, appended to acts.
func (r *Router) Handle(now time.Duration, e *Event, acts []Action) []Action {
	r.now, r.acts = now, acts
	v := r.find(e.View)
	switch e.Kind {
	case EventView:
		r.arrive(e)
	case EventLegEnd:
		r.legEnd(v, e)
	case EventStream:
		if v != nil {
			v.streaming = true
		}
	case EventGone:
		if v != nil {
			r.close(v)
		}
	case EventList:
		if e.List == ListFailed {
			r.timer(followWait+time.Duration(r.rng.float()*float64(followWait)), timerList)
		} else {
			r.enlist(e)
			r.rebuild()
		}
	case EventPurge:
		r.purged(e)
	case EventProbed:
		if n, known := r.index[e.Node]; known {
			r.report(n, &e.Report)
		}
	case EventTimer:
		switch e.Timer {
		case timerTick:
			r.timer(tick, timerTick)
			r.lookOver()
		case timerList:
			r.act(Action{Kind: ActionFollow})
		}
	}
	return r.acts
}
