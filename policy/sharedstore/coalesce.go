package sharedstore

import (
	"time"

	"fennelarch/policy/routing"
)

// joinSlack is how much later the objective of a leader may be than that of an operation that joins it. The usual time
// of a fill varies by as much; with more slack, the leader's copy could come too late for the joining operation.
const joinSlack = 50 * ms

// join has an operation wait for its leader, an operation of this router that requests the same copy.
func (c *Coordinator) join(op, leader *operation) {
	c.Counts.Coalesced++
	op.state = stateJoined
	op.leader, op.nextFollower = leader, leader.firstFollower
	leader.firstFollower = op
	c.setTimer(op, c.maxWait(op))
}

// leave removes an operation from its leader's list, if it has a leader.
func (c *Coordinator) leave(op *operation) {
	if op.leader == nil {
		return
	}
	for link := &op.leader.firstFollower; *link != nil; link = &(*link).nextFollower {
		if *link == op {
			*link = op.nextFollower
			break
		}
	}
	op.leader, op.nextFollower = nil, nil
}

// completeFollowers tells the followers of an operation how the operation ended. If its source failed, the followers
// with the same source fail too, but their own requests have not run.
func (c *Coordinator) completeFollowers(leader *operation, outcome routing.Outcome, note routing.Note) {
	if c.leaders[leader.key] == leader {
		delete(c.leaders, leader.key)
	}
	isSourceFailure := outcome == routing.CacheMiss || outcome == routing.Failed
	for follower := leader.firstFollower; follower != nil; follower = leader.firstFollower {
		c.leave(follower)
		hasSameSource := follower.source == leader.source && follower.onlyIfCached == leader.onlyIfCached
		switch {
		case outcome == routing.Succeeded && follower.accepts(leader.generatedAt):
			c.sharedFrom = leader.id
			follower.generatedAt = leader.generatedAt
			c.input(follower, inputCopyShared)
		case isSourceFailure && hasSameSource:
			c.complete(follower, 0, routing.CacheMiss, note, 0)
		default:
			c.input(follower, inputLeaderFailed)
		}
	}
}

// maxWaitBeyondFill limits how far a wait may exceed the usual time of a fill. Routing considers an attempt overdue
// 150 ms past twice its predicted time, hedges the attempt and attributes the delay to its source. A fill that begins
// after the wait must end before then.
const maxWaitBeyondFill = 100 * ms

// maxWait returns how long an operation may wait for another fill. The wait ends in time for the operation's own fill
// to meet the objective, and at most maxWaitBeyondFill past the usual time of a fill.
func (c *Coordinator) maxWait(op *operation) time.Duration {
	untilOwnFill := op.objective - c.now - c.fillTime.upper()
	untilOverdue := op.startedAt + c.fillTime.typical() + maxWaitBeyondFill - c.now
	return max(0, min(untilOwnFill, untilOverdue))
}
