package routing

import (
	"time"
)

// historySize is a power of two, some times what is asked for within cachedFor, which is how long a cache is
// expected to hold what was not asked for again.
const historySize, cachedFor = 1 << 14, 10 * time.Second

// objectRecord is what is recalled of an object.
type objectRecord struct {
	hash         uint64
	seenAt       time.Duration
	transferTime time.Duration
	holder       int32
	requests     uint8
}

func (r *Router) findRecord(v *request) *objectRecord {
	if m := &r.history[v.hash%historySize]; m.hash == v.hash {
		return m
	}
	return nil
}

func (r *Router) ensureRecord(v *request) *objectRecord {
	m := &r.history[v.hash%historySize]
	if m.hash != v.hash {
		*m = objectRecord{hash: v.hash, holder: noEndpoint}
	}
	return m
}

// isExpectedAt says whether the node is expected to have the view's object.
func (r *Router) isExpectedAt(v *request, n int32) bool {
	m := r.findRecord(v)
	return m != nil && m.holder == n && r.now-m.seenAt < cachedFor && m.seenAt >= r.endpoints[n].startedAt
}

// cacheRank is the rank at which a copy is kept: the lowest at first sight, the next when it is asked for again.
func (r *Router) cacheRank(v *request) uint8 {
	if m := r.findRecord(v); m != nil && m.requests > 0 {
		return 2
	}
	return 1
}
