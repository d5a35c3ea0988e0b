package routing

// This file is the door to the decisions: a front end calls New, Start, then Handle for each event.

import "time"

// New returns a router with empty hands.
func New(set Settings, seed uint64) *Router {
	r := &Router{
		settings: set, random: newPCG(seed), endpointByID: map[EndpointID]int32{}, requestByID: map[RequestID]int32{}, origin: noEndpoint, localCache: noEndpoint,
		classes: make([]classStats, len(set.Classes)), tenantQuotas: make([]tokenBucket, len(set.Tenants)),
		history: make([]objectRecord, historySize), origins: originLimiter{limit: initialOriginLimit}, trafficShare: 1, retryTokens: maxRetryTokens,
	}
	z := int(set.Zone)
	if z < len(set.ZoneRouters) && set.ZoneRouters[z] > 1 {
		r.trafficShare = 1 / float64(set.ZoneRouters[z])
	}
	r.ingress.capacity = set.ingressTransfers()
	if set.LocalCacheCapacity > 0 {
		r.localCache = r.allocateEndpoint()
		r.endpoints[r.localCache] = endpoint{id: LocalCache, role: roleLocalCache, state: Ready, startedAt: LongAgo, link: link{capacity: set.LocalCacheCapacity}}
	}
	if r.settings.MaxAttempts <= 0 || r.settings.MaxAttempts > maxAttempts {
		r.settings.MaxAttempts = maxAttempts
	}
	return r
}

// Start begins the router's life.
func (r *Router) Start(now time.Duration, acts []Action) []Action {
	r.now, r.actions = now, acts
	r.setTimer(tickInterval, timerTick)
	if r.settings.PollEndpoints {
		r.emit(Action{Kind: ActionWatchEndpoints})
	}
	return r.actions
}

// Handle takes one event and returns the actions that it calls for, appended to acts.
func (r *Router) Handle(now time.Duration, e *Event, acts []Action) []Action {
	r.now, r.actions = now, acts
	v := r.findRequest(e.Request)
	switch e.Kind {
	case EventRequest:
		r.handleRequest(e)
	case EventAttemptResult:
		r.handleAttemptResult(v, e)
	case EventStreamStarted:
		if v != nil {
			v.streaming = true
		}
	case EventClientGone:
		if v != nil {
			r.closeRequest(v)
		}
	case EventEndpoints:
		if e.EndpointListKind == EndpointListFailed {
			r.setTimer(endpointListRetryWait+time.Duration(r.random.float()*float64(endpointListRetryWait)), timerEndpointList)
		} else {
			r.applyEndpointList(e)
			r.rebuildRings()
		}
	case EventPurge:
		r.handlePurge(e)
	case EventHealthCheck:
		if n, known := r.endpointByID[e.Endpoint]; known {
			r.applyLoadReport(n, &e.LoadReport)
		}
	case EventTimer:
		switch e.Timer {
		case timerTick:
			r.setTimer(tickInterval, timerTick)
			r.checkOverdueAttempts()
		case timerEndpointList:
			r.emit(Action{Kind: ActionWatchEndpoints})
		}
	}
	return r.actions
}
