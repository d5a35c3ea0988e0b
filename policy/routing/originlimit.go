package routing

import (
	"time"
)

// originLimiter counts the fills that wait for the origin.
type originLimiter struct {
	limit             float64
	inFlight          concurrency   // the fills that wait
	wait              time.Duration // usual time to the first byte by way of the origin
	originShare       float64       // share of the parents' fills that went to the origin
	reducedAt, goodAt time.Duration // when it was narrowed, when an answer came in good time
	observedAt        time.Duration // when it last learned of the wait
	nextTrial         time.Duration // no trial before, while it is shut
	share             float64       // of a whole gate
	closed            bool          // as last logged
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

// originLimiterShare is this router's part of a whole gate.
func (r *Router) originLimiterShare() float64 {
	return min(1, r.trafficShare*float64(max(1, len(r.caches.members)))/originLimiterCaches)
}
