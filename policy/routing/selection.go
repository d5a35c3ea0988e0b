package routing

// maxSpill is how many caches after the ring's own may take a request that would be late there: more would spread
// copies of everything over the location.
const maxSpill = 1

// strictness says which conditions a cache has to meet. Where no cache meets all, fewer are asked for.
type strictness uint8

const (
	strictAll    strictness = iota
	strictHealth            // a cold cache takes any object, its budget alone decides
	strictNone              // an ejected cache is asked as well: what fails everywhere is a shared fault
	strictnessCount
)

// pickCache finds the first cache from the request's place on the ring on that may have it: listed, in health, warm
// enough for this object, not asked yet, and predicted in time. If none is in time, it is the first: it may have the
// object. Ejected caches are asked only where requests may not bypass the caches.
func (r *Router) pickCache(req *request) endpointIndex {
	source, isFailing := r.pickParent(req)
	if isFailing {
		source = r.origin
	}
	for strict := strictAll; strict < strictnessCount; strict++ {
		first, inTime := r.findCache(req, source, strict)
		if inTime != noEndpoint {
			return inTime
		}
		if first != noEndpoint || strict == strictHealth && r.settings.AllowDirect {
			return first
		}
	}
	return noEndpoint
}

// findCache returns the first cache that meets the conditions, and the first of those within maxSpill that is in time.
func (r *Router) findCache(req *request, source endpointIndex, strict strictness) (first, inTime endpointIndex) {
	first = noEndpoint
	left := maxSpill + 1
	found := r.caches.find(req.hash, func(index endpointIndex) bool {
		if !r.mayServe(req, index, strict) {
			return false
		}
		if first == noEndpoint {
			first = index
		}
		left--
		return left < 0 || r.isInTime(req, index, source)
	})
	if left < 0 {
		return first, noEndpoint
	}
	return first, found
}

// mayServe reports whether a cache meets the conditions.
func (r *Router) mayServe(req *request, index endpointIndex, strict strictness) bool {
	if strict < strictHealth && !r.takesObject(index, req.hash) {
		return false
	}
	if strict < strictNone && !r.isHealthy(index) {
		return false
	}
	return r.hasBudget(req, index) && !req.hasAsked(index)
}

// pickParent names the ring's parent for the object, and whether it is failing for the moment. A parent that has been
// failing for long has handed its arc to the next one, but for trials.
func (r *Router) pickParent(req *request) (parent endpointIndex, isFailing bool) {
	parent = r.parents.find(req.hash, func(index endpointIndex) bool {
		return !r.endpoints[index].outlier.isRemapped(r.now) && r.mayFill(req, index)
	})
	return parent, parent != noEndpoint && !r.isHealthy(parent)
}

// pickOtherParent is a healthy parent that the request has not been filled from: where the origin cannot be reached
// for a failing parent's objects.
func (r *Router) pickOtherParent(req *request) endpointIndex {
	return r.parents.find(req.hash, func(index endpointIndex) bool {
		return !req.hasTriedSource(index) && !r.endpoints[index].outlier.ejected && r.mayFill(req, index)
	})
}

// mayFill reports whether a parent is warm enough for the object and the request.
func (r *Router) mayFill(req *request, index endpointIndex) bool {
	return r.takesObject(index, req.hash) && r.hasBudget(req, index)
}
