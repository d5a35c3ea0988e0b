package routing

import "time"

// usableGraceTenths is how many tenths of the drain grace are used. The rest is left, so that an attempt sent at its
// end does not reach the endpoint after it.
const usableGraceTenths = 9

// isUsable reports whether an attempt may still name the endpoint: it is listed ready, or is leaving for so short a
// time that its grace still runs. Guards rule 3.
func (r *Router) isUsable(index endpointIndex) bool {
	if index == noEndpoint {
		return false
	}
	target := &r.endpoints[index]
	return target.state == Ready || r.now-target.leavingSince < r.settings.DrainGrace*usableGraceTenths/10
}

// setState takes the state from the endpoint list, and keeps the time at which it first said that the endpoint leaves.
func (e *endpoint) setState(state EndpointState, listedAt time.Duration) {
	if state != Ready && e.state == Ready {
		e.leavingSince = listedAt
	}
	e.state = state
}
