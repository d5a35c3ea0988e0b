package routing

import "time"

// usableGraceTenths is the part of the drain grace, in tenths, in which attempts are sent. The rest is a margin: an
// attempt sent at the end of the grace would arrive after it.
const usableGraceTenths = 9

// isUsable reports whether an attempt may name the endpoint: it is ready, or it began to leave so recently that its
// drain grace is not over, and no other endpoint has its address. This enforces rule 3.
func (r *Router) isUsable(index endpointIndex) bool {
	if index == noEndpoint {
		return false
	}
	target := &r.endpoints[index]
	if target.isReplaced {
		return false
	}
	return target.state == Ready || r.now-target.leavingSince < r.settings.DrainGrace*usableGraceTenths/10
}

// setState sets the state from the endpoint list. It records the time at which a ready endpoint begins to leave.
func (e *endpoint) setState(state EndpointState, listedAt time.Duration) {
	if state != Ready && e.state == Ready {
		e.leavingSince = listedAt
	}
	e.state = state
}
