package routing

import "time"

// A failure moves the failure rate by its severity: an error answer is softer than a lost connection.
const (
	softFailure = 0.15
	hardFailure = 0.3
	// successWeight is how far a success moves the failure rate back.
	successWeight = 0.15
)

const (
	// ejectionRate is the failure rate at which an endpoint is ejected: two lost connections, or four errors in a row.
	ejectionRate = 0.45
	// firstTrialInterval is the time to the first trial. It doubles with each failed one, up to maxTrialInterval.
	firstTrialInterval = time.Second
	maxTrialInterval   = 4 * time.Second
	// trialGapDivisor gives the part of the interval after which a trial that is under way is followed by another.
	trialGapDivisor = 4
	// successesToReturn ends an ejection: so many successes in a row.
	successesToReturn = 3
	// parentRemapAfter parts a brief failure of a parent from one that moves its arc: the design's 10 s.
	parentRemapAfter = 10 * time.Second
)

// outlierDetector follows a cache or a parent through its failures. An endpoint with a high failure rate is ejected;
// then single requests go to it on trial, and some successes in a row end the ejection.
type outlierDetector struct {
	ejected       bool
	wasSilent     bool // it was ejected for silence: it may have been restarted
	failureRate   float64
	ejectedAt     time.Duration
	nextTrial     time.Duration
	trialInterval time.Duration
	successes     int // in a row, since the ejection
}

// allowsAttempt reports whether an attempt may go to the endpoint: it is not ejected, or due for a trial.
func (o *outlierDetector) allowsAttempt(now time.Duration) bool {
	return !o.ejected || now >= o.nextTrial
}

// isRemapped reports whether a parent has been ejected for so long that its arc belongs to the next one, but for
// trials.
func (o *outlierDetector) isRemapped(now time.Duration) bool {
	return o.ejected && now-o.ejectedAt >= parentRemapAfter && now < o.nextTrial
}

// beginTrial notes an attempt, which is a trial where the endpoint is ejected: no other one follows at once.
func (o *outlierDetector) beginTrial(now time.Duration) {
	if o.ejected {
		o.nextTrial = now + o.trialInterval/trialGapDivisor
	}
}

// recordFailure takes a failure and reports whether it ejects the endpoint.
func (o *outlierDetector) recordFailure(severity float64, now time.Duration) (isEjection bool) {
	o.failureRate += severity * (1 - o.failureRate)
	o.successes = 0
	o.wasSilent = severity == hardFailure
	if o.ejected {
		o.trialInterval = min(maxTrialInterval, 2*o.trialInterval)
		o.nextTrial = now + o.trialInterval
		return false
	}
	if o.failureRate <= ejectionRate {
		return false
	}
	o.ejected, o.ejectedAt = true, now
	o.trialInterval = firstTrialInterval
	o.nextTrial = now + firstTrialInterval
	return true
}

// recovery is what a success means for an ejection.
type recovery uint8

const (
	recoveryNone      recovery = iota // not ejected, or still on probation
	recoveryReturned                  // back, with what it had cached
	recoveryRestarted                 // back after a silence: taken for restarted
)

// recordSuccess takes an answer to an attempt sent at a time. One sent before a silence, or answered from a cached
// copy, shows that nothing was lost.
func (o *outlierDetector) recordSuccess(sentAt time.Duration, fromCache bool) recovery {
	o.failureRate -= successWeight * o.failureRate
	if !o.ejected {
		return recoveryNone
	}
	o.wasSilent = o.wasSilent && sentAt >= o.ejectedAt && !fromCache
	o.successes++
	if o.successes < successesToReturn {
		return recoveryNone
	}
	ended := recoveryReturned
	if o.wasSilent {
		ended = recoveryRestarted
	}
	*o = outlierDetector{}
	return ended
}

// isHealthy reports whether an endpoint may get an attempt: it is not ejected, or due for a trial, which the attempt
// then begins.
func (r *Router) isHealthy(index endpointIndex) bool {
	return r.endpoints[index].outlier.allowsAttempt(r.now)
}

// recordFailure counts a failure against an endpoint.
func (r *Router) recordFailure(index endpointIndex, severity float64) {
	if r.endpoints[index].outlier.recordFailure(severity, r.now) {
		r.logEndpoint("ejected", index)
	}
}

// recordSuccess counts an answer of an endpoint to an attempt sent at a time.
func (r *Router) recordSuccess(index endpointIndex, sentAt time.Duration, fromCache bool) {
	answered := &r.endpoints[index]
	answered.lastHeardAt = r.now
	ended := answered.outlier.recordSuccess(sentAt, fromCache)
	if ended == recoveryNone {
		return
	}
	if ended == recoveryRestarted {
		// It is cold and empty; an endpoint list may say so too late.
		answered.slowStart.startedAt = max(answered.slowStart.startedAt, r.now-firstTrialInterval)
	}
	r.logEndpoint("ejection ended", index)
}
