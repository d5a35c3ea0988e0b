package routing

import (
	"time"
)

// predict is the time until a leg's answer is through, the part of it that uses the link, and whether a fill
// is expected. src none: the time of a hit.
func (r *Router) predict(v *request, n, src int32) (expect time.Duration, duty float64, filled bool) {
	if r.settings.Classes[v.class].Write {
		return v.transferTime, 0, false
	}
	s := r.slowdown(&r.endpoints[n].link, r.warmFraction(n))
	wait := time.Duration(0)
	// A view past the caches comes through the location's link whatever the parent holds.
	far := r.endpoints[n].role > roleCache
	filled = far || src != n && src != noEndpoint && !r.isExpectedAt(v, n)
	if filled && (far || r.endpoints[src].role != roleCache) {
		s = max(s, r.slowdown(&r.ingress, 1))
		wait = r.endpoints[src].cachedFillWait
		if src == r.origin {
			wait = r.origins.wait
		}
	}
	grow := congestionGrowth
	if n == r.localCache {
		grow = 0 // one transfer after the other, and nobody else's
	}
	send := time.Duration(float64(v.transferTime) * (s + (s-1)*grow))
	return wait + send, float64(send+ms) / float64(wait+send+ms), filled
}

// predictionMargin is what the rest of a prediction may be off. growth is how much more a shared link is stretched,
// over its stretch on arrival, by the views that come while this one is sent: a full link stays full. Both
// were tried: less growth lets views in that end late, more turns back on calm days.
const predictionMargin, congestionGrowth = 1.2, 1.6

// isInTime is the admission test. A tenant's views over its allowance must leave room for others'.
func (r *Router) isInTime(v *request, n, src int32) bool {
	expect, _, filled := r.predict(v, n, src)
	if filled && r.now < r.endpoints[n].noFillsUntil {
		return false
	}
	if v.overQuota {
		expect *= 2
	}
	return r.now+time.Duration(predictionMargin*float64(expect)) <= v.objectiveAt
}
