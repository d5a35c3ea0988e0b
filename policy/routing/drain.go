package routing

import "time"

// isUsable reports whether an attempt may still name the endpoint: it is listed ready, or is leaving for so short a
// time that its grace still runs. A tenth of the grace is left unused, so that an attempt sent at its end does not
// reach the endpoint after it. Guards rule 3.
func (r *Router) isUsable(index endpointIndex) bool {
	if index == noEndpoint {
		return false
	}
	target := &r.endpoints[index]
	return target.state == Ready || r.now-target.leavingSince < r.settings.DrainGrace*9/10
}

// setState takes the state from the endpoint list, and keeps the time at which it first said that the endpoint leaves.
func (e *endpoint) setState(state EndpointState, listedAt time.Duration) {
	if state != Ready && e.state == Ready {
		e.leavingSince = listedAt
	}
	e.state = state
}
