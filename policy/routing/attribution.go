package routing

import "time"

const (
	// simultaneousBreaks is the minimum time between two broken connections to an endpoint that count as separate
	// failures. One broken connection may end many attempts, which would otherwise eject the endpoint.
	simultaneousBreaks = 20 * ms
	// noFillsFor is the time during which a cache that had no capacity gets no requests that need a fill. Some transfers
	// end in this time.
	noFillsFor = 100 * ms
)

// attributeFailure counts a failure against its cause: the endpoint, the source, the origin or the request.
func (r *Router) attributeFailure(req *request, att *attempt, event *Event, failure failureKind) {
	if att.endpoint == r.origin {
		// A client that left before the objective says nothing about the origin.
		if failure != failureNotCached && (event.Outcome != Cancelled || r.now >= req.objectiveAt) {
			r.originLimiter.recordFailure(r.now)
		}
		return
	}
	answered := &r.endpoints[att.endpoint]
	switch failure {
	case failureEndpoint:
		r.attributeToEndpoint(req, att, event.Outcome)
		return
	case failureNoCapacity:
		answered.noFillsUntil = r.now + noFillsFor
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
	answered.lastHeardAt = r.now
}

// attributeToEndpoint counts a failure without a note against the endpoint. An error answer counts only once another
// endpoint has answered the request, so that requests that fail everywhere do not eject endpoints.
func (r *Router) attributeToEndpoint(req *request, att *attempt, outcome Outcome) {
	target := &r.endpoints[att.endpoint]
	switch {
	case outcome == Failed:
		req.failedBy = att.endpoint // the result of the next endpoint shows whether the request is the cause
	case outcome != ConnectionBroken:
		r.recordFailure(att.endpoint, hardFailure)
	case r.now-target.brokenAt >= simultaneousBreaks:
		target.brokenAt = r.now
		r.recordFailure(att.endpoint, softFailure)
	}
}

// attributeToSource counts a failed fill against its source or the origin.
func (r *Router) attributeToSource(att *attempt, event *Event) {
	switch {
	case att.source == r.origin || r.wasWaitingForOrigin(att, event.FirstByteWait):
		r.originLimiter.recordFailure(r.now)
	case event.Note == NoteSourceUnreachable:
		r.recordFailure(att.source, hardFailure)
	default:
		r.recordFailure(att.source, softFailure)
	}
}

// wasWaitingForOrigin reports whether a source probably failed because it waited for the origin: it failed late, it has
// shown a sign of life since the attempt was sent, and the origin has given no timely answer since then.
func (r *Router) wasWaitingForOrigin(att *attempt, firstByteWait time.Duration) bool {
	return !att.onlyIfCached && firstByteWait > overdueAfter &&
		r.endpoints[att.source].lastHeardAt > att.sentAt && r.originLimiter.goodAt < att.sentAt
}
