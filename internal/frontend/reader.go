package frontend

import (
	"errors"
	"io"
	"os"
	"runtime"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/invariant"
	"fennelarch/internal/system"
)

// maxUnheldBytes is how much a client can send at once without some of it being held back on its side because the
// kernel's receive buffer here is full. If it has sent more, an empty receive buffer does not show that there is no
// more.
const maxUnheldBytes = 32 << 10

// readPlan describes the reader's next step.
type readPlan struct {
	messages    []engine.Message // to be posted to the engine
	state       connectionState
	buffer      []byte    // for the next read
	deadline    time.Time // of the next read
	isHeld      bool      // input may not be parsed at the moment
	mustClose   bool      // the connection must be closed now
	closeReason invariant.CloseReason
}

// readStep parses the input, then reads more. It reports whether the connection has ended, and why. Reading goes on
// while parsing is held, so that the client's cancels and its leaving are noticed.
func (c *connection) readStep() (reason invariant.CloseReason, hasEnded bool) {
	runtime.Gosched() // a client that sends much at once must not delay the others for a whole time slice
	now := time.Now()
	hasMore, parseErr := c.parse(now)
	plan := c.planRead(now)
	c.forward(now, plan.messages)
	switch {
	case parseErr != nil: // requests in flight still get their responses
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
	case len(plan.buffer) == 0:
		c.awaitWake(plan.deadline)
		return invariant.CloseClientLeft, hasPeerClosed(c.raw)
	}
	return c.readNext(&plan)
}

// awaitWake waits until the reader is woken or a deadline, in place of a read for which there is no room.
func (c *connection) awaitWake(deadline time.Time) {
	select {
	case <-c.wake:
	case <-time.After(time.Until(deadline)):
	}
}

// readNext reads more input, until the deadline of the plan.
func (c *connection) readNext(plan *readPlan) (reason invariant.CloseReason, hasEnded bool) {
	err := c.readInto(plan.buffer)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		now := time.Now()
		if plan.isHeld || now.Before(plan.deadline) { // time for the next scan, or woken by wakeReader
			return reason, false
		}
		if hasUnreadInput(c.raw) { // it came while the process had no CPU time to read it
			c.isReadingOn = true
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

// parse parses the input unless it is held. No request is forwarded if the client has left. If a parsed request arrived
// long ago, the rest of the client's input is scanned before the request is forwarded, because the client may have
// cancelled it since. hasMore reports whether unparsed input may remain in the ring.
func (c *connection) parse(now time.Time) (hasMore bool, parseErr error) {
	c.mu.Lock()
	if wait := c.requestedPause.Swap(0); wait > 0 {
		c.pausedUntil = now.Add(time.Duration(wait))
	}
	if c.isHeld(now) {
		c.scanHeldInput(now)
	}
	if c.isHeld(now) {
		c.unlockAndNotify()
		return true, nil
	}
	parseErr = c.session.parse(now)
	hasMore = c.session.isBackpressured()
	hasStaleRequest := c.session.hasStaleRequest(now)
	if c.session.hasRequest() && hasPeerClosed(c.raw) { // whatever is unread before the end
		c.session.closeAsClientLeft()
	}
	c.unlockAndNotify()
	if hasStaleRequest && parseErr == nil {
		c.readAhead()
		hasMore = true
	}
	return hasMore, parseErr
}

// isHeld reports whether input may not be parsed at the moment.
func (c *connection) isHeld(now time.Time) bool {
	return now.Before(c.pausedUntil) || c.session.isBackpressured()
}

// scanHeldInput scans held input at intervals. It ends a pause shortly before the deadline of a request in the input,
// so that the request can be rejected in time.
func (c *connection) scanHeldInput(now time.Time) {
	bounds := &c.server.shared.limits
	if now.Sub(c.heldInputScannedAt) < bounds.HeldInputInterval {
		return
	}
	c.heldInputScannedAt = now
	if deadline := c.session.scanHeldInput(); !deadline.IsZero() && deadline.Sub(now) < bounds.PauseMargin {
		c.pausedUntil = now
	}
}

// readAhead reads all input that the kernel holds and abandons the requests that are cancelled in it. If there is more
// input than the ring has room for, stale requests are rejected, because it cannot be known whether the client still
// waits for them.
func (c *connection) readAhead() {
	deadline := time.Now().Add(c.server.shared.limits.ReadAheadTimeout)
	var err error
	for err == nil {
		c.mu.Lock()
		buffer := c.session.inputBuffer()
		_ = c.SetReadDeadline(deadline)
		c.mu.Unlock()
		if len(buffer) == 0 {
			break
		}
		err = c.readInto(buffer)
	}
	isAllRead := errors.Is(err, os.ErrDeadlineExceeded)
	hasLeft := err != nil && !isAllRead || hasPeerClosed(c.raw)
	c.mu.Lock()
	defer c.unlockAndNotify()
	if hasLeft {
		c.session.closeAsClientLeft()
		return
	}
	c.session.scanHeldInput()
	if !isAllRead {
		c.session.rejectStale(time.Now())
	}
}

// planRead returns the reader's next step and sets the deadline of its read.
func (c *connection) planRead(now time.Time) readPlan {
	c.mu.Lock()
	defer c.unlockAndNotify()
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
		buffer:      c.session.inputBuffer(),
		deadline:    c.session.readDeadline(now),
	}
	switch {
	case isHeld:
		plan.deadline = now.Add(bounds.HeldInputInterval)
		if now.Before(c.pausedUntil) && c.pausedUntil.Before(plan.deadline) {
			plan.deadline = c.pausedUntil
		}
	case isDraining && c.session.state == stateAwaitingMessage && c.session.input.Len() == 0:
		plan.deadline = c.session.messageStartedAt.Add(bounds.CloseLinger)
	}
	if c.isReadingOn && !isHeld {
		plan.deadline = later(plan.deadline, now.Add(bounds.HeldInputInterval))
	}
	_ = c.SetReadDeadline(plan.deadline)
	return plan
}

func later(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}

// readInto reads into the input ring and records the earliest time at which the bytes may have arrived.
func (c *connection) readInto(buffer []byte) error {
	// Within a large burst, a call that is slow for lack of CPU time must not count as one that has waited.
	wasUnread := c.isInBurst.Load() && hasUnreadInput(c.raw)
	start := time.Now()
	count, err := system.Read(c.Conn, buffer)
	now, stalls := time.Now(), c.server.monitor.StallDetector()
	arrivedAt := stalls.EarliestArrival(c.receiveBufferEmptyAt, start, now)
	if wasUnread {
		arrivedAt = c.receiveBufferEmptyAt
	}
	c.burstBytes += count
	if arrivedAt.After(c.receiveBufferEmptyAt) { // the call has waited, so there was nothing before
		c.receiveBufferEmptyAt, c.burstBytes = arrivedAt, count
	}
	if count < len(buffer) && c.burstBytes <= maxUnheldBytes && stalls.EarliestQueuedArrival(now).Equal(now) {
		// A short read means that the kernel's receive buffer is empty, except just after a stall, when the kernel may
		// still be delivering older input.
		c.receiveBufferEmptyAt, c.burstBytes = now, 0
	}
	c.isInBurst.Store(c.burstBytes > maxUnheldBytes)
	if count == 0 {
		return err
	}
	c.isReadingOn = false
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session.addInput(count, now, arrivedAt)
	return nil // the next read returns the error again
}

// handleReadTimeout is called when nothing was received by the deadline, and reports whether the connection must
// therefore be closed.
func (c *connection) handleReadTimeout(now time.Time) (reason invariant.CloseReason, hasEnded bool) {
	c.mu.Lock()
	reason = invariant.CloseClientIdle
	if c.session.input.Len() > 0 {
		reason = invariant.CloseIncomplete
	}
	hasEnded = c.session.handleReadTimeout()
	messages := c.session.takeMessages()
	c.unlockAndNotify()
	c.forward(now, messages)
	if hasEnded {
		c.awaitIdle()
	}
	return reason, hasEnded
}
