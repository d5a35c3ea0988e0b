package routing

import "time"

const (
	// maxAttempts is how many attempts a request has places for; one more would hardly come within its objective.
	maxAttempts = 8
	// minTimeLeft is the least time to the deadline in which an answer may still come back.
	minTimeLeft = 2 * ms
)

// attemptState follows an attempt from its sending to its result.
type attemptState uint8

const (
	attemptInFlight    attemptState = iota
	attemptCountedLate              // in flight; the origin limiter was told that it is late
	attemptOverdue                  // in flight; it was found overdue, and hedged where that was allowed
	attemptEnded
)

// attempt is one sending of a request to an endpoint, with the source that a miss is filled from.
type attempt struct {
	endpoint     endpointIndex
	source       endpointIndex
	sentAt       time.Duration
	expected     time.Duration // predicted time to its end
	linkShare    float64       // the part of its time in which it uses the link
	originShare  float64       // the part of its time in which it may wait for the origin
	state        attemptState
	mayHaveRun   bool
	onlyIfCached bool // the source gives only what it has cached
	needsFill    bool // predicted to need a fill
	storesCopy   bool // the cache keeps a copy
}

func (a *attempt) isInFlight() bool { return a.state != attemptEnded }

// isPending reports whether the attempt is in flight and was not found overdue yet.
func (a *attempt) isPending() bool {
	return a.state == attemptInFlight || a.state == attemptCountedLate
}

// attemptPlan says where an attempt is to go.
type attemptPlan struct {
	stage    fillStage
	endpoint endpointIndex
	source   endpointIndex
	options  FillOptions
}

// sendAttempt sends a request to an endpoint if the guards of the five rules allow it, and reports whether they did.
// Every attempt passes here.
func (r *Router) sendAttempt(req *request, plan attemptPlan) bool {
	if !r.mayAttempt(req, plan) {
		return false
	}
	r.consumeBudget(req, plan.endpoint, 1)
	predicted := r.predict(req, plan.endpoint, plan.source)
	att := attempt{
		endpoint: plan.endpoint, source: plan.source, sentAt: r.now, mayHaveRun: true,
		onlyIfCached: plan.options&OnlyIfCached != 0,
		expected:     predicted.duration, linkShare: predicted.linkShare, needsFill: predicted.needsFill,
	}
	if att.needsFill {
		r.consumeBudget(req, plan.source, 1)
	}
	r.countAtOrigin(req, &att)
	r.endpoints[plan.endpoint].outlier.beginTrial(r.now)
	r.endpoints[plan.source].outlier.beginTrial(r.now)
	r.occupyLinks(&att)
	action := r.sendAction(req, plan)
	att.storesCopy = action.CacheRank > 0
	req.attempts[req.attemptCount] = att
	req.attemptCount++
	req.inFlight++
	req.stage = plan.stage
	r.emit(action)
	return true
}

// mayAttempt holds the guards of rules 1 to 4; sendAction sets the bound of rule 5.
func (r *Router) mayAttempt(req *request, plan attemptPlan) bool {
	// Rule 1: nothing for a request that is answered, nor so late that its answer cannot come back.
	if req.state != requestOpen || req.attemptCount >= r.settings.MaxAttempts || req.deadline-r.now < minTimeLeft {
		return false
	}
	// Rule 2: what may have run is sent again only as its class allows.
	if req.inFlight > 0 && !r.settings.HedgedRequests || !r.mayRepeat(req, plan.endpoint) {
		return false
	}
	// Rule 3: nothing past its drain grace, as endpoint or as source.
	if !r.isUsable(plan.endpoint) || !r.isUsable(plan.source) {
		return false
	}
	// Rule 4: no more to a cold endpoint than it bears, as endpoint or as source.
	return r.hasBudget(req, plan.endpoint) && (plan.source == plan.endpoint || r.hasBudget(req, plan.source))
}

// countAtOrigin counts an attempt at the origin limiter for the part of its time in which it may wait for the origin.
func (r *Router) countAtOrigin(req *request, att *attempt) {
	isFromCache := att.source == att.endpoint || r.endpoints[att.source].role == roleCache
	if att.onlyIfCached || isFromCache || r.settings.Classes[req.class].Write {
		return
	}
	att.originShare = float64(r.originLimiter.wait+ms) / float64(r.originLimiter.wait+req.transferTime+ms)
	// After a lookup at the parent it is known that the parent does not have the object.
	if att.source != r.origin && req.stage != stageParentCached {
		att.originShare *= r.originLimiter.originShare
	}
	r.originLimiter.begin(att.originShare, r.random.float(), r.now)
}

// sendAction is the order to send an attempt.
func (r *Router) sendAction(req *request, plan attemptPlan) Action {
	target, class := &r.endpoints[plan.endpoint], &r.settings.Classes[req.class]
	action := Action{
		Kind: ActionSend, Request: req.id, Endpoint: target.id, Source: r.endpoints[plan.source].id,
		FillOptions: plan.options, StartWithin: r.dedupWindowLeft(req),
	}
	if class.Write {
		return action
	}
	action.MaxAge = r.maxAge(req) // rule 5: nothing older than the last purge will do
	if target.role == roleCache {
		action.CacheRank = r.cacheRank(req)
	}
	if r.settings.CoalesceFills {
		action.FillOptions |= CoalesceFill
	}
	if class.FreshFor > 0 && action.CacheRank > rankFirstRequest {
		action.FillOptions |= StaleWhileRevalidate
	}
	if r.localCache != noEndpoint && plan.endpoint != r.localCache {
		action.FillOptions |= StoreLocally
	}
	return action
}

// handleAttemptResult learns from the result of an attempt and does what follows.
func (r *Router) handleAttemptResult(req *request, event *Event) {
	if req == nil || int(event.Attempt) >= req.attemptCount || !req.attempts[event.Attempt].isInFlight() {
		return
	}
	att := &req.attempts[event.Attempt]
	r.endAttempt(req, att, event.Outcome)
	r.applyLoadReport(att.endpoint, &event.LoadReport)
	failure := classifyFailure(event)
	isRepeatedError := event.Outcome == Failed && req.failedBy != noEndpoint && req.failedBy != att.endpoint
	if failure == failureEndpoint && isRepeatedError {
		failure = failureRequest
	}
	if event.Outcome == Succeeded {
		r.learnFromSuccess(req, att, event)
	} else {
		r.attributeFailure(req, att, event, failure)
	}
	switch {
	case !req.isOpen():
		r.requests.release(req)
	case event.Final:
		r.closeRequest(req)
	default:
		r.followUp(req, failure)
	}
}

// endAttempt takes an attempt off the links and the origin limiter.
func (r *Router) endAttempt(req *request, att *attempt, outcome Outcome) {
	att.state = attemptEnded
	req.inFlight--
	r.releaseLinks(att)
	r.originLimiter.end(att.originShare, r.now)
	switch outcome {
	case Overloaded, ConnectFailed, NotSent, CacheMiss:
		att.mayHaveRun = false
	default:
	}
}
