package routing

import "time"

const (
	// budgetSafety is the part of a cold endpoint's budget that all routers together allow themselves: chance must fit
	// too.
	budgetSafety = 0.6
	// guessedThroughput stands for what a warm endpoint carries before any was seen to.
	guessedThroughput = 1
	// minBudgetRate keeps next to nothing of the budget where a setting is missing.
	minBudgetRate = 1e-6
	// minThroughputSpan is the span over which a throughput is measured by a router alone; one of many sees less and
	// takes longer, to maxThroughputSpan.
	minThroughputSpan = time.Second
	maxThroughputSpan = 15 * time.Second
	// slowStartSalt makes the share of objects that a cold endpoint takes independent of their place on the ring.
	slowStartSalt = 0xc01d
)

// slowStartSettings are the settings of the slow start of all endpoints with a role.
type slowStartSettings struct {
	initialShare   float64 // of its capacity that an endpoint starts with
	duration       time.Duration
	overloadFactor float64 // the multiple of its warmed-up capacity that it bears
	overloadWindow time.Duration
}

// slowStart limits what an endpoint gets until it has warmed up.
type slowStart struct {
	settings    *slowStartSettings // nil: always warm
	startedAt   time.Duration
	budgetStart time.Duration // the startedAt that the budget is counted for
	nextAllowed time.Duration // while it is cold: nothing from this router before
}

// warmFraction is the part of its capacity that the endpoint surely gives by now.
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

// beginBudget starts the budget of an endpoint that was started anew, and reports whether it did.
func (s *slowStart) beginBudget(now time.Duration) bool {
	if s.budgetStart == s.startedAt {
		return false
	}
	s.budgetStart, s.nextAllowed = s.startedAt, now
	return true
}

// consume puts the next request to a cold endpoint as far off as its budget asks. times is how many requests are
// counted, weight the transfer time of one, throughput what this router's part of the warm endpoint carries. What is
// saved up and may go at once is what the overload window bears beside the requests that go on in it.
func (s *slowStart) consume(times float64, weight time.Duration, throughput float64, now time.Duration) {
	rate := max(minBudgetRate, budgetSafety*s.settings.overloadFactor*s.warmFraction(now)*throughput)
	gap := time.Duration(float64(weight) / rate)
	saved := time.Duration((1/budgetSafety - 1) * float64(s.settings.overloadWindow))
	s.nextAllowed = max(s.nextAllowed, now-max(0, saved-gap)) + time.Duration(times*float64(gap))
}

// slowStartOf returns the slow start of an endpoint with the role.
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

// warmFraction is the part of its capacity that an endpoint surely gives by now.
func (r *Router) warmFraction(index endpointIndex) float64 {
	return r.endpoints[index].slowStart.warmFraction(r.now)
}

// takesObject reports whether an endpoint takes the object: all objects once it is warm, while cold the share that it
// can give, chosen by the object's hash, so that all routers agree without talking. Guards rule 4.
func (r *Router) takesObject(index endpointIndex, hash uint64) bool {
	return unitFloat(mix(hash^slowStartSalt)) < r.warmFraction(index)
}

// hasBudget reports whether a cold endpoint can bear this request from this router now.
func (r *Router) hasBudget(req *request, index endpointIndex) bool {
	ramp := &r.endpoints[index].slowStart
	if ramp.warmFraction(r.now) >= 1 {
		return true
	}
	if ramp.beginBudget(r.now) {
		// Nothing saved up: all routers hear of its start at about the same time, or start together after it.
		r.consumeBudget(req, index, r.random.float()*(1-r.trafficShareOf(index)))
	}
	return r.now >= ramp.nextAllowed
}

// consumeBudget counts so many requests against the budget of a cold endpoint. A router whose part is less than one
// request waits its turn, from a random start, so that many together keep the budget. Guards rule 4 when the load is
// far from usual: a lost location, retries, a dead neighbour.
func (r *Router) consumeBudget(req *request, index endpointIndex, times float64) {
	ramp := &r.endpoints[index].slowStart
	if ramp.warmFraction(r.now) >= 1 {
		return
	}
	ramp.consume(times, r.budgetWeight(req), r.warmThroughput(index), r.now)
}

// budgetWeight is the transfer time that a request is counted with: until sizes are known, longer than any usual one.
func (r *Router) budgetWeight(req *request) time.Duration {
	if stats := &r.classStats[req.class]; stats.hasUsualSize() {
		return stats.usualTransferTime()
	}
	return r.settings.Classes[req.class].LatencyObjective
}

// warmThroughput is what the endpoint carries of this router's traffic once it is warm, in seconds of transfers a
// second: its link as the list tells it, or what others with its role were seen to carry for this router at their
// best. Those that carried far less tell of little use.
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
	return max(guessedThroughput*r.trafficShareOf(index), sum/max(1, count))
}

// throughputSpan is the span over which the throughput of an endpoint is measured.
func (r *Router) throughputSpan(index endpointIndex) time.Duration {
	return min(maxThroughputSpan, time.Duration(float64(minThroughputSpan)/r.trafficShareOf(index)))
}

// trafficShareOf is this router's part of the traffic of an endpoint.
func (r *Router) trafficShareOf(index endpointIndex) float64 {
	if r.endpoints[index].role == roleCache {
		return r.trafficShare
	}
	return 1 / float64(max(1, r.settings.Routers))
}
