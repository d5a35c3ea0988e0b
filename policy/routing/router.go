package routing

import (
	"fmt"
	"time"
)

const ms = time.Millisecond

// The values of Event.Timer and Action.Timer.
const (
	timerTick         = 0
	timerEndpointList = 1
)

const (
	// tickInterval is the interval at which open requests are checked. It is well below the shortest latency objective,
	// and a check is cheap.
	tickInterval = 20 * ms
	// endpointListRetryDelay is the delay before the endpoint list is requested again after a failure. A random delay of
	// up to the same length is added.
	endpointListRetryDelay = 250 * ms
	// maxInferredTransferShare limits a transfer time that may include the wait for a fill, as a share of the latency
	// objective. A longer time would by itself reject each later request, and no shorter time would ever be observed.
	maxInferredTransferShare = 0.95
)

// Router makes the routing decisions of one router instance.
type Router struct {
	settings Settings
	random   pcg
	now      time.Duration // time of the event being handled
	actions  []Action      // actions of the event being handled

	endpoints       []endpoint
	endpointByID    map[EndpointID]endpointIndex
	listVersion     int
	origin          endpointIndex
	localCache      endpointIndex // the router's own cache, noEndpoint if it has none
	caches, parents ring
	previousRings   []previousRing
	cacheSlowStart  slowStartSettings
	parentSlowStart slowStartSettings

	requests     requestTable
	history      objectHistory
	classStats   []classStats
	tenantQuotas []tokenBucket
	retries      retryBudget
	purges       []purge
	purgeHorizon PurgeHorizon // nil: no purge is missing

	ingress                  link // link into the location, observed by this router's fills
	originLimiter            originLimiter
	trafficShare             float64 // this router's share of its location's requests
	nextHealthCheck          time.Duration
	requestsSinceHealthCheck int
}

// New returns a router with the settings and an empty endpoint list. The seed initializes its random number generator.
func New(settings Settings, seed uint64) *Router {
	r := &Router{
		settings: settings, random: newPCG(seed), trafficShare: 1,
		endpointByID: map[EndpointID]endpointIndex{}, origin: noEndpoint, localCache: noEndpoint,
		requests: newRequestTable(), history: newObjectHistory(), retries: newRetryBudget(),
		classStats: make([]classStats, len(settings.Classes)), tenantQuotas: make([]tokenBucket, len(settings.Tenants)),
		originLimiter: originLimiter{limit: initialOriginLimit},
		cacheSlowStart: slowStartSettings{
			settings.SlowStartShare, settings.SlowStartDuration, settings.OverloadFactor, settings.OverloadWindow,
		},
		parentSlowStart: slowStartSettings{
			settings.ParentSlowStartShare, settings.ParentSlowStartDuration, settings.ParentOverloadFactor,
			settings.OverloadWindow,
		},
	}
	if zone := int(settings.Zone); zone < len(settings.ZoneRouters) && settings.ZoneRouters[zone] > 1 {
		r.trafficShare = 1 / float64(settings.ZoneRouters[zone])
	}
	r.ingress.capacity = settings.ingressTransfers()
	if settings.LocalCacheCapacity > 0 {
		r.addLocalCache(settings.LocalCacheCapacity)
	}
	if r.settings.MaxAttempts <= 0 || r.settings.MaxAttempts > maxAttempts {
		r.settings.MaxAttempts = maxAttempts
	}
	return r
}

// Start starts the router. It appends the first actions to actions and returns the result.
func (r *Router) Start(now time.Duration, actions []Action) []Action {
	r.now, r.actions = now, actions
	r.setTimer(tickInterval, timerTick)
	if r.settings.WatchEndpoints {
		r.emit(Action{Kind: ActionWatchEndpoints})
	}
	return r.actions
}

// Handle processes one event. It appends the resulting actions to actions and returns the result.
func (r *Router) Handle(now time.Duration, event *Event, actions []Action) []Action {
	r.now, r.actions = now, actions
	switch event.Kind {
	case EventRequest:
		r.handleRequest(event)
	case EventAttemptResult:
		r.handleAttemptResult(r.requests.find(event.Request), event)
	case EventStreamStarted:
		if req := r.requests.find(event.Request); req != nil {
			req.state = afterStreamStarted[req.state]
		}
	case EventClientGone:
		if req := r.requests.find(event.Request); req != nil {
			r.closeRequest(req)
		}
	case EventEndpoints:
		r.handleEndpointList(event)
	case EventPurge:
		r.handlePurge(event)
	case EventHealthCheckResult:
		if index, isKnown := r.endpointByID[event.Endpoint]; isKnown {
			r.applyLoadReport(index, &event.LoadReport)
		}
	case EventTimer:
		r.handleTimer(event.Timer)
	case EventGossip:
	}
	return r.actions
}

func (r *Router) handleTimer(timer uint64) {
	switch timer {
	case timerTick:
		r.setTimer(tickInterval, timerTick)
		r.checkOverdueAttempts()
		r.checkHealth()
		r.logOriginLimiter()
	case timerEndpointList:
		r.emit(Action{Kind: ActionWatchEndpoints})
	}
}

func (r *Router) emit(action Action) { r.actions = append(r.actions, action) }

func (r *Router) setTimer(wait time.Duration, timer uint64) {
	r.emit(Action{Kind: ActionTimer, Wait: wait, Timer: timer})
}

// logEndpoint logs the text with the endpoint's role and id.
func (r *Router) logEndpoint(text string, index endpointIndex) {
	if index == noEndpoint {
		return
	}
	target := &r.endpoints[index]
	r.emit(Action{Kind: ActionLog, Text: fmt.Sprintf("%s %x: %s", target.role, uint64(target.id), text)})
}

// handleRequest sends or rejects a new request.
func (r *Router) handleRequest(event *Event) {
	if int(event.Class) >= len(r.settings.Classes) {
		r.reject(event.Request, 0)
		return
	}
	req := r.addRequest(event)
	r.retries.deposit()
	if r.settings.Classes[req.class].Write {
		r.sendWrite(req)
		return
	}
	if record := r.history.find(req.hash); record != nil {
		record.countRequest()
	}
	r.route(req)
}

// addRequest adds a request to the table, and sets its transfer time, its objective and whether its tenant is over
// quota.
func (r *Router) addRequest(event *Event) *request {
	class := &r.settings.Classes[event.Class]
	r.requestsSinceHealthCheck++
	req := r.requests.add(event.Request)
	req.class, req.object, req.group = event.Class, event.Object, event.Group
	req.hash = event.objectHash()
	req.deadline = r.now + event.TimeLeft
	req.cache, req.lastErrorFrom = noEndpoint, noEndpoint
	r.estimateTransferTime(req, event.SizeKB)
	objective := class.LatencyObjective + time.Duration(class.ObjectiveTransferFactor*float64(req.transferTime))
	req.objectiveAt = min(req.deadline, r.now+objective)
	req.overQuota = r.isOverQuota(event.Tenant)
	return req
}

// estimateTransferTime sets the transfer time of a request from sizeKB, else from the object's history, else from the
// mean of its class. sizeKB is 0 if the request does not include a size.
func (r *Router) estimateTransferTime(req *request, sizeKB float64) {
	class, classMean := &r.settings.Classes[req.class], &r.classStats[req.class].transferTime
	record := r.history.find(req.hash)
	req.sizeInRequest = sizeKB > 0 && r.settings.FlowKBPerSecond > 0 && !class.Write
	req.sizeKnown = req.sizeInRequest || record != nil && record.transferTime > 0
	req.transferTime = classMean.duration()
	switch {
	case req.sizeInRequest:
		req.transferTime = time.Duration(sizeKB / r.settings.FlowKBPerSecond * float64(time.Second))
		classMean.add(req.transferTime, transferTimeWeight)
	case req.sizeKnown:
		req.transferTime = record.transferTime
	}
	if r.settings.ResponseDetail == DetailNone && !req.sizeInRequest && !class.Write {
		longest := time.Duration(maxInferredTransferShare / predictionMargin * float64(class.LatencyObjective))
		req.transferTime = min(req.transferTime, longest)
	}
}

// route sends a request on the ordinary path: to the ring's cache, which fills from the previous owner if the object's
// arc of the ring has moved, else from the parent.
func (r *Router) route(req *request) {
	req.cache = r.pickCache(req)
	if r.sendWithFill(req, stageRelay) {
		return
	}
	if req.cache == noEndpoint && r.settings.AllowDirect && r.bypassCaches(req) {
		return
	}
	r.giveUp(req)
}

// sendWithFill sends the request to its cache with the fill source of the stage, or of a later stage if that source
// cannot be used, and reports whether an attempt was sent. None is sent if no cache is left, which occurs when an
// earlier attempt ends late.
func (r *Router) sendWithFill(req *request, stage fillStage) bool {
	if req.cache == noEndpoint {
		return false
	}
	if stage == stageRelay && r.sendWithRelay(req) {
		return true
	}
	parent, isFailing := r.pickParent(req)
	if stage == stageOrigin || isFailing || parent == noEndpoint {
		if r.sendWithOriginFill(req) {
			return true
		}
		parent = r.pickOtherParent(req)
	}
	if parent != noEndpoint && !req.hasTriedSource(parent) && r.isInTime(req, req.cache, parent) {
		if r.mayReachOrigin(req, req.cache, parent) {
			return r.sendAttempt(req, attemptPlan{stageParent, req.cache, parent, 0})
		}
		if req.stage != stageParentCached {
			return r.sendAttempt(req, attemptPlan{stageParentCached, req.cache, parent, OnlyIfCached})
		}
	}
	return r.sendLookup(req)
}

// sendWithRelay sends the request to its cache, to be filled from the previous owner if that cache has a copy.
func (r *Router) sendWithRelay(req *request) bool {
	owner := r.previousOwner(req)
	return owner != noEndpoint && r.isInTime(req, req.cache, owner) &&
		r.sendAttempt(req, attemptPlan{stageRelay, req.cache, owner, OnlyIfCached})
}

// sendWithOriginFill sends the request to its cache, to be filled directly from the origin.
func (r *Router) sendWithOriginFill(req *request) bool {
	return !req.hasTriedSource(r.origin) && r.mayReachOrigin(req, req.cache, r.origin) &&
		r.sendAttempt(req, attemptPlan{stageOrigin, req.cache, r.origin, 0})
}

// sendLookup sends the request to its cache without a fill, if no fill can complete in time.
func (r *Router) sendLookup(req *request) bool {
	return req.attemptCount == 0 && r.isInTime(req, req.cache, noEndpoint) &&
		r.sendAttempt(req, attemptPlan{stageLookup, req.cache, req.cache, 0})
}

// bypassCaches sends a request directly to a parent. The caller ensures that the settings allow it and that no cache of
// the location can be used (all are lost, cold or failing). Reads do not go directly to the origin, whose link has
// little capacity.
func (r *Router) bypassCaches(req *request) bool {
	parent, isFailing := r.pickParent(req)
	if isFailing {
		parent = r.pickOtherParent(req)
	}
	req.cache = parent
	if parent == noEndpoint || !r.isInTime(req, parent, parent) {
		return false
	}
	if !req.hasTriedSource(r.origin) && r.mayReachOrigin(req, parent, r.origin) {
		return r.sendAttempt(req, attemptPlan{stageBypass, parent, r.origin, 0})
	}
	return !req.hasTriedSource(parent) && r.sendAttempt(req, attemptPlan{stageBypass, parent, parent, 0})
}

// sendWrite sends a write to the origin: directly if that is allowed, else through a cache.
func (r *Router) sendWrite(req *request) {
	req.retryWriteAt = 0
	target := r.origin
	if !r.settings.AllowDirect {
		target = r.pickCache(req)
	}
	if target == noEndpoint || r.origin == noEndpoint ||
		!r.sendAttempt(req, attemptPlan{stageBypass, target, r.origin, 0}) {
		r.giveUp(req)
	}
}

// followUp retries or gives up an open request after one of its attempts has failed.
func (r *Router) followUp(req *request, failure failureKind) {
	next := transitions[req.stage][failure]
	if r.settings.Classes[req.class].Write {
		if next.kind == rejectRequest || !r.scheduleWriteRetry(req) {
			r.giveUp(req)
		}
		return
	}
	// A retry after a failure, unlike one after a miss, needs a token. Otherwise retries multiply the load of a fault.
	if next.kind != rejectRequest && failure != failureNotCached {
		if !r.retries.take() || r.now >= req.objectiveAt {
			next.kind = rejectRequest
		}
	}
	switch next.kind {
	case tryNextCache:
		r.route(req)
	case tryNextSource:
		if !r.sendWithFill(req, next.stage) {
			r.giveUp(req)
		}
	case rejectRequest:
		r.giveUp(req)
	}
}
