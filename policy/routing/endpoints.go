package routing

import (
	"slices"
	"time"
)

// endpointRole says what an endpoint is to this router.
type endpointRole uint8

const (
	roleLocalCache endpointRole = iota // the router itself, with copies of its own
	roleCache
	roleParent
	roleOrigin
)

func (e endpointRole) String() string {
	return [...]string{"local cache", "cache", "parent", "origin"}[e]
}

// endpointIndex is the place of an endpoint in Router.endpoints.
type endpointIndex int32

// noEndpoint stands for no endpoint.
const noEndpoint endpointIndex = -1

// forgetAfter is how long after it is gone the place of an endpoint may be used again.
const forgetAfter = 2 * relayFor

// idleTransfers is less than any transfer: an endpoint with fewer has none, but for rounding.
const idleTransfers = 0.001

// endpoint is what the router knows of a cache of its location, a parent or the origin.
type endpoint struct {
	id             EndpointID
	role           endpointRole
	zone           ZoneID
	cell           CellID
	weight         float64
	state          EndpointState
	leavingSince   time.Duration // when the list first said that it drains or is gone
	slowStart      slowStart
	outlier        outlierDetector
	link           link          // its link out, as far as this router's transfers show it
	throughput     decayingRate  // seconds of transfers that it has answered, a second
	utilization    float64       // by its last report
	lastHeardAt    time.Duration // last sign of life
	brokenAt       time.Duration // when a connection to it last broke
	noFillsUntil   time.Duration // until then it has no capacity for a fill
	cachedFillWait time.Duration // usual time to the first byte of a fill that it has cached
	fillSlowdown   float64       // usual length of a fill's body over its prediction
	lateFillAt     time.Duration // when a fill from it was last counted as late at the origin limiter
	listVersion    int           // the last list that named it
}

// handleEndpointList takes an endpoint list or its changes, or plans to ask again where there was no answer.
func (r *Router) handleEndpointList(event *Event) {
	if event.EndpointListKind == EndpointListFailed {
		spread := time.Duration(r.random.float() * float64(endpointListRetryWait))
		r.setTimer(endpointListRetryWait+spread, timerEndpointList)
		return
	}
	r.applyEndpointList(event)
	r.rebuildRings()
}

// applyEndpointList takes what the list says of the endpoints. Those that a whole list does not name are gone.
func (r *Router) applyEndpointList(event *Event) {
	r.listVersion++
	listedAt := r.now - event.Age
	for i := range event.Endpoints {
		listed := &event.Endpoints[i]
		index, isKnown := r.endpointByID[listed.ID]
		if !isKnown {
			if index = r.addEndpoint(listed); index == noEndpoint {
				continue
			}
		}
		r.endpoints[index].update(listed, r.listVersion, listedAt)
	}
	if event.EndpointListKind == EndpointListDelta {
		return
	}
	for i := range r.endpoints {
		if e := &r.endpoints[i]; e.listVersion != r.listVersion && e.role != roleLocalCache {
			e.setState(Gone, listedAt)
		}
	}
}

// update takes a line of the list.
func (e *endpoint) update(listed *Endpoint, listVersion int, listedAt time.Duration) {
	e.listVersion, e.weight = listVersion, listed.Weight
	if listed.StartedAt > e.slowStart.startedAt {
		e.slowStart.startedAt, e.outlier = listed.StartedAt, outlierDetector{}
	}
	e.setState(listed.State, listedAt)
}

// addEndpoint adds an endpoint that was not known. Those that are gone and caches of other locations are passed over.
func (r *Router) addEndpoint(listed *Endpoint) endpointIndex {
	role := r.roleOf(listed.Kind)
	if listed.State == Gone || role == roleCache && listed.Zone != r.settings.Zone {
		return noEndpoint
	}
	index := r.allocateEndpoint()
	r.endpointByID[listed.ID] = index
	// One that is not ready when it is first heard of began to leave at some time before.
	r.endpoints[index] = endpoint{
		id: listed.ID, role: role, zone: listed.Zone, cell: listed.Cell,
		slowStart: r.slowStartOf(role), lastHeardAt: r.now, leavingSince: LongAgo,
	}
	if r.settings.WeightIsLinkCapacity {
		r.endpoints[index].link.capacity = listed.Weight // as listed, until transfers show it
	}
	if role == roleOrigin {
		r.origin = index
	}
	return index
}

func (r *Router) roleOf(kind KindID) endpointRole {
	switch kind {
	case r.settings.ParentKind:
		return roleParent
	case r.settings.OriginKind:
		return roleOrigin
	default:
		return roleCache
	}
}

// allocateEndpoint finds a place for a new endpoint: that of one long gone, else a new one.
func (r *Router) allocateEndpoint() endpointIndex {
	for i := range r.endpoints {
		e := &r.endpoints[i]
		if e.state == Gone && e.link.current < idleTransfers && r.now-e.leavingSince > forgetAfter {
			delete(r.endpointByID, e.id)
			return endpointIndex(i)
		}
	}
	r.endpoints = append(r.endpoints, endpoint{})
	return endpointIndex(len(r.endpoints) - 1)
}

// rebuildRings builds the rings anew and keeps the last ones for the relay.
func (r *Router) rebuildRings() {
	caches, parents := newRing(r.readyMembers(roleCache)), newRing(r.readyMembers(roleParent))
	if len(r.caches.members) > 0 && !slices.Equal(caches.members, r.caches.members) {
		r.rememberRing()
	}
	r.caches, r.parents = caches, parents
	r.originLimiter.share = r.originLimiterShare()
}

// readyMembers lists the ready endpoints with the role.
func (r *Router) readyMembers(role endpointRole) []ringMember {
	var members []ringMember
	for i := range r.endpoints {
		if e := &r.endpoints[i]; e.state == Ready && e.role == role {
			members = append(members, ringMember{endpointIndex(i), e.id, e.weight})
		}
	}
	return members
}

// addLocalCache adds the router's own copies as an endpoint, whose link nobody else uses.
func (r *Router) addLocalCache(capacity float64) {
	r.localCache = r.allocateEndpoint()
	r.endpoints[r.localCache] = endpoint{
		id: LocalCache, role: roleLocalCache, state: Ready, slowStart: r.slowStartOf(roleLocalCache),
		link: link{capacity: capacity, dedicated: true},
	}
}
