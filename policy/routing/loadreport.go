package routing

import "slices"

const (
	// healthCheckInterval is the interval between health checks, which go to one cache after the other.
	healthCheckInterval = 500 * ms
	// requestsPerHealthCheck is the minimum number of requests between health checks. It keeps health checks rare even if
	// each router has few requests.
	requestsPerHealthCheck = 20
	// minReportedUtilization and minReportedTransfers are the utilization and the number of transfers up to which a
	// report is not used to estimate the capacity of a link, since their ratio is too uncertain.
	minReportedUtilization = 0.2
	minReportedTransfers   = 0.5
	// reportedCapacitySamples is the number of reports over which the capacity is averaged.
	reportedCapacitySamples = 10
)

// checkHealth sends a health check to a cache to learn the load of the location's link, if answers carry no reports.
func (r *Router) checkHealth() {
	if r.now < r.nextHealthCheck || r.requestsSinceHealthCheck < requestsPerHealthCheck || !r.learnsByHealthChecks() {
		return
	}
	r.nextHealthCheck, r.requestsSinceHealthCheck = r.now+healthCheckInterval, 0
	turn := int(r.now/healthCheckInterval) % len(r.caches.members)
	if index := r.caches.members[turn]; r.isHealthy(index) {
		r.emit(Action{Kind: ActionHealthCheck, Endpoint: r.endpoints[index].id})
	}
}

// learnsByHealthChecks reports whether only health checks report the load of the location's link.
func (r *Router) learnsByHealthChecks() bool {
	return len(r.caches.members) > 0 && r.settings.HealthChecks &&
		r.settings.ReportChannel == ReportsWithHealthChecks &&
		slices.Contains(r.settings.ReportColumns, SignalLinkUtilization)
}

// applyLoadReport applies the load report of an endpoint.
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

// observeIngressReport applies a report of the utilization of the location's link. If the settings lack the capacity of
// the link, the capacity is estimated from the report.
func (r *Router) observeIngressReport(utilization float64) {
	if r.settings.ingressTransfers() > 0 {
		r.ingress.observeReport(utilization, r.now)
		return
	}
	if utilization <= minReportedUtilization || r.totalTransfers(&r.ingress) <= minReportedTransfers {
		return
	}
	capacity := max(1, r.totalTransfers(&r.ingress)/utilization)
	if r.ingress.capacity <= 0 {
		r.ingress.capacity = capacity
	}
	r.ingress.capacity += (capacity - r.ingress.capacity) / reportedCapacitySamples
}
