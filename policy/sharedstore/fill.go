package sharedstore

import (
	"time"

	"fennelarch/policy/routing"
)

const (
	// initialFillLimit is what a source is taken to bear before any answer: as much as one busy router without a store has
	// in flight there at its start.
	initialFillLimit = 64
	// maxFillLimit is far over that, and still what a source can be sent in bad times.
	maxFillLimit = 256
	// drainGraceDivisor gives the part of the drain grace in which a source that was draining already may still be asked.
	drainGraceDivisor = 10
)

// fill starts a fill, or answers that there can be none.
func (c *Coordinator) fill(op *operation) {
	switch {
	case op.fillState == fillFailed:
		c.failFill(op)
	case c.startFill(op):
	case op.source == 0:
		c.complete(op, 0, routing.CacheMiss, routing.NoteSourceMiss, 0)
	default:
		c.refuse(op)
	}
}

// startFill asks the source, where that is still allowed and its limit has room. It says whether a fill is in flight.
func (c *Coordinator) startFill(op *operation) bool {
	if op.fillState == fillInFlight {
		return true
	}
	if op.source == 0 || c.now >= op.deadline || !c.canAskSource(op) {
		return false
	}
	limit := c.fillLimit(op.source)
	if !limit.hasRoom() {
		return false
	}
	limit.inFlight++
	op.fillState, op.fillStartedAt = fillInFlight, c.now
	c.Counts.Fills++
	c.emit(Action{Kind: ActionStartFill, Operation: op.id, MaxAge: c.fillMaxAge(op)})
	return true
}

// fillMaxAge is the age of the oldest copy that the source may return: one from after the latest purge.
func (c *Coordinator) fillMaxAge(op *operation) time.Duration {
	oldest := max(op.minGeneratedAt, c.log.latest(op.key.object, op.group)+1)
	if oldest <= 1 {
		return 0
	}
	return max(ms, time.Duration(c.wallClock()-oldest)*ms)
}

// canAskSource says whether the source may still be sent a fill. One that began to drain after the operation started is
// not asked; one that was draining already was named within its grace, which holds for what starts at once.
func (c *Coordinator) canAskSource(op *operation) bool {
	listed, known := c.endpoints[op.source]
	if !known || listed.state == routing.Ready {
		return true
	}
	return listed.since <= op.startedAt && c.now-op.startedAt <= c.settings.DrainGrace/drainGraceDivisor
}

func (c *Coordinator) handleFillDone(op *operation, event *Event) {
	op.fillState = fillNone
	op.fill = fillResult{event.Outcome, event.Note, event.FirstByteWait}
	c.recordFill(op.source, event)
	if event.Outcome != routing.Succeeded {
		c.input(op, inputFillFailed)
		return
	}
	op.generatedAt, op.bodyBytes = event.GeneratedAt, event.BodyBytes
	if event.GeneratedAt > 0 && !c.log.isNewer(op.key.object, op.group, event.GeneratedAt) {
		// The source had the copy from before a purge: it must not be served, and the request finds another way.
		c.Counts.Stale++
		c.complete(op, 0, routing.CacheMiss, routing.NoteSourceMiss, event.FirstByteWait)
		return
	}
	c.input(op, inputFilled)
}

// recordFill learns from the end of a fill what the source bears and how long fills take.
func (c *Coordinator) recordFill(source routing.EndpointID, event *Event) {
	limit := c.releaseFill(source)
	switch event.Outcome {
	case routing.Succeeded:
		c.fillTime.add(event.Elapsed)
		limit.increase()
	case routing.CacheMiss:
		limit.increase()
	case routing.Cancelled, routing.NotSent:
	default:
		limit.decrease(errorDecrease, c.now, c.fillTime.typical())
	}
}

// fillLimit is the limit on fills from one source.
func (c *Coordinator) fillLimit(source routing.EndpointID) *concurrencyLimit {
	limit := c.fillLimits[source]
	if limit == nil {
		limit = &concurrencyLimit{limit: initialFillLimit, max: maxFillLimit}
		c.fillLimits[source] = limit
	}
	return limit
}

// completeFill answers with what the fill brought, and stores it where that is worthwhile.
func (c *Coordinator) completeFill(op *operation) {
	note := routing.NoteFilled
	if op.fill.note == routing.NoteFilled || op.fill.note == routing.NoteViaOrigin {
		note = routing.NoteViaOrigin
	}
	ttl := c.copyTTL(op)
	stores := ttl > 0 && c.canStore(op)
	note, wait := c.successNote(op, note, op.fill.firstByteWait)
	c.complete(op, op.id, routing.Succeeded, note, wait)
	if !stores {
		c.close(op)
		return
	}
	c.Counts.Sets++
	c.countCommand(op.store)
	c.emit(Action{Kind: ActionSet, Operation: op.id, TTL: ttl, ValidFrom: c.validFrom(op)})
	if op.hasLease && c.now-op.fillStartedAt < c.leaseTTL()/2 {
		c.releaseLease(op) // it is surely still ours
	}
}

func (c *Coordinator) canStore(op *operation) bool {
	store := op.store
	return op.generatedAt > 0 && op.bodyBytes > 0 && op.bodyBytes <= c.settings.MaxValueBytes &&
		!store.refusesWrites && store.health.isUsable() && store.limit.isHalfFree() && c.canSend(store, setCommands)
}

// validFrom is the time before which no purge can have been missed on a copy's way here: its generation or, for an old
// copy of a source that had dropped by then what was purged, the time at which the source was asked.
func (c *Coordinator) validFrom(op *operation) Timestamp {
	if c.settings.PurgeCompleteAfter <= 0 {
		return op.generatedAt
	}
	return max(op.generatedAt, c.settings.Epoch+Timestamp((op.fillStartedAt-c.settings.PurgeCompleteAfter)/ms))
}

// copyTTL is how long a copy may stay in the store: its class's time from its generation on, and from its validity on
// no longer than invalidations are remembered.
func (c *Coordinator) copyTTL(op *operation) time.Duration {
	ttl := c.settings.MaxTTL - time.Duration(max(0, c.wallClock()-c.validFrom(op)))*ms
	if op.ttl > 0 {
		ttl = min(ttl, op.ttl-time.Duration(max(0, c.wallClock()-op.generatedAt))*ms)
	}
	return ttl
}

// fillFailureNotes says how a source's answer is reported by a cache that tried to fill from it.
var fillFailureNotes = map[routing.Outcome]routing.Note{
	routing.CacheMiss:        routing.NoteSourceMiss,
	routing.Overloaded:       routing.NoteSourceRefused,
	routing.Failed:           routing.NoteSourceUnreachable,
	routing.TimedOut:         routing.NoteSourceUnreachable,
	routing.ConnectionBroken: routing.NoteSourceUnreachable,
	routing.ConnectFailed:    routing.NoteSourceUnreachable,
	routing.NotSent:          routing.NoteSourceUnreachable,
	routing.Cancelled:        routing.NoteSourceUnreachable,
}

// failFill answers with what the source said.
func (c *Coordinator) failFill(op *operation) {
	note := fillFailureNotes[op.fill.outcome]
	switch op.fill.note {
	case routing.NoteSourceRefused, routing.NoteSourceUnreachable, routing.NoteOriginFailed:
		note = routing.NoteOriginFailed // the source is a parent and speaks of the origin behind it
	default:
	}
	c.releaseLease(op)
	c.complete(op, 0, routing.CacheMiss, note, op.fill.firstByteWait)
}

// releaseFill takes a fill off its source's limit, which is dropped with the last fill of a source that has gone.
func (c *Coordinator) releaseFill(source routing.EndpointID) *concurrencyLimit {
	limit := c.fillLimit(source)
	limit.inFlight--
	c.dropFillLimit(source)
	return limit
}

// dropFillLimit forgets what a source that has gone bears, once none of its fills is in flight.
func (c *Coordinator) dropFillLimit(source routing.EndpointID) {
	limit, hasLimit := c.fillLimits[source]
	listed, isListed := c.endpoints[source]
	if hasLimit && limit.inFlight == 0 && isListed && listed.state == routing.Gone {
		delete(c.fillLimits, source)
	}
}
