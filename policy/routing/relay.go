package routing

import (
	"slices"
	"time"
)

const (
	// relayFor is how long after a list change a moved slot is filled from its previous owner: the design's 30 s.
	relayFor = 30 * time.Second
	// maxPreviousRings is how many rings are remembered: a deployment changes the list every few seconds.
	maxPreviousRings = 3
)

// previousRing is a ring of caches that was replaced.
type previousRing struct {
	ring       ring
	replacedAt time.Duration
}

// rememberRing keeps the ring of caches, which is about to be replaced, for the relay.
func (r *Router) rememberRing() {
	if len(r.previousRings) == maxPreviousRings {
		r.previousRings = slices.Delete(r.previousRings, 0, 1)
	}
	r.previousRings = append(r.previousRings, previousRing{r.caches, r.now})
}

// previousOwner is the cache that owned the request's arc before it moved, or none. It must still have the copies: a
// cold cache has none, and one past its drain grace must not be asked. A cache that started lately is empty though its
// arc may not have moved: the next of the ring had it meanwhile.
func (r *Router) previousOwner(req *request) endpointIndex {
	if r.settings.PeerFill == PeerFillNone {
		return noEndpoint
	}
	hasCopies := func(index endpointIndex) bool {
		return index != req.cache && r.isUsable(index) && !r.endpoints[index].outlier.ejected &&
			r.warmFraction(index) >= 1
	}
	for i := len(r.previousRings) - 1; i >= 0 && r.now-r.previousRings[i].replacedAt < relayFor; i-- {
		owner := r.previousRings[i].ring.owner(req.hash)
		if owner != noEndpoint && hasCopies(owner) {
			return owner
		}
	}
	if r.now-r.endpoints[req.cache].slowStart.startedAt < relayFor {
		return r.caches.find(req.hash, hasCopies)
	}
	return noEndpoint
}
