package sharedstore

// Synchronization of the invalidation log with the stores.
//
// Each router's log holds every purge that was issued in a range of time. Each store keeps such a log too, as one value
// that holds the entries and the range in which the log is complete. Both ends of the range and the time of an entry
// only ever grow, so routers can write without coordination and in any order. A router may move the end of the store's
// range to the end of its own if the two ranges adjoin. If they do not, a purge that nobody knows may lie between them,
// and the start of the store's range moves up to the start of the router's range. A copy is served if the time from
// which the copy is valid lies in a range that reaches to now without a gap, and the copy was generated after every
// purge of it in that range.
//
// A store that comes back empty, with an old snapshot, or without the value (a store may drop any value, but only as a
// whole) shows a range that ends early, or no range. Any router that knows more writes the missing part again. A router
// that starts late takes over what the store knows as soon as another router has moved the end of the store's range
// past the start of that router.

import (
	"time"

	"fennelarch/policy/notification"
	"fennelarch/policy/routing"
)

const (
	// LogSyncInterval is the time between two synchronizations with the log of a store; a purge is written at once. The
	// interval must be well under takeoverDelay, so that older routers extend the store's range before a new one gives up.
	LogSyncInterval = time.Second
	// takeoverDelay is how long a router that has just connected waits for older routers to extend the store's range to
	// now, which they do at least once each LogSyncInterval. After the delay, the new router moves up the start of the
	// range, and copies stored earlier are no longer proved; a shorter delay would give up copies without need.
	takeoverDelay = 5 * time.Second
	// maxInvalidationsPerUpdate limits the entries in one command, to some 30 KB. A longer command would delay others.
	maxInvalidationsPerUpdate = 1000
	// logSyncCommands is the number of commands that a synchronization takes from a slow-start budget: a read and a write.
	logSyncCommands = 2
)

// LogRange is the range of time of a store's log: every purge issued between the two times is in the log. If CompleteTo
// is 0, the store has no log.
type LogRange struct{ CompleteFrom, CompleteTo Timestamp }

// LogUpdate is what a router writes to the log of a store in one command. The zero value writes nothing.
type LogUpdate struct {
	IsDataLost    bool // the store lost its data: handle EventDataLost before carrying out the update
	ReadAll       bool // read all entries of the store's log instead of writing
	Invalidations []Invalidation
	CompleteFrom  Timestamp // 0: unchanged
	CompleteTo    Timestamp // 0: unchanged
	WrittenUpTo   int       // position in this router's log, for RecordLogUpdate
	TrimBefore    Timestamp // entries from before this time may be removed from the store, 0: none
}

// logSync is the state of the synchronization with the log of one store on one connection.
type logSync struct {
	firstReadAt  time.Duration // when the store's range was first read on this connection
	wasRead      bool          // the store's range was read on this connection
	exists       bool          // the store has a log
	completeFrom Timestamp
	completeTo   Timestamp
	writtenUpTo  int  // position in this router's log up to which the store has all entries
	isReadingAll bool // all entries of the store's log are being read
	isTooLarge   bool // the store's log has more entries than can be read or kept
}

// RecordInvalidation records a purge, and reports whether the stores must be told of the purge now.
func (c *Coordinator) RecordInvalidation(now time.Duration, entry Invalidation) bool {
	c.now = max(now, c.now)
	c.invalidations.expire(c.wallClock())
	return c.invalidations.add(entry)
}

// RecordDiscoveryCurrent records that this router knows every purge issued before asOf.
func (c *Coordinator) RecordDiscoveryCurrent(asOf Timestamp) {
	c.invalidations.completeTo = max(c.invalidations.completeTo, asOf)
}

// RecordDiscoveryReport takes a report on how current the known purges are.
func (c *Coordinator) RecordDiscoveryReport(now time.Duration, report notification.Report) {
	c.now = max(now, c.now)
	c.purgesDue.Record(report)
}

// RecordDiscoveryGap records that this router may never receive some of the purges issued until now.
func (c *Coordinator) RecordDiscoveryGap(now time.Duration) {
	c.now = max(now, c.now)
	c.invalidations.restart(c.wallClock())
}

// RecordClockStep records that the wall clock was changed by the given duration. Times from before and after the change
// cannot be compared: no copy stored until now is proved any more, and later copies are proved only once the clock has
// passed both readings.
func (c *Coordinator) RecordClockStep(now, by time.Duration) {
	c.now = max(now, c.now)
	before := c.wallClock()
	c.settings.Epoch += Timestamp(by / ms)
	c.invalidations.restart(max(before, c.wallClock()))
}

// PlanLogUpdate takes the range of a store's log, as read on the current connection, and returns what to write. The
// returned entries are valid until the next call.
func (c *Coordinator) PlanLogUpdate(now time.Duration, id routing.EndpointID, stored LogRange) LogUpdate {
	c.now = max(now, c.now)
	store := c.storeByID[id]
	if store == nil {
		return LogUpdate{}
	}
	c.invalidations.expire(c.wallClock())
	isLost := c.recordLogRange(store, stored)
	sync := &store.logSync
	isNewlyConnected := c.now-sync.firstReadAt < takeoverDelay
	switch {
	case c.canTakeOver(sync):
		sync.isReadingAll = true
		return LogUpdate{ReadAll: true}
	case sync.exists && !c.invalidations.adjoins(sync.completeTo) && isNewlyConnected:
		return LogUpdate{}
	}
	update := c.buildLogUpdate(sync)
	update.IsDataLost = isLost
	return update
}

// recordLogRange compares the range of the store's log with what was written there, and has all entries written again
// if some went missing. It reports whether the log is lost, and the store's data with it.
func (c *Coordinator) recordLogRange(store *storeStatus, stored LogRange) (isLost bool) {
	sync := &store.logSync
	exists := stored.CompleteTo > 0
	isLost = sync.wasRead && sync.exists && stored.CompleteTo == 0
	isRolledBack := sync.wasRead && sync.exists && exists && stored.CompleteTo < sync.completeTo
	if !sync.wasRead {
		sync.firstReadAt, sync.writtenUpTo = c.now, c.invalidations.dropped
	}
	if isLost || isRolledBack {
		sync.writtenUpTo = c.invalidations.dropped
	}
	sync.wasRead, sync.exists = true, exists
	sync.completeFrom, sync.completeTo = stored.CompleteFrom, stored.CompleteTo
	c.consumeBudget(store, logSyncCommands)
	return isLost
}

// canTakeOver reports whether the store knows of purges from before this router's range, and the store's range reaches
// into this router's range.
func (c *Coordinator) canTakeOver(sync *logSync) bool {
	storeKnowsMore := c.invalidations.completeFrom > max(sync.completeFrom, c.invalidations.horizon(c.wallClock()))
	return sync.exists && !sync.isTooLarge && storeKnowsMore &&
		sync.completeTo >= c.invalidations.completeFrom+maxClockSkew
}

// buildLogUpdate returns what the store's log lacks.
func (c *Coordinator) buildLogUpdate(sync *logSync) LogUpdate {
	entries, first := c.invalidations.since(sync.writtenUpTo)
	sync.writtenUpTo = first
	update := LogUpdate{
		Invalidations: entries,
		CompleteTo:    min(max(c.invalidations.completeTo, c.invalidations.completeFrom), c.wallClock()+maxClockSkew),
		WrittenUpTo:   c.invalidations.end(),
	}
	isPartial := len(entries) > maxInvalidationsPerUpdate
	if isPartial {
		// The range must not cover entries that are not written yet: its ends are written with the last entries.
		update.Invalidations = entries[:maxInvalidationsPerUpdate]
		update.CompleteTo = 0
		update.WrittenUpTo = first + maxInvalidationsPerUpdate
	}
	if !isPartial && (!sync.exists || !c.invalidations.adjoins(sync.completeTo)) {
		update.CompleteFrom = c.invalidations.completeFrom
	}
	if c.now-sync.firstReadAt > takeoverDelay {
		update.TrimBefore = c.invalidations.horizon(c.wallClock())
	}
	return update
}

// RecordLogUpdate records that an update is in the store, and reports whether there is more to write at once.
func (c *Coordinator) RecordLogUpdate(id routing.EndpointID, update LogUpdate) (more bool) {
	store := c.storeByID[id]
	if store == nil {
		return false
	}
	sync := &store.logSync
	sync.writtenUpTo = max(sync.writtenUpTo, update.WrittenUpTo)
	sync.completeTo = max(sync.completeTo, update.CompleteTo)
	sync.completeFrom = max(sync.completeFrom, update.CompleteFrom)
	return update.CompleteTo == 0 && len(update.Invalidations) > 0
}

// MergeInvalidations adds all entries of a store's log, read after the log's range on the same connection, so that this
// router knows what the store knows. If there are too many entries to keep, copies stored before this router's start
// remain unproved here.
func (c *Coordinator) MergeInvalidations(now time.Duration, id routing.EndpointID, entries []Invalidation) {
	c.now = max(now, c.now)
	store := c.storeByID[id]
	if store == nil || !store.logSync.isReadingAll {
		return
	}
	sync := &store.logSync
	if len(entries)+len(c.invalidations.entries) > maxInvalidations {
		c.AbandonMerge(id)
		return
	}
	sync.isReadingAll = false
	for _, entry := range entries {
		c.invalidations.add(entry)
	}
	oldest := max(sync.completeFrom, c.invalidations.horizon(c.wallClock()))
	c.invalidations.completeFrom = min(c.invalidations.completeFrom, oldest)
}

// AbandonMerge records that the entries of a store's log could not be read completely. The read is not tried again on
// this connection.
func (c *Coordinator) AbandonMerge(id routing.EndpointID) {
	store := c.storeByID[id]
	if store != nil && store.logSync.isReadingAll {
		store.logSync.isReadingAll, store.logSync.isTooLarge = false, true
	}
}
