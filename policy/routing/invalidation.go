package routing

import (
	"slices"
	"time"
)

// purge is an invalidation of copies that are older than it.
type purge struct {
	object   ObjectID // 0: the whole group
	group    GroupID
	issuedAt time.Duration
}

func (p *purge) covers(req *request) bool {
	return p.object == req.object || p.object == 0 && p.group == req.group
}

// handlePurge adds a purge and drops those that are complete.
func (r *Router) handlePurge(event *Event) {
	r.purges = slices.DeleteFunc(r.purges, func(p purge) bool { return r.isComplete(&p) })
	r.purges = append(r.purges, purge{event.Object, event.Group, r.now - event.Age})
}

// isComplete reports whether every cache has dropped the old copies by now.
func (r *Router) isComplete(p *purge) bool {
	return r.now-p.issuedAt > r.settings.PurgeCompleteAfter
}

// maxAge is the age of the oldest copy that may answer the request: 0 for the class's own limit, else younger than the
// last purge. A purge makes the class's limit stricter, never laxer. Guards rule 5.
func (r *Router) maxAge(req *request) time.Duration {
	oldest, freshFor := time.Duration(0), r.settings.Classes[req.class].FreshFor
	for i := range r.purges {
		p := &r.purges[i]
		if r.isComplete(p) || !p.covers(req) {
			continue
		}
		age := max(ms, r.now-p.issuedAt-ms)
		if (freshFor == 0 || age < freshFor) && (oldest == 0 || age < oldest) {
			oldest = age
		}
	}
	return oldest
}
