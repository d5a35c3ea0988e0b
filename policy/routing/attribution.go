package routing

import "time"

const (
	// connectionBreakInterval is the minimum time between two broken connections to an endpoint that count as separate
	// failures. One broken connection may end many attempts, which would otherwise eject the endpoint.
	connectionBreakInterval = 20 * ms
	// noFillsDuration is the time in which a cache that had no capacity gets no requests that need a fill. Meanwhile, some
	// of its transfers end.
	noFillsDuration = 100 * ms
)

// attributeFailure counts a failure against its cause: the endpoint, the source or the origin.
func (r *Router) attributeFailure(req *request, att *attempt, event *Event, failure failureKind) {
	if att.endpoint == r.origin {
		// A client that left before the objective says nothing about the origin.
		if failure != failureNotCached && (event.Outcome != Cancelled || r.now >= req.objectiveAt) {
			r.originLimiter.recordFailure(r.now)
		}
		return
	}
	target := &r.endpoints[att.endpoint]
	switch failure {
	case failureEndpoint:
		r.attributeToEndpoint(req, att, event.Outcome)
		return
	case failureNoCapacity:
		target.noFillsUntil = r.now + noFillsDuration
	case failureSource:
		r.attributeToSource(att, event)
	case failureOrigin:
		r.originLimiter.recordFailure(r.now)
		r.endpoints[att.source].lastHeardAt = r.now
	case failureNotCached:
		r.endpoints[att.source].lastHeardAt = r.now
	default: // a timeout or a failure caused by the request: counted against no endpoint
		return
	}
	target.lastHeardAt = r.now
}

// attributeToEndpoint counts a failure without a note against the endpoint. An error answer counts only once another
// endpoint has answered the request, so that requests that fail everywhere do not eject endpoints.
func (r *Router) attributeToEndpoint(req *request, att *attempt, outcome Outcome) {
	target := &r.endpoints[att.endpoint]
	switch {
	case outcome == Failed:
		req.lastErrorFrom = att.endpoint // the result of the next endpoint shows whether the request is the cause
	case outcome != ConnectionBroken:
		r.recordFailure(att.endpoint, hardFailureWeight)
	case r.now-target.brokenAt >= connectionBreakInterval:
		target.brokenAt = r.now
		r.recordFailure(att.endpoint, softFailureWeight)
	}
}

// attributeToSource counts a failed fill against its source or the origin.
func (r *Router) attributeToSource(att *attempt, event *Event) {
	switch {
	case att.source == r.origin || r.wasWaitingForOrigin(att, event.FirstByteWait):
		r.originLimiter.recordFailure(r.now)
	case event.Note == NoteSourceUnreachable:
		r.recordFailure(att.source, hardFailureWeight)
	default:
		r.recordFailure(att.source, softFailureWeight)
	}
}

// wasWaitingForOrigin reports whether a source probably failed because it waited for the origin: it failed late, it has
// shown a sign of life since the attempt was sent, and the origin has given no timely answer since then.
func (r *Router) wasWaitingForOrigin(att *attempt, firstByteWait time.Duration) bool {
	return !att.onlyIfCached && firstByteWait > overdueMargin &&
		r.endpoints[att.source].lastHeardAt > att.sentAt && r.originLimiter.lastTimelyAt < att.sentAt
}
