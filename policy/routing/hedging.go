package routing

import "time"

const (
	// overdueFactor is the multiple of its predicted duration that an attempt may take before it is overdue.
	overdueFactor = 2
	// overdueMargin is the additional delay before an attempt is overdue. It covers a short pause of an endpoint or a
	// retransmitted packet; with less, healthy endpoints are ejected.
	overdueMargin = 150 * ms
)

// overdueAge returns the age at which an attempt with the expected duration is overdue.
func overdueAge(expected time.Duration) time.Duration { return overdueFactor*expected + overdueMargin }

// checkOverdueAttempts retries writes whose backoff is over, and hedges requests with overdue attempts. This protects
// against silent caches and parents (crashed, disconnected or stalled). If an endpoint only pauses for a long time, the
// object may be transferred twice.
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
// since the attempt was sent. A request of known size is also hedged if both have shown one.
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
		return // the attempt may still wait for the origin
	}
	silent := r.silentEndpoint(att)
	if silent != att.endpoint && !att.needsFill && !req.sizeInRequest {
		return
	}
	att.state = attemptOverdue
	if silent != noEndpoint {
		r.recordFailure(silent, hardFailureWeight)
		r.originLimiter.end(att.originShare, r.now) // the attempt no longer waits for the origin
		att.originShare = 0
	} else if !req.sizeKnown {
		return // the transfer may just be long
	}
	r.hedge(req, att, silent)
}

// isLateFill reports whether a fill from or through the origin is so late that the origin must be slow. While a parent
// is silent, only one of the fills that wait for it counts.
func (r *Router) isLateFill(req *request, att *attempt, age time.Duration) bool {
	if !req.sizeInRequest || !att.needsFill || att.originShare <= 0 || att.state == attemptCountedLate {
		return false
	}
	source := &r.endpoints[att.source]
	return age > overdueFactor*req.transferTime+r.originLimiter.wait &&
		(att.source == r.origin || source.lateFillAt <= source.lastHeardAt)
}

// countLateFill counts a late fill at the origin limiter.
func (r *Router) countLateFill(att *attempt, age time.Duration) {
	att.state = attemptCountedLate
	r.endpoints[att.source].lateFillAt = r.now
	r.originLimiter.observe(age, true, r.now)
}

// silentEndpoint returns the endpoint, or else the source, of the attempt if it has shown no sign of life since the
// attempt was sent, and noEndpoint if both have. Sources are checked only with DetailFull, since no other answers show
// that a source is alive.
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

// hedge sends another attempt while the overdue attempt is in flight: with another source if the source is silent, else
// to another cache.
func (r *Router) hedge(req *request, att *attempt, silent endpointIndex) {
	isRepeatable := r.settings.Classes[req.class].Idempotency != NonIdempotent
	if !isRepeatable || r.now > req.objectiveAt || !r.retries.hasToken() {
		return
	}
	r.retries.take()
	if silent == att.source && silent != att.endpoint {
		req.cache = att.endpoint
		r.sendWithFill(req, stageOrigin)
	} else if cache := r.pickCache(req); cache != noEndpoint {
		req.cache = cache
		r.sendWithFill(req, stageRelay)
	}
}
