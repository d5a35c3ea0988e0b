package admission

import (
	"math"
	"time"
)

// firstMessageDelay is how long a connection that has sent nothing yet is taken to be about to: several times the way
// of a client's first message. Otherwise, among many that come at once, each would be closed for the next one before
// its message is there. It is spared for one that has been idle for longer than that, so that connections that never
// send anything do not push out those that just did.
const firstMessageDelay = 100 * time.Millisecond

// closeIdle has a connection closed for the sake of others.
func (c *Controller) closeIdle(index int32) {
	c.Counts.ClosedIdle++
	c.emit(Action{Kind: CloseIdle, Conn: c.connections[index].id})
	c.remove(index)
}

// mayClose says whether an idle connection may be closed for a peer of that reputation: none on a reserved place,
// none of a known peer for an unknown one, and one that may have something unread only where descriptors have run out
// (for an allowlisted peer).
func (c *Controller) mayClose(conn *connection, beneficiary reputation) bool {
	if conn.isReserved || beneficiary < allowlisted && c.now < conn.mayHaveUnreadUntil {
		return false
	}
	return beneficiary > unknown || c.reputation(&c.peers[conn.peer]) == unknown
}

// oldestClosable returns the connection of a list that was added first of those that may be closed.
func (c *Controller) oldestClosable(list *idleList, beneficiary reputation) int32 {
	index := list.oldest
	for index != noIndex && !c.mayClose(&c.connections[index], beneficiary) {
		index = c.connections[index].younger
	}
	return index
}

// evictIdle closes the connection that has been idle longest, and says whether there was one. One that has sent
// nothing yet goes before those that have, unless it has only just come.
func (c *Controller) evictIdle(beneficiary reputation) bool {
	victim, longest := noIndex, time.Duration(math.MaxInt64)
	if index := c.oldestClosable(&c.idleConnections, beneficiary); index != noIndex {
		victim, longest = index, c.connections[index].idleSince
	}
	if index := c.oldestClosable(&c.newConnections, beneficiary); index != noIndex {
		since := c.connections[index].idleSince
		if c.now-since < firstMessageDelay {
			since = c.now - firstMessageDelay // one that has sent messages and was idle for longer goes first
		} else {
			since -= c.settings.FirstRequestGrace
		}
		if since < longest {
			victim = index
		}
	}
	if victim == noIndex {
		return false
	}
	if beneficiary == unknown && c.now-c.connections[victim].idleSince < c.settings.MinIdle {
		return false
	}
	c.closeIdle(victim)
	return true
}

// handleIdle closes a connection that becomes idle where there are more than there may be.
func (c *Controller) handleIdle(index int32) {
	if !c.transition(index, signalIdle) || c.connectionCount <= c.maxConnections() {
		return
	}
	conn := &c.connections[index]
	mayHaveUnread := c.now < conn.mayHaveUnreadUntil && c.mode != ModeShedding
	if !conn.isReserved && !mayHaveUnread && c.reputation(&c.peers[conn.peer]) == unknown {
		c.closeIdle(index)
	}
}
