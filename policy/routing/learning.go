package routing

import "time"

const (
	// draggingFactor is how many times its prediction the body of a fill may take before its parent counts as failing:
	// the location's links are in the prediction, so what is left is the parent's own. Guards against slow and
	// throttled parents that begin to answer in good time.
	draggingFactor = 2
	// maxFillSlowdown bounds what one odd fill can tell.
	maxFillSlowdown = 8
	// minFillSlowdown is the least slowdown of another parent that a parent is compared with.
	minFillSlowdown = 0.5
	// calmUtilization is the load below which a cache's link is taken to run at full pace.
	calmUtilization = 0.8
	// minLinkSample is the shortest transfer that is a sample of a link.
	minLinkSample = 100 * ms
	// fillPace and originSharePace are how many samples the averages of fills and of the origin's share reach over.
	fillPace        = 8
	originSharePace = 20
	// leastOfCacheLink and leastOfIngress are the least capacities that a congested transfer can show.
	leastOfCacheLink = 0.1
	leastOfIngress   = 1
	// congestedCacheLink is how far a fill may be slower than its cache's link explains before the ingress explains it.
	congestedCacheLink = 1.5
)

// answer is a successful attempt, as learning sees it.
type answer struct {
	req          *request
	att          *attempt
	event        *Event
	body         time.Duration // first to last byte
	slowdown     float64       // of the body
	bypassCaches bool          // from a parent or the origin
	isHit        bool
}

// learnFromSuccess keeps what a good answer tells of the endpoints and links on its way.
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

// isHit reports whether the answer came from a cached copy. Where no answer tells, the first of an object stands for a
// hit, and any of a cache that should hold it.
func (r *Router) isHit(got *answer, record *objectRecord) bool {
	if got.event.Note == NoteHit {
		return true
	}
	return r.settings.ResponseDetail == DetailNone && !got.bypassCaches &&
		(record.transferTime == 0 || r.isExpectedAt(got.req, got.att.endpoint))
}

// learnFromHit learns the size of an object, and from it the capacity of the cache's link.
func (r *Router) learnFromHit(got *answer, record *objectRecord) {
	req, stats, target := got.req, &r.classStats[got.req.class], &r.endpoints[got.att.endpoint]
	// The shortest time seen is nearest to the transfer time at full pace.
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

// learnFromFill learns of the source of a fill, unless it was another cache, and of the location's ingress link.
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

// assessFill counts a fill for or against its parent.
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

// isDragging compares a parent's fills with those of the others: where sizes are only guessed, one long body tells
// nothing, but they are guessed alike for all parents.
func (r *Router) isDragging(index endpointIndex) bool {
	for _, other := range r.parents.members {
		slowdown := max(minFillSlowdown, r.endpoints[other].fillSlowdown)
		if other != index && r.endpoints[index].fillSlowdown > draggingFactor*slowdown {
			return true
		}
	}
	return false
}

// learnOriginWait learns how long a fill waits by way of the origin, or for a parent that has the object.
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
