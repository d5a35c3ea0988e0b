package routing

import "time"

// Each request adds retryTokensPerRequest tokens, up to maxRetryTokens, and each retry after a failure takes one token.
// This is enough if a fifth of all requests fail once, and too little to double the load if all requests fail. Larger
// values let retries multiply the load of a fault; smaller values reject requests that a retry could serve.
const (
	retryTokensPerRequest = 0.25
	maxRetryTokens        = 20
)

// retryBudget limits retries after a failure, so that retries do not multiply the load during a fault.
type retryBudget struct {
	tokens float64
}

func newRetryBudget() retryBudget { return retryBudget{tokens: maxRetryTokens} }

// deposit adds the tokens of one request.
func (b *retryBudget) deposit() {
	b.tokens = min(maxRetryTokens, b.tokens+retryTokensPerRequest)
}

// hasToken reports whether at least one token is left.
func (b *retryBudget) hasToken() bool { return b.tokens >= 1 }

// take takes a token and reports whether one was left. If less than one token is left, take drops the remainder.
func (b *retryBudget) take() bool {
	b.tokens--
	if b.tokens < 0 {
		b.tokens = 0
		return false
	}
	return true
}

// writeBackoff is the base of the exponential backoff of writes. A shorter delay gives an overloaded origin no time to
// recover.
const writeBackoff = 60 * ms

// scheduleWriteRetry schedules the next attempt of a write and reports whether it did. It does not if the attempt would
// be sent after the objective, or if the write may have run and mayRepeat does not allow a repeat.
func (r *Router) scheduleWriteRetry(req *request) bool {
	wait := writeBackoff << req.attemptCount
	if r.now+wait >= req.objectiveAt || !r.mayRepeat(req, r.origin) {
		return false
	}
	req.retryWriteAt = r.now + wait
	return true
}

// executor returns the endpoint at which a request runs that is sent to the given endpoint with the given source.
func (r *Router) executor(endpoint, source endpointIndex) endpointIndex {
	if r.endpoints[endpoint].runsAtSource {
		return source
	}
	return endpoint
}

// mayRepeat reports whether a request may run at the endpoint after earlier attempts that may have run. An idempotent
// request may always be sent, a request with an idempotency key only within its DedupScope and DedupWindow,
// and any other request never. This enforces rule 2.
func (r *Router) mayRepeat(req *request, index endpointIndex) bool {
	class := &r.settings.Classes[req.class]
	if class.Idempotency == Idempotent {
		return true
	}
	for i := range req.attemptCount {
		earlier := &req.attempts[i]
		if !earlier.mayHaveRun {
			continue
		}
		ranAt := r.executor(earlier.endpoint, earlier.source)
		isDeduplicated := inDedupScope(class.DedupScope, &r.endpoints[ranAt], &r.endpoints[index])
		if class.Idempotency == NonIdempotent || !isDeduplicated || r.now-earlier.sentAt >= class.DedupWindow {
			return false
		}
	}
	return true
}

// inDedupScope reports whether two endpoints share a record of idempotency keys.
func inDedupScope(scope DedupScope, first, second *endpoint) bool {
	switch scope {
	case ScopeAll:
		return true
	case ScopeZone:
		return first.zone == second.zone
	default:
		return first.zone == second.zone && first.cell == second.cell
	}
}

// dedupWindowLeft returns the time left in which repeats of a request with an idempotency key are dropped, or 0 if no
// attempt may have run yet. A repeat must be sent within this time, even if connecting takes long. This enforces
// rule 2.
func (r *Router) dedupWindowLeft(req *request) time.Duration {
	class := &r.settings.Classes[req.class]
	if class.Idempotency != IdempotentWithKey {
		return 0
	}
	for i := range req.attemptCount {
		if earlier := &req.attempts[i]; earlier.mayHaveRun {
			return class.DedupWindow - (r.now - earlier.sentAt)
		}
	}
	return 0
}
