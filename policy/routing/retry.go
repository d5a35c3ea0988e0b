package routing

import (
	"time"
)

// Further legs after a failure are bounded to this many a view on average, with a reserve for a burst: enough
// for a fifth of all views to fail once, too few to double the load when everything fails.
const retryTokensPerRequest, maxRetryTokens = 0.25, 20

// writeBackoff is the first wait before a write goes again; it doubles, so that a crowded origin gets air.
const writeBackoff = 60 * ms

// mayRepeat: a harmless view always; another one only if no leg may have run, or, stamped, inside the scope
// and window of the first that may have.
func (r *Router) mayRepeat(v *request, n int32) bool {
	t := &r.settings.Classes[v.class]
	if t.Idempotency == Idempotent {
		return true
	}
	for i := range v.attemptCount {
		l := &v.attempts[i]
		if !l.mayHaveRun {
			continue
		}
		a, b := &r.endpoints[l.endpoint], &r.endpoints[n]
		inside := t.DedupScope == ScopeAll || a.zone == b.zone && (t.DedupScope == ScopeZone || a.cell == b.cell)
		if t.Idempotency == NonIdempotent || !inside || r.now-l.sentAt >= t.DedupWindow {
			return false
		}
	}
	return true
}

// dedupWindowLeft is what is left of the time in which repeats of a stamped view are dropped, 0 where nothing may have
// run yet. A repeat must be on its way by then, however late its connection comes up. Guards rule 2.
func (r *Router) dedupWindowLeft(v *request) time.Duration {
	for i := range v.attemptCount {
		if l := &v.attempts[i]; l.mayHaveRun && r.settings.Classes[v.class].Idempotency == IdempotentWithKey {
			return r.settings.Classes[v.class].DedupWindow - (r.now - l.sentAt)
		}
	}
	return 0
}
