package sharedstore

import (
	"time"

	"fennelarch/policy/routing"
)

const (
	// minLeaseTTL covers a round trip to a distant store, maxLeaseTTL the longest that a request is worth waiting for.
	minLeaseTTL, maxLeaseTTL = 50 * ms, 3 * time.Second
	minHolderWait            = 2 * ms
)

// acquireLease asks for the right to fill. It is not worthwhile where the source serves only what it has cached, where
// another router's fill would come too late, or where nothing can be stored.
func (c *Coordinator) acquireLease(op *operation) {
	switch {
	case op.fillState == fillFailed:
		c.failFill(op)
	case op.source == 0:
		c.complete(op, 0, routing.CacheMiss, routing.NoteSourceMiss, 0)
	case !c.canUseLease(op):
		op.state = stateFilling
		c.fill(op)
	default:
		c.countCommand(op.store)
		c.Counts.LeaseAttempts++
		c.emit(Action{Kind: ActionAcquireLease, Operation: op.id, TTL: c.leaseTTL()})
		c.setTimer(op, op.store.getTimeout(c.fillTime, op.objective-c.now))
	}
}

func (c *Coordinator) canUseLease(op *operation) bool {
	return c.settings.Lease && !op.onlyIfCached && c.maxWait(op) >= c.fillTime.upper() &&
		!op.store.refusesWrites && c.canSend(op.store, leaseCommands)
}

// leaseTTL is half as long again as a fill that is slower than nearly all: a slow holder mostly keeps the lease, and
// those that wait for a dead one find it free before they have to fill themselves.
func (c *Coordinator) leaseTTL() time.Duration {
	return min(max(3*c.fillTime.upper()/2, minLeaseTTL), maxLeaseTTL)
}

func (c *Coordinator) handleLeaseDone(op *operation, event *Event) {
	switch event.Reply {
	case ReplyOK:
		op.hasLease = true
		if op.state == stateAcquiringLease {
			c.input(op, inputLeaseAcquired)
		} else if op.fillState != fillInFlight {
			c.releaseLease(op) // it came too late to be of use
		}
	case ReplyLeaseHeld:
		c.input(op, inputLeaseHeld)
	default:
		c.input(op, inputStoreFailed)
	}
}

// waitForHolder gives the holder of the lease the time in which nearly all fills are done, then a quarter of a usual
// one again and again, as long as a fill of the operation's own would be in time after it.
func (c *Coordinator) waitForHolder(op *operation) {
	wait := c.fillTime.upper()
	if op.waitedForHolder {
		wait = c.fillTime.typical() / 4
	}
	wait = max(wait, minHolderWait)
	op.waitedForHolder = true
	c.Counts.FillWaits++
	if wait > c.maxWait(op) {
		op.state = stateFilling
		c.fill(op)
		return
	}
	c.setTimer(op, wait)
}

// releaseLease gives the lease back. A store that is draining is not asked any more: the lease expires.
func (c *Coordinator) releaseLease(op *operation) {
	if op.hasLease && c.isListedReady(op.store) {
		c.emit(Action{Kind: ActionReleaseLease, Operation: op.id})
		c.consumeBudget(op.store, 1)
	}
	op.hasLease = false
}
