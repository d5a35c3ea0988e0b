package sharedstore

import (
	"time"

	"fennelarch/policy/routing"
)

const (
	// initialFillLimit limits the fills in flight to a source that has not answered yet. It equals the fills that a busy
	// router without a store has in flight there just after the router's start; a lower limit would reject requests that
	// the source can handle.
	initialFillLimit = 64
	// maxFillLimit is the highest limit on fills in flight to a source: far above the initial limit, yet no more than an
	// impaired source can handle.
	maxFillLimit = 256
	// drainGraceDivisor divides the drain grace to give the time in which a source that was already draining may still be
	// sent a fill. With a lower divisor, a fill could reach a source that is about to stop.
	drainGraceDivisor = 10
)

// fill starts a fill, or fails the operation if no fill can start.
func (c *Coordinator) fill(op *operation) {
	switch {
	case op.fillState == fillFailed:
		c.failFill(op)
	case c.startFill(op):
	case op.source == 0:
		c.complete(op, 0, routing.CacheMiss, routing.NoteSourceMiss, 0)
	default:
		c.reject(op)
	}
}

// startFill sends a fill to the source if that is still allowed and the source's limit has room. It reports whether a
// fill is in flight.
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

// fillMaxAge returns the maximum age of the copy that the source may return, 0 for any age. The copy must be from after
// the latest purge.
func (c *Coordinator) fillMaxAge(op *operation) time.Duration {
	oldest := max(op.minGeneratedAt, c.invalidations.latest(op.key.object, op.group)+1)
	if oldest <= 1 {
		return 0
	}
	return max(ms, time.Duration(c.wallClock()-oldest)*ms)
}

// canAskSource reports whether the source may still be sent a fill. A source that began to drain after the operation
// started may not. A source that was already draining was named within its drain grace, which covers only a fill that
// starts at once.
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
	if event.GeneratedAt > 0 && !c.invalidations.isNewer(op.key.object, op.group, event.GeneratedAt) {
		// The source's copy is from before a purge and must not be served. After a miss the request goes elsewhere.
		c.Counts.Stale++
		c.complete(op, 0, fillFailureOutcome(event.Outcome), routing.NoteSourceMiss, event.FirstByteWait)
		return
	}
	c.input(op, inputFilled)
}

// recordFill adjusts the source's limit and the usual fill time to the result of a fill.
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

// fillLimit returns the limit on fills from one source.
func (c *Coordinator) fillLimit(source routing.EndpointID) *concurrencyLimit {
	limit := c.fillLimits[source]
	if limit == nil {
		limit = &concurrencyLimit{limit: initialFillLimit, max: maxFillLimit}
		c.fillLimits[source] = limit
	}
	return limit
}

// completeFill answers with the copy that the fill returned, and stores the copy if possible.
func (c *Coordinator) completeFill(op *operation) {
	note := routing.NoteFilled
	if op.fill.note == routing.NoteFilled || op.fill.note == routing.NoteViaOrigin {
		note = routing.NoteViaOrigin
	}
	ttl := c.copyTTL(op)
	willStore := ttl > 0 && c.canStore(op)
	note, wait := c.successNote(op, note, op.fill.firstByteWait)
	c.complete(op, op.id, routing.Succeeded, note, wait)
	if !willStore {
		c.close(op)
		return
	}
	c.Counts.Sets++
	c.countCommand(op.store)
	c.emit(Action{Kind: ActionSet, Operation: op.id, TTL: ttl, ValidFrom: c.validFrom(op)})
	if op.hasLease && c.now-op.fillStartedAt < c.leaseTTL()/2 {
		c.releaseLease(op) // the lease cannot have expired yet
	}
}

func (c *Coordinator) canStore(op *operation) bool {
	store := op.store
	return op.generatedAt > 0 && op.bodyBytes > 0 && op.bodyBytes <= c.settings.MaxValueBytes &&
		!store.refusesWrites && store.health.isUsable() && store.limit.isHalfFree() && c.canSend(store, setCommands)
}

// validFrom returns the time up to which the operation's copy reflects every purge: the time of the copy's generation
// or, if later, PurgeCompleteAfter before the fill started. Copies purged by then had been dropped by the source when
// the fill reached it.
func (c *Coordinator) validFrom(op *operation) Timestamp {
	if c.settings.PurgeCompleteAfter <= 0 {
		return op.generatedAt
	}
	return max(op.generatedAt, c.settings.Epoch+Timestamp((op.fillStartedAt-c.settings.PurgeCompleteAfter)/ms))
}

// copyTTL returns how long a copy may stay in the store: no longer than its class allows after its generation, and no
// longer after validFrom than invalidations are remembered.
func (c *Coordinator) copyTTL(op *operation) time.Duration {
	ttl := c.settings.MaxTTL - time.Duration(max(0, c.wallClock()-c.validFrom(op)))*ms
	if op.ttl > 0 {
		ttl = min(ttl, op.ttl-time.Duration(max(0, c.wallClock()-op.generatedAt))*ms)
	}
	return ttl
}

// fillFailureNotes gives the note with which a cache reports each outcome of a failed fill.
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

// failFill answers with the source's failure.
func (c *Coordinator) failFill(op *operation) {
	note := fillFailureNotes[op.fill.outcome]
	switch op.fill.note {
	case routing.NoteSourceRefused, routing.NoteSourceUnreachable, routing.NoteOriginFailed:
		note = routing.NoteOriginFailed // the source is a parent and reports a failure of the origin behind it
	default:
	}
	c.releaseLease(op)
	c.complete(op, 0, fillFailureOutcome(op.fill.outcome), note, op.fill.firstByteWait)
}

// fillFailureOutcome returns the outcome of an operation whose fill ended without a usable copy: a miss only if the
// request is known not to have run at the source. Otherwise it must not be repeated as though it had not.
func fillFailureOutcome(fill routing.Outcome) routing.Outcome {
	if fill.ProvesNotRun() {
		return routing.CacheMiss
	}
	return routing.Failed
}

// releaseFill removes a fill from its source's limit, which is dropped with the last fill of a source that is gone.
func (c *Coordinator) releaseFill(source routing.EndpointID) *concurrencyLimit {
	limit := c.fillLimit(source)
	limit.inFlight--
	c.dropFillLimit(source)
	return limit
}

// dropFillLimit drops the limit of a source that is gone, once none of its fills is in flight.
func (c *Coordinator) dropFillLimit(source routing.EndpointID) {
	limit, hasLimit := c.fillLimits[source]
	listed, isListed := c.endpoints[source]
	if hasLimit && limit.inFlight == 0 && isListed && listed.state == routing.Gone {
		delete(c.fillLimits, source)
	}
}
