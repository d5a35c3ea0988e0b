package routing

import (
	"slices"
	"time"
)

const (
	// relayDuration is the time after a list change in which objects of a moved arc are filled from the previous owner.
	// The design specifies 30 s.
	relayDuration = 30 * time.Second
	// maxPreviousRings is the number of previous rings that are kept. A deployment changes the list every few seconds.
	maxPreviousRings = 3
)

// previousRing is a former ring of caches.
type previousRing struct {
	ring       ring
	replacedAt time.Duration
}

// rememberRing saves the ring of caches, which is about to be replaced, for the relay.
func (r *Router) rememberRing() {
	if len(r.previousRings) == maxPreviousRings {
		r.previousRings = slices.Delete(r.previousRings, 0, 1)
	}
	r.previousRings = append(r.previousRings, previousRing{r.caches, r.now})
}

// previousOwner returns the cache that owned the request's arc before the arc moved, or noEndpoint. The previous owner
// must be warm, since a cold cache has no copies, and its drain grace must not be over. If the request's cache has
// started recently, the cache is empty although the arc may not have moved. Then the next cache of the ring, which has
// served the arc in the meantime, is returned.
func (r *Router) previousOwner(req *request) endpointIndex {
	if r.settings.PeerFill == PeerFillNone {
		return noEndpoint
	}
	hasCopies := func(index endpointIndex) bool {
		return index != req.cache && r.isUsable(index) && !r.endpoints[index].outlier.ejected &&
			r.warmFraction(index) >= 1
	}
	for i := len(r.previousRings) - 1; i >= 0 && r.now-r.previousRings[i].replacedAt < relayDuration; i-- {
		owner := r.previousRings[i].ring.owner(req.hash)
		if owner != noEndpoint && hasCopies(owner) {
			return owner
		}
	}
	if r.now-r.endpoints[req.cache].slowStart.startedAt < relayDuration {
		return r.caches.find(req.hash, hasCopies)
	}
	return noEndpoint
}
