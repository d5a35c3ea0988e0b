package routing

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
