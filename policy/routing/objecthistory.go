package routing

import "time"

const (
	// historySize is a power of two, some times the objects that are requested within expectedCachedFor.
	historySize = 1 << 14
	// expectedCachedFor is how long a cache is expected to hold what is not requested again.
	expectedCachedFor = 10 * time.Second
	// maxCountedRequests bounds the counter of an object's requests.
	maxCountedRequests = 255
)

// objectHistory remembers the objects of recent requests: their size, their popularity and where they are cached. It is
// a table of fixed size in which an object takes the place of another one with the same slot.
type objectHistory struct {
	records []objectRecord
}

// objectRecord is what is remembered of an object.
type objectRecord struct {
	hash         uint64
	seenAt       time.Duration // last answer
	transferTime time.Duration // at full pace, 0 where unknown
	holder       endpointIndex // the cache that should hold a copy
	requests     uint8
}

func newObjectHistory() objectHistory {
	return objectHistory{records: make([]objectRecord, historySize)}
}

// find returns the record of an object, or nil.
func (h *objectHistory) find(hash uint64) *objectRecord {
	if record := &h.records[hash%historySize]; record.hash == hash {
		return record
	}
	return nil
}

// ensure returns the record of an object; where there is none it begins one.
func (h *objectHistory) ensure(hash uint64) *objectRecord {
	record := &h.records[hash%historySize]
	if record.hash != hash {
		*record = objectRecord{hash: hash, holder: noEndpoint}
	}
	return record
}

// countRequest counts one more request for the object.
func (o *objectRecord) countRequest() {
	if o.requests < maxCountedRequests {
		o.requests++
	}
}

// isCachedAt reports whether an endpoint that runs since startedAt is expected to hold the object.
func (o *objectRecord) isCachedAt(index endpointIndex, startedAt, now time.Duration) bool {
	return o.holder == index && now-o.seenAt < expectedCachedFor && o.seenAt >= startedAt
}

// isExpectedAt reports whether the endpoint is expected to hold the request's object.
func (r *Router) isExpectedAt(req *request, index endpointIndex) bool {
	record := r.history.find(req.hash)
	return record != nil && record.isCachedAt(index, r.endpoints[index].slowStart.startedAt, r.now)
}

// Ranks of a copy in a cache, as Action.CacheRank has them.
const (
	rankFirstRequest uint8 = 1
	rankRequested    uint8 = 2
)

// cacheRank is the rank at which a copy is cached: the lowest at the first request, the next when it is asked for
// again.
func (r *Router) cacheRank(req *request) uint8 {
	if record := r.history.find(req.hash); record != nil && record.requests > 0 {
		return rankRequested
	}
	return rankFirstRequest
}
