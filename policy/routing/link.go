package routing

import (
	"math"
	"time"
)

// concurrencySpan is the span over which the usual load of a link by this router is measured, to tell what others of
// its kind put on it: some requests, even where each router has few.
const concurrencySpan = 5 * time.Second

// concurrency counts what this router has in flight, and its decaying average.
type concurrency struct {
	current, average float64
	changedAt        time.Duration
}

func (c *concurrency) averageAt(now time.Duration) float64 {
	return c.current + (c.average-c.current)*math.Exp(-float64(now-c.changedAt)/float64(concurrencySpan))
}

// add counts what begins, or with a negative amount what ends.
func (c *concurrency) add(amount float64, now time.Duration) {
	c.average, c.changedAt = c.averageAt(now), now
	c.current += amount
}

const (
	// congestedSlowdown parts a transfer at full pace, with the noise of its size and way, from one on a full link.
	congestedSlowdown = 1.25
	// capacityPace is the weight of a transfer in the capacity; it doubles where transfers are a second apart.
	capacityPace = 0.1
	// busyFraction is the part of its capacity above which a link at full pace shows that it has more.
	busyFraction = 0.7
	// firstCapacityFactor is how far the first congested transfer may have understated the capacity.
	firstCapacityFactor = 1.5
	// capacityTrustedFor is how long a capacity under one transfer is believed without news; then one goes on trial.
	capacityTrustedFor = 2 * time.Second
	// reportValidFor is how long a report of the link's load is used: some times as long as they are apart.
	reportValidFor = 2 * time.Second
	// reportSmoothing is how many times less than the mean of earlier reports a new one weighs.
	reportSmoothing = 4
)

// link is a network link as this router's own transfers show it. capacity is how many transfers fit at full pace, those
// of other routers included, 0 without evidence.
type link struct {
	concurrency
	capacity            float64
	reportedUtilization float64
	reportedAt          time.Duration
	observedAt          time.Duration // when its capacity was learned
	dedicated           bool          // no other router uses it
}

// observe takes the slowdown of a transfer and how many ran beside it. One at full pace shows that more fit than ran; a
// congested one how many did, at the least so many: a slow endpoint gives less than one. A tenth forgets in some ten
// transfers; where they are few, each counts twice.
func (l *link) observe(slowdown, beside, least float64, now time.Duration) {
	pace := capacityPace + capacityPace*min(1, (now-l.observedAt).Seconds())
	l.observedAt = now
	switch {
	case slowdown < congestedSlowdown:
		if l.capacity > 0 && beside+1 > l.capacity*busyFraction {
			l.capacity += capacityPace * max(1, beside+1-l.capacity)
		}
	case l.capacity <= 0:
		l.capacity = max(least, beside/slowdown*firstCapacityFactor)
	default:
		l.capacity += pace * (max(least, beside/slowdown) - l.capacity)
	}
}

// observeReport takes a report of the link's utilization.
func (l *link) observeReport(utilization float64, now time.Duration) {
	l.reportedUtilization += (utilization - l.reportedUtilization) / reportSmoothing
	l.reportedAt = now
}

// transfers is how many transfers run on the link by now: this router's, and for each of the others that share it what
// this one usually has there, or the middle of that and of what reports tell. trafficShare is this router's part.
func (l *link) transfers(trafficShare float64, now time.Duration) float64 {
	if l.dedicated {
		return l.current
	}
	others := l.averageAt(now) * (1/trafficShare - 1)
	if l.reportedUtilization > 0 && now-l.reportedAt < reportValidFor && trafficShare < 1 {
		others = (others + max(0, l.reportedUtilization*l.capacity-l.averageAt(now))) / 2
	}
	return l.current + others
}

// totalTransfers is how many transfers of all routers run on a link of the location by now.
func (r *Router) totalTransfers(l *link) float64 {
	return l.transfers(r.trafficShare, r.now)
}

// slowdown is how many times longer than alone one more transfer takes, on a link that gives a part of its capacity.
func (r *Router) slowdown(l *link, part float64) float64 {
	if l.capacity <= 0 {
		return 1
	}
	capacity := l.capacity
	if r.now-l.observedAt > capacityTrustedFor {
		capacity = max(1, capacity)
	}
	return max(1, (r.totalTransfers(l)+1)/(capacity*part))
}

// occupyLinks counts an attempt at the links that it uses.
func (r *Router) occupyLinks(att *attempt) { r.addToLinks(att, att.linkShare) }

// releaseLinks takes an attempt that has ended off its links.
func (r *Router) releaseLinks(att *attempt) { r.addToLinks(att, -att.linkShare) }

func (r *Router) addToLinks(att *attempt, amount float64) {
	r.endpoints[att.endpoint].link.add(amount, r.now)
	if att.needsFill && r.endpoints[att.source].role != roleCache {
		r.ingress.add(amount, r.now)
	}
}

// ingressTransfers is the capacity of the link into the router's location in transfers, 0 where it is not told.
func (s *Settings) ingressTransfers() float64 {
	zone := int(s.Zone)
	if zone >= len(s.ZoneIngressKBPerSecond) || s.FlowKBPerSecond <= 0 {
		return 0
	}
	return s.ZoneIngressKBPerSecond[zone] / s.FlowKBPerSecond
}
