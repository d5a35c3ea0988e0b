package routing

import (
	"fmt"
	"time"
)

const ms = time.Millisecond

// Timers. tick is how often views in hand are looked over: well under the shortest due time, and cheap.
// endpointListRetryWait is how long after a failed call the list is asked for again, and as much more by chance.
const (
	timerTick, timerEndpointList        = 0, 1
	tickInterval, endpointListRetryWait = 20 * ms, 250 * ms
)

// Router decides for one router instance.
type Router struct {
	settings         Settings
	random           pcg
	now              time.Duration
	actions          []Action
	endpoints        []endpoint
	endpointByID     map[EndpointID]int32
	origin           int32
	localCache       int32 // the router itself, where it keeps copies
	caches           ring
	parents          ring
	previousRings    []previousRing
	visits           int
	requests         []request
	freeRequests     []int32
	requestByID      map[RequestID]int32
	history          []objectRecord
	classes          []classStats
	tenantQuotas     []tokenBucket
	ingress          link // the location's link in, as this router's fills show it
	origins          originLimiter
	retryTokens      float64 // further legs that may be spent
	purges           []purge
	trafficShare     float64 // this router's part of its location's views
	nextHealthCheck  time.Duration
	sinceHealthCheck int // views, since a probe
}

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

func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }

func (r *Router) setTimer(wait time.Duration, name uint64) {
	r.emit(Action{Kind: ActionTimer, Wait: wait, Timer: name})
}

// logEndpoint writes a line about a node: its role, its id and what happened.
func (r *Router) logEndpoint(what string, n int32) {
	if n != noEndpoint {
		d := &r.endpoints[n]
		role := [...]string{"own", "cache", "parent", "origin"}[d.role]
		r.emit(Action{Kind: ActionLog, Text: fmt.Sprintf("%s %x: %s", role, uint64(d.id), what)})
	}
}

// handleRequest takes a new view, or turns it back.
func (r *Router) handleRequest(e *Event) {
	if int(e.Class) >= len(r.settings.Classes) {
		r.emit(Action{Kind: ActionReject, Request: e.Request})
		return
	}
	t, usual := &r.settings.Classes[e.Class], &r.classes[e.Class].transferTime
	i := r.allocateRequest()
	v := &r.requests[i]
	r.sinceHealthCheck++
	*v = request{
		id: e.Request, class: e.Class, object: e.Object, group: e.Group, open: true, deadline: r.now + e.TimeLeft,
		cache: noEndpoint, failedBy: noEndpoint, transferTime: usual.duration(), hash: e.objectHash(),
	}
	r.requestByID[e.Request] = i
	m := r.findRecord(v)
	v.sizeTold = e.SizeKB > 0 && r.settings.FlowKBPerSecond > 0 && !t.Write
	v.sizeKnown = v.sizeTold || m != nil && m.transferTime > 0
	switch {
	case v.sizeTold:
		v.transferTime = time.Duration(e.SizeKB / r.settings.FlowKBPerSecond * float64(time.Second))
		usual.add(v.transferTime, 0.02)
	case v.sizeKnown:
		v.transferTime = m.transferTime
	}
	if r.settings.ResponseDetail == DetailNone && !v.sizeTold && !t.Write {
		// A time that may hold a fill's wait turns nothing back by itself, or nothing better would ever be learned.
		v.transferTime = min(v.transferTime, time.Duration(0.95/predictionMargin*float64(t.LatencyObjective)))
	}
	v.objectiveAt = min(v.deadline, r.now+t.LatencyObjective+time.Duration(t.ObjectiveStretch*float64(v.transferTime)))
	v.overQuota = r.isOverQuota(int(e.Tenant))
	r.retryTokens = min(maxRetryTokens, r.retryTokens+retryTokensPerRequest)
	if t.Write {
		r.sendWrite(v)
		return
	}
	if m != nil && m.requests < 255 {
		m.requests++
	}
	r.route(v)
}

// route sends a view by the ordinary path: the ring's cache, the former owner if the slot moved, the parent.
func (r *Router) route(v *request) {
	v.cache = r.pickCache(v)
	if !r.sendWithFill(v, stageRelay) && (v.cache != noEndpoint || !r.settings.AllowDirect || !r.bypassCaches(v)) {
		r.giveUp(v)
	}
}

// sendWithFill sends the view to its cache with the source of the stage, or of a later stage where that one cannot be
// gone to. It reports whether a leg went out. None does where an earlier leg ends after no cache was left.
func (r *Router) sendWithFill(v *request, st fillStage) bool {
	if v.cache == noEndpoint {
		return false
	}
	if st == stageRelay {
		f := r.previousOwner(v)
		if f != noEndpoint && r.isInTime(v, v.cache, f) && r.sendAttempt(v, stageRelay, v.cache, f, OnlyIfCached) {
			return true
		}
	}
	p, failing := r.pickParent(v)
	if o := r.origin; st == stageOrigin || failing || p == noEndpoint {
		if !v.hasTriedSource(o) && r.mayReachOrigin(v, v.cache, o) && r.sendAttempt(v, stageOrigin, v.cache, o, 0) {
			return true
		}
		p = r.pickOtherParent(v)
	}
	if p != noEndpoint && !v.hasTriedSource(p) && r.isInTime(v, v.cache, p) {
		if r.mayReachOrigin(v, v.cache, p) {
			return r.sendAttempt(v, stageParent, v.cache, p, 0)
		}
		if v.stage != stageParentCached {
			return r.sendAttempt(v, stageParentCached, v.cache, p, OnlyIfCached)
		}
	}
	// Nothing can be filled in time: what the cache holds may still do.
	return v.attemptCount == 0 && r.isInTime(v, v.cache, noEndpoint) && r.sendAttempt(v, stageLookup, v.cache, v.cache, 0)
}

// bypassCaches passes the caches by: only where the settings allow it and no cache of the location is fit to be
// asked at all (all lost, cold or failing). The origin is left to writes: its link is thin.
func (r *Router) bypassCaches(v *request) bool {
	p, failing := r.pickParent(v)
	if failing {
		p = r.pickOtherParent(v)
	}
	if v.cache = p; p == noEndpoint || !r.isInTime(v, p, p) {
		return false
	}
	if !v.hasTriedSource(r.origin) && r.mayReachOrigin(v, p, r.origin) {
		return r.sendAttempt(v, stageBypass, p, r.origin, 0)
	}
	return !v.hasTriedSource(p) && r.sendAttempt(v, stageBypass, p, p, 0)
}

// sendWrite runs a view at the origin: straight where that is allowed, else through a cache. One that provably
// did not run waits a little and goes again while it can be in time.
func (r *Router) sendWrite(v *request) {
	v.retryWriteAt = 0
	n := r.origin
	if !r.settings.AllowDirect {
		n = r.pickCache(v)
	}
	if n == noEndpoint || r.origin == noEndpoint || !r.sendAttempt(v, stageBypass, n, r.origin, 0) {
		r.giveUp(v)
	}
}

// followUp takes a step for an open view.
func (r *Router) followUp(v *request, end failureKind) {
	s := transitions[v.stage][end]
	// A further leg after a failure, unlike one after a miss, is bounded: else it multiplies a trouble's load.
	if s.kind != rejectRequest && end != failureNotCached && !r.settings.Classes[v.class].Write {
		if r.retryTokens--; r.retryTokens < 0 || r.now >= v.objectiveAt {
			r.retryTokens, s.kind = max(0, r.retryTokens), rejectRequest
		}
	}
	switch {
	case r.settings.Classes[v.class].Write:
		if wait := writeBackoff << v.attemptCount; s.kind != rejectRequest && r.now+wait < v.objectiveAt && r.mayRepeat(v, r.origin) {
			v.retryWriteAt = r.now + wait
			return
		}
	case s.kind == tryNextSource:
		if r.sendWithFill(v, s.stage) {
			return
		}
	case s.kind == tryNextCache:
		r.route(v)
		return
	}
	r.giveUp(v)
}

// usualRetryAfter is the middle of the time to come back: about a due time, spread against a common return.
const usualRetryAfter = 300 * ms

// giveUp answers a view for good, unless a leg is still out that may answer it.
func (r *Router) giveUp(v *request) {
	if !v.open || v.inFlight > 0 {
		return
	}
	t := &r.settings.Classes[v.class]
	// What the caches cannot give in time, a copy of the router's own may; it is asked last, so that they learn
	// of every view. Guards against lost, cold and crowded caches of whatever cause.
	if r.localCache != noEndpoint && t.Idempotency == Idempotent && !t.Write && !r.hasAsked(v, r.localCache) && r.isInTime(v, r.localCache, noEndpoint) &&
		r.sendAttempt(v, stageLocalCache, r.localCache, r.localCache, 0) {
		return
	}
	if t.Idempotency == Idempotent || !v.mayHaveRun() || t.Idempotency == IdempotentWithKey && t.DedupScope == ScopeAll {
		a := Action{Kind: ActionReject, Request: v.id}
		if r.settings.RetryAfter {
			a.Wait = min(r.settings.MaxRetryAfter, usualRetryAfter/2+time.Duration(r.random.float()*float64(usualRetryAfter)))
		}
		r.emit(a)
	} else {
		r.emit(Action{Kind: ActionFail, Request: v.id})
	}
	r.closeRequest(v)
}
