package routing

import "slices"

const (
	// healthCheckInterval is how often one cache is asked for its load, in turn, where reports come only so.
	healthCheckInterval = 500 * ms
	// requestsPerHealthCheck bounds health checks to a few in a hundred requests, also where each router has few.
	requestsPerHealthCheck = 20
	// minReportedUtilization and minTransfers are the least of which a report tells the capacity of a link.
	minReportedUtilization = 0.2
	minTransfers           = 0.5
	// reportedCapacityPace is how many reports a capacity is averaged over.
	reportedCapacityPace = 10
)

// checkHealth asks a cache for the load of the location's link, where no answer tells.
func (r *Router) checkHealth() {
	if r.now < r.nextHealthCheck || r.sinceHealthCheck < requestsPerHealthCheck || !r.learnsByHealthChecks() {
		return
	}
	r.nextHealthCheck, r.sinceHealthCheck = r.now+healthCheckInterval, 0
	turn := int(r.now/healthCheckInterval) % len(r.caches.members)
	if index := r.caches.members[turn]; r.isHealthy(index) {
		r.emit(Action{Kind: ActionHealthCheck, Endpoint: r.endpoints[index].id})
	}
}

// learnsByHealthChecks reports whether the load of the location's link is told by health checks alone.
func (r *Router) learnsByHealthChecks() bool {
	return len(r.caches.members) > 0 && r.settings.HealthChecks &&
		r.settings.ReportChannel == ReportsWithHealthChecks &&
		slices.Contains(r.settings.ReportColumns, SignalLinkUtilization)
}

// applyLoadReport reads the load report of an endpoint.
func (r *Router) applyLoadReport(index endpointIndex, report *LoadReport) {
	reporter := &r.endpoints[index]
	for i := range min(report.Count, len(r.settings.ReportColumns)) {
		switch r.settings.ReportColumns[i] {
		case SignalUtilization:
			reporter.utilization = report.Values[i]
		case SignalLinkUtilization:
			if reporter.role == roleCache {
				r.observeIngressReport(report.Values[i])
			}
		default:
		}
	}
}

// observeIngressReport takes a report of the location's link. A link whose size the settings tell is as wide as they
// say.
func (r *Router) observeIngressReport(utilization float64) {
	if r.settings.ingressTransfers() > 0 {
		r.ingress.observeReport(utilization, r.now)
		return
	}
	if utilization <= minReportedUtilization || r.totalTransfers(&r.ingress) <= minTransfers {
		return
	}
	capacity := max(1, r.totalTransfers(&r.ingress)/utilization)
	if r.ingress.capacity <= 0 {
		r.ingress.capacity = capacity
	}
	r.ingress.capacity += (capacity - r.ingress.capacity) / reportedCapacityPace
}
