package routing

import "time"

const (
	// budgetSafetyFactor is the share of a cold endpoint's budget that all routers together use on average. The rest is
	// left for random bursts.
	budgetSafetyFactor = 0.6
	// defaultThroughput is the assumed throughput of a warm endpoint, in seconds of transfers per second, until a higher
	// throughput has been observed.
	defaultThroughput = 1
	// minBudgetRate is the budget rate, in seconds of transfers per second, if a setting is missing. It is almost zero,
	// since nothing is known about the load that the endpoint can bear, but a rate of zero would be a division by zero.
	minBudgetRate = 1e-6
	// minThroughputSpan is the span over which a router that is alone measures a throughput. One of many routers sees
	// fewer requests and measures over a longer span, up to maxThroughputSpan.
	minThroughputSpan = time.Second
	maxThroughputSpan = 15 * time.Second
	// slowStartSalt makes the choice of the objects that a cold endpoint takes independent of their ring positions.
	slowStartSalt = 0xc01d
)

// slowStartSettings holds the slow start settings of all endpoints with a role.
type slowStartSettings struct {
	initialShare   float64 // share of its capacity with which an endpoint starts
	duration       time.Duration
	overloadFactor float64       // multiple of its warmed-up capacity that an endpoint can bear
	overloadWindow time.Duration // time over which the load is compared with the capacity
}

// slowStart limits the load of an endpoint until it has warmed up.
type slowStart struct {
	settings    *slowStartSettings // nil: always warm
	startedAt   time.Duration
	budgetStart time.Duration // value of startedAt when the budget was begun
	nextAllowed time.Duration // earliest time of the next request from this router while the endpoint is cold
}

// warmFraction returns the share of its capacity that the endpoint is known to have reached.
func (s *slowStart) warmFraction(now time.Duration) float64 {
	if s.settings == nil {
		return 1
	}
	initial, age := s.settings.initialShare, now-s.startedAt
	if age >= s.settings.duration {
		return 1
	}
	return initial + (1-initial)*max(0, float64(age))/float64(s.settings.duration)
}

// beginBudget begins a new budget if the endpoint has been restarted, and reports whether it did.
func (s *slowStart) beginBudget(now time.Duration) bool {
	if s.budgetStart == s.startedAt {
		return false
	}
	s.budgetStart, s.nextAllowed = s.startedAt, now
	return true
}

// consume counts the given number of requests, each with the transfer time, and delays the next request to the cold
// endpoint accordingly. throughput is this router's share of the throughput of the warm endpoint. Unused budget is
// saved up to the amount that the endpoint can bear within the overload window beyond requests at the budget's rate.
func (s *slowStart) consume(count float64, transferTime time.Duration, throughput float64, now time.Duration) {
	rate := max(minBudgetRate, budgetSafetyFactor*s.settings.overloadFactor*s.warmFraction(now)*throughput)
	interval := time.Duration(float64(transferTime) / rate)
	saved := time.Duration((1/budgetSafetyFactor - 1) * float64(s.settings.overloadWindow))
	s.nextAllowed = max(s.nextAllowed, now-max(0, saved-interval)) + time.Duration(count*float64(interval))
}

// slowStartOf returns the initial slow start of an endpoint with the role.
func (r *Router) slowStartOf(role endpointRole) slowStart {
	ramp := slowStart{startedAt: LongAgo, budgetStart: LongAgo}
	switch role {
	case roleLocalCache, roleCache:
		ramp.settings = &r.cacheSlowStart
	case roleParent:
		ramp.settings = &r.parentSlowStart
	case roleOrigin:
	}
	return ramp
}

// warmFraction returns the share of its capacity that an endpoint is known to have reached.
func (r *Router) warmFraction(index endpointIndex) float64 {
	return r.endpoints[index].slowStart.warmFraction(r.now)
}

// takesObject reports whether an endpoint takes requests for the object. A warm endpoint takes all objects. A cold
// endpoint takes a share equal to its warmFraction, chosen by the object's hash, so that all routers agree without
// communicating. This enforces rule 4.
func (r *Router) takesObject(index endpointIndex, hash uint64) bool {
	return unitFloat(mix(hash^slowStartSalt)) < r.warmFraction(index)
}

// hasBudget reports whether an endpoint is warm, or has budget for this request from this router now.
func (r *Router) hasBudget(req *request, index endpointIndex) bool {
	ramp := &r.endpoints[index].slowStart
	if ramp.warmFraction(r.now) >= 1 {
		return true
	}
	if ramp.beginBudget(r.now) {
		// The budget begins with a random delay and nothing saved up, so that many routers together keep it: all learn of
		// the endpoint's start at about the same time, or start together after it.
		r.consumeBudget(req, index, r.random.float()*(1-r.trafficShareOf(index)))
	}
	return r.now >= ramp.nextAllowed
}

// consumeBudget counts the given number of requests against the budget of a cold endpoint. This enforces rule 4 under
// unusual load: a lost location, retries, a failed neighbour.
func (r *Router) consumeBudget(req *request, index endpointIndex, count float64) {
	ramp := &r.endpoints[index].slowStart
	if ramp.warmFraction(r.now) >= 1 {
		return
	}
	ramp.consume(count, r.budgetTransferTime(req), r.warmThroughput(index), r.now)
}

// budgetTransferTime returns the transfer time with which a request is counted. Until sizes are known, it is the
// latency objective, which is longer than any usual transfer.
func (r *Router) budgetTransferTime(req *request) time.Duration {
	if stats := &r.classStats[req.class]; stats.hasUsualTransferTime() {
		return stats.usualTransferTime()
	}
	return r.settings.Classes[req.class].LatencyObjective
}

// warmThroughput returns the throughput, in seconds of transfers per second, that the endpoint has for this router once
// it is warm. The endpoint's weight is used if it is the capacity of its link, else the mean of the peak throughputs of
// endpoints with the same role. Much lower peaks are left out, since they are due to low demand.
func (r *Router) warmThroughput(index endpointIndex) float64 {
	cold, sum, count := &r.endpoints[index], 0.0, 0.0
	if r.settings.WeightIsLinkCapacity {
		sum = cold.weight * r.trafficShareOf(index)
	} else {
		for i := range r.endpoints {
			other := &r.endpoints[i]
			peak := other.throughput.peak
			if other.role == cold.role && peak > 0 && peak > sum/max(1, count)/2 {
				sum += peak
				count++
			}
		}
	}
	return max(defaultThroughput*r.trafficShareOf(index), sum/max(1, count))
}

// throughputSpan returns the span over which the throughput of an endpoint is measured.
func (r *Router) throughputSpan(index endpointIndex) time.Duration {
	return min(maxThroughputSpan, time.Duration(float64(minThroughputSpan)/r.trafficShareOf(index)))
}

// trafficShareOf returns this router's share of the traffic of an endpoint.
func (r *Router) trafficShareOf(index endpointIndex) float64 {
	if r.endpoints[index].role == roleCache {
		return r.trafficShare
	}
	return 1 / float64(max(1, r.settings.Routers))
}
