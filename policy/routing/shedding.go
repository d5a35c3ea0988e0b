package routing

import "time"

const (
	// predictionMargin is the factor by which a prediction may be too short. With a lower value, admitted requests end
	// late; with a higher value, some requests are rejected in normal operation.
	predictionMargin = 1.2
	// overQuotaFactor is the factor by which the predicted duration of a request is increased if its tenant is over its
	// quota.
	overQuotaFactor = 2
	// meanRetryAfter is the mean delay before a rejected client may retry, about one latency objective. Delays are
	// random, so that clients do not return all at once.
	meanRetryAfter = 300 * ms
)

// isInTime is the admission test. It reports whether an answer of the endpoint, filled from the source, is predicted
// before the latency objective. Requests of a tenant over its quota must leave capacity for other tenants.
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

// isOverQuota takes a token of the tenant's quota, and reports whether there was none left.
func (r *Router) isOverQuota(tenant TenantID) bool {
	if int(tenant) >= len(r.tenantQuotas) {
		return false
	}
	quota := r.settings.Tenants[tenant].QuotaPerSecond
	return quota > 0 && !r.tenantQuotas[tenant].take(quota/float64(max(1, r.settings.Routers)), r.now)
}

// giveUp rejects or fails a request for which no other attempt is possible, unless an attempt in flight or the router's
// own cache may still answer it.
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

// sendToLocalCache sends a request to the router's own cache, and reports whether it did. The local cache is tried
// last, when the caches cannot answer in time, so that the caches see every request. It helps if caches are lost, cold
// or overloaded for any reason.
func (r *Router) sendToLocalCache(req *request) bool {
	class := &r.settings.Classes[req.class]
	if r.localCache == noEndpoint || class.Idempotency != Idempotent || class.Write || req.hasTriedEndpoint(r.localCache) {
		return false
	}
	return r.isInTime(req, r.localCache, noEndpoint) &&
		r.sendAttempt(req, attemptPlan{stage: stageLocalCache, endpoint: r.localCache, source: r.localCache})
}

// mayReject reports whether the client may be told to retry the request. Otherwise the request fails.
func (r *Router) mayReject(req *request) bool {
	class := &r.settings.Classes[req.class]
	return class.Idempotency == Idempotent || !req.mayHaveRun() ||
		class.Idempotency == IdempotentWithKey && class.DedupScope == ScopeAll
}

// retryAfter returns the delay after which a rejected client may retry, or 0 if the client is not told.
func (r *Router) retryAfter() time.Duration {
	if !r.settings.SendRetryAfter {
		return 0
	}
	wait := meanRetryAfter/2 + time.Duration(r.random.float()*float64(meanRetryAfter))
	return min(r.settings.MaxRetryAfter, wait)
}

func (r *Router) reject(id RequestID, retryAfter time.Duration) {
	r.emit(Action{Kind: ActionReject, Request: id, Wait: retryAfter})
}
