package routing

import "time"

const (
	// maxAttempts is the maximum number of attempts of a request. A further attempt would rarely meet the objective.
	maxAttempts = 8
	// minTimeLeft is the minimum time to the deadline at which an attempt is sent. With less, no answer can arrive in
	// time.
	minTimeLeft = 2 * ms
)

// attemptState is the state of an attempt, from its sending to its result.
type attemptState uint8

const (
	attemptInFlight    attemptState = iota
	attemptCountedLate              // in flight; counted as late at the origin limiter
	attemptOverdue                  // in flight; overdue, and hedged if that was allowed
	attemptEnded
)

// attempt is one attempt of a request at an endpoint, with the source from which a miss is filled.
type attempt struct {
	endpoint     endpointIndex
	source       endpointIndex
	sentAt       time.Duration
	expected     time.Duration // predicted duration
	linkShare    float64       // share of its duration in which it uses the link
	originShare  float64       // share of its duration in which it may wait for the origin
	state        attemptState
	mayHaveRun   bool
	onlyIfCached bool // the source answers only from its cache
	needsFill    bool // a fill is predicted
	storesCopy   bool // the cache keeps a copy
}

func (a *attempt) isInFlight() bool { return a.state != attemptEnded }

// isPending reports whether the attempt is in flight and not yet overdue.
func (a *attempt) isPending() bool {
	return a.state == attemptInFlight || a.state == attemptCountedLate
}

// attemptPlan holds the endpoint, source and options of an attempt to be sent.
type attemptPlan struct {
	stage    fillStage
	endpoint endpointIndex
	source   endpointIndex
	options  FillOptions
}

// sendAttempt sends an attempt if the rules of the package comment allow it, and reports whether it did. All attempts
// are sent here.
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

// mayAttempt reports whether rules 1 to 4 allow the attempt. sendAction enforces rule 5.
func (r *Router) mayAttempt(req *request, plan attemptPlan) bool {
	// Rule 1: no attempt for an answered request, or so late that the answer cannot arrive in time.
	if req.state != requestOpen || req.attemptCount >= r.settings.MaxAttempts || req.deadline-r.now < minTimeLeft {
		return false
	}
	// Rule 2: a request that may have run is repeated only as its class allows.
	if req.inFlight > 0 && !r.settings.HedgedRequests || !r.mayRepeat(req, r.executor(plan.endpoint, plan.source)) {
		return false
	}
	// Rule 3: no attempt names an endpoint or a source whose drain grace is over.
	if !r.isUsable(plan.endpoint) || !r.isUsable(plan.source) {
		return false
	}
	// Rule 4: a cold endpoint or source gets no more load than its budget.
	return r.hasBudget(req, plan.endpoint) && (plan.source == plan.endpoint || r.hasBudget(req, plan.source))
}

// countAtOrigin counts an attempt at the origin limiter, weighted by the share of its duration in which it may wait for
// the origin.
func (r *Router) countAtOrigin(req *request, att *attempt) {
	isFromCache := att.source == att.endpoint || r.endpoints[att.source].role == roleCache
	if att.onlyIfCached || isFromCache || r.settings.Classes[req.class].Write {
		return
	}
	att.originShare = float64(r.originLimiter.wait+ms) / float64(r.originLimiter.wait+req.transferTime+ms)
	// After stageParentCached the parent is known not to have the object.
	if att.source != r.origin && req.stage != stageParentCached {
		att.originShare *= r.originLimiter.originShare
	}
	r.originLimiter.begin(att.originShare, r.random.float(), r.now)
}

// sendAction returns the action that sends an attempt.
func (r *Router) sendAction(req *request, plan attemptPlan) Action {
	target, class := &r.endpoints[plan.endpoint], &r.settings.Classes[req.class]
	action := Action{
		Kind: ActionSend, Request: req.id, Endpoint: target.id, Source: r.endpoints[plan.source].id,
		FillOptions: plan.options, StartWithin: r.startWithin(req),
	}
	if class.Write {
		return action
	}
	action.MaxAge = r.maxAge(req) // rule 5: no copy older than the last purge
	if target.role == roleCache {
		action.CacheRank = r.cacheRank(req)
	}
	if r.settings.CoalesceFills {
		action.FillOptions |= CoalesceFill
	}
	if class.FreshDuration > 0 && action.CacheRank > rankFirstRequest {
		action.FillOptions |= StaleWhileRevalidate
	}
	if r.localCache != noEndpoint && plan.endpoint != r.localCache {
		action.FillOptions |= StoreLocally
	}
	return action
}

// handleAttemptResult learns from the result of an attempt, and closes or continues the request.
func (r *Router) handleAttemptResult(req *request, event *Event) {
	if req == nil || int(event.Attempt) >= req.attemptCount || !req.attempts[event.Attempt].isInFlight() {
		return
	}
	att := &req.attempts[event.Attempt]
	r.endAttempt(req, att, event.Outcome)
	r.applyLoadReport(att.endpoint, &event.LoadReport)
	failure := classifyFailure(event)
	isRepeatedError := event.Outcome == Failed && req.lastErrorFrom != noEndpoint && req.lastErrorFrom != att.endpoint
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

// endAttempt marks an attempt as ended and stops counting it at the links and the origin limiter.
func (r *Router) endAttempt(req *request, att *attempt, outcome Outcome) {
	att.state = attemptEnded
	req.inFlight--
	r.releaseLinks(att)
	r.originLimiter.end(att.originShare, r.now)
	if outcome.ProvesNotRun() {
		att.mayHaveRun = false
	}
}
