package admission

import (
	"math"
	"time"
)

// firstMessageDelay is how long a new connection is expected to take to send its first message: several times the
// network delay. During this time, a connection that has sent messages and has been idle for longer is closed first;
// otherwise, in a burst of arrivals, each connection would be closed for the next before its first message arrives.
// After this time, the new connection is closed first, so that connections that never send anything do not displace
// those that have just sent a message.
const firstMessageDelay = 100 * time.Millisecond

// closeIdle closes a connection to make room for others.
func (c *Controller) closeIdle(index int32) {
	c.Counts.ClosedIdle++
	c.emit(Action{Kind: CloseIdle, Conn: c.connections[index].id})
	c.removeConnection(index)
}

// mayEvict reports whether an idle connection may be closed for a peer of the given reputation. A connection in a
// reserved slot is never closed, a known peer's connection is not closed for an unknown peer, and a connection that may
// have unread input is closed only for an allowlisted peer or because descriptors have run out.
func (c *Controller) mayEvict(conn *connection, beneficiary reputation) bool {
	if conn.isReserved || beneficiary < allowlisted && c.now < conn.mayHaveUnreadUntil {
		return false
	}
	return beneficiary > unknown || c.reputation(&c.peers[conn.peerIndex]) == unknown
}

// oldestEvictable returns the oldest connection of a list that may be closed, or noIndex.
func (c *Controller) oldestEvictable(list *idleList, beneficiary reputation) int32 {
	index := list.oldest
	for index != noIndex && !c.mayEvict(&c.connections[index], beneficiary) {
		index = c.connections[index].younger
	}
	return index
}

// evictIdle closes the connection that has been idle longest and reports whether it has closed one. Connections that
// have sent nothing are preferred, unless they have only just arrived.
func (c *Controller) evictIdle(beneficiary reputation) bool {
	victim, longest := noIndex, time.Duration(math.MaxInt64)
	if index := c.oldestEvictable(&c.idleConnections, beneficiary); index != noIndex {
		victim, longest = index, c.connections[index].idleSince
	}
	if index := c.oldestEvictable(&c.newConnections, beneficiary); index != noIndex {
		since := c.connections[index].idleSince
		if c.now-since < firstMessageDelay {
			since = c.now - firstMessageDelay // an idle connection that has sent messages is closed first if idle longer
		} else {
			since -= c.settings.NoMessageIdlePenalty
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

// handleIdle processes EventIdle. It closes the connection if there are more connections than the limit allows.
func (c *Controller) handleIdle(index int32) {
	if !c.transition(index, signalIdle) || c.connectionCount <= c.maxConnections() {
		return
	}
	conn := &c.connections[index]
	mayHaveUnread := c.now < conn.mayHaveUnreadUntil && c.mode != ModeShedding
	if !conn.isReserved && !mayHaveUnread && c.reputation(&c.peers[conn.peerIndex]) == unknown {
		c.closeIdle(index)
	}
}
