package routing

import "time"

const (
	// initialOriginLimit is the limit at the start, in fills. It admits the usual load of one router. A larger limit
	// would overload the origin when many routers start together.
	initialOriginLimit = 8
	// baseMaxOriginLimit is the value, in fills, up to which timely answers raise the limit at any load. The limit rises
	// further only while more than half of it is in use. Late answers soon reduce a limit that is too high.
	baseMaxOriginLimit = 24
	// minOriginLimit is the lower bound of the limit, in fills. With less, no trial fills would be sent.
	minOriginLimit = 1
	// originFailureInterval is the time within which several failures reduce the limit only once. Their attempts were
	// in flight together, so their failures have the same cause.
	originFailureInterval = 100 * ms
	// maxWaitDiscount is the maximum share of the usual wait that is subtracted from the prediction for admitting a fill.
	// Half of all waits are shorter than the usual wait, so many such fills end in time.
	maxWaitDiscount = 0.5
	// limitIncrease is the number of fills by which a timely answer raises the limit. scarceLimitIncrease is the
	// additional number at a scarcity of 1.
	limitIncrease       = 0.5
	scarceLimitIncrease = 1.5
	// limitDecreaseFactor is the factor by which a failure multiplies the limit. scarceLimitDecrease is subtracted from
	// the factor at a scarcity of 1.
	limitDecreaseFactor = 0.75
	scarceLimitDecrease = 0.7
	// limitHeadroom is the multiple of the fills in flight up to which the limit may rise.
	limitHeadroom = 2
	// waitStepShare is the share of the usual wait by which an observation moves the usual wait. The share grows by
	// waitStepSharePerSecond with the time since the last observation, up to maxWaitStepShare.
	waitStepShare          = 0.07
	waitStepSharePerSecond = 0.15
	maxWaitStepShare       = 0.4
	// fullOriginLimitCaches is the number of caches per router from which a router has a full limit. A router that shares
	// few caches with many other routers has a smaller limit. A limit below one fill admits fills only part of the time.
	fullOriginLimitCaches = 4
	// originTrialInterval is the mean interval between trials of a router with a full limit while the limiter is closed.
	// Failures may reach all routers at the same time, and without the interval all would send a trial at once. Parents
	// and caches also retry the origin on their own.
	originTrialInterval = 600 * ms
)

// originLimiter is an adaptive concurrency limit on the fills that wait for the origin. Failures of the origin reduce
// the limit, and so do requests that are late after waiting for the origin for more than half their objective. Each
// timely answer raises the limit. The limiter protects a slow, overloaded or stopped origin, and holds back fills while
// many caches are empty. Its drawback: if a few slow answers close the limiter, requests are rejected that the origin
// could have served.
type originLimiter struct {
	limit        float64
	share        float64       // this router's share of a full limit
	inFlight     concurrency   // fills that wait for the origin
	wait         time.Duration // usual time to the first byte of a fill through the origin
	originShare  float64       // share of the parents' fills that reached the origin
	reducedAt    time.Duration
	lastTimelyAt time.Duration // time of the last timely answer
	observedAt   time.Duration // time of the last observation of the wait
	nextTrial    time.Duration // earliest time of the next trial while the limiter is closed
	closed       bool          // whether the limiter was last logged as closed
}

// observe takes the wait of a fill through the origin, and whether its request is late.
func (o *originLimiter) observe(wait time.Duration, isLate bool, now time.Duration) {
	o.observeWait(wait, now)
	if isLate {
		o.recordFailure(now)
		return
	}
	o.lastTimelyAt = now
	maxLimit := max(baseMaxOriginLimit, limitHeadroom*o.inFlight.current/o.share)
	o.limit = min(maxLimit, o.limit+limitIncrease+scarceLimitIncrease*o.scarcity())
}

// observeWait adjusts the usual wait, which is a running median. Waits are skewed, and a few long waits do not make the
// next request late. If answers are rare, each moves the median further.
func (o *originLimiter) observeWait(wait, now time.Duration) {
	share := min(maxWaitStepShare, waitStepShare+waitStepSharePerSecond*(now-o.observedAt).Seconds())
	step := time.Duration(share * float64(o.wait))
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

// recordFailure reduces the limit, but only once for several failures within originFailureInterval.
func (o *originLimiter) recordFailure(now time.Duration) {
	if now-o.reducedAt >= originFailureInterval {
		o.reducedAt = now
		o.limit = max(minOriginLimit, o.limit*(limitDecreaseFactor-scarceLimitDecrease*o.scarcity()))
	}
}

// scarcity says, from 0 to 1, how few of the origin's answers this router sees. The smaller its share of a full limit,
// the more each answer must stand for the answers that other routers see.
func (o *originLimiter) scarcity() float64 { return (1 - o.share) * (1 - o.share) }

// isClosed reports whether only trials are admitted.
func (o *originLimiter) isClosed() bool { return o.limit <= minOriginLimit }

// hasCapacity reports whether this router may send a fill under a full limit of the given number of slots.
func (o *originLimiter) hasCapacity(slots float64, now time.Duration) bool {
	if o.isClosed() {
		return o.inFlight.current < minOriginLimit && now >= o.nextTrial
	}
	slots *= o.share
	return o.inFlight.current < max(1, slots) && (slots >= 1 || o.inFlight.averageAt(now) < slots)
}

// begin counts a fill that may wait for the origin for a part of its duration. jitter, from 0 to 1, spreads the trials
// of all routers over time.
func (o *originLimiter) begin(part, jitter float64, now time.Duration) {
	o.inFlight.add(part, now)
	o.nextTrial = now + time.Duration((0.5+jitter)*float64(originTrialInterval)/o.share)
}

// end stops counting a fill that has ended or no longer waits for the origin.
func (o *originLimiter) end(part float64, now time.Duration) { o.inFlight.add(-part, now) }

// waitDiscount returns the part of the usual wait that is subtracted from the prediction for admitting a fill. It grows
// with the limit.
func (o *originLimiter) waitDiscount() time.Duration {
	return time.Duration(maxWaitDiscount * (1 - o.scarcity()) * min(1, o.limit/baseMaxOriginLimit) * float64(o.wait))
}

// updateClosed reports whether the limiter has closed or opened since the last call. It counts as open again only at
// the initial limit, so that trials do not cause log lines.
func (o *originLimiter) updateClosed() (changed bool) {
	closed := o.isClosed()
	if closed == o.closed || !closed && o.limit < initialOriginLimit {
		return false
	}
	o.closed = closed
	return true
}

// logOriginLimiter logs when the limiter has closed or opened.
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

// mayReachOrigin reports whether a fill that may have to wait for the origin is admitted: the limiter has capacity, and
// the predicted duration less the wait discount meets the objective. One fill at a time is admitted whatever its
// prediction, since otherwise no router would notice that the origin has recovered.
func (r *Router) mayReachOrigin(req *request, index, source endpointIndex) bool {
	if source == noEndpoint || r.now >= req.objectiveAt {
		return false
	}
	predicted := r.predict(req, index, source)
	expected := predicted.duration
	if predicted.needsFill && source != r.origin {
		expected += r.originLimiter.wait
	}
	expected -= r.originLimiter.waitDiscount()
	if r.originLimiter.hasCapacity(minOriginLimit, r.now) {
		return true
	}
	return r.originLimiter.hasCapacity(r.originLimiter.limit, r.now) && r.now+expected <= req.objectiveAt
}

// originLimiterShare returns this router's share of a full limit.
func (r *Router) originLimiterShare() float64 {
	return min(1, r.trafficShare*float64(max(1, len(r.caches.members)))/fullOriginLimitCaches)
}
