package routing

import (
	"time"
)

type endpointRole uint8

const (
	roleLocalCache endpointRole = iota // the router itself, with copies of its own
	roleCache
	roleParent
	roleOrigin
)

// noEndpoint stands for no node, no view.
const noEndpoint = int32(-1)

// endpoint is what the router knows of a cache of its location, a parent or the origin.
type endpoint struct {
	id             EndpointID
	role           endpointRole
	zone           ZoneID
	cell           CellID
	weight         float64
	state          EndpointState
	leavingSince   time.Duration // when told that it drains or is gone
	startedAt      time.Duration
	link           link // its link out, as far as this router's transfers show it
	health         endpointHealth
	lastHeardAt    time.Duration // last sign of life
	noFillsUntil   time.Duration // until then it has no place for a fill
	cachedFillWait time.Duration // usual time to the first byte of a fill that it holds
	fillSlowdown   float64       // usual length of a fill's body over its prediction
	throughput     decayingRate  // sending time a second that it has answered in
	nextAllowed    time.Duration // while it is cold: nothing from this router before
	budgetFor      time.Duration // the start for which that is reckoned
	lateFillAt     time.Duration // when a fill from it was last counted at the gate as late
	brokenAt       time.Duration // when a connection to it last broke
	utilization    float64       // its last report of how busy it is
	visit          int           // last walk of a ring that met it
}

// allocateEndpoint finds room for a new node: that of one long gone, else more.
func (r *Router) allocateEndpoint() int32 {
	for i := range r.endpoints {
		if d := &r.endpoints[i]; d.state == Gone && d.link.current < 0.001 && r.now-d.leavingSince > 2*relayFor {
			delete(r.endpointByID, d.id)
			return int32(i)
		}
	}
	r.endpoints = append(r.endpoints, endpoint{})
	return int32(len(r.endpoints) - 1)
}

// applyEndpointList takes what the list says of the nodes. Caches of other locations are passed over.
func (r *Router) applyEndpointList(e *Event) {
	r.visits++
	told := r.now - e.Age
	for i := range e.Endpoints {
		m := &e.Endpoints[i]
		n, known := r.endpointByID[m.ID]
		if !known {
			k := roleCache
			switch m.Kind {
			case r.settings.ParentKind:
				k = roleParent
			case r.settings.OriginKind:
				k = roleOrigin
			}
			if m.State == Gone || k == roleCache && m.Zone != r.settings.Zone {
				continue
			}
			n = r.allocateEndpoint()
			r.endpointByID[m.ID] = n
			// One that is not ready when it is first heard of was told to leave at some time before.
			r.endpoints[n] = endpoint{id: m.ID, role: k, zone: m.Zone, cell: m.Cell, startedAt: LongAgo, lastHeardAt: r.now, leavingSince: LongAgo, budgetFor: LongAgo}
			if r.settings.WeightIsLinkCapacity {
				r.endpoints[n].link.capacity = m.Weight // as told, until transfers show it
			}
			if k == roleOrigin {
				r.origin = n
			}
		}
		d := &r.endpoints[n]
		d.visit, d.weight = r.visits, m.Weight
		if m.StartedAt > d.startedAt {
			d.startedAt, d.health = m.StartedAt, endpointHealth{}
		}
		r.setState(d, m.State, told)
	}
	for n := range r.endpoints {
		if d := &r.endpoints[n]; e.EndpointListKind != EndpointListDelta && d.visit != r.visits && d.role != roleLocalCache {
			r.setState(d, Gone, told)
		}
	}
}
