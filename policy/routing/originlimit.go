package routing

import "time"

const (
	// initialOriginLimit fits a usual load from the start on, but not that of many routers that start together.
	initialOriginLimit = 8
	// wideOriginLimit is wide. Twice what is in flight with answers in good time may be more: the limit matters when
	// answers say so.
	wideOriginLimit = 24
	// minOriginLimit keeps trials going.
	minOriginLimit = 1
	// originFailureInterval is the time within which answers were under way together and tell one thing.
	originFailureInterval = 100 * ms
	// sparableWait is the part of the usual wait that a fill may be spared: half of all waits are shorter. 0.7 did no
	// more.
	sparableWait = 0.5
	// limitIncrease is how far an answer in good time raises the limit, and scarceLimitIncrease how much further where
	// answers are scarce.
	limitIncrease       = 0.5
	scarceLimitIncrease = 1.5
	// limitDecrease is what a failure leaves of the limit, and scarceLimitDecrease how much less where answers are
	// scarce.
	limitDecrease       = 0.75
	scarceLimitDecrease = 0.7
	// limitHeadroom is how many times what is in flight the limit may rise to.
	limitHeadroom = 2
	// waitPace is how far an observation moves the usual wait. It grows with the time since the last one, to
	// maxWaitPace.
	waitPace          = 0.07
	waitPacePerSecond = 0.15
	maxWaitPace       = 0.4
	// originLimiterCaches is how many caches a router with a whole limit has behind it: one of many routers that share
	// few caches gets less, and less than a slot is a part of the time.
	originLimiterCaches = 4
	// originTrialInterval is the distance of trials of a whole limit while it is closed: failures may come at once, so
	// that slots alone would let all routers through at once, and parents and caches try on their own.
	originTrialInterval = 600 * ms
)

// originLimiter is an adaptive concurrency limit on the fills that wait for the origin. It closes when requests are
// late after they waited for the origin for half their objective, or when it fails, and opens again with each answer
// in good time. Guards against a slow, overloaded or stopped origin, and against pushing it over; also holds back
// fills while many caches are empty. It hurts when a few slow answers close it: then requests are rejected that the
// origin could have served.
type originLimiter struct {
	limit       float64
	share       float64       // this router's part of a whole limit
	inFlight    concurrency   // the fills that wait
	wait        time.Duration // usual time to the first byte by way of the origin
	originShare float64       // the part of the parents' fills that went to the origin
	reducedAt   time.Duration
	goodAt      time.Duration // last answer in good time
	observedAt  time.Duration // last observation of the wait
	nextTrial   time.Duration // no trial before, while it is closed
	closed      bool          // as last logged
}

// observe takes the wait of a fill by way of the origin.
func (o *originLimiter) observe(wait time.Duration, isLate bool, now time.Duration) {
	o.observeWait(wait, now)
	if isLate {
		o.recordFailure(now)
		return
	}
	o.goodAt = now
	widest := max(wideOriginLimit, limitHeadroom*o.inFlight.current/o.share)
	o.limit = min(widest, o.limit+limitIncrease+scarceLimitIncrease*o.scarcity())
}

// observeWait moves the usual wait, a running median: waits are skewed, and a few long ones don't make the next one
// late. Where answers are few, each moves it further.
func (o *originLimiter) observeWait(wait, now time.Duration) {
	pace := min(maxWaitPace, waitPace+waitPacePerSecond*(now-o.observedAt).Seconds())
	step := time.Duration(pace * float64(o.wait))
	o.observedAt = now
	switch {
	case o.wait == 0:
		o.wait = wait
	case wait > o.wait:
		o.wait += step
	default:
		o.wait -= step
	}
}

// recordFailure reduces the limit, once for all failures that come together.
func (o *originLimiter) recordFailure(now time.Duration) {
	if now-o.reducedAt >= originFailureInterval {
		o.reducedAt = now
		o.limit = max(minOriginLimit, o.limit*(limitDecrease-scarceLimitDecrease*o.scarcity()))
	}
}

// scarcity is how far a router with a part of a limit must take its few answers to speak for those of others.
func (o *originLimiter) scarcity() float64 { return (1 - o.share) * (1 - o.share) }

// isClosed reports whether only trials are let through.
func (o *originLimiter) isClosed() bool { return o.limit <= minOriginLimit }

// hasCapacity reports whether one of so many slots is free.
func (o *originLimiter) hasCapacity(slots float64, now time.Duration) bool {
	if o.isClosed() {
		return o.inFlight.current < minOriginLimit && now >= o.nextTrial
	}
	slots *= o.share
	return o.inFlight.current < max(1, slots) && (slots >= 1 || o.inFlight.averageAt(now) < slots)
}

// begin counts a fill that may wait for the origin for a part of its time. jitter spreads the trials of all routers.
func (o *originLimiter) begin(part, jitter float64, now time.Duration) {
	o.inFlight.add(part, now)
	o.nextTrial = now + time.Duration((0.5+jitter)*float64(originTrialInterval)/o.share)
}

// end takes off a fill that has ended, or that no longer waits for the origin.
func (o *originLimiter) end(part float64, now time.Duration) { o.inFlight.add(-part, now) }

// sparedWait is the part of the usual wait that a fill may hope to be spared, more of it the wider the limit is.
func (o *originLimiter) sparedWait() time.Duration {
	return time.Duration(sparableWait * (1 - o.scarcity()) * min(1, o.limit/wideOriginLimit) * float64(o.wait))
}

// updateClosed reports whether the limiter has closed, or is open again, since the last call. It counts as open only at
// its initial limit, so that it is not logged with each trial.
func (o *originLimiter) updateClosed() (changed bool) {
	closed := o.isClosed()
	if closed == o.closed || !closed && o.limit < initialOriginLimit {
		return false
	}
	o.closed = closed
	return true
}

// logOriginLimiter logs that the limiter has closed or is open again.
func (r *Router) logOriginLimiter() {
	if !r.originLimiter.updateClosed() {
		return
	}
	state := "origin limiter open"
	if r.originLimiter.closed {
		state = "origin limiter closed"
	}
	r.logEndpoint(state, r.origin)
}

// mayReachOrigin reports whether a fill from the source may go although it may have to wait for the origin: the limiter
// has capacity and the fill comes in time, with luck where the limit is wide. One at a time goes in any case: who else
// would see the origin recover?
func (r *Router) mayReachOrigin(req *request, index, source endpointIndex) bool {
	if source == noEndpoint || r.now >= req.objectiveAt {
		return false
	}
	predicted := r.predict(req, index, source)
	expected := predicted.duration
	if predicted.needsFill && source != r.origin {
		expected += r.originLimiter.wait
	}
	expected -= r.originLimiter.sparedWait()
	if r.originLimiter.hasCapacity(minOriginLimit, r.now) {
		return true
	}
	return r.originLimiter.hasCapacity(r.originLimiter.limit, r.now) && r.now+expected <= req.objectiveAt
}

// originLimiterShare is this router's part of a whole limit.
func (r *Router) originLimiterShare() float64 {
	return min(1, r.trafficShare*float64(max(1, len(r.caches.members)))/originLimiterCaches)
}
