package sharedstore

// Synchronization of the invalidation log with the stores.
//
// Each router knows every purge that was issued in a range of time. Each store keeps such a log too, in one value:
// its entries and the ends of its range, from which to which every purge is in it. The ends only ever grow, and so
// does the time of an entry, so routers write without agreement and in any order. A router may move the end of the
// store's range to that of its own if the two ranges adjoin; if they do not, a purge that nobody knows may lie
// between, and the start of the store's range moves up to that of the router's. A copy is served if the time from
// which it is valid lies in a range that reaches to now without a gap, and it was generated after every purge of it
// therein.
//
// A store that comes back empty, with an old snapshot, or without the value (it may drop any value, but only as a
// whole) shows a range that ends early or none; whichever router knows more writes it again. A router that starts
// late takes over what the store knows as soon as another has moved the end of the store's range past that router's
// start.

import (
	"time"

	"fennelarch/policy/routing"
)

const (
	// LogSyncInterval is how often the log of a store is read and moved on; a purge moves it at once. It is well under
	// takeoverDelay.
	LogSyncInterval = time.Second
	// takeoverDelay is how long a router that has just connected leaves it to older ones to extend the store's range to
	// now, before it gives up what was stored earlier: they write at least once each LogSyncInterval.
	takeoverDelay = 5 * time.Second
	// maxInvalidationsPerUpdate is how many entries go into one command: some 30 KB.
	maxInvalidationsPerUpdate = 1000
	// logSyncCommands is what a synchronization takes from a slow-start budget: a read and a write.
	logSyncCommands = 2
)

// LogRange is what the log of a store says of itself: every purge issued between the two times is in it. A log without
// an end does not exist.
type LogRange struct{ CompleteFrom, CompleteTo Timestamp }

// LogUpdate is what a router writes into the log of a store in one command. The zero value writes nothing.
type LogUpdate struct {
	IsDataLost    bool // the store lost its data: EventDataLost is to be handled before the update is carried out
	NeedsAll      bool // read all entries of the store first, instead of writing
	Invalidations []Invalidation
	CompleteFrom  Timestamp // 0: unchanged
	CompleteTo    Timestamp // 0: unchanged
	WrittenUpTo   int       // position in this router's log, for LogUpdateWritten
	TrimBefore    Timestamp // older entries may be removed from the store, 0: none now
}

// logSync is how far this router and the log of one store know of each other on one connection.
type logSync struct {
	connectedAt  time.Duration
	wasRead      bool // the store's range was read on this connection
	exists       bool // the store has a log
	completeFrom Timestamp
	completeTo   Timestamp
	writtenUpTo  int  // position in this router's log up to which the store has all
	isReadingAll bool // all entries of the store are being read
	isTooLarge   bool // they are more than can be read or kept
}

// RecordInvalidation records a purge, and says whether the stores are to be told of it now.
func (c *Coordinator) RecordInvalidation(now time.Duration, entry Invalidation) bool {
	c.now = max(now, c.now)
	c.log.expire(c.wallClock())
	return c.log.add(entry)
}

// DiscoveryCurrent says that every purge issued before a time has been recorded.
func (c *Coordinator) DiscoveryCurrent(asOf Timestamp) {
	c.log.completeTo = max(c.log.completeTo, asOf)
}

// DiscoveryGap says that purges may have been issued until now of which this router will never hear.
func (c *Coordinator) DiscoveryGap(now time.Duration) {
	c.now = max(now, c.now)
	c.log.restart(c.wallClock())
}

// ClockStepped says that the wall clock was set by so much. Times from before and after cannot be compared: nothing
// that was stored until now is proved any more, until the clock has passed both readings.
func (c *Coordinator) ClockStepped(now, by time.Duration) {
	c.now = max(now, c.now)
	before := c.wallClock()
	c.settings.Epoch += Timestamp(by / ms)
	c.log.restart(max(before, c.wallClock()))
}

// PlanLogUpdate takes the range of a store's log, as read on this connection, and says what to write. The entries are
// valid until the next call.
func (c *Coordinator) PlanLogUpdate(now time.Duration, id routing.EndpointID, stored LogRange) LogUpdate {
	c.now = max(now, c.now)
	store := c.storeByID[id]
	if store == nil {
		return LogUpdate{}
	}
	c.log.expire(c.wallClock())
	isLost := c.recordLogRange(store, stored)
	sync := &store.logSync
	isYoung := c.now-sync.connectedAt < takeoverDelay
	switch {
	case c.canTakeOver(sync):
		sync.isReadingAll = true
		return LogUpdate{NeedsAll: true}
	case sync.exists && !c.log.adjoins(sync.completeTo) && isYoung:
		return LogUpdate{}
	}
	update := c.logUpdate(sync)
	update.IsDataLost = isLost
	return update
}

// recordLogRange compares what the store's log says with what was written there. Whatever went missing is written
// again. It reports whether the log is lost, and the store's data with it.
func (c *Coordinator) recordLogRange(store *storeStatus, stored LogRange) (isLost bool) {
	sync := &store.logSync
	exists := stored.CompleteTo > 0
	isLost = sync.wasRead && sync.exists && stored.CompleteTo == 0
	isRolledBack := sync.wasRead && sync.exists && exists && stored.CompleteTo < sync.completeTo
	if !sync.wasRead {
		sync.connectedAt, sync.writtenUpTo = c.now, c.log.dropped
	}
	if isLost || isRolledBack {
		sync.writtenUpTo = c.log.dropped
	}
	sync.wasRead, sync.exists = true, exists
	sync.completeFrom, sync.completeTo = stored.CompleteFrom, stored.CompleteTo
	c.consumeBudget(store, logSyncCommands)
	return isLost
}

// canTakeOver says whether the store knows of purges from before this router's range, and its range reaches into it.
func (c *Coordinator) canTakeOver(sync *logSync) bool {
	knowsMore := c.log.completeFrom > max(sync.completeFrom, c.log.horizon(c.wallClock()))
	return sync.exists && !sync.isTooLarge && knowsMore && sync.completeTo >= c.log.completeFrom+maxClockSkew
}

// logUpdate is what the store's log lacks.
func (c *Coordinator) logUpdate(sync *logSync) LogUpdate {
	entries, first := c.log.since(sync.writtenUpTo)
	sync.writtenUpTo = first
	update := LogUpdate{
		Invalidations: entries,
		CompleteTo:    min(max(c.log.completeTo, c.log.completeFrom), c.wallClock()+maxClockSkew),
		WrittenUpTo:   c.log.end(),
	}
	isPartial := len(entries) > maxInvalidationsPerUpdate
	if isPartial {
		// The range must not include what has not been written: its ends go with the last entries.
		update.Invalidations = entries[:maxInvalidationsPerUpdate]
		update.CompleteTo = 0
		update.WrittenUpTo = first + maxInvalidationsPerUpdate
	}
	if !isPartial && (!sync.exists || !c.log.adjoins(sync.completeTo)) {
		update.CompleteFrom = c.log.completeFrom
	}
	if c.now-sync.connectedAt > takeoverDelay {
		update.TrimBefore = c.log.horizon(c.wallClock())
	}
	return update
}

// LogUpdateWritten says that an update is in the store, and whether there is more to write at once.
func (c *Coordinator) LogUpdateWritten(id routing.EndpointID, update LogUpdate) (more bool) {
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

// MergeInvalidations takes all entries of a store's log, read after its range on the same connection: from now on this
// router knows what the store knew. Where they are more than can be kept, what was stored before this router's start
// stays unproved here.
func (c *Coordinator) MergeInvalidations(now time.Duration, id routing.EndpointID, entries []Invalidation) {
	c.now = max(now, c.now)
	store := c.storeByID[id]
	if store == nil || !store.logSync.isReadingAll {
		return
	}
	sync := &store.logSync
	if len(entries)+len(c.log.entries) > maxInvalidations {
		c.AbandonMerge(id)
		return
	}
	sync.isReadingAll = false
	for _, entry := range entries {
		c.log.add(entry)
	}
	oldest := max(sync.completeFrom, c.log.horizon(c.wallClock()))
	c.log.completeFrom = min(c.log.completeFrom, oldest)
}

// AbandonMerge says that the entries of a store's log could not be read to the end. It is not tried again on this
// connection.
func (c *Coordinator) AbandonMerge(id routing.EndpointID) {
	store := c.storeByID[id]
	if store != nil && store.logSync.isReadingAll {
		store.logSync.isReadingAll, store.logSync.isTooLarge = false, true
	}
}
