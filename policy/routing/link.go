package routing

import (
	"math"
	"time"
)

// concurrencySpan is the time constant of the average concurrency, from which the load by other routers is estimated.
// It is long enough to include some requests even if each router has few.
const concurrencySpan = 5 * time.Second

// concurrency holds the number of transfers of this router in flight and its exponentially decaying average.
type concurrency struct {
	current, average float64
	changedAt        time.Duration
}

func (c *concurrency) averageAt(now time.Duration) float64 {
	return c.current + (c.average-c.current)*math.Exp(-float64(now-c.changedAt)/float64(concurrencySpan))
}

// add adds the amount to the number in flight. A negative amount stands for transfers that have ended.
func (c *concurrency) add(amount float64, now time.Duration) {
	c.average, c.changedAt = c.averageAt(now), now
	c.current += amount
}

const (
	// congestedSlowdown is the slowdown from which a transfer counts as congested. Smaller slowdowns are within the
	// noise of sizes and paths.
	congestedSlowdown = 1.25
	// capacityWeight is the weight of a new transfer in the estimated capacity: the influence of earlier transfers ends
	// after some ten new ones. The weight doubles if transfers are a second apart.
	capacityWeight = 0.1
	// busyFraction is the share of the estimated capacity above which an uncongested transfer shows that the capacity is
	// larger.
	busyFraction = 0.7
	// firstCapacityFactor is the factor by which the first congested transfer may underestimate the capacity.
	firstCapacityFactor = 1.5
	// maxCapacityAge is the time for which an estimated capacity below one transfer is used without a new observation.
	// After it, one transfer is tried, since otherwise the estimate would never be corrected.
	maxCapacityAge = 2 * time.Second
	// maxReportAge is the time for which a report of the link's load is used. It is several times the interval of the
	// reports.
	maxReportAge = 2 * time.Second
	// reportWeightDivisor is the inverse of the weight of a new report in the mean utilization.
	reportWeightDivisor = 4
)

// link is an estimate of a network link from this router's own transfers. capacity is the number of transfers, those of
// other routers included, that fit without congestion, or 0 if it is unknown.
type link struct {
	concurrency
	capacity            float64
	reportedUtilization float64
	reportedAt          time.Duration
	observedAt          time.Duration // time of the last observation
	dedicated           bool          // no other router uses the link
}

// observe updates the capacity from the slowdown of a transfer and the number of transfers at the same time. An
// uncongested transfer shows that more would have fit. A congested transfer shows how many did fit, which is less than
// one for a slow endpoint but at least minCapacity.
func (l *link) observe(slowdown, concurrent, minCapacity float64, now time.Duration) {
	weight := capacityWeight + capacityWeight*min(1, (now-l.observedAt).Seconds())
	l.observedAt = now
	switch {
	case slowdown < congestedSlowdown:
		if l.capacity > 0 && concurrent+1 > l.capacity*busyFraction {
			l.capacity += capacityWeight * max(1, concurrent+1-l.capacity)
		}
	case l.capacity <= 0:
		l.capacity = max(minCapacity, concurrent/slowdown*firstCapacityFactor)
	default:
		l.capacity += weight * (max(minCapacity, concurrent/slowdown) - l.capacity)
	}
}

// observeReport updates the mean utilization from a report.
func (l *link) observeReport(utilization float64, now time.Duration) {
	l.reportedUtilization += (utilization - l.reportedUtilization) / reportWeightDivisor
	l.reportedAt = now
}

// transfers estimates the number of transfers in progress on the link: this router's own, and this router's average for
// each other router that shares the link. If there is a recent report, the transfers of other routers are the mean of
// this estimate and the reported number. trafficShare is this router's share of the traffic.
func (l *link) transfers(trafficShare float64, now time.Duration) float64 {
	if l.dedicated {
		return l.current
	}
	others := l.averageAt(now) * (1/trafficShare - 1)
	if l.reportedUtilization > 0 && now-l.reportedAt < maxReportAge && trafficShare < 1 {
		others = (others + max(0, l.reportedUtilization*l.capacity-l.averageAt(now))) / 2
	}
	return l.current + others
}

// totalTransfers estimates the number of transfers of all routers in progress on a link of the location.
func (r *Router) totalTransfers(l *link) float64 {
	return l.transfers(r.trafficShare, r.now)
}

// slowdown returns the factor by which congestion prolongs an additional transfer on a link if only a part of the
// link's capacity is available.
func (r *Router) slowdown(l *link, part float64) float64 {
	if l.capacity <= 0 {
		return 1
	}
	capacity := l.capacity
	if r.now-l.observedAt > maxCapacityAge {
		capacity = max(1, capacity)
	}
	return max(1, (r.totalTransfers(l)+1)/(capacity*part))
}

// occupyLinks counts an attempt at the links that it uses.
func (r *Router) occupyLinks(att *attempt) { r.addToLinks(att, att.linkShare) }

// releaseLinks stops counting an ended attempt at its links.
func (r *Router) releaseLinks(att *attempt) { r.addToLinks(att, -att.linkShare) }

func (r *Router) addToLinks(att *attempt, amount float64) {
	r.endpoints[att.endpoint].link.add(amount, r.now)
	if att.needsFill && r.endpoints[att.source].role != roleCache {
		r.ingress.add(amount, r.now)
	}
}

// ingressTransfers returns the capacity, in transfers, of the link into the router's location, or 0 if it is not set.
func (s *Settings) ingressTransfers() float64 {
	zone := int(s.Zone)
	if zone >= len(s.ZoneIngressKBPerSecond) || s.FlowKBPerSecond <= 0 {
		return 0
	}
	return s.ZoneIngressKBPerSecond[zone] / s.FlowKBPerSecond
}
