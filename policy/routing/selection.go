package routing

// maxSpillover is the number of caches after the first suitable one that may serve a request which would be late at the
// first. More would spread copies of all objects over the location.
const maxSpillover = 1

// strictness says which conditions a cache has to meet. If no cache meets all conditions, fewer are required.
type strictness uint8

const (
	strictAll    strictness = iota
	strictHealth            // also a cold cache for any object within its budget
	strictNone              // also an ejected cache: if all caches fail, the fault is a shared one
	strictnessCount
)

// pickCache returns the first cache, in ring order from the request's hash, that is ready, healthy, warm enough for the
// object, not yet tried and predicted in time. If none is in time, it returns the first that meets the other
// conditions, since it may have a copy. Ejected caches are tried only if requests may not bypass the caches.
func (r *Router) pickCache(req *request) endpointIndex {
	source, isFailing := r.pickParent(req)
	if isFailing {
		source = r.origin
	}
	for level := strictAll; level < strictnessCount; level++ {
		first, inTime := r.findCache(req, source, level)
		if inTime != noEndpoint {
			return inTime
		}
		if first != noEndpoint || level == strictHealth && r.settings.AllowDirect {
			return first
		}
	}
	return noEndpoint
}

// findCache returns the first cache that meets the conditions, and the first such cache within maxSpillover that is
// predicted in time.
func (r *Router) findCache(req *request, source endpointIndex, level strictness) (first, inTime endpointIndex) {
	first = noEndpoint
	remaining := maxSpillover + 1
	found := r.caches.find(req.hash, func(index endpointIndex) bool {
		if !r.mayServe(req, index, level) {
			return false
		}
		if first == noEndpoint {
			first = index
		}
		remaining--
		return remaining < 0 || r.isInTime(req, index, source)
	})
	if remaining < 0 {
		return first, noEndpoint
	}
	return first, found
}

// mayServe reports whether a cache meets the conditions.
func (r *Router) mayServe(req *request, index endpointIndex, level strictness) bool {
	if level < strictHealth && !r.takesObject(index, req.hash) {
		return false
	}
	if level < strictNone && !r.isHealthy(index) {
		return false
	}
	return r.hasBudget(req, index) && !req.hasTriedEndpoint(index)
}

// pickParent returns the ring's parent for the object, and whether the parent is ejected. The arc of a parent that has
// been ejected for long belongs to the next parent, except for trials.
func (r *Router) pickParent(req *request) (parent endpointIndex, isFailing bool) {
	parent = r.parents.find(req.hash, func(index endpointIndex) bool {
		return !r.endpoints[index].outlier.isRemapped(r.now) && r.mayFill(req, index)
	})
	return parent, parent != noEndpoint && !r.isHealthy(parent)
}

// pickOtherParent returns a parent that is not ejected and from which the request's cache has not tried to fill. It is
// used when the ring's parent is failing and the origin cannot be reached.
func (r *Router) pickOtherParent(req *request) endpointIndex {
	return r.parents.find(req.hash, func(index endpointIndex) bool {
		return !req.hasTriedSource(index) && !r.endpoints[index].outlier.ejected && r.mayFill(req, index)
	})
}

// mayFill reports whether a parent is warm enough for the object and has budget for the request.
func (r *Router) mayFill(req *request, index endpointIndex) bool {
	return r.takesObject(index, req.hash) && r.hasBudget(req, index)
}
