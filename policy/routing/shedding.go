package routing

import "time"

const (
	// predictionMargin is what the rest of a prediction may be off. Other values were tried, as for congestionGrowth.
	predictionMargin = 1.2
	// overQuotaFactor is how many times its predicted time a request of a tenant over its quota must have.
	overQuotaFactor = 2
	// usualRetryAfter is the mean of Retry-After: about a latency objective, spread against a common return.
	usualRetryAfter = 300 * ms
)

// isInTime is the admission test: whether an answer of the endpoint, filled from the source, is predicted before the
// latency objective. Requests of a tenant over its quota must leave capacity for others'.
func (r *Router) isInTime(req *request, index, source endpointIndex) bool {
	predicted := r.predict(req, index, source)
	if predicted.needsFill && r.now < r.endpoints[index].noFillsUntil {
		return false
	}
	if req.overQuota {
		predicted.duration *= overQuotaFactor
	}
	return r.now+time.Duration(predictionMargin*float64(predicted.duration)) <= req.objectiveAt
}

// isOverQuota reports whether the tenant has had its quota lately; its request must then not crowd out others'.
func (r *Router) isOverQuota(tenant TenantID) bool {
	if int(tenant) >= len(r.tenantQuotas) {
		return false
	}
	quota := r.settings.Tenants[tenant].QuotaPerSecond
	return quota > 0 && !r.tenantQuotas[tenant].take(quota/float64(max(1, r.settings.Routers)), r.now)
}

// giveUp ends a request that no attempt is left for, unless one in flight may still answer it.
func (r *Router) giveUp(req *request) {
	if !req.isOpen() || req.inFlight > 0 {
		return
	}
	if r.sendToLocalCache(req) {
		return
	}
	if r.mayReject(req) {
		r.reject(req.id, r.retryAfter())
	} else {
		r.emit(Action{Kind: ActionFail, Request: req.id})
	}
	r.closeRequest(req)
}

// sendToLocalCache sends a request to the router's own copies. They are asked last, where the caches cannot answer in
// time, so that the caches learn of every request. Guards against lost, cold and overloaded caches of whatever cause.
func (r *Router) sendToLocalCache(req *request) bool {
	class := &r.settings.Classes[req.class]
	if r.localCache == noEndpoint || class.Idempotency != Idempotent || class.Write || req.hasAsked(r.localCache) {
		return false
	}
	return r.isInTime(req, r.localCache, noEndpoint) &&
		r.sendAttempt(req, attemptPlan{stage: stageLocalCache, endpoint: r.localCache, source: r.localCache})
}

// mayReject reports whether the client may be told to send the request again; else it fails.
func (r *Router) mayReject(req *request) bool {
	class := &r.settings.Classes[req.class]
	return class.Idempotency == Idempotent || !req.mayHaveRun() ||
		class.Idempotency == IdempotentWithKey && class.DedupScope == ScopeAll
}

// retryAfter is the time after which a rejected client may come back, 0 where it is not told.
func (r *Router) retryAfter() time.Duration {
	if !r.settings.RetryAfter {
		return 0
	}
	wait := usualRetryAfter/2 + time.Duration(r.random.float()*float64(usualRetryAfter))
	return min(r.settings.MaxRetryAfter, wait)
}

func (r *Router) reject(id RequestID, retryAfter time.Duration) {
	r.emit(Action{Kind: ActionReject, Request: id, Wait: retryAfter})
}
