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

// maxAge returns the maximum age of a copy that may answer the request: 0 for the limit of the class, or the time since
// the last purge if that is less. It is never more than the limit of the class. This enforces rule 5.
func (r *Router) maxAge(req *request) time.Duration {
	limit, freshFor := time.Duration(0), r.settings.Classes[req.class].FreshDuration
	for i := range r.purges {
		p := &r.purges[i]
		if r.isComplete(p) || !p.covers(req) {
			continue
		}
		age := max(ms, r.now-p.issuedAt-ms)
		if (freshFor == 0 || age < freshFor) && (limit == 0 || age < limit) {
			limit = age
		}
	}
	return limit
}
