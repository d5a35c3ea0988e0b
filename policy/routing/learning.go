package routing

import "time"

const (
	// slowFillFactor is the multiple of its prediction that the body of a fill may take before the parent counts as
	// failing. The prediction includes the location's links, so the rest of the delay is caused by the parent. This
	// detects slow and throttled parents whose first byte is in time.
	slowFillFactor = 2
	// maxFillSlowdown limits the ratio with which one outlying fill enters the mean fillSlowdown of a parent.
	maxFillSlowdown = 8
	// minFillSlowdown is the lowest value to which a parent's fillSlowdown is compared. Without it, each parent would
	// count as slow compared to a parent that has no fills yet.
	minFillSlowdown = 0.5
	// uncongestedUtilization is the reported utilization below which the link of a cache is considered free of congestion.
	uncongestedUtilization = 0.8
	// minLinkSampleTime is the minimum transfer time of a sample of a link's congestion.
	minLinkSampleTime = 100 * ms
	// fillAverageSamples and originShareSamples are the numbers of samples over which the averages of fills and of
	// originLimiter.originShare extend.
	fillAverageSamples = 8
	originShareSamples = 20
	// minCacheLinkCapacity and minIngressCapacity are the lowest capacities, in transfers, that are inferred from a
	// congested transfer.
	minCacheLinkCapacity = 0.1
	minIngressCapacity   = 1
	// cacheLinkSlowdownFactor is the multiple of the slowdown expected from the cache's link above which the slowdown
	// of a fill is attributed to the ingress link.
	cacheLinkSlowdownFactor = 1.5
)

// answer is a successful attempt with the values derived from it.
type answer struct {
	req            *request
	att            *attempt
	event          *Event
	body           time.Duration // time from the first to the last byte
	slowdown       float64       // ratio of body to the request's transfer time
	bypassedCaches bool          // the answer came from a parent or the origin
	isHit          bool
}

// learnFromSuccess updates the endpoints and links that a successful attempt used.
func (r *Router) learnFromSuccess(req *request, att *attempt, event *Event) {
	r.recordSuccess(att.endpoint, att.sentAt, event.Note == NoteHit)
	if req.lastErrorFrom != noEndpoint {
		r.recordFailure(req.lastErrorFrom, softFailureWeight)
	}
	if r.settings.Classes[req.class].Write {
		r.classStats[req.class].transferTime.add(event.Elapsed, writeTimeWeight)
		return
	}
	target := &r.endpoints[att.endpoint]
	target.throughput.add(req.transferTime.Seconds(), r.now, r.throughputSpan(att.endpoint))
	ans := answer{
		req: req, att: att, event: event, body: event.Elapsed - event.FirstByteWait, slowdown: 1,
		bypassedCaches: target.role > roleCache,
	}
	if req.transferTime > 0 {
		ans.slowdown = float64(ans.body) / float64(req.transferTime)
	}
	record := r.history.ensure(req.hash)
	ans.isHit = r.isHit(&ans, record)
	record.seenAt = r.now
	if att.needsFill {
		record.renewedAt = max(record.renewedAt, r.unknownPurgesUntil())
	}
	if att.storesCopy || ans.isHit {
		record.holder = att.endpoint
	}
	if ans.isHit {
		r.learnFromHit(&ans, record)
	}
	if ans.bypassedCaches || event.Note == NoteFilled || event.Note == NoteViaOrigin {
		r.learnFromFill(&ans)
	}
}

// isHit reports whether the answer came from a cached copy. With DetailNone the first answer for an object counts as a
// hit, and so does each answer of a cache that is expected to hold the object.
func (r *Router) isHit(ans *answer, record *objectRecord) bool {
	if ans.event.Note == NoteHit {
		return true
	}
	return r.settings.ResponseDetail == DetailNone && !ans.bypassedCaches &&
		(record.transferTime == 0 || r.isExpectedCachedAt(ans.req, ans.att.endpoint))
}

// learnFromHit updates the transfer time of the object and its class, and the capacity of the cache's link.
func (r *Router) learnFromHit(ans *answer, record *objectRecord) {
	req, stats, target := ans.req, &r.classStats[ans.req.class], &r.endpoints[ans.att.endpoint]
	// The shortest observed time is closest to the transfer time without congestion.
	isShortest := !req.sizeInRequest && (record.transferTime == 0 || ans.event.Elapsed < record.transferTime)
	if isShortest {
		record.transferTime = ans.event.Elapsed
	}
	if !req.sizeInRequest && target.utilization < uncongestedUtilization || isShortest && !stats.hasUsualTransferTime() {
		stats.transferTime.add(record.transferTime, transferTimeWeight)
	}
	if req.isLinkSample() && !ans.bypassedCaches && r.warmFraction(ans.att.endpoint) >= 1 {
		concurrent := r.totalTransfers(&target.link) + ans.att.linkShare
		target.link.observe(ans.slowdown, concurrent, minCacheLinkCapacity, r.now)
	}
}

// learnFromFill updates the source of a fill and the location's ingress link. It ignores fills from other caches.
func (r *Router) learnFromFill(ans *answer) {
	source := &r.endpoints[ans.att.source]
	if source.role == roleCache {
		return
	}
	r.assessFill(ans)
	source.throughput.add(ans.req.transferTime.Seconds(), r.now, r.throughputSpan(ans.att.source))
	cacheLinkSlowdown := cacheLinkSlowdownFactor *
		r.slowdown(&r.endpoints[ans.att.endpoint].link, r.warmFraction(ans.att.endpoint))
	if ans.req.isLinkSample() && (ans.slowdown < congestedSlowdown || ans.slowdown > cacheLinkSlowdown) {
		r.ingress.observe(ans.slowdown, r.totalTransfers(&r.ingress)+ans.att.linkShare, minIngressCapacity, r.now)
	}
	r.learnOriginWait(ans)
}

// assessFill counts a fill as a success or, if it was slow, as a failure of its source.
func (r *Router) assessFill(ans *answer) {
	att, source := ans.att, &r.endpoints[ans.att.source]
	slowdown := min(maxFillSlowdown, float64(ans.body)/float64(att.expected+ms))
	source.fillSlowdown += (slowdown - source.fillSlowdown) / fillAverageSamples
	isSlow := source.role == roleParent && ans.body > slowFillFactor*att.expected+overdueMargin
	if isSlow && (ans.req.sizeKnown || r.isSlowerThanOtherParent(att.source)) {
		r.recordFailure(att.source, softFailureWeight)
	} else {
		r.recordSuccess(att.source, att.sentAt, ans.event.Note == NoteFilled)
	}
}

// isSlowerThanOtherParent reports whether a parent's fills are much slower than those of another parent. If sizes are
// only estimated, one slow fill proves nothing, but the estimates are equally wrong for all parents.
func (r *Router) isSlowerThanOtherParent(index endpointIndex) bool {
	for _, other := range r.parents.members {
		slowdown := max(minFillSlowdown, r.endpoints[other].fillSlowdown)
		if other != index && r.endpoints[index].fillSlowdown > slowFillFactor*slowdown {
			return true
		}
	}
	return false
}

// learnOriginWait updates the usual wait of fills through the origin, or of fills from a copy that the parent had.
func (r *Router) learnOriginWait(ans *answer) {
	source, wait := &r.endpoints[ans.att.source], ans.event.FirstByteWait
	viaOrigin := 0.0
	if ans.event.Note == NoteViaOrigin || source.role == roleOrigin {
		viaOrigin = 1
		objective := r.settings.Classes[ans.req.class].LatencyObjective
		r.originLimiter.observe(wait, wait > objective/2 && r.now >= ans.req.objectiveAt, r.now)
	} else if !ans.bypassedCaches {
		source.cachedFillWait += (wait - source.cachedFillWait) / fillAverageSamples
	}
	if source.role == roleParent {
		r.originLimiter.originShare += (viaOrigin - r.originLimiter.originShare) / originShareSamples
	}
}
