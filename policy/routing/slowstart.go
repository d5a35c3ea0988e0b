package routing

import (
	"time"
)

// warmFraction is the part of its capacity that a node surely gives by now.
func (r *Router) warmFraction(n int32) float64 {
	d := &r.endpoints[n]
	least, over := r.settings.SlowStartShare, r.settings.SlowStartFor
	if d.role == roleParent {
		least, over = r.settings.ParentSlowStartShare, r.settings.ParentSlowStartFor
	}
	if age := r.now - d.startedAt; d.role != roleOrigin && age < over {
		return least + (1-least)*max(0, float64(age))/float64(over)
	}
	return 1
}

// takesObject says whether a node takes the object: all objects once it is warm, while cold the share that it can
// give, chosen by the object's hash, so that all routers agree without talking. Guards rule 4.
func (r *Router) takesObject(n int32, hash uint64) bool {
	return float64(mix(hash^0xc01d)>>11)/(1<<53) < r.warmFraction(n)
}

// budgetSafety is the part of a cold node's budget that all routers together allow themselves: chance must fit
// too. guessedThroughput stands for what a warm one carries before any was seen to. minThroughputSpan is the span over
// which this is measured by a router alone; one of many sees less and takes longer, to maxThroughputSpan.
const (
	budgetSafety, guessedThroughput      = 0.6, 1
	minThroughputSpan, maxThroughputSpan = time.Second, 15 * time.Second
)

// throughputSpan is the span over which what a node carries for this router is measured.
func (r *Router) throughputSpan(n int32) time.Duration {
	return min(maxThroughputSpan, time.Duration(float64(minThroughputSpan)/r.shareOf(n)))
}

// hasBudget says whether a cold node can bear this view from this router now.
func (r *Router) hasBudget(v *request, n int32) bool {
	if d := &r.endpoints[n]; d.budgetFor != d.startedAt && r.warmFraction(n) < 1 {
		// Nothing saved up: all routers hear of its start at about the same time, or start together after it.
		d.budgetFor, d.nextAllowed = d.startedAt, r.now
		r.consumeBudget(v, n, r.random.float()*(1-r.shareOf(n)))
	}
	return r.warmFraction(n) >= 1 || r.now >= r.endpoints[n].nextAllowed
}

// consumeBudget puts the next view to a cold node as far off as this router's part of its budget asks: the stated
// multiple of its link, as told or as others like it were seen to carry for this router at their best (those
// that carried far less tell of little use), times its warmth. What is saved up and may go at once is what
// a window bears beside the turns that go on in it; a router whose part is less waits its turn, from a start
// by chance, so that many together keep the budget.
// Guards rule 4 when the load is far from usual: a lost location, retries, a dead neighbour.
func (r *Router) consumeBudget(v *request, n int32, times float64) {
	weight, warm := r.classes[v.class].transferTime.duration(), r.warmFraction(n)
	if warm >= 1 {
		return
	}
	if r.classes[v.class].transferTime.samples < minSizeSamples {
		weight = r.settings.Classes[v.class].LatencyObjective // until sizes are known: longer than any usual view
	}
	d, sum, count := &r.endpoints[n], 0.0, 0.0
	if r.settings.WeightIsLinkCapacity {
		sum = d.weight * r.shareOf(n)
	} else {
		for i := range r.endpoints {
			o := &r.endpoints[i]
			if most := o.throughput.peak; o.role == d.role && most > 0 && most > sum/max(1, count)/2 {
				sum += most
				count++
			}
		}
	}
	multiple := r.settings.OverloadFactor
	if d.role == roleParent {
		multiple = r.settings.ParentOverloadFactor
	}
	carries := max(guessedThroughput*r.shareOf(n), sum/max(1, count))
	rate := max(1e-6, budgetSafety*multiple*warm*carries) // a setting that is missing leaves it next to nothing
	gap := time.Duration(float64(weight) / rate)
	saved := time.Duration((1/budgetSafety - 1) * float64(r.settings.OverloadWindow))
	d.nextAllowed = max(d.nextAllowed, r.now-max(0, saved-gap)) + time.Duration(times*float64(gap))
}

// shareOf is this router's part of the traffic of a node.
func (r *Router) shareOf(n int32) float64 {
	if r.endpoints[n].role == roleCache {
		return r.trafficShare
	}
	return 1 / float64(max(1, r.settings.Routers))
}
