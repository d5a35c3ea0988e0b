package routing

import (
	"slices"
	"time"
)

type purge struct {
	object   ObjectID // 0: the whole group
	group    GroupID
	issuedAt time.Duration
}

func (r *Router) handlePurge(e *Event) {
	r.purges = slices.DeleteFunc(r.purges, func(p purge) bool { return r.now-p.issuedAt > r.settings.PurgeCompleteAfter })
	r.purges = append(r.purges, purge{e.Object, e.Group, r.now - e.Age})
}

// maxAge is the oldest copy that will do: 0 for the tariff's own limit, else younger than the last purge. A purge
// makes the tariff's limit stricter, never laxer.
func (r *Router) maxAge(v *request) time.Duration {
	oldest, fresh := time.Duration(0), r.settings.Classes[v.class].FreshFor
	for _, p := range r.purges {
		if r.now-p.issuedAt > r.settings.PurgeCompleteAfter || p.object != v.object && (p.object != 0 || p.group != v.group) {
			continue
		}
		if age := max(ms, r.now-p.issuedAt-ms); (fresh == 0 || age < fresh) && (oldest == 0 || age < oldest) {
			oldest = age
		}
	}
	return oldest
}
