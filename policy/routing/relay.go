package routing

import (
	"time"
)

// relayFor is how long after a list change a moved slot is filled from its former owner: the design's 30 s.
const relayFor = 30 * time.Second

// previousOwner is the cache that held the view's slot before it moved, or none. It must still hold it: a cold cache
// holds nothing, and one past its grace must not be asked. A cache that started lately is empty though its
// slot may not have moved: the next of the ring had it meanwhile.
func (r *Router) previousOwner(v *request) int32 {
	if r.settings.PeerFill == PeerFillNone {
		return noEndpoint
	}
	good := func(f int32) bool {
		return f != v.cache && r.isUsable(f) && !r.endpoints[f].health.ejected && r.warmFraction(f) >= 1
	}
	for i := len(r.previousRings) - 1; i >= 0 && r.now-r.previousRings[i].replacedAt < relayFor; i-- {
		f := r.walk(&r.previousRings[i].ring, v.hash, func(int32) bool { return true })
		if f != noEndpoint && good(f) {
			return f
		}
	}
	if r.now-r.endpoints[v.cache].startedAt < relayFor {
		return r.walk(&r.caches, v.hash, good)
	}
	return noEndpoint
}
