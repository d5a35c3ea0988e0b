package routing

import (
	"slices"
	"time"
)

// purge invalidates the copies of an object, or of a group of objects, that are older than issuedAt.
type purge struct {
	object   ObjectID // 0: the whole group
	group    GroupID
	issuedAt time.Duration
}

func (p *purge) covers(req *request) bool {
	return p.object == req.object || p.object == 0 && p.group == req.group
}

// handlePurge adds a purge and removes the purges that are complete.
func (r *Router) handlePurge(event *Event) {
	r.purges = slices.DeleteFunc(r.purges, func(p purge) bool { return r.isComplete(&p) })
	r.purges = append(r.purges, purge{event.Object, event.Group, r.now - event.Age})
}

// isComplete reports whether every cache has dropped its old copies.
func (r *Router) isComplete(p *purge) bool {
	return r.now-p.issuedAt > r.settings.PurgeCompleteAfter
}

// PurgeHorizon tells which purges may be missing here.
type PurgeHorizon interface {
	// UnknownUntilForAttempt returns the time at which a copy must have been generated at the earliest to answer an
	// attempt: an older one may be older than a purge that is not known here, though it counts as notified. It returns 0
	// if any copy may answer the attempt.
	UnknownUntilForAttempt(now time.Duration) time.Duration
	// AttemptStartWithin returns the time within which an attempt has to begin, since copies that may answer it now may
	// not later, or 0 if there is no such bound.
	AttemptStartWithin(now time.Duration) time.Duration
}

// SetPurgeHorizon makes the router accept only copies that are younger than the purges that may be missing here.
// Without a horizon, no purge is missing.
func (r *Router) SetPurgeHorizon(horizon PurgeHorizon) { r.purgeHorizon = horizon }

// unknownPurgesUntil returns up to when purges may have been published that are missing here, or 0.
func (r *Router) unknownPurgesUntil() time.Duration {
	if r.purgeHorizon == nil {
		return 0
	}
	return r.purgeHorizon.UnknownUntilForAttempt(r.now)
}

// startWithin returns the time within which an attempt has to begin, or 0 if there is no bound: while its idempotency
// key is remembered and, for a read, while its maximum age covers the purges that may be missing here.
func (r *Router) startWithin(req *request) time.Duration {
	within := r.dedupWindowLeft(req)
	if r.purgeHorizon == nil || r.settings.Classes[req.class].Write {
		return within
	}
	if bound := r.purgeHorizon.AttemptStartWithin(r.now); bound > 0 && (within <= 0 || bound < within) {
		return bound
	}
	return within
}

// maxAge returns the maximum age of a copy that may answer the request: 0 for the limit of the class, or the time since
// the last purge, known or unknown, if that is less. It is never more than the limit of the class. This enforces rule
// 5.
func (r *Router) maxAge(req *request) time.Duration {
	limit, freshFor := time.Duration(0), r.settings.Classes[req.class].FreshDuration
	lower := func(issuedAt time.Duration) {
		age := max(ms, r.now-issuedAt-ms)
		if (freshFor == 0 || age < freshFor) && (limit == 0 || age < limit) {
			limit = age
		}
	}
	for i := range r.purges {
		if p := &r.purges[i]; !r.isComplete(p) && p.covers(req) {
			lower(p.issuedAt)
		}
	}
	if unknownUntil := r.unknownPurgesUntil(); unknownUntil > 0 {
		lower(unknownUntil)
	}
	return limit
}
