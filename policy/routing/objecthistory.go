package routing

import "time"

const (
	// historySize is the number of slots, a power of two. It is several times the number of objects that are requested
	// within expectedCacheTime, so that few objects overwrite each other.
	historySize = 1 << 14
	// expectedCacheTime is the time for which a cache is expected to hold an object that is not requested again.
	expectedCacheTime = 10 * time.Second
	// maxCountedRequests is the maximum of the counter of an object's requests, which has eight bits.
	maxCountedRequests = 255
)

// objectHistory records the objects of recent requests: their transfer times, their numbers of requests and the caches
// that hold them. It is a table of fixed size in which an object replaces an earlier object with the same slot.
type objectHistory struct {
	records []objectRecord
}

// objectRecord is the record of an object.
type objectRecord struct {
	hash         uint64
	seenAt       time.Duration // time of the last answer
	transferTime time.Duration // without congestion, 0 if unknown
	holder       endpointIndex // the cache that is expected to hold a copy
	requests     uint8
	renewedAt    time.Duration // the copy was generated then or later, 0 if unknown
}

func newObjectHistory() objectHistory {
	return objectHistory{records: make([]objectRecord, historySize)}
}

// find returns the record of an object, or nil if there is none.
func (h *objectHistory) find(hash uint64) *objectRecord {
	if record := &h.records[hash%historySize]; record.hash == hash {
		return record
	}
	return nil
}

// ensure returns the record of an object, which it creates if there is none.
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

// isCachedAt reports whether an endpoint that has been running since startedAt is expected to hold the object.
func (o *objectRecord) isCachedAt(index endpointIndex, startedAt, now time.Duration) bool {
	return o.holder == index && now-o.seenAt < expectedCacheTime && o.seenAt >= startedAt
}

// isExpectedCachedAt reports whether the endpoint is expected to hold a copy of the request's object that is young
// enough while purges may be missing here.
func (r *Router) isExpectedCachedAt(req *request, index endpointIndex) bool {
	record := r.history.find(req.hash)
	return record != nil && record.isCachedAt(index, r.endpoints[index].slowStart.startedAt, r.now) &&
		record.renewedAt >= r.unknownPurgesUntil()
}

// The ranks of a cached copy in Action.CacheRank.
const (
	rankFirstRequest uint8 = 1
	rankLaterRequest uint8 = 2
)

// cacheRank returns the rank with which a copy is cached: the lowest at the first request for the object, the next
// higher at later requests.
func (r *Router) cacheRank(req *request) uint8 {
	if record := r.history.find(req.hash); record != nil && record.requests > 0 {
		return rankLaterRequest
	}
	return rankFirstRequest
}
