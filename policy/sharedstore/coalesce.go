package sharedstore

import (
	"time"

	"fennelarch/policy/routing"
)

// joinSlack is how much sooner an operation's objective may be than that of the one it joins: the usual time of a fill
// varies by as much.
const joinSlack = 50 * ms

// join has an operation wait for another one of this router that is after the same copy.
func (c *Coordinator) join(op, leader *operation) {
	c.Counts.Coalesced++
	op.state = stateJoined
	op.leader, op.nextFollower = leader, leader.firstFollower
	leader.firstFollower = op
	c.setTimer(op, c.maxWait(op))
}

// leave takes an operation out of its leader's list.
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

// completeFollowers tells those that joined an operation of its end. A failure of its source is one of theirs too where
// they name the same source.
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
			c.complete(follower, 0, outcome, note, 0)
		default:
			c.input(follower, inputLeaderFailed)
		}
	}
}

// maxWaitBeyondFill bounds a wait past the usual time of a fill. Routing takes an attempt for overdue 150 ms past twice
// its prediction, hedges it and attributes the delay to its source; a fill begun after the wait must end before that.
const maxWaitBeyondFill = 100 * ms

// maxWait is how long an operation may wait for somebody else's fill: so long that a fill of its own would still meet
// the objective, and no longer than maxWaitBeyondFill past the usual time of a fill.
func (c *Coordinator) maxWait(op *operation) time.Duration {
	untilOwnFill := op.objective - c.now - c.fillTime.upper()
	untilOverdue := op.startedAt + c.fillTime.typical() + maxWaitBeyondFill - c.now
	return max(0, min(untilOwnFill, untilOverdue))
}
