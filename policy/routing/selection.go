package routing

import (
	"time"
)

// maxSpill is how many caches after the ring's own may take a view that would be late there: more would spread
// copies of everything over the location.
const maxSpill = 1

// pickCache walks the ring from the view's point to the first cache that may have it: listed, in health, warm
// enough for this object, not asked yet, and predicted in time. If none is in time, it is the first: it may
// hold the object. Where none may have it, its share is not asked of cold caches, only their budget; then,
// where views may not pass the caches by, nor is health: what fails everywhere is shared.
func (r *Router) pickCache(v *request) int32 {
	p, failing := r.pickParent(v)
	if failing {
		p = r.origin
	}
	for pass := range 3 {
		first, left := noEndpoint, maxSpill+1
		found := r.walk(&r.caches, v.hash, func(c int32) bool {
			if pass == 0 && !r.takesObject(c, v.hash) || pass < 2 && !r.isHealthy(c) || !r.hasBudget(v, c) || r.hasAsked(v, c) {
				return false
			}
			if first == noEndpoint {
				first = c
			}
			left--
			return left < 0 || r.isInTime(v, c, p)
		})
		if found != noEndpoint && left >= 0 {
			return found
		}
		if first != noEndpoint || pass == 1 && r.settings.AllowDirect {
			return first
		}
	}
	return noEndpoint
}

// parentRemapAfter parts a brief failure of a parent from one that moves its arc: the design's 10 s.
const parentRemapAfter = 10 * time.Second

// pickParent names the ring's parent for the object, and whether it is failing for the moment. A parent that has
// failed for parentRemapAfter has handed its arc to the next one, but for trials.
func (r *Router) pickParent(v *request) (p int32, failing bool) {
	p = r.walk(&r.parents, v.hash, func(c int32) bool {
		h := &r.endpoints[c].health
		lost := h.ejected && r.now-h.ejectedAt >= parentRemapAfter && r.now < h.nextTrial
		return !lost && r.takesObject(c, v.hash) && r.hasBudget(v, c)
	})
	return p, p != noEndpoint && !r.isHealthy(p)
}

// pickOtherParent is a healthy parent that the view has not been filled from: where the origin cannot be reached
// for a failing parent's objects.
func (r *Router) pickOtherParent(v *request) int32 {
	return r.walk(&r.parents, v.hash, func(c int32) bool {
		return !v.hasTriedSource(c) && !r.endpoints[c].health.ejected && r.takesObject(c, v.hash) && r.hasBudget(v, c)
	})
}
