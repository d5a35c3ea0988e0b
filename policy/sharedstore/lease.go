package sharedstore

import (
	"time"

	"fennelarch/policy/routing"
)

const (
	// minLeaseTTL and maxLeaseTTL bound the time after which a lease expires. The minimum covers a round trip to a distant
	// store, so that no lease expires before its holder knows of the lease. The maximum is the longest wait that is
	// worthwhile for a request; with a higher one, the lease of a crashed holder would delay requests for nothing.
	minLeaseTTL, maxLeaseTTL = 50 * ms, 3 * time.Second
	// minHolderWait is the shortest wait for the lease holder's fill. With a shorter one, waiting operations would repeat
	// their gets too often.
	minHolderWait = 2 * ms
)

// acquireLease asks the store for the right to fill. A lease is not worthwhile if the source serves only what it has
// cached, if another router's fill would come too late, or if nothing can be stored.
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
	return c.settings.UseLease && !op.onlyIfCached && c.maxWait(op) >= c.fillTime.upper() &&
		!op.store.refusesWrites && c.canSend(op.store, leaseCommands)
}

// leaseTTL returns one and a half times the duration of a fill that is slower than nearly all. A slow holder then
// usually keeps the lease, and operations that wait for a crashed holder find the lease free before they must fill
// without one.
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
			c.releaseLease(op) // the lease came too late to be of use
		}
	case ReplyLeaseHeld:
		c.input(op, inputLeaseHeld)
	default:
		c.input(op, inputStoreFailed)
	}
}

// waitForHolder waits for the lease holder's fill: first for the time in which nearly all fills end, then repeatedly
// for a quarter of the usual fill time, as long as the operation's own fill would still be in time after the wait.
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

// releaseLease releases the operation's lease. A store that is draining receives no more commands, so there the lease
// expires.
func (c *Coordinator) releaseLease(op *operation) {
	if op.hasLease && c.isListedReady(op.store) {
		c.emit(Action{Kind: ActionReleaseLease, Operation: op.id})
		c.consumeBudget(op.store, 1)
	}
	op.hasLease = false
}
