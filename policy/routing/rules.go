package routing

// This file holds every decision of the router. router.go is its door: a front end calls New with the
// settings and a seed, Start once, then Handle for each event in order; each call returns the actions to
// carry out, in order. Their types stand in iface.go, the state and its plain machinery in state.go; neither
// decides anything. docs/design.md tells what the mechanism is and when each exception to it acts.
//
// Reading order: the table of steps; arrive, start and fill (the ordinary path); send (the one gate through
// which every leg passes, with the guards of the five rules); handleAttemptResult and what it learns or blames; checkOverdueAttempts
// (overdue legs); pick, parent and former (which cache, which source); predictions, the gate, health.

import (
	"slices"
	"time"
)

const ms = time.Millisecond

// maxAttempts is how many legs a view has places for; one more would hardly come in its due time.
const maxAttempts = 8

// Timers. tick is how often views in hand are looked over: well under the shortest due time, and cheap.
// endpointListRetryWait is how long after a failed call the list is asked for again, and as much more by chance.
const (
	timerTick, timerEndpointList        = 0, 1
	tickInterval, endpointListRetryWait = 20 * ms, 250 * ms
)

type fillStage uint8

const (
	stageParent       fillStage = iota // the ring's cache, filled from the ring's parent
	stageRelay                         // filled from the slot's former owner, holds-only
	stageParentCached                  // filled from the parent, holds-only: the origin's gate is closed
	stageOrigin                        // filled straight from the origin: the parent is failing
	stageBypass                        // past the caches, straight to a parent or the origin
	stageLookup                        // the cache only, no fill
	stageLocalCache                    // the router's own copies
	stageCount
)

type failureKind uint8

const (
	failureNotCached  failureKind = iota // nothing suitable held where it was asked for
	failureSource                        // the source failed
	failureOrigin                        // the origin failed behind the parent
	failureNoCapacity                    // the cache is full, or has no place for a fill
	failureEndpoint                      // the cache failed
	failureTimeout                       // no answer in time
	failureRequest                       // another node failed it alike: it is the view's own fault
	failureCount
)

type followUpKind uint8

const (
	tryNextSource followUpKind = iota // same cache, next source in stage
	tryNextCache                      // next cache of the ring
	rejectRequest                     // nothing more can be done in time
)

type transition struct {
	stage fillStage
	kind  followUpKind
}

var toRejection, toNextCache = transition{kind: rejectRequest}, transition{kind: tryNextCache}

// transitions says what follows when a leg has ended without an answer. Where a next stage cannot be gone to (no
// such node, no budget, not in time), fill and start go on to a later one or give up.
var transitions = [stageCount][failureCount]transition{
	//            lacks                source               origin         place       cache       late  view
	stageParent:       {{stageOrigin, tryNextSource}, {stageOrigin, tryNextSource}, toRejection, toNextCache, toNextCache, toRejection, toRejection},
	stageRelay:        {{stageParent, tryNextSource}, {stageParent, tryNextSource}, {stageParent, tryNextSource}, toNextCache, toNextCache, toRejection, toRejection},
	stageParentCached: {{stageParent, tryNextSource}, {stageOrigin, tryNextSource}, toRejection, toNextCache, toNextCache, toRejection, toRejection},
	stageOrigin:       {toRejection, {stageParent, tryNextSource}, toRejection, toNextCache, toNextCache, toRejection, toRejection},
	stageBypass:       {toNextCache, toNextCache, toRejection, toNextCache, toNextCache, toRejection, toRejection},
	stageLookup:       {toRejection, toRejection, toRejection, toRejection, toNextCache, toRejection, toRejection},
	stageLocalCache:   {toRejection, toRejection, toRejection, toRejection, toRejection, toRejection, toRejection},
}

// classifyFailure tells from an answer what failed. Without notes only the outcome speaks.
func classifyFailure(e *Event) failureKind {
	switch e.Note {
	case NoteSourceMiss:
		return failureNotCached
	case NoteSourceRefused, NoteSourceUnreachable:
		return failureSource
	case NoteOriginFailed:
		return failureOrigin
	case NoteNoFillCapacity:
		return failureNoCapacity
	}
	switch e.Outcome {
	case CacheMiss:
		return failureNotCached
	case Overloaded:
		return failureNoCapacity
	case TimedOut, Cancelled, NotSent:
		return failureTimeout
	}
	return failureEndpoint
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

// Further legs after a failure are bounded to this many a view on average, with a reserve for a burst: enough
// for a fifth of all views to fail once, too few to double the load when everything fails.
const retryTokensPerRequest, maxRetryTokens = 0.25, 20

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

// mayReachOrigin says whether a fill from src that has to wait for the origin may go: the gate has room and it comes
// in time, with luck where the gate is wide. One at a time goes in any case: who else would see it recover?
func (r *Router) mayReachOrigin(v *request, n, src int32) bool {
	if src == noEndpoint || r.now >= v.objectiveAt {
		return false
	}
	expect, _, filled := r.predict(v, n, src)
	if filled && src != r.origin {
		expect += r.origins.wait
	}
	expect -= time.Duration(sparedWait * (1 - r.origins.scarcity()) * min(1, r.origins.limit/wideOriginLimit) * float64(r.origins.wait))
	return r.originHasCapacity(minOriginLimit) || r.originHasCapacity(r.origins.limit) && r.now+expect <= v.objectiveAt
}

// originLimiterCaches is how many caches a router with a whole gate has behind it: one of many routers that share few
// caches gets less, and less than a place is a part of the time. originTrialInterval is the distance of trials of a
// whole gate while it is shut: failures may come at once, so that places alone would let a herd through, and
// parents and caches try on their own.
const originLimiterCaches, originTrialInterval = 4, 600 * ms

// originHasCapacity says whether the gate has a place of so many.
func (r *Router) originHasCapacity(places float64) bool {
	if r.origins.limit <= minOriginLimit {
		return r.origins.inFlight.current < minOriginLimit && r.now >= r.origins.nextTrial
	}
	places *= r.origins.share
	return r.origins.inFlight.current < max(1, places) && (places >= 1 || r.origins.inFlight.averageAt(r.now) < places)
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

// writeBackoff is the first wait before a write goes again; it doubles, so that a crowded origin gets air.
const writeBackoff = 60 * ms

// sendAttempt is the gate through which every leg passes; it holds the guards of the five rules and reports whether
// the leg went out.
func (r *Router) sendAttempt(v *request, st fillStage, n, src int32, how FillOptions) bool {
	t := &r.settings.Classes[v.class]
	// Rule 1: nothing for a view that is answered, nor so late that its answer cannot come back.
	if !v.open || v.streaming || v.attemptCount >= r.settings.MaxAttempts || v.deadline-r.now < 2*ms {
		return false
	}
	// Rule 2: what may have run goes out again only as its tariff allows.
	if v.inFlight > 0 && !r.settings.HedgedRequests || !r.mayRepeat(v, n) {
		return false
	}
	// Rules 3 and 4: nothing past its grace, no more to a cold node than it bears, as view or as source.
	if !r.isUsable(n) || !r.isUsable(src) || !r.hasBudget(v, n) || src != n && !r.hasBudget(v, src) {
		return false
	}
	r.consumeBudget(v, n, 1)
	l := attempt{endpoint: n, source: src, sentAt: r.now, inFlight: true, mayHaveRun: true, onlyIfCached: how&OnlyIfCached != 0}
	l.expected, l.linkShare, l.needsFill = r.predict(v, n, src)
	if l.needsFill {
		r.consumeBudget(v, src, 1)
	}
	if !l.onlyIfCached && src != n && r.endpoints[src].role != roleCache && !t.Write {
		l.originShare = float64(r.origins.wait+ms) / float64(r.origins.wait+v.transferTime+ms)
		if src != r.origin && v.stage != stageParentCached {
			l.originShare *= r.origins.originShare
		}
		r.origins.inFlight.add(l.originShare, r.now)
		r.origins.nextTrial = r.now + time.Duration((0.5+r.random.float())*float64(originTrialInterval)/r.origins.share)
	}
	for _, d := range [2]*endpointHealth{&r.endpoints[n].health, &r.endpoints[src].health} {
		if d.ejected {
			d.nextTrial = r.now + d.trialInterval/4
		}
	}
	r.countOnLinks(&l, 1)
	a := Action{Kind: ActionSend, Request: v.id, Endpoint: r.endpoints[n].id, Source: r.endpoints[src].id, FillOptions: how}
	a.StartWithin = r.dedupWindowLeft(v)
	if !t.Write {
		// Rule 5: nothing older than the last purge will do.
		a.MaxAge = r.maxAge(v)
		if r.endpoints[n].role == roleCache {
			a.CacheRank = r.cacheRank(v)
		}
		if r.settings.CoalesceFills {
			a.FillOptions |= CoalesceFill
		}
		if t.FreshFor > 0 && a.CacheRank > 1 {
			a.FillOptions |= StaleWhileRevalidate
		}
		if r.localCache != noEndpoint && n != r.localCache {
			a.FillOptions |= StoreLocally
		}
	}
	l.storesCopy = a.CacheRank > 0
	v.attempts[v.attemptCount] = l
	v.attemptCount++
	v.inFlight++
	v.stage = st
	r.emit(a)
	return true
}

// mayRepeat: a harmless view always; another one only if no leg may have run, or, stamped, inside the scope
// and window of the first that may have.
func (r *Router) mayRepeat(v *request, n int32) bool {
	t := &r.settings.Classes[v.class]
	if t.Idempotency == Idempotent {
		return true
	}
	for i := range v.attemptCount {
		l := &v.attempts[i]
		if !l.mayHaveRun {
			continue
		}
		a, b := &r.endpoints[l.endpoint], &r.endpoints[n]
		inside := t.DedupScope == ScopeAll || a.zone == b.zone && (t.DedupScope == ScopeZone || a.cell == b.cell)
		if t.Idempotency == NonIdempotent || !inside || r.now-l.sentAt >= t.DedupWindow {
			return false
		}
	}
	return true
}

// dedupWindowLeft is what is left of the time in which repeats of a stamped view are dropped, 0 where nothing may have
// run yet. A repeat must be on its way by then, however late its connection comes up. Guards rule 2.
func (r *Router) dedupWindowLeft(v *request) time.Duration {
	for i := range v.attemptCount {
		if l := &v.attempts[i]; l.mayHaveRun && r.settings.Classes[v.class].Idempotency == IdempotentWithKey {
			return r.settings.Classes[v.class].DedupWindow - (r.now - l.sentAt)
		}
	}
	return 0
}

// isUsable: listed ready, or told of its leaving so lately that a leg may still name it. A tenth of the grace
// is left unused, so that a leg sent at its end does not reach the node after it.
func (r *Router) isUsable(n int32) bool {
	return n != noEndpoint && (r.endpoints[n].state == Ready || r.now-r.endpoints[n].leavingSince < r.settings.DrainGrace*9/10)
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

// handleAttemptResult learns from an outcome and takes the step that follows.
func (r *Router) handleAttemptResult(v *request, e *Event) {
	if v == nil || int(e.Attempt) >= v.attemptCount || !v.attempts[e.Attempt].inFlight {
		return
	}
	l := &v.attempts[e.Attempt]
	l.inFlight = false
	v.inFlight--
	r.countOnLinks(l, -1)
	r.origins.inFlight.add(-l.originShare, r.now)
	switch e.Outcome {
	case Overloaded, ConnectFailed, NotSent, CacheMiss:
		l.mayHaveRun = false
	}
	r.applyLoadReport(l.endpoint, &e.LoadReport)
	end := classifyFailure(e)
	if end == failureEndpoint && e.Outcome == Failed && v.failedBy != noEndpoint && v.failedBy != l.endpoint {
		end = failureRequest
	}
	if e.Outcome == Succeeded {
		r.learnFromSuccess(v, l, e)
	} else {
		r.attributeFailure(v, l, e, end)
	}
	switch {
	case !v.open:
		r.releaseRequest(v)
	case e.Final:
		r.closeRequest(v)
	default:
		r.followUp(v, end)
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

// learnFromSuccess keeps what a good answer tells of the nodes and links on its way.
func (r *Router) learnFromSuccess(v *request, l *attempt, e *Event) {
	n, t, row := &r.endpoints[l.endpoint], &r.settings.Classes[v.class], &r.classes[v.class]
	r.recordSuccess(l.endpoint, l.sentAt, e.Note == NoteHit)
	if v.failedBy != noEndpoint {
		r.recordFailure(v.failedBy, softFailure)
	}
	if t.Write {
		row.transferTime.add(e.Elapsed, 0.1)
		return
	}
	far := n.role > roleCache
	filled := far || e.Note == NoteFilled || e.Note == NoteViaOrigin
	n.throughput.add(v.transferTime.Seconds(), r.now, r.throughputSpan(l.endpoint))
	m := r.ensureRecord(v)
	// Where no answer tells, the first of an object stands for a hit, and any of a cache that should hold it.
	hit := e.Note == NoteHit || r.settings.ResponseDetail == DetailNone && !far && (m.transferTime == 0 || r.isExpectedAt(v, l.endpoint))
	if m.seenAt = r.now; l.storesCopy || hit {
		m.holder = l.endpoint
	}
	body, stretch := e.Elapsed-e.FirstByteWait, 1.0
	if v.transferTime > 0 {
		stretch = float64(body) / float64(v.transferTime)
	}
	if hit {
		// The shortest time seen is nearest to the sending time at full pace.
		shorter := !v.sizeTold && (m.transferTime == 0 || e.Elapsed < m.transferTime)
		if shorter {
			m.transferTime = e.Elapsed
		}
		if !v.sizeTold && n.utilization < calmUtilization || shorter && row.transferTime.samples < minSizeSamples {
			row.transferTime.add(m.transferTime, 0.02)
		}
		if v.sizeKnown && !far && v.transferTime >= 100*ms && r.warmFraction(l.endpoint) >= 1 {
			n.link.observe(stretch, r.totalTransfers(&n.link)+l.linkShare, 0.1, r.now)
		}
	}
	s := &r.endpoints[l.source]
	if !filled || s.role == roleCache {
		return
	}
	s.fillSlowdown += (min(maxFillSlowdown, float64(body)/float64(l.expected+ms)) - s.fillSlowdown) / 8
	if s.role == roleParent && body > draggingFactor*l.expected+overdueAfter && (v.sizeKnown || r.isDragging(l.source)) {
		r.recordFailure(l.source, softFailure)
	} else {
		r.recordSuccess(l.source, l.sentAt, e.Note == NoteFilled)
	}
	s.throughput.add(v.transferTime.Seconds(), r.now, r.throughputSpan(l.source))
	own := 1.5 * r.slowdown(&n.link, r.warmFraction(l.endpoint))
	if v.sizeKnown && v.transferTime >= 100*ms && (stretch < congestedSlowdown || stretch > own) {
		r.ingress.observe(stretch, r.totalTransfers(&r.ingress)+l.linkShare, 1, r.now)
	}
	via := 0.0 // did the parent have it?
	if e.Note == NoteViaOrigin || s.role == roleOrigin {
		via = 1
		r.origins.observe(e.FirstByteWait, e.FirstByteWait > t.LatencyObjective/2 && r.now >= v.objectiveAt, r.now)
	} else if !far {
		s.cachedFillWait += (e.FirstByteWait - s.cachedFillWait) / 8
	}
	if s.role == roleParent {
		r.origins.originShare += (via - r.origins.originShare) / 20
	}
}

// draggingFactor is how many times its prediction the body of a fill may take before its parent counts as failing:
// the location's links are in the prediction, so what is left is the parent's own. Guards against slow and
// throttled parents that begin to answer in good time. maxFillSlowdown bounds what one odd fill can tell.
const draggingFactor, maxFillSlowdown = 2, 8

// isDragging compares a parent's fills with those of the others: where sizes are only guessed, one long body tells
// nothing, but they are guessed alike for all parents.
func (r *Router) isDragging(n int32) bool {
	for _, p := range r.parents.members {
		if p != n && r.endpoints[n].fillSlowdown > draggingFactor*max(0.5, r.endpoints[p].fillSlowdown) {
			return true
		}
	}
	return false
}

// minSizeSamples is how many sizes make a usual one: those that end first are the small ones.
const minSizeSamples = 20

// calmUtilization is the load below which a cache's link is taken to run at full pace.
const calmUtilization = 0.8

// attributeFailure tells nodes, gate and view apart as the cause of a failure. Notes say which; a source heard of since
// the leg went out, that took its time to fail, was itself waiting for the origin. An error without a note
// counts once another node has done the view: guards against clients that ask for what no node can do.
func (r *Router) attributeFailure(v *request, l *attempt, e *Event, end failureKind) {
	n := &r.endpoints[l.endpoint]
	if l.endpoint == r.origin {
		if end != failureNotCached && (e.Outcome != Cancelled || r.now >= v.objectiveAt) { // a client that left early tells nothing
			r.origins.recordFailure(r.now)
		}
		return
	}
	switch end {
	case failureEndpoint:
		switch {
		case e.Outcome == Failed:
			v.failedBy = l.endpoint // the next node that it is sent to tells whose fault it is
		case e.Outcome != ConnectionBroken:
			r.recordFailure(l.endpoint, hardFailure)
		case r.now-n.brokenAt >= simultaneousBreaks:
			n.brokenAt = r.now
			r.recordFailure(l.endpoint, softFailure)
		}
		return
	case failureTimeout, failureRequest:
		return
	case failureNoCapacity:
		n.noFillsUntil = r.now + noFillsFor
	case failureSource:
		switch {
		case l.source == r.origin,
			!l.onlyIfCached && e.FirstByteWait > overdueAfter && r.endpoints[l.source].lastHeardAt > l.sentAt && r.origins.goodAt < l.sentAt:
			r.origins.recordFailure(r.now)
		case e.Note == NoteSourceUnreachable:
			r.recordFailure(l.source, hardFailure)
		default:
			r.recordFailure(l.source, softFailure)
		}
	case failureOrigin:
		r.origins.recordFailure(r.now)
		r.endpoints[l.source].lastHeardAt = r.now
	case failureNotCached:
		r.endpoints[l.source].lastHeardAt = r.now
	}
	n.lastHeardAt = r.now
}

// simultaneousBreaks is how far apart breaks tell of a node more than once: what ends a connection ends many legs.
// noFillsFor is how long a cache that turned a view away is asked for no fills: some transfers end meanwhile.
// overdue is how far past twice its predicted time a leg may be before silence counts: a short pause of a
// node or a resent packet should fit.
const simultaneousBreaks, noFillsFor, overdueAfter = 20 * ms, 100 * ms, 150 * ms

// checkOverdueAttempts sends writes again, and finds overdue legs. One whose node, or source, has shown no sign of life
// since it was sent gets a second copy by another way. Guards against silent caches and parents (vanished,
// cut off, stalled); the gate counts a parent's silence once. A node's long pause may cost a double transfer.
func (r *Router) checkOverdueAttempts() {
	for i := range r.requests {
		v := &r.requests[i]
		if !v.open || v.streaming {
			continue
		}
		if v.retryWriteAt > 0 && r.now >= v.retryWriteAt {
			r.sendWrite(v)
			continue
		}
		for k := range v.attemptCount {
			l := &v.attempts[k]
			age := r.now - l.sentAt
			if !l.inFlight || l.overdue || v.transferTime == 0 || age < 2*l.expected+overdueAfter || l.endpoint == r.origin {
				continue
			}
			silent := noEndpoint
			switch {
			case v.sizeTold && l.needsFill && l.originShare > 0 && !l.countedLate && age > 2*v.transferTime+r.origins.wait &&
				(l.source == r.origin || r.endpoints[l.source].lateFillAt <= r.endpoints[l.source].lastHeardAt):
				l.countedLate, r.endpoints[l.source].lateFillAt = true, r.now
				r.origins.observe(age, true, r.now)
				continue
			case !l.onlyIfCached && age < 2*(l.expected+r.origins.wait)+overdueAfter && l.needsFill:
				continue // it may well wait for the origin
			case r.endpoints[l.endpoint].lastHeardAt < l.sentAt:
				silent = l.endpoint
			case !l.needsFill && !v.sizeTold:
				continue
			case l.source != r.origin && r.settings.ResponseDetail == DetailFull && r.endpoints[l.source].lastHeardAt < l.sentAt:
				silent = l.source
			}
			l.overdue = true
			if silent != noEndpoint {
				r.recordFailure(silent, hardFailure)
				r.origins.inFlight.add(-l.originShare, r.now) // nothing of it waits for the origin any more
				l.originShare = 0
			} else if !v.sizeKnown {
				continue // it may just be long
			}
			if r.settings.Classes[v.class].Idempotency == NonIdempotent || r.now > v.objectiveAt || r.retryTokens < 1 {
				continue
			}
			r.retryTokens--
			if silent == l.source && silent != l.endpoint {
				v.cache = l.endpoint
				r.sendWithFill(v, stageOrigin)
			} else if c := r.pickCache(v); c != noEndpoint {
				v.cache = c
				r.sendWithFill(v, stageRelay)
			}
		}
	}
	r.checkHealth()
	if shut := r.origins.limit <= minOriginLimit; shut != r.origins.closed && (shut || r.origins.limit >= initialOriginLimit) {
		r.origins.closed = shut
		r.logEndpoint(map[bool]string{true: "gate shut", false: "gate open"}[shut], r.origin)
	}
}

// healthCheckInterval is how often one cache is asked for its load, in turn, where reports come only so, and requestsPerHealthCheck
// after how many views: a few in a hundred of them at most, also where each router has few.
const healthCheckInterval, requestsPerHealthCheck = 500 * ms, 20

// checkHealth asks for the state of the location's link, where no answer tells.
func (r *Router) checkHealth() {
	if r.now < r.nextHealthCheck || r.sinceHealthCheck < requestsPerHealthCheck || len(r.caches.members) == 0 || !r.settings.HealthChecks ||
		r.settings.ReportChannel != ReportsWithHealthChecks || !slices.Contains(r.settings.ReportColumns, SignalLinkUtilization) {
		return
	}
	r.nextHealthCheck, r.sinceHealthCheck = r.now+healthCheckInterval, 0
	if n := r.caches.members[int(r.now/healthCheckInterval)%len(r.caches.members)]; r.isHealthy(n) {
		r.emit(Action{Kind: ActionHealthCheck, Endpoint: r.endpoints[n].id})
	}
}

// reportValidFor is how long a report of the location's link tells of it: some times as long as they are apart.
const reportValidFor = 2 * time.Second

// applyLoadReport reads a load report. A link whose size the settings tell is as wide as they say.
func (r *Router) applyLoadReport(n int32, rep *LoadReport) {
	for i := range min(rep.Count, len(r.settings.ReportColumns)) {
		x := rep.Values[i]
		switch {
		case r.settings.ReportColumns[i] == SignalUtilization:
			r.endpoints[n].utilization = x
		case r.settings.ReportColumns[i] != SignalLinkUtilization || r.endpoints[n].role != roleCache:
		case r.settings.ingressTransfers() > 0:
			r.ingress.reportedUtilization, r.ingress.reportedAt = r.ingress.reportedUtilization+(x-r.ingress.reportedUtilization)/4, r.now
		case x > 0.2 && r.totalTransfers(&r.ingress) > 0.5:
			seen := max(1, r.totalTransfers(&r.ingress)/x)
			if r.ingress.capacity <= 0 {
				r.ingress.capacity = seen
			}
			r.ingress.capacity += (seen - r.ingress.capacity) / 10
		}
	}
}

// maxSpill is how many caches after the ring's own may take a view that would be late there: more would spread
// copies of everything over the location.
const maxSpill = 1

// pickCache walks the ring from the view's point to the first cache that may have it: listed, in health, warm
// enough for this object, not asked yet, and predicted in time. If none is in time, it is the first: it may
// hold the object. Where none may have it, its share is not asked of cold caches, only their budget; then,
// where views may not pass the caches by, nor is health: what fails everywhere is shared.
func (r *Router) pickCache(v *request) int32 {
	p, failing := r.pickParent(v)
	if failing {
		p = r.origin
	}
	for pass := range 3 {
		first, left := noEndpoint, maxSpill+1
		found := r.walk(&r.caches, v.hash, func(c int32) bool {
			if pass == 0 && !r.takesObject(c, v.hash) || pass < 2 && !r.isHealthy(c) || !r.hasBudget(v, c) || r.hasAsked(v, c) {
				return false
			}
			if first == noEndpoint {
				first = c
			}
			left--
			return left < 0 || r.isInTime(v, c, p)
		})
		if found != noEndpoint && left >= 0 {
			return found
		}
		if first != noEndpoint || pass == 1 && r.settings.AllowDirect {
			return first
		}
	}
	return noEndpoint
}

// takesObject says whether a node takes the object: all objects once it is warm, while cold the share that it can
// give, chosen by the object's hash, so that all routers agree without talking. Guards rule 4.
func (r *Router) takesObject(n int32, hash uint64) bool {
	return float64(mix(hash^0xc01d)>>11)/(1<<53) < r.warmFraction(n)
}

// budgetSafety is the part of a cold node's budget that all routers together allow themselves: chance must fit
// too. guessedThroughput stands for what a warm one carries before any was seen to. minThroughputSpan is the span over
// which this is measured by a router alone; one of many sees less and takes longer, to maxThroughputSpan.
const (
	budgetSafety, guessedThroughput      = 0.6, 1
	minThroughputSpan, maxThroughputSpan = time.Second, 15 * time.Second
)

// throughputSpan is the span over which what a node carries for this router is measured.
func (r *Router) throughputSpan(n int32) time.Duration {
	return min(maxThroughputSpan, time.Duration(float64(minThroughputSpan)/r.shareOf(n)))
}

// hasBudget says whether a cold node can bear this view from this router now.
func (r *Router) hasBudget(v *request, n int32) bool {
	if d := &r.endpoints[n]; d.budgetFor != d.startedAt && r.warmFraction(n) < 1 {
		// Nothing saved up: all routers hear of its start at about the same time, or start together after it.
		d.budgetFor, d.nextAllowed = d.startedAt, r.now
		r.consumeBudget(v, n, r.random.float()*(1-r.shareOf(n)))
	}
	return r.warmFraction(n) >= 1 || r.now >= r.endpoints[n].nextAllowed
}

// consumeBudget puts the next view to a cold node as far off as this router's part of its budget asks: the stated
// multiple of its link, as told or as others like it were seen to carry for this router at their best (those
// that carried far less tell of little use), times its warmth. What is saved up and may go at once is what
// a window bears beside the turns that go on in it; a router whose part is less waits its turn, from a start
// by chance, so that many together keep the budget.
// Guards rule 4 when the load is far from usual: a lost location, retries, a dead neighbour.
func (r *Router) consumeBudget(v *request, n int32, times float64) {
	weight, warm := r.classes[v.class].transferTime.duration(), r.warmFraction(n)
	if warm >= 1 {
		return
	}
	if r.classes[v.class].transferTime.samples < minSizeSamples {
		weight = r.settings.Classes[v.class].LatencyObjective // until sizes are known: longer than any usual view
	}
	d, sum, count := &r.endpoints[n], 0.0, 0.0
	if r.settings.WeightIsLinkCapacity {
		sum = d.weight * r.shareOf(n)
	} else {
		for i := range r.endpoints {
			o := &r.endpoints[i]
			if most := o.throughput.peak; o.role == d.role && most > 0 && most > sum/max(1, count)/2 {
				sum += most
				count++
			}
		}
	}
	multiple := r.settings.OverloadFactor
	if d.role == roleParent {
		multiple = r.settings.ParentOverloadFactor
	}
	carries := max(guessedThroughput*r.shareOf(n), sum/max(1, count))
	rate := max(1e-6, budgetSafety*multiple*warm*carries) // a setting that is missing leaves it next to nothing
	gap := time.Duration(float64(weight) / rate)
	saved := time.Duration((1/budgetSafety - 1) * float64(r.settings.OverloadWindow))
	d.nextAllowed = max(d.nextAllowed, r.now-max(0, saved-gap)) + time.Duration(times*float64(gap))
}

// peakDecay is how long the peak of a rate is remembered: some times as long as a trouble lasts.
const peakDecay = time.Minute

// parentRemapAfter parts a brief failure of a parent from one that moves its arc: the design's 10 s.
const parentRemapAfter = 10 * time.Second

// pickParent names the ring's parent for the object, and whether it is failing for the moment. A parent that has
// failed for parentRemapAfter has handed its arc to the next one, but for trials.
func (r *Router) pickParent(v *request) (p int32, failing bool) {
	p = r.walk(&r.parents, v.hash, func(c int32) bool {
		h := &r.endpoints[c].health
		lost := h.ejected && r.now-h.ejectedAt >= parentRemapAfter && r.now < h.nextTrial
		return !lost && r.takesObject(c, v.hash) && r.hasBudget(v, c)
	})
	return p, p != noEndpoint && !r.isHealthy(p)
}

// pickOtherParent is a healthy parent that the view has not been filled from: where the origin cannot be reached
// for a failing parent's objects.
func (r *Router) pickOtherParent(v *request) int32 {
	return r.walk(&r.parents, v.hash, func(c int32) bool {
		return !v.hasTriedSource(c) && !r.endpoints[c].health.ejected && r.takesObject(c, v.hash) && r.hasBudget(v, c)
	})
}

// relayFor is how long after a list change a moved slot is filled from its former owner: the design's 30 s.
const relayFor = 30 * time.Second

// previousOwner is the cache that held the view's slot before it moved, or none. It must still hold it: a cold cache
// holds nothing, and one past its grace must not be asked. A cache that started lately is empty though its
// slot may not have moved: the next of the ring had it meanwhile.
func (r *Router) previousOwner(v *request) int32 {
	if r.settings.PeerFill == PeerFillNone {
		return noEndpoint
	}
	good := func(f int32) bool {
		return f != v.cache && r.isUsable(f) && !r.endpoints[f].health.ejected && r.warmFraction(f) >= 1
	}
	for i := len(r.previousRings) - 1; i >= 0 && r.now-r.previousRings[i].replacedAt < relayFor; i-- {
		f := r.walk(&r.previousRings[i].ring, v.hash, func(int32) bool { return true })
		if f != noEndpoint && good(f) {
			return f
		}
	}
	if r.now-r.endpoints[v.cache].startedAt < relayFor {
		return r.walk(&r.caches, v.hash, good)
	}
	return noEndpoint
}

// capacityTrustedFor is how long a room under one transfer is believed without news: then one goes on trial.
const capacityTrustedFor = 2 * time.Second

// slowdown is how many times longer than alone one more transfer takes, on a link that gives a part of its
// room.
func (r *Router) slowdown(p *link, part float64) float64 {
	if p.capacity <= 0 {
		return 1
	}
	room := p.capacity
	if r.now-p.observedAt > capacityTrustedFor {
		room = max(1, room)
	}
	return max(1, (r.totalTransfers(p)+1)/(room*part))
}

// concurrencySpan is the span over which a link's usual load by this router is measured, to tell what others of its
// kind put on it: some views, even where each router has few.
const concurrencySpan = 5 * time.Second

// congestedSlowdown parts a transfer at full pace, with the noise of its size and way, from one on a full link.
const congestedSlowdown = 1.25

// observe takes the stretch of a transfer and how many ran beside it. One at full pace shows that more fit than
// ran; a stretched one how many did, at the least so many: a slow node gives less than one. A tenth forgets
// in some ten transfers; where they are few, each counts twice.
func (p *link) observe(stretch, busy, least float64, now time.Duration) {
	pace := 0.1 + 0.1*min(1, (now-p.observedAt).Seconds())
	p.observedAt = now
	switch {
	case stretch < congestedSlowdown:
		if p.capacity > 0 && busy+1 > p.capacity*0.7 {
			p.capacity += 0.1 * max(1, busy+1-p.capacity)
		}
	case p.capacity <= 0:
		p.capacity = max(least, busy/stretch*1.5)
	default:
		p.capacity += pace * (max(least, busy/stretch) - p.capacity)
	}
}

// predict is the time until a leg's answer is through, the part of it that uses the link, and whether a fill
// is expected. src none: the time of a hit.
func (r *Router) predict(v *request, n, src int32) (expect time.Duration, duty float64, filled bool) {
	if r.settings.Classes[v.class].Write {
		return v.transferTime, 0, false
	}
	s := r.slowdown(&r.endpoints[n].link, r.warmFraction(n))
	wait := time.Duration(0)
	// A view past the caches comes through the location's link whatever the parent holds.
	far := r.endpoints[n].role > roleCache
	filled = far || src != n && src != noEndpoint && !r.isExpectedAt(v, n)
	if filled && (far || r.endpoints[src].role != roleCache) {
		s = max(s, r.slowdown(&r.ingress, 1))
		wait = r.endpoints[src].cachedFillWait
		if src == r.origin {
			wait = r.origins.wait
		}
	}
	grow := congestionGrowth
	if n == r.localCache {
		grow = 0 // one transfer after the other, and nobody else's
	}
	send := time.Duration(float64(v.transferTime) * (s + (s-1)*grow))
	return wait + send, float64(send+ms) / float64(wait+send+ms), filled
}

// predictionMargin is what the rest of a prediction may be off. growth is how much more a shared link is stretched,
// over its stretch on arrival, by the views that come while this one is sent: a full link stays full. Both
// were tried: less growth lets views in that end late, more turns back on calm days.
const predictionMargin, congestionGrowth = 1.2, 1.6

// isInTime is the admission test. A tenant's views over its allowance must leave room for others'.
func (r *Router) isInTime(v *request, n, src int32) bool {
	expect, _, filled := r.predict(v, n, src)
	if filled && r.now < r.endpoints[n].noFillsUntil {
		return false
	}
	if v.overQuota {
		expect *= 2
	}
	return r.now+time.Duration(predictionMargin*float64(expect)) <= v.objectiveAt
}

// The gate limits how many fills that wait for the origin are out at once. It closes when views are late
// after waiting for the origin for half their due time, or it fails, and opens again with each answer in good
// time. Guards against a slow, crowded or stopped origin, and against pushing it over; also holds back fills
// while many caches are empty. It hurts when a few slow answers shut it: then views are turned back that the
// origin could have served.
// initialOriginLimit fits a usual load from the start on, but no herd of routers that know nothing yet; wideOriginLimit is
// wide, and twice what is out with answers in good time may be more: the gate matters when answers say so.
// minOriginLimit keeps trials going. Answers within originFailureInterval were under way together and tell one thing. hope is
// the part of the usual wait that a fill may be spared: half of all waits are shorter. 0.7 did no more.
const initialOriginLimit, wideOriginLimit, minOriginLimit, originFailureInterval, sparedWait = 8, 24, 1, 100 * ms, 0.5

func (g *originLimiter) observe(wait time.Duration, late bool, now time.Duration) {
	// A running median: waits are skewed, and a few long ones don't make the next one late. Where answers are
	// few, each moves it further.
	step := time.Duration(min(0.4, 0.07+0.15*(now-g.observedAt).Seconds()) * float64(g.wait))
	if g.observedAt = now; g.wait == 0 {
		g.wait = wait
	} else if wait > g.wait {
		g.wait += step
	} else {
		g.wait -= step
	}
	if late {
		g.recordFailure(now)
		return
	}
	g.goodAt = now
	g.limit = min(max(wideOriginLimit, 2*g.inFlight.current/g.share), g.limit+0.5+1.5*g.scarcity())
}

// scarcity is how far a router with a part of a gate must take its few answers to speak for those of others.
func (g *originLimiter) scarcity() float64 { return (1 - g.share) * (1 - g.share) }

func (g *originLimiter) recordFailure(now time.Duration) {
	if now-g.reducedAt >= originFailureInterval {
		g.reducedAt = now
		g.limit = max(minOriginLimit, g.limit*(0.75-0.7*g.scarcity()))
	}
}

// A failure moves the rate of failures by this much: an error answer is softer than a lost connection.
const softFailure, hardFailure = 0.15, 0.3

// ejectionRate is the rate at which a node goes out: two lost connections, or four errors in a row. Trials begin
// after firstTrialInterval, then at twice the distance up to maxTrialInterval; successesToReturn good ones in a row end them.
const (
	ejectionRate       = 0.45
	firstTrialInterval = time.Second
	maxTrialInterval   = 4 * time.Second
	successesToReturn  = 3
)

// isHealthy: in, or due for a trial, which send then counts as begun.
func (r *Router) isHealthy(n int32) bool {
	h := &r.endpoints[n].health
	return !h.ejected || r.now >= h.nextTrial
}

func (r *Router) recordFailure(n int32, by float64) {
	h := &r.endpoints[n].health
	h.failureRate += by * (1 - h.failureRate)
	h.successes = 0
	h.wasSilent = by == hardFailure
	if h.ejected {
		h.trialInterval = min(maxTrialInterval, 2*h.trialInterval)
		h.nextTrial = r.now + h.trialInterval
	} else if h.failureRate > ejectionRate {
		h.ejected, h.ejectedAt, h.nextTrial, h.trialInterval = true, r.now, r.now+firstTrialInterval, firstTrialInterval
		r.logEndpoint("out", n)
	}
}

// recordSuccess takes an answer to a leg sent at that time. One sent before a silence, or one from a kept copy, shows
// that nothing was lost.
func (r *Router) recordSuccess(n int32, sent time.Duration, kept bool) {
	d := &r.endpoints[n]
	d.lastHeardAt = r.now
	h := &d.health
	h.failureRate -= softFailure * h.failureRate
	if !h.ejected {
		return
	}
	h.wasSilent = h.wasSilent && sent >= h.ejectedAt && !kept
	if h.successes++; h.successes >= successesToReturn {
		// Gone without a word and back: taken for restarted, so cold and empty. A list may say so too late.
		if h.wasSilent {
			d.startedAt = max(d.startedAt, r.now-firstTrialInterval)
		}
		*h = endpointHealth{}
		r.logEndpoint("back", n)
	}
}

// historySize is a power of two, some times what is asked for within cachedFor, which is how long a cache is
// expected to hold what was not asked for again.
const historySize, cachedFor = 1 << 14, 10 * time.Second

// isExpectedAt says whether the node is expected to have the view's object.
func (r *Router) isExpectedAt(v *request, n int32) bool {
	m := r.findRecord(v)
	return m != nil && m.holder == n && r.now-m.seenAt < cachedFor && m.seenAt >= r.endpoints[n].startedAt
}

// cacheRank is the rank at which a copy is kept: the lowest at first sight, the next when it is asked for again.
func (r *Router) cacheRank(v *request) uint8 {
	if m := r.findRecord(v); m != nil && m.requests > 0 {
		return 2
	}
	return 1
}

// maxAge is the oldest copy that will do: 0 for the tariff's own limit, else younger than the last purge. A purge
// makes the tariff's limit stricter, never laxer.
func (r *Router) maxAge(v *request) time.Duration {
	oldest, fresh := time.Duration(0), r.settings.Classes[v.class].FreshFor
	for _, p := range r.purges {
		if r.now-p.issuedAt > r.settings.PurgeCompleteAfter || p.object != v.object && (p.object != 0 || p.group != v.group) {
			continue
		}
		if age := max(ms, r.now-p.issuedAt-ms); (fresh == 0 || age < fresh) && (oldest == 0 || age < oldest) {
			oldest = age
		}
	}
	return oldest
}

// pointsPerEndpoint a member evens the arcs to some six in a hundred. maxPreviousRings are kept for the relay: a deploy
// changes the list every few seconds.
const pointsPerEndpoint, maxPreviousRings = 200, 3
