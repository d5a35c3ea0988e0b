package routing

import "time"

const (
	// simultaneousBreaks is how far apart broken connections count more than once: what ends one connection may end
	// many attempts.
	simultaneousBreaks = 20 * ms
	// noFillsFor is how long a cache that had no capacity is asked for no fills: some transfers end meanwhile.
	noFillsFor = 100 * ms
)

// attributeFailure tells endpoint, source, origin and request apart as the cause of a failure.
func (r *Router) attributeFailure(req *request, att *attempt, event *Event, failure failureKind) {
	if att.endpoint == r.origin {
		// A client that left before its objective tells nothing.
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
	default: // a timeout, or the request's own fault: nobody is to blame
		return
	}
	answered.lastHeardAt = r.now
}

// attributeToEndpoint counts a failure without a note. An error answer counts only once another endpoint has answered
// the request: guards against clients that ask for what no endpoint can do.
func (r *Router) attributeToEndpoint(req *request, att *attempt, outcome Outcome) {
	target := &r.endpoints[att.endpoint]
	switch {
	case outcome == Failed:
		req.failedBy = att.endpoint // the next endpoint that it is sent to tells whose fault it is
	case outcome != ConnectionBroken:
		r.recordFailure(att.endpoint, hardFailure)
	case r.now-target.brokenAt >= simultaneousBreaks:
		target.brokenAt = r.now
		r.recordFailure(att.endpoint, softFailure)
	}
}

// attributeToSource counts a failure of the source of a fill.
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

// wasWaitingForOrigin reports whether a source that failed was itself waiting for the origin: it was heard of since the
// attempt was sent and took its time to fail, and the origin did not answer in good time meanwhile.
func (r *Router) wasWaitingForOrigin(att *attempt, firstByteWait time.Duration) bool {
	return !att.onlyIfCached && firstByteWait > overdueAfter &&
		r.endpoints[att.source].lastHeardAt > att.sentAt && r.originLimiter.goodAt < att.sentAt
}
