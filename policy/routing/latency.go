package routing

import "time"

// congestionGrowth is the slowdown that requests arriving during a transfer add on a shared link, as a multiple of the
// excess slowdown at the transfer's start, which is the slowdown less 1. A full link stays full. With a lower value,
// admitted requests end late; with a higher value, some requests are rejected in normal operation.
const congestionGrowth = 1.6

// prediction is the predicted cost of an attempt.
type prediction struct {
	duration  time.Duration // until the answer is complete
	linkShare float64       // share of duration in which the attempt uses the link
	needsFill bool
}

// predict predicts an attempt at the endpoint with the source. Without a source it predicts a hit.
func (r *Router) predict(req *request, index, source endpointIndex) prediction {
	if r.settings.Classes[req.class].Write {
		return prediction{duration: req.transferTime}
	}
	target := &r.endpoints[index]
	slowdown := r.slowdown(&target.link, r.warmFraction(index))
	wait := time.Duration(0)
	// A request that bypasses the caches uses the location's ingress link even if the parent has a copy.
	bypassesCaches := target.role > roleCache
	needsFill := bypassesCaches || source != index && source != noEndpoint && !r.isExpectedCachedAt(req, index)
	if needsFill && (bypassesCaches || r.endpoints[source].role != roleCache) {
		slowdown = max(slowdown, r.slowdown(&r.ingress, 1))
		wait = r.usualFillWait(source)
	}
	growth := congestionGrowth
	if target.link.dedicated {
		growth = 0 // only this router uses the link, one transfer after the other
	}
	transfer := time.Duration(float64(req.transferTime) * (slowdown + (slowdown-1)*growth))
	return prediction{
		duration:  wait + transfer,
		linkShare: float64(transfer+ms) / float64(wait+transfer+ms),
		needsFill: needsFill,
	}
}

// usualFillWait returns the usual time to the first byte of a fill from the source.
func (r *Router) usualFillWait(source endpointIndex) time.Duration {
	if source == r.origin {
		return r.originLimiter.wait
	}
	return r.endpoints[source].cachedFillWait
}
