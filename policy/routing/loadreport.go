package routing

import (
	"slices"
	"time"
)

// healthCheckInterval is how often one cache is asked for its load, in turn, where reports come only so, and requestsPerHealthCheck
// after how many views: a few in a hundred of them at most, also where each router has few.
const healthCheckInterval, requestsPerHealthCheck = 500 * ms, 20

// checkHealth asks for the state of the location's link, where no answer tells.
func (r *Router) checkHealth() {
	if r.now < r.nextHealthCheck || r.sinceHealthCheck < requestsPerHealthCheck || len(r.caches.members) == 0 || !r.settings.HealthChecks ||
		r.settings.ReportChannel != ReportsWithHealthChecks || !slices.Contains(r.settings.ReportColumns, SignalLinkUtilization) {
		return
	}
	r.nextHealthCheck, r.sinceHealthCheck = r.now+healthCheckInterval, 0
	if n := r.caches.members[int(r.now/healthCheckInterval)%len(r.caches.members)]; r.isHealthy(n) {
		r.emit(Action{Kind: ActionHealthCheck, Endpoint: r.endpoints[n].id})
	}
}

// reportValidFor is how long a report of the location's link tells of it: some times as long as they are apart.
const reportValidFor = 2 * time.Second

// applyLoadReport reads a load report. A link whose size the settings tell is as wide as they say.
func (r *Router) applyLoadReport(n int32, rep *LoadReport) {
	for i := range min(rep.Count, len(r.settings.ReportColumns)) {
		x := rep.Values[i]
		switch {
		case r.settings.ReportColumns[i] == SignalUtilization:
			r.endpoints[n].utilization = x
		case r.settings.ReportColumns[i] != SignalLinkUtilization || r.endpoints[n].role != roleCache:
		case r.settings.ingressTransfers() > 0:
			r.ingress.reportedUtilization, r.ingress.reportedAt = r.ingress.reportedUtilization+(x-r.ingress.reportedUtilization)/4, r.now
		case x > 0.2 && r.totalTransfers(&r.ingress) > 0.5:
			seen := max(1, r.totalTransfers(&r.ingress)/x)
			if r.ingress.capacity <= 0 {
				r.ingress.capacity = seen
			}
			r.ingress.capacity += (seen - r.ingress.capacity) / 10
		}
	}
}
