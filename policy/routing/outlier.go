package routing

import "time"

// Weights with which a failure or a success moves the failure rate towards 1 or 0. Silence or a failed connect weighs
// more than an error answer, a broken connection or a slow fill.
const (
	softFailureWeight = 0.15
	hardFailureWeight = 0.3
	successWeight     = 0.15
)

const (
	// ejectionThreshold is the failure rate above which an endpoint is ejected: after two failed connects or four error
	// answers in a row.
	ejectionThreshold = 0.45
	// firstTrialInterval is the delay from the ejection to the first trial. Each failed trial doubles the interval, up
	// to maxTrialInterval.
	firstTrialInterval = time.Second
	maxTrialInterval   = 4 * time.Second
	// trialGapDivisor divides the trial interval to give the delay between a trial and the next, if the first has not
	// failed.
	trialGapDivisor = 4
	// successesToRecover is the number of consecutive successes that end an ejection.
	successesToRecover = 3
	// parentRemapDelay is the time after which the arc of an ejected parent moves to the next parent. The design
	// specifies 10 s, so that a brief failure moves no arc.
	parentRemapDelay = 10 * time.Second
)

// outlierDetector tracks the failures of a cache or a parent. An endpoint with a high failure rate is ejected. An
// ejected endpoint gets single trial requests, and several consecutive successes end the ejection.
type outlierDetector struct {
	ejected       bool
	wasSilent     bool // the last failure was silence or a failed connect: the endpoint may have restarted
	failureRate   float64
	ejectedAt     time.Duration
	nextTrial     time.Duration
	trialInterval time.Duration
	successes     int // consecutive successes since the ejection
}

// allowsAttempt reports whether an attempt may be sent to the endpoint: it is not ejected, or a trial is due.
func (o *outlierDetector) allowsAttempt(now time.Duration) bool {
	return !o.ejected || now >= o.nextTrial
}

// isRemapped reports whether a parent has been ejected for so long that its arc belongs to the next parent, except when
// a trial is due.
func (o *outlierDetector) isRemapped(now time.Duration) bool {
	return o.ejected && now-o.ejectedAt >= parentRemapDelay && now < o.nextTrial
}

// beginTrial records that an attempt is sent. If the endpoint is ejected, the attempt is a trial and the next trial is
// delayed.
func (o *outlierDetector) beginTrial(now time.Duration) {
	if o.ejected {
		o.nextTrial = now + o.trialInterval/trialGapDivisor
	}
}

// recordFailure counts a failure and reports whether it ejects the endpoint.
func (o *outlierDetector) recordFailure(weight float64, now time.Duration) (isEjection bool) {
	o.failureRate += weight * (1 - o.failureRate)
	o.successes = 0
	o.wasSilent = weight == hardFailureWeight
	if o.ejected {
		o.trialInterval = min(maxTrialInterval, 2*o.trialInterval)
		o.nextTrial = now + o.trialInterval
		return false
	}
	if o.failureRate <= ejectionThreshold {
		return false
	}
	o.ejected, o.ejectedAt = true, now
	o.trialInterval = firstTrialInterval
	o.nextTrial = now + firstTrialInterval
	return true
}

// recovery says whether and how a success ends an ejection.
type recovery uint8

const (
	recoveryNone      recovery = iota // not ejected, or still on probation
	recoveryReturned                  // ejection ended; the endpoint still has its cached copies
	recoveryRestarted                 // ejection ended after silence; the endpoint is treated as restarted
)

// recordSuccess counts an answer to an attempt sent at sentAt. If the attempt was sent before the ejection or answered
// from a cached copy, the endpoint has not restarted.
func (o *outlierDetector) recordSuccess(sentAt time.Duration, fromCache bool) recovery {
	o.failureRate -= successWeight * o.failureRate
	if !o.ejected {
		return recoveryNone
	}
	o.wasSilent = o.wasSilent && sentAt >= o.ejectedAt && !fromCache
	o.successes++
	if o.successes < successesToRecover {
		return recoveryNone
	}
	ended := recoveryReturned
	if o.wasSilent {
		ended = recoveryRestarted
	}
	*o = outlierDetector{}
	return ended
}

// isHealthy reports whether an endpoint may get an attempt: it is not ejected, or a trial is due.
func (r *Router) isHealthy(index endpointIndex) bool {
	return r.endpoints[index].outlier.allowsAttempt(r.now)
}

// recordFailure counts a failure of an endpoint, and logs an ejection.
func (r *Router) recordFailure(index endpointIndex, weight float64) {
	if r.endpoints[index].outlier.recordFailure(weight, r.now) {
		r.logEndpoint("ejected", index)
	}
}

// recordSuccess counts an answer of an endpoint to an attempt sent at sentAt, and logs the end of an ejection.
func (r *Router) recordSuccess(index endpointIndex, sentAt time.Duration, fromCache bool) {
	target := &r.endpoints[index]
	target.lastHeardAt = r.now
	ended := target.outlier.recordSuccess(sentAt, fromCache)
	if ended == recoveryNone {
		return
	}
	if ended == recoveryRestarted {
		// The endpoint is cold and its cache is empty; the endpoint list may report the restart too late.
		target.slowStart.startedAt = max(target.slowStart.startedAt, r.now-firstTrialInterval)
	}
	r.logEndpoint("ejection ended", index)
}
