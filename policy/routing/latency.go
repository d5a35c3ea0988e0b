package routing

import "time"

// congestionGrowth is how much more a shared link slows a transfer down, over the slowdown on arrival, by the requests
// that come during the transfer: a full link stays full. Other values were tried: with less, requests that are admitted
// end late, with more some are rejected on calm days.
const congestionGrowth = 1.6

// prediction is what an attempt is expected to take.
type prediction struct {
	duration  time.Duration // until the answer is through
	linkShare float64       // the part of duration in which it uses the link
	needsFill bool
}

// predict estimates an attempt at the endpoint with the source. Without a source it is the time of a hit.
func (r *Router) predict(req *request, index, source endpointIndex) prediction {
	if r.settings.Classes[req.class].Write {
		return prediction{duration: req.transferTime}
	}
	target := &r.endpoints[index]
	slowdown := r.slowdown(&target.link, r.warmFraction(index))
	wait := time.Duration(0)
	// A request past the caches comes through the location's link whatever the parent holds.
	bypassesCaches := target.role > roleCache
	needsFill := bypassesCaches || source != index && source != noEndpoint && !r.isExpectedAt(req, index)
	if needsFill && (bypassesCaches || r.endpoints[source].role != roleCache) {
		slowdown = max(slowdown, r.slowdown(&r.ingress, 1))
		wait = r.usualFillWait(source)
	}
	growth := congestionGrowth
	if target.link.dedicated {
		growth = 0 // one transfer after the other, and nobody else's
	}
	transfer := time.Duration(float64(req.transferTime) * (slowdown + (slowdown-1)*growth))
	return prediction{
		duration:  wait + transfer,
		linkShare: float64(transfer+ms) / float64(wait+transfer+ms),
		needsFill: needsFill,
	}
}

// usualFillWait is the usual time to the first byte of a fill from the source.
func (r *Router) usualFillWait(source endpointIndex) time.Duration {
	if source == r.origin {
		return r.originLimiter.wait
	}
	return r.endpoints[source].cachedFillWait
}
