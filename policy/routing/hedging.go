package routing

import "time"

const (
	// overdueFactor is how many times its predicted time an attempt may take.
	overdueFactor = 2
	// overdueAfter is how far past that an attempt may be before silence counts: a short pause of an endpoint or a
	// resent packet should fit.
	overdueAfter = 150 * ms
)

// overdueAge is the age from which an attempt that was expected to take so long is overdue.
func overdueAge(expected time.Duration) time.Duration { return overdueFactor*expected + overdueAfter }

// checkOverdueAttempts sends writes again whose backoff is over, and hedges requests with overdue attempts. Guards
// against silent caches and parents (vanished, cut off, stalled). An endpoint's long pause may cost a double transfer.
func (r *Router) checkOverdueAttempts() {
	for i := range r.requests.slots {
		req := &r.requests.slots[i]
		if req.state != requestOpen {
			continue
		}
		if req.retryWriteAt > 0 && r.now >= req.retryWriteAt {
			r.sendWrite(req)
			continue
		}
		for k := range req.attemptCount {
			r.checkOverdueAttempt(req, &req.attempts[k])
		}
	}
}

// checkOverdueAttempt hedges the request if the attempt is overdue and its endpoint or source has shown no sign of life
// since it was sent; or, with a known size, if the endpoint lives but the attempt does not end.
func (r *Router) checkOverdueAttempt(req *request, att *attempt) {
	age := r.now - att.sentAt
	if !att.isPending() || req.transferTime == 0 || age < overdueAge(att.expected) || att.endpoint == r.origin {
		return
	}
	if r.isLateFill(req, att, age) {
		r.countLateFill(att, age)
		return
	}
	if !att.onlyIfCached && age < overdueAge(att.expected+r.originLimiter.wait) && att.needsFill {
		return // it may well wait for the origin
	}
	silent := r.silentEndpoint(att)
	if silent != att.endpoint && !att.needsFill && !req.sizeTold {
		return
	}
	att.state = attemptOverdue
	if silent != noEndpoint {
		r.recordFailure(silent, hardFailure)
		r.originLimiter.end(att.originShare, r.now) // nothing of it waits for the origin any more
		att.originShare = 0
	} else if !req.sizeKnown {
		return // it may just be long
	}
	r.hedge(req, att, silent)
}

// isLateFill reports whether a fill from the origin, or by way of it, is so late that the origin must be slow. A
// parent's silence counts once, not with each fill that waits for it.
func (r *Router) isLateFill(req *request, att *attempt, age time.Duration) bool {
	if !req.sizeTold || !att.needsFill || att.originShare <= 0 || att.state == attemptCountedLate {
		return false
	}
	source := &r.endpoints[att.source]
	return age > overdueFactor*req.transferTime+r.originLimiter.wait &&
		(att.source == r.origin || source.lateFillAt <= source.lastHeardAt)
}

// countLateFill tells the origin limiter of a late fill.
func (r *Router) countLateFill(att *attempt, age time.Duration) {
	att.state = attemptCountedLate
	r.endpoints[att.source].lateFillAt = r.now
	r.originLimiter.observe(age, true, r.now)
}

// silentEndpoint is the endpoint, or else the source, of the attempt that has shown no sign of life since it was sent.
// Of sources only full answers tell.
func (r *Router) silentEndpoint(att *attempt) endpointIndex {
	if r.endpoints[att.endpoint].lastHeardAt < att.sentAt {
		return att.endpoint
	}
	if att.source != r.origin && r.settings.ResponseDetail == DetailFull &&
		r.endpoints[att.source].lastHeardAt < att.sentAt {
		return att.source
	}
	return noEndpoint
}

// hedge sends a second attempt beside an overdue one: past the source if that one is silent, else by another cache.
func (r *Router) hedge(req *request, att *attempt, silent endpointIndex) {
	isRepeatable := r.settings.Classes[req.class].Idempotency != NonIdempotent
	if !isRepeatable || r.now > req.objectiveAt || !r.retries.canSpend() {
		return
	}
	r.retries.spend()
	if silent == att.source && silent != att.endpoint {
		req.cache = att.endpoint
		r.sendWithFill(req, stageOrigin)
	} else if cache := r.pickCache(req); cache != noEndpoint {
		req.cache = cache
		r.sendWithFill(req, stageRelay)
	}
}
