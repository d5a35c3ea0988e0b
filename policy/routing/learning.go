package routing

import "time"

const (
	// draggingFactor is the multiple of its prediction that the body of a fill may take before the parent counts as
	// failing. The prediction includes the location's links, so the rest of the delay is caused by the parent. This
	// detects slow and throttled parents whose first byte is in time.
	draggingFactor = 2
	// maxFillSlowdown limits the ratio with which one outlying fill enters the mean fillSlowdown of a parent.
	maxFillSlowdown = 8
	// minFillSlowdown is the lower bound of the fillSlowdown with which that of another parent is compared. Without it,
	// each parent would count as slow beside a parent that has no fills yet.
	minFillSlowdown = 0.5
	// calmUtilization is the reported utilization below which the link of a cache is considered free of congestion.
	calmUtilization = 0.8
	// minLinkSample is the minimum transfer time of a sample of a link's congestion.
	minLinkSample = 100 * ms
	// fillPace and originSharePace are the numbers of samples over which the averages of fills and of originShare
	// extend.
	fillPace        = 8
	originSharePace = 20
	// leastOfCacheLink and leastOfIngress are the minimum capacities, in transfers, that a congested transfer can
	// indicate.
	leastOfCacheLink = 0.1
	leastOfIngress   = 1
	// congestedCacheLink is the multiple of the slowdown expected from its cache's link above which the slowdown of a
	// fill is attributed to the ingress link.
	congestedCacheLink = 1.5
)

// answer is a successful attempt with the values derived from it.
type answer struct {
	req          *request
	att          *attempt
	event        *Event
	body         time.Duration // time from the first to the last byte
	slowdown     float64       // ratio of body to the request's transfer time
	bypassCaches bool          // the answer came from a parent or the origin
	isHit        bool
}

// learnFromSuccess updates the endpoints and links that a successful attempt used.
func (r *Router) learnFromSuccess(req *request, att *attempt, event *Event) {
	r.recordSuccess(att.endpoint, att.sentAt, event.Note == NoteHit)
	if req.failedBy != noEndpoint {
		r.recordFailure(req.failedBy, softFailure)
	}
	if r.settings.Classes[req.class].Write {
		r.classStats[req.class].transferTime.add(event.Elapsed, writeTimePace)
		return
	}
	target := &r.endpoints[att.endpoint]
	target.throughput.add(req.transferTime.Seconds(), r.now, r.throughputSpan(att.endpoint))
	got := answer{
		req: req, att: att, event: event, body: event.Elapsed - event.FirstByteWait, slowdown: 1,
		bypassCaches: target.role > roleCache,
	}
	if req.transferTime > 0 {
		got.slowdown = float64(got.body) / float64(req.transferTime)
	}
	record := r.history.ensure(req.hash)
	got.isHit = r.isHit(&got, record)
	record.seenAt = r.now
	if att.storesCopy || got.isHit {
		record.holder = att.endpoint
	}
	if got.isHit {
		r.learnFromHit(&got, record)
	}
	if got.bypassCaches || event.Note == NoteFilled || event.Note == NoteViaOrigin {
		r.learnFromFill(&got)
	}
}

// isHit reports whether the answer came from a cached copy. With DetailNone the first answer for an object counts as a
// hit, and so does each answer of a cache that is expected to hold the object.
func (r *Router) isHit(got *answer, record *objectRecord) bool {
	if got.event.Note == NoteHit {
		return true
	}
	return r.settings.ResponseDetail == DetailNone && !got.bypassCaches &&
		(record.transferTime == 0 || r.isExpectedAt(got.req, got.att.endpoint))
}

// learnFromHit updates the transfer time of the object and its class, and the capacity of the cache's link.
func (r *Router) learnFromHit(got *answer, record *objectRecord) {
	req, stats, target := got.req, &r.classStats[got.req.class], &r.endpoints[got.att.endpoint]
	// The shortest observed time is closest to the transfer time without congestion.
	isShortest := !req.sizeTold && (record.transferTime == 0 || got.event.Elapsed < record.transferTime)
	if isShortest {
		record.transferTime = got.event.Elapsed
	}
	if !req.sizeTold && target.utilization < calmUtilization || isShortest && !stats.hasUsualSize() {
		stats.transferTime.add(record.transferTime, transferTimePace)
	}
	if req.isLinkSample() && !got.bypassCaches && r.warmFraction(got.att.endpoint) >= 1 {
		beside := r.totalTransfers(&target.link) + got.att.linkShare
		target.link.observe(got.slowdown, beside, leastOfCacheLink, r.now)
	}
}

// learnFromFill updates the source of a fill and the location's ingress link. It ignores fills from other caches.
func (r *Router) learnFromFill(got *answer) {
	source := &r.endpoints[got.att.source]
	if source.role == roleCache {
		return
	}
	r.assessFill(got)
	source.throughput.add(got.req.transferTime.Seconds(), r.now, r.throughputSpan(got.att.source))
	ofCacheLink := congestedCacheLink * r.slowdown(&r.endpoints[got.att.endpoint].link, r.warmFraction(got.att.endpoint))
	if got.req.isLinkSample() && (got.slowdown < congestedSlowdown || got.slowdown > ofCacheLink) {
		r.ingress.observe(got.slowdown, r.totalTransfers(&r.ingress)+got.att.linkShare, leastOfIngress, r.now)
	}
	r.learnOriginWait(got)
}

// assessFill counts a fill as a success or, if it was slow, as a failure of its source.
func (r *Router) assessFill(got *answer) {
	att, source := got.att, &r.endpoints[got.att.source]
	slowdown := min(maxFillSlowdown, float64(got.body)/float64(att.expected+ms))
	source.fillSlowdown += (slowdown - source.fillSlowdown) / fillPace
	isSlow := source.role == roleParent && got.body > draggingFactor*att.expected+overdueAfter
	if isSlow && (got.req.sizeKnown || r.isDragging(att.source)) {
		r.recordFailure(att.source, softFailure)
	} else {
		r.recordSuccess(att.source, att.sentAt, got.event.Note == NoteFilled)
	}
}

// isDragging reports whether a parent's fills are much slower than those of another parent. If sizes are only
// estimated, one slow fill proves nothing, but the estimates are equally wrong for all parents.
func (r *Router) isDragging(index endpointIndex) bool {
	for _, other := range r.parents.members {
		slowdown := max(minFillSlowdown, r.endpoints[other].fillSlowdown)
		if other != index && r.endpoints[index].fillSlowdown > draggingFactor*slowdown {
			return true
		}
	}
	return false
}

// learnOriginWait updates the usual wait of fills through the origin, or of fills from a copy that the parent had.
func (r *Router) learnOriginWait(got *answer) {
	source, wait := &r.endpoints[got.att.source], got.event.FirstByteWait
	viaOrigin := 0.0
	if got.event.Note == NoteViaOrigin || source.role == roleOrigin {
		viaOrigin = 1
		objective := r.settings.Classes[got.req.class].LatencyObjective
		r.originLimiter.observe(wait, wait > objective/2 && r.now >= got.req.objectiveAt, r.now)
	} else if !got.bypassCaches {
		source.cachedFillWait += (wait - source.cachedFillWait) / fillPace
	}
	if source.role == roleParent {
		r.originLimiter.originShare += (viaOrigin - r.originLimiter.originShare) / originSharePace
	}
}
