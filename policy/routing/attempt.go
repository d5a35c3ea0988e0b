package routing

import (
	"time"
)

// maxAttempts is how many legs a view has places for; one more would hardly come in its due time.
const maxAttempts = 8

type attempt struct {
	endpoint, source     int32
	sentAt, expected     time.Duration // expect: predicted time to its end
	linkShare            float64       // part of its time in which it uses the link
	originShare          float64       // part of its time in which it may wait for the origin
	inFlight, mayHaveRun bool          // still out; may have run
	overdue              bool          // found overdue already
	onlyIfCached         bool          // the source gives only what it holds
	needsFill            bool          // predicted to need a fill
	storesCopy           bool          // the cache keeps a copy
	countedLate          bool          // counted at the gate as late
}

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
