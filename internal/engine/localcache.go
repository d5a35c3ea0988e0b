package engine

import (
	"container/heap"
	"container/list"
	"slices"
	"time"

	"fennelarch/internal/flightrecorder"
	"fennelarch/internal/invariant"
	"fennelarch/policy/routing"
)

// LocalCacheSettings limits the copies that the router keeps in memory.
type LocalCacheSettings struct {
	MaxBytes           int           // memory for all copies
	FlowBytesPerSecond float64       // rate of one transfer
	LinkBytesPerSecond float64       // rate of all transfers together
	MaxTransferTime    time.Duration // longest time that a response can be in transit

	// SharedBytes is memory that the copies share with others, to which they yield, and SharedInUse returns what these
	// use of it. Without SharedInUse, nothing is shared.
	SharedBytes int64
	SharedInUse func() int64
}

// allowedBytes returns how much memory all copies may use now.
func (s *LocalCacheSettings) allowedBytes() int {
	if s.SharedInUse == nil {
		return s.MaxBytes
	}
	return max(0, min(s.MaxBytes, int(s.SharedBytes-s.SharedInUse())))
}

// Capacity returns how many transfers fit on the link, or 0 if no copies can be kept.
func (s LocalCacheSettings) Capacity() float64 {
	if s.MaxBytes <= 0 || s.FlowBytesPerSecond <= 0 {
		return 0
	}
	return s.LinkBytesPerSecond / s.FlowBytesPerSecond
}

const (
	// entryOverheadBytes is the memory that a copy takes besides its body: a map entry, a list element and a cacheEntry.
	entryOverheadBytes = 256
	// notModifiedCostDivisor is the ratio of the size of a body to the bytes that a not-modified response takes on the
	// link: the protocol defines these as a twentieth.
	notModifiedCostDivisor = 20
)

type cacheKey struct {
	object routing.ObjectID
	part   int
}

// cacheEntry is a copy of one response.
type cacheEntry struct {
	key                cacheKey
	group              routing.GroupID
	body               []byte
	etag               string
	generatedAt        time.Time     // timestamp of the origin
	generatedNotBefore time.Duration // earliest possible time of generation, on the engine's clock
}

func (c *cacheEntry) bytes() int { return len(c.body) + entryOverheadBytes }

// matches reports whether a purge names the object or the group of the copy.
func (c *cacheEntry) matches(purge *receivedPurge) bool {
	return purge.Object == c.key.object || purge.Object == 0 && purge.Group == c.group
}

// isPurgedBy reports whether a purge names the copy and may be newer than it, by their timestamps or by the engine's
// clock.
func (c *cacheEntry) isPurgedBy(purge *receivedPurge) bool {
	return c.matches(purge) && (!c.generatedAt.After(purge.Issued) || c.generatedNotBefore <= purge.issuedNotAfter)
}

// receivedPurge is a purge with its times on the engine's clock.
type receivedPurge struct {
	Purge
	receivedAt     time.Duration
	issuedNotAfter time.Duration // latest possible time of issue
}

// localCache holds copies of responses that passed through the router, and models the link on which they are sent to
// clients. Routing treats the cache as an endpoint and decides when to ask it and what to store in it. The cache never
// exceeds its memory limit and never serves a purged copy.
type localCache struct {
	settings     LocalCacheSettings
	bytes        int
	entries      map[cacheKey]*list.Element
	recentlyUsed list.List // most recently used first
	purges       []receivedPurge
	slotFreeAt   []time.Duration // for each slot of the link, when its last transfer ends
}

func newLocalCache(settings LocalCacheSettings) *localCache {
	return &localCache{
		settings:   settings,
		entries:    map[cacheKey]*list.Element{},
		slotFreeAt: make([]time.Duration, max(1, int(settings.Capacity()))),
	}
}

// store stores a response that was not generated before generatedNotBefore, unless it may be older than a purge. It
// evicts the least recently used copies to make room.
func (c *localCache) store(request *Request, result *AttemptResult, now, generatedNotBefore time.Duration) {
	entry := cacheEntry{
		key: cacheKey{request.Object, request.Part}, group: request.Group, body: result.Body, etag: result.ETag,
		generatedAt: result.GeneratedAt, generatedNotBefore: generatedNotBefore,
	}
	c.forgetOldPurges(now)
	if !c.isStorable(&entry) || c.isPurged(&entry) {
		return
	}
	c.remove(c.entries[entry.key])
	allowed := c.settings.allowedBytes()
	if entry.bytes() > allowed {
		return
	}
	c.evictDownTo(allowed - entry.bytes())
	c.bytes += entry.bytes()
	c.entries[entry.key] = c.recentlyUsed.PushFront(&entry)
}

// evictDownTo removes the least recently used copies until the others use no more than a number of bytes.
func (c *localCache) evictDownTo(bytes int) {
	for c.bytes > bytes {
		c.remove(c.recentlyUsed.Back())
	}
}

// yield removes copies whose memory others need.
func (c *localCache) yield() { c.evictDownTo(c.settings.allowedBytes()) }

func (c *localCache) isStorable(entry *cacheEntry) bool {
	return len(entry.body) > 0 && !entry.generatedAt.IsZero() && entry.bytes() <= c.settings.MaxBytes
}

func (c *localCache) remove(element *list.Element) {
	if element != nil {
		entry := c.recentlyUsed.Remove(element).(*cacheEntry)
		c.bytes -= entry.bytes()
		delete(c.entries, entry.key)
	}
}

// forgetOldPurges drops the purges received more than MaxTransferTime ago: any response still in transit is newer.
func (c *localCache) forgetOldPurges(now time.Duration) {
	c.purges = slices.DeleteFunc(c.purges, func(purge receivedPurge) bool {
		return now-purge.receivedAt > c.settings.MaxTransferTime
	})
}

// isPurged reports whether a copy may be older than one of the remembered purges.
func (c *localCache) isPurged(entry *cacheEntry) bool {
	return slices.ContainsFunc(c.purges, func(purge receivedPurge) bool { return entry.isPurgedBy(&purge) })
}

// purge applies a purge that is received now and was not issued after issuedNotAfter: it removes the copies that may be
// older.
func (c *localCache) purge(purge Purge, now, issuedNotAfter time.Duration) {
	received := receivedPurge{purge, now, issuedNotAfter}
	c.purges = append(c.purges, received)
	for element := c.recentlyUsed.Front(); element != nil; {
		next := element.Next()
		if element.Value.(*cacheEntry).isPurgedBy(&received) {
			c.remove(element)
		}
		element = next
	}
}

// find returns the copy of the requested part if it is no older than maxAge, or else nil. A maxAge of 0 allows any age.
func (c *localCache) find(request *Request, maxAge, now time.Duration) *cacheEntry {
	element := c.entries[cacheKey{request.Object, request.Part}]
	if element == nil {
		return nil
	}
	entry := element.Value.(*cacheEntry)
	if maxAge > 0 && now-entry.generatedNotBefore > maxAge {
		return nil
	}
	c.recentlyUsed.MoveToFront(element)
	return entry
}

// transfer queues bytes on the link and returns when they will have been sent.
func (c *localCache) transfer(now time.Duration, bytes int) (sentAt time.Duration) {
	slot := slices.Index(c.slotFreeAt, slices.Min(c.slotFreeAt))
	duration := time.Duration(float64(bytes) / c.settings.FlowBytesPerSecond * float64(time.Second))
	c.slotFreeAt[slot] = max(now, c.slotFreeAt[slot]) + duration
	return c.slotFreeAt[slot]
}

// storeLocally stores a response in the local cache if its timestamp is plausible.
func (e *Engine) storeLocally(result *AttemptResult) {
	if age := e.ages.estimate(result.GeneratedAt, e.now); age.isPlausible {
		e.localCache.store(result.Attempt.Request, result, e.now, e.now-age.atMost)
	}
}

// serveFromLocalCache answers a request from the local cache. The attempt ends when the link has carried the body.
func (e *Engine) serveFromLocalCache(request *activeRequest, attempt *Attempt) {
	maxAge := attempt.MaxAge
	if maxAge == 0 {
		maxAge = e.settings.Classes[request.Class].FreshDuration
	}
	entry := e.localCache.find(request.Request, maxAge, e.now)
	if entry == nil || e.mayBePurged(entry) {
		e.endAttempt(request, attempt, attemptCompleted)
		e.pending = append(e.pending, attemptResultEvent(attempt, routing.CacheMiss))
		return
	}
	response := Response{
		Status: StatusOK, NotModified: request.HeldETag != "" && request.HeldETag == entry.etag, Body: entry.body,
	}
	size := len(entry.body)
	if response.NotModified {
		size /= notModifiedCostDivisor
	}
	e.counts.LocalCacheHits++
	if e.localCache.isPurged(entry) {
		e.monitor.RecordViolation(invariant.StaleCopyServed, uint64(request.ClientRequestID))
	}
	e.respond(request, response)
	e.pending = append(e.pending, routing.Event{
		Kind: routing.EventStreamStarted, Request: request.ID, Attempt: attempt.Number, Endpoint: attempt.Endpoint,
	})
	sentAt := e.localCache.transfer(e.now, size)
	heap.Push(&e.timers, timer{at: sentAt, request: request.ID, attempt: attempt})
}

// mayBePurged reports whether a copy may be older than a purge that has not arrived here, though it counts as notified
// and its grace is over.
func (e *Engine) mayBePurged(entry *cacheEntry) bool {
	unknownUntil := e.purgesDue.UnknownUntil(e.now)
	return unknownUntil > 0 && entry.generatedNotBefore < unknownUntil
}

// handlePurge applies a purge. A purge without a timestamp counts as issued now.
func (e *Engine) handlePurge(purge Purge) {
	e.monitor.Record(flightrecorder.Entry{
		Event: flightrecorder.PurgeReceived, ID: uint64(purge.Object), Value: int64(purge.Group),
	})
	issuedAgo := time.Duration(0)
	if purge.Issued.Unix() > 0 {
		issuedAgo = e.ages.estimate(purge.Issued, e.now).atLeast
	}
	e.localCache.purge(purge, e.now, e.now-issuedAgo)
	e.dispatch(&routing.Event{Kind: routing.EventPurge, Object: purge.Object, Group: purge.Group, Age: issuedAgo})
}
