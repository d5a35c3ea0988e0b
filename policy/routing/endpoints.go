package routing

import (
	"slices"
	"time"
)

// endpointRole is the role of an endpoint for this router.
type endpointRole uint8

const (
	roleLocalCache endpointRole = iota // the router's own cache
	roleCache
	roleParent
	roleOrigin
)

func (e endpointRole) String() string {
	return [...]string{"local cache", "cache", "parent", "origin"}[e]
}

// endpointIndex is the index of an endpoint in Router.endpoints.
type endpointIndex int32

// noEndpoint stands for no endpoint.
const noEndpoint endpointIndex = -1

// slotReuseDelay is the delay after which the slot of an endpoint that is gone may be reused. It is longer than
// relayDuration, in which previous rings may still name the endpoint.
const slotReuseDelay = 2 * relayDuration

// maxIdleTransfers is the number of transfers below which an endpoint counts as idle. It is less than any transfer
// counts and more than a rounding error.
const maxIdleTransfers = 0.001

// endpoint holds the state of a cache of the router's location, a parent, the origin or the local cache.
type endpoint struct {
	id             EndpointID
	role           endpointRole
	zone           ZoneID
	cell           CellID
	runsAtSource   bool // requests run at the source of their attempt, see Endpoint.RunsAtSource
	weight         float64
	state          EndpointState
	isReplaced     bool          // see Endpoint.IsReplaced
	leavingSince   time.Duration // when the list first reported that the endpoint is draining or gone
	slowStart      slowStart
	outlier        outlierDetector
	link           link          // the endpoint's outgoing link, observed by this router's transfers
	throughput     decayingRate  // answered transfers, in seconds of transfers per second
	utilization    float64       // as last reported
	lastHeardAt    time.Duration // time of the last sign of life
	brokenAt       time.Duration // time of the last broken connection that was counted
	noFillsUntil   time.Duration // no capacity for a fill before this time
	cachedFillWait time.Duration // mean time to the first byte of a fill from a copy that this source had
	fillSlowdown   float64       // mean ratio of the duration of a fill's body to its prediction
	lateFillAt     time.Duration // when a fill from this source was last counted as late at the origin limiter
	listVersion    int           // version of the last list that named the endpoint
}

// handleEndpointList applies an endpoint list or its changes, or schedules another request if the list failed.
func (r *Router) handleEndpointList(event *Event) {
	if event.EndpointListKind == EndpointListFailed {
		spread := time.Duration(r.random.float() * float64(endpointListRetryDelay))
		r.setTimer(endpointListRetryDelay+spread, timerEndpointList)
		return
	}
	r.applyEndpointList(event)
	r.rebuildRings()
}

// applyEndpointList updates the endpoints from the list. Endpoints that a whole list does not name are gone.
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

// update updates an endpoint from its entry in the list.
func (e *endpoint) update(listed *Endpoint, listVersion int, listedAt time.Duration) {
	e.isReplaced = listed.IsReplaced
	if listed.IsReplaced {
		e.listVersion = listVersion
		e.setState(Gone, listedAt)
		return
	}
	e.listVersion, e.weight, e.runsAtSource = listVersion, listed.Weight, listed.RunsAtSource
	if listed.StartedAt > e.slowStart.startedAt {
		e.slowStart.startedAt, e.outlier = listed.StartedAt, outlierDetector{}
	}
	e.setState(listed.State, listedAt)
}

// addEndpoint adds an unknown endpoint and returns its index. It skips an endpoint that is gone and a cache of another
// location, and returns noEndpoint.
func (r *Router) addEndpoint(listed *Endpoint) endpointIndex {
	role := r.roleOf(listed.Kind)
	if listed.State == Gone || role == roleCache && listed.Zone != r.settings.Zone {
		return noEndpoint
	}
	index := r.allocateEndpoint()
	r.endpointByID[listed.ID] = index
	// An endpoint that is not ready in its first entry began to leave at an unknown earlier time.
	r.endpoints[index] = endpoint{
		id: listed.ID, role: role, zone: listed.Zone, cell: listed.Cell,
		slowStart: r.slowStartOf(role), lastHeardAt: r.now, leavingSince: LongAgo,
	}
	if r.settings.WeightIsLinkCapacity {
		r.endpoints[index].link.capacity = listed.Weight // until transfers show the capacity
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

// allocateEndpoint returns a slot for a new endpoint: the slot of an endpoint that has long been gone, else a new slot.
func (r *Router) allocateEndpoint() endpointIndex {
	for i := range r.endpoints {
		e := &r.endpoints[i]
		if e.state == Gone && e.link.current < maxIdleTransfers && r.now-e.leavingSince > slotReuseDelay {
			delete(r.endpointByID, e.id)
			return endpointIndex(i)
		}
	}
	r.endpoints = append(r.endpoints, endpoint{})
	return endpointIndex(len(r.endpoints) - 1)
}

// rebuildRings rebuilds the rings whose members have changed. It keeps the previous ring of caches for the relay.
func (r *Router) rebuildRings() {
	if members := r.readyMembers(roleCache); !r.caches.hasMembers(members) {
		rebuilt := r.caches.rebuilt(members)
		if len(r.caches.members) > 0 && !slices.Equal(rebuilt.members, r.caches.members) {
			r.rememberRing()
		}
		r.caches = rebuilt
	}
	if members := r.readyMembers(roleParent); !r.parents.hasMembers(members) {
		r.parents = r.parents.rebuilt(members)
	}
	r.originLimiter.share = r.originLimiterShare()
}

// readyMembers returns the ready endpoints with the role.
func (r *Router) readyMembers(role endpointRole) []ringMember {
	var members []ringMember
	for i := range r.endpoints {
		if e := &r.endpoints[i]; e.state == Ready && e.role == role {
			members = append(members, ringMember{endpointIndex(i), e.id, e.weight})
		}
	}
	return members
}

// addLocalCache adds the router's own cache as an endpoint. No other router uses its link.
func (r *Router) addLocalCache(capacity float64) {
	r.localCache = r.allocateEndpoint()
	r.endpoints[r.localCache] = endpoint{
		id: LocalCache, role: roleLocalCache, state: Ready, slowStart: r.slowStartOf(roleLocalCache),
		link: link{capacity: capacity, dedicated: true},
	}
}
