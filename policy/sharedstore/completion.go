package sharedstore

import (
	"time"

	"fennelarch/policy/routing"
)

// reject fails an operation that can use neither the store nor a fill.
func (c *Coordinator) reject(op *operation) {
	c.Counts.Rejected++
	switch {
	case op.store.health.state == healthUnavailable:
		c.complete(op, 0, routing.ConnectFailed, routing.NoteNone, 0)
	case op.source == 0:
		// With NoteNoFillCapacity, routing would name no source for 100 ms, and the next request would fail the same way.
		c.complete(op, 0, routing.CacheMiss, routing.NoteSourceMiss, 0)
	default:
		c.complete(op, 0, routing.Overloaded, routing.NoteNoFillCapacity, 0)
	}
}

// successNote returns the note and the wait to report with a success. An operation that waited for another router's
// fill is reported as coalesced: its duration says nothing about the store or the source and must not enter their
// statistics.
func (c *Coordinator) successNote(op *operation, note routing.Note, wait time.Duration) (routing.Note, time.Duration) {
	if op.waitedForHolder {
		return routing.NoteCoalesced, c.now - op.startedAt
	}
	return note, wait
}

// cancel ends an operation that no request waits for any longer.
func (c *Coordinator) cancel(op *operation) {
	if op.isComplete {
		return
	}
	op.isComplete = true
	c.completeFollowers(op, routing.Cancelled, routing.NoteNone)
	c.close(op)
}

// complete answers an operation. Its followers share its copy, fail with it, or go on alone.
func (c *Coordinator) complete(
	op *operation, copyFrom OperationID, outcome routing.Outcome, note routing.Note, wait time.Duration,
) {
	if op.isComplete {
		return
	}
	op.isComplete = true
	c.emit(Action{
		Kind: ActionComplete, Operation: op.id, CopyFrom: copyFrom, Outcome: outcome, Note: note, FirstByteWait: wait,
	})
	c.completeFollowers(op, outcome, note)
	if op.state != stateStoring {
		c.close(op)
	}
}

// close aborts the fill of a completed operation, releases its lease and forgets the operation.
func (c *Coordinator) close(op *operation) {
	if op.fillState == fillInFlight {
		c.releaseFill(op.source)
		op.fillState = fillNone
		c.emit(Action{Kind: ActionAbortFill, Operation: op.id})
	}
	c.releaseLease(op)
	c.forget(op)
}

// forget drops an operation. The reply to a command that is still in flight is recorded for the store nevertheless,
// because its event names the endpoint.
func (c *Coordinator) forget(op *operation) {
	c.leave(op)
	if c.leaders[op.key] == op {
		delete(c.leaders, op.key)
	}
	c.emit(Action{Kind: ActionForget, Operation: op.id})
	delete(c.operations, op.id)
	c.freeOperations = append(c.freeOperations, op)
}
