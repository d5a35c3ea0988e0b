package routing

import (
	"time"
)

// isUsable: listed ready, or told of its leaving so lately that a leg may still name it. A tenth of the grace
// is left unused, so that a leg sent at its end does not reach the node after it.
func (r *Router) isUsable(n int32) bool {
	return n != noEndpoint && (r.endpoints[n].state == Ready || r.now-r.endpoints[n].leavingSince < r.settings.DrainGrace*9/10)
}

// setState keeps the time at which a node was first told to leave.
func (r *Router) setState(d *endpoint, s EndpointState, told time.Duration) {
	if s != Ready && d.state == Ready {
		d.leavingSince = told
	}
	d.state = s
}
