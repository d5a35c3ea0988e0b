package routing

import "time"

// Attempts after a failure are limited to retryTokensPerRequest for each request on average, with a reserve of
// maxRetryTokens for a burst: enough for a fifth of all requests to fail once, too few to double the load when
// everything fails.
const (
	retryTokensPerRequest = 0.25
	maxRetryTokens        = 20
)

// retryBudget limits the attempts after a failure, so that retries do not multiply the load of a fault.
type retryBudget struct {
	tokens float64
}

func newRetryBudget() retryBudget { return retryBudget{tokens: maxRetryTokens} }

// earn adds what one request earns.
func (b *retryBudget) earn() {
	b.tokens = min(maxRetryTokens, b.tokens+retryTokensPerRequest)
}

// canSpend reports whether a whole token is left.
func (b *retryBudget) canSpend() bool { return b.tokens >= 1 }

// spend takes a token and reports whether there was one. A part of a token is lost.
func (b *retryBudget) spend() bool {
	b.tokens--
	if b.tokens < 0 {
		b.tokens = 0
		return false
	}
	return true
}

// writeBackoff is the base of the exponential backoff of writes, so that a crowded origin recovers.
const writeBackoff = 60 * ms

// scheduleWriteRetry plans the next attempt of a write that provably did not run, and reports whether it can be in
// time.
func (r *Router) scheduleWriteRetry(req *request) bool {
	wait := writeBackoff << req.attemptCount
	if r.now+wait >= req.objectiveAt || !r.mayRepeat(req, r.origin) {
		return false
	}
	req.retryWriteAt = r.now + wait
	return true
}

// mayRepeat reports whether a request may be attempted at the endpoint, given the attempts that may have run: an
// idempotent one always, another one never, and one with an idempotency key inside the scope and the window in which
// its repeats are dropped. Guards rule 2.
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
		isDeduplicated := inDedupScope(class.DedupScope, &r.endpoints[earlier.endpoint], &r.endpoints[index])
		if class.Idempotency == NonIdempotent || !isDeduplicated || r.now-earlier.sentAt >= class.DedupWindow {
			return false
		}
	}
	return true
}

// inDedupScope reports whether two endpoints share the record of idempotency keys.
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

// dedupWindowLeft is what is left of the time in which repeats of a request with an idempotency key are dropped, 0
// where nothing may have run yet. A repeat must be on its way by then, however late its connection comes up. Guards
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
