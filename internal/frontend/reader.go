package frontend

import (
	"errors"
	"io"
	"os"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/invariant"
	"fennelarch/internal/system"
)

// readPlan is what the reader is to do next.
type readPlan struct {
	messages    []engine.Message // for the engine
	state       connectionState
	space       []byte
	deadline    time.Time // nothing is to come for longer
	isHeld      bool      // nothing may be parsed at the moment
	mustClose   bool      // the connection is to be closed now
	closeReason invariant.CloseReason
}

// readStep parses what has come and reads what comes next. It says whether the connection is over, and for what
// reason. While nothing may be parsed, what comes is kept in the ring, so that a client that leaves or cancels
// something is heard all the same.
func (c *connection) readStep() (reason invariant.CloseReason, isOver bool) {
	now := time.Now()
	hasMore, malformed := c.parse(now)
	plan := c.planRead(now)
	c.forward(now, plan.messages)
	switch {
	case malformed != nil: // what was in flight has its response yet
		c.awaitIdle()
		return invariant.CloseClientMalformed, true
	case plan.state == stateClientLeft:
		return invariant.CloseClientLeft, true
	case plan.state == stateClosed:
		return invariant.CloseWriteFailed, true
	case hasMore && !plan.isHeld:
		return reason, false
	case plan.mustClose:
		return plan.closeReason, true
	case len(plan.space) == 0:
		time.Sleep(c.server.shared.limits.RecheckInterval)
		return invariant.CloseClientLeft, hasPeerClosed(c.raw)
	}
	return c.readNext(&plan)
}

// readNext waits for what comes next, until the deadline of the plan.
func (c *connection) readNext(plan *readPlan) (reason invariant.CloseReason, isOver bool) {
	err := c.readInto(plan.space)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		now := time.Now()
		if plan.isHeld || now.Before(plan.deadline) { // it was woken
			return reason, false
		}
		return c.handleReadTimeout(now)
	case errors.Is(err, io.EOF):
		return invariant.CloseClientLeft, true
	case err != nil:
		return invariant.CloseReadFailed, true
	}
	return reason, false
}

// parse parses what has come, unless it is held. Where something of it came long ago, the rest of what the client has
// sent is looked through first: the client may have cancelled it since, or left. hasMore says that something in the
// ring may be left to parse.
func (c *connection) parse(now time.Time) (hasMore bool, malformed error) {
	c.mu.Lock()
	if wait := c.pauseFor.Swap(0); wait > 0 {
		c.pausedUntil = now.Add(time.Duration(wait))
	}
	if c.isHeld(now) {
		c.scanHeldInput(now)
	}
	if c.isHeld(now) {
		c.unlockChanged()
		return true, nil
	}
	malformed = c.session.parse(now)
	hasMore = c.session.isBackpressured()
	hasStale := c.session.hasStaleRequest(now)
	c.unlockChanged()
	if hasStale && malformed == nil {
		c.readAhead()
		hasMore = true
	}
	return hasMore, malformed
}

// isHeld says whether input may not be parsed at the moment.
func (c *connection) isHeld(now time.Time) bool {
	return now.Before(c.pausedUntil) || c.session.isBackpressured()
}

// scanHeldInput looks through held input at intervals. A pause ends before the deadline of a request among it: what
// is to be rejected is rejected in time.
func (c *connection) scanHeldInput(now time.Time) {
	bounds := &c.server.shared.limits
	if now.Sub(c.heldScannedAt) < bounds.HeldInputInterval {
		return
	}
	c.heldScannedAt = now
	if deadline := c.session.scanHeldInput(); !deadline.IsZero() && deadline.Sub(now) < bounds.PauseMargin {
		c.pausedUntil = now
	}
}

// readAhead reads what the system holds of the connection by now, and gives up what was cancelled in it. Where there
// is more of it than the ring has room for, what came long ago is rejected: nobody can tell whether its client still
// waits.
func (c *connection) readAhead() {
	deadline := time.Now().Add(c.server.shared.limits.ReadAheadTimeout)
	var err error
	for err == nil {
		c.mu.Lock()
		space := c.session.inputSpace()
		_ = c.SetReadDeadline(deadline)
		c.mu.Unlock()
		if len(space) == 0 {
			break
		}
		err = c.readInto(space)
	}
	isAllRead := errors.Is(err, os.ErrDeadlineExceeded)
	hasLeft := err != nil && !isAllRead || hasPeerClosed(c.raw)
	c.mu.Lock()
	defer c.unlockChanged()
	if hasLeft {
		c.session.closeAsClientLeft()
		return
	}
	c.session.scanHeldInput()
	if !isAllRead {
		c.session.rejectStale(time.Now())
	}
}

// planRead says what the reader is to do next, and by when it is to look again.
func (c *connection) planRead(now time.Time) readPlan {
	c.mu.Lock()
	defer c.unlockChanged()
	bounds := &c.server.shared.limits
	isDraining, grace := c.server.isDraining.Load(), time.Duration(0)
	closeReason := invariant.CloseClientForCapacity
	if isDraining {
		closeReason, grace = invariant.CloseShutdown, bounds.CloseLinger
	}
	c.isBackpressured = c.session.isBackpressured()
	isHeld := c.isHeld(now)
	plan := readPlan{
		isHeld:      isHeld,
		mustClose:   (isDraining || c.isEvicted.Load()) && !isHeld && c.session.mayClose(now, grace),
		closeReason: closeReason,
		state:       c.session.state,
		messages:    c.session.takeMessages(),
		space:       c.session.inputSpace(),
		deadline:    c.session.readDeadline(now),
	}
	switch {
	case isHeld:
		plan.deadline = now.Add(bounds.HeldInputInterval)
	case isDraining && c.session.state == stateAwaitingMessage && c.session.input.Len() == 0:
		plan.deadline = c.session.messageBegan.Add(bounds.CloseLinger)
	}
	_ = c.SetReadDeadline(plan.deadline)
	return plan
}

// readInto reads into the input ring, and keeps account of when what it read may have come.
func (c *connection) readInto(space []byte) error {
	begun := time.Now()
	count, err := system.Read(c.Conn, space)
	now, stalls := time.Now(), c.server.monitor.Watch()
	cameAt := stalls.EarliestArrival(c.emptyAt, begun, now)
	if count < len(space) && stalls.EarliestQueuedArrival(now).Equal(now) {
		// The system holds nothing more of it; just after a stall, it may still be handing on what came meanwhile.
		c.emptyAt = now
	}
	if count == 0 {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session.received(count, now, cameAt)
	return nil // an error comes again
}

// handleReadTimeout is called when nothing came by the deadline, and says whether the connection is to be closed for
// it.
func (c *connection) handleReadTimeout(now time.Time) (reason invariant.CloseReason, isOver bool) {
	c.mu.Lock()
	reason = invariant.CloseClientIdle
	if c.session.input.Len() > 0 {
		reason = invariant.CloseIncomplete
	}
	isOver = c.session.handleReadTimeout()
	messages := c.session.takeMessages()
	c.unlockChanged()
	c.forward(now, messages)
	if isOver {
		c.awaitIdle()
	}
	return reason, isOver
}
