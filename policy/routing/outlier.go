package routing

import (
	"time"
)

// endpointHealth follows a cache or a parent through its failures.
type endpointHealth struct {
	ejected       bool
	wasSilent     bool          // it went out without a word: it may have been restarted
	failureRate   float64       // recent share of failures
	ejectedAt     time.Duration // when it went out
	nextTrial     time.Duration // no trial before
	trialInterval time.Duration
	successes     int
}

// A failure moves the rate of failures by this much: an error answer is softer than a lost connection.
const softFailure, hardFailure = 0.15, 0.3

// ejectionRate is the rate at which a node goes out: two lost connections, or four errors in a row. Trials begin
// after firstTrialInterval, then at twice the distance up to maxTrialInterval; successesToReturn good ones in a row end them.
const (
	ejectionRate       = 0.45
	firstTrialInterval = time.Second
	maxTrialInterval   = 4 * time.Second
	successesToReturn  = 3
)

// isHealthy: in, or due for a trial, which send then counts as begun.
func (r *Router) isHealthy(n int32) bool {
	h := &r.endpoints[n].health
	return !h.ejected || r.now >= h.nextTrial
}

func (r *Router) recordFailure(n int32, by float64) {
	h := &r.endpoints[n].health
	h.failureRate += by * (1 - h.failureRate)
	h.successes = 0
	h.wasSilent = by == hardFailure
	if h.ejected {
		h.trialInterval = min(maxTrialInterval, 2*h.trialInterval)
		h.nextTrial = r.now + h.trialInterval
	} else if h.failureRate > ejectionRate {
		h.ejected, h.ejectedAt, h.nextTrial, h.trialInterval = true, r.now, r.now+firstTrialInterval, firstTrialInterval
		r.logEndpoint("out", n)
	}
}

// recordSuccess takes an answer to a leg sent at that time. One sent before a silence, or one from a kept copy, shows
// that nothing was lost.
func (r *Router) recordSuccess(n int32, sent time.Duration, kept bool) {
	d := &r.endpoints[n]
	d.lastHeardAt = r.now
	h := &d.health
	h.failureRate -= softFailure * h.failureRate
	if !h.ejected {
		return
	}
	h.wasSilent = h.wasSilent && sent >= h.ejectedAt && !kept
	if h.successes++; h.successes >= successesToReturn {
		// Gone without a word and back: taken for restarted, so cold and empty. A list may say so too late.
		if h.wasSilent {
			d.startedAt = max(d.startedAt, r.now-firstTrialInterval)
		}
		*h = endpointHealth{}
		r.logEndpoint("back", n)
	}
}

// simultaneousBreaks is how far apart breaks tell of a node more than once: what ends a connection ends many legs.
// noFillsFor is how long a cache that turned a view away is asked for no fills: some transfers end meanwhile.
// overdue is how far past twice its predicted time a leg may be before silence counts: a short pause of a
// node or a resent packet should fit.
const simultaneousBreaks, noFillsFor, overdueAfter = 20 * ms, 100 * ms, 150 * ms

// attributeFailure tells nodes, gate and view apart as the cause of a failure. Notes say which; a source heard of since
// the leg went out, that took its time to fail, was itself waiting for the origin. An error without a note
// counts once another node has done the view: guards against clients that ask for what no node can do.
func (r *Router) attributeFailure(v *request, l *attempt, e *Event, end failureKind) {
	n := &r.endpoints[l.endpoint]
	if l.endpoint == r.origin {
		if end != failureNotCached && (e.Outcome != Cancelled || r.now >= v.objectiveAt) { // a client that left early tells nothing
			r.origins.recordFailure(r.now)
		}
		return
	}
	switch end {
	case failureEndpoint:
		switch {
		case e.Outcome == Failed:
			v.failedBy = l.endpoint // the next node that it is sent to tells whose fault it is
		case e.Outcome != ConnectionBroken:
			r.recordFailure(l.endpoint, hardFailure)
		case r.now-n.brokenAt >= simultaneousBreaks:
			n.brokenAt = r.now
			r.recordFailure(l.endpoint, softFailure)
		}
		return
	case failureTimeout, failureRequest:
		return
	case failureNoCapacity:
		n.noFillsUntil = r.now + noFillsFor
	case failureSource:
		switch {
		case l.source == r.origin,
			!l.onlyIfCached && e.FirstByteWait > overdueAfter && r.endpoints[l.source].lastHeardAt > l.sentAt && r.origins.goodAt < l.sentAt:
			r.origins.recordFailure(r.now)
		case e.Note == NoteSourceUnreachable:
			r.recordFailure(l.source, hardFailure)
		default:
			r.recordFailure(l.source, softFailure)
		}
	case failureOrigin:
		r.origins.recordFailure(r.now)
		r.endpoints[l.source].lastHeardAt = r.now
	case failureNotCached:
		r.endpoints[l.source].lastHeardAt = r.now
	}
	n.lastHeardAt = r.now
}

// draggingFactor is how many times its prediction the body of a fill may take before its parent counts as failing:
// the location's links are in the prediction, so what is left is the parent's own. Guards against slow and
// throttled parents that begin to answer in good time. maxFillSlowdown bounds what one odd fill can tell.
const draggingFactor, maxFillSlowdown = 2, 8

// isDragging compares a parent's fills with those of the others: where sizes are only guessed, one long body tells
// nothing, but they are guessed alike for all parents.
func (r *Router) isDragging(n int32) bool {
	for _, p := range r.parents.members {
		if p != n && r.endpoints[n].fillSlowdown > draggingFactor*max(0.5, r.endpoints[p].fillSlowdown) {
			return true
		}
	}
	return false
}

// calmUtilization is the load below which a cache's link is taken to run at full pace.
const calmUtilization = 0.8
