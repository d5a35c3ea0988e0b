package admission

import (
	"math"
	"time"
)

const (
	// maxRejectionsInRow is the number of consecutive rejected requests after which reading from a connection is paused,
	// so that a client that ignores the time to retry after costs no more than one that respects it. Under overload,
	// reading is paused after the first rejection.
	maxRejectionsInRow = 8
	// maxTransitTime bounds how long a message can be in transit. A client that learns that its connection is closed
	// sends again elsewhere what it sent within this time before the close.
	maxTransitTime = 50 * time.Millisecond
	// baseRetryAfter is the basis of the time to retry after, which grows with the mode and varies between clients.
	baseRetryAfter = 250 * time.Millisecond
)

const (
	// maxQueueDelay is how long an event may wait for the engine before the request limit of unknown peers is lowered:
	// several times the delay on a busy day, and little compared to a latency objective.
	maxQueueDelay = 3 * time.Millisecond
	// limitAdjustInterval is the interval at which the request limit of unknown peers is adjusted to the load. The limit
	// falls within a fifth of a second and takes some seconds to recover, so that a flood is not admitted again at once.
	limitAdjustInterval = 20 * time.Millisecond
	limitDecrease       = 0.8
	limitIncrease       = 1.01
	// minRequestLimit admits a few requests even under overload, which show when the engine has caught up.
	minRequestLimit = 8
)

// handleRequest admits or rejects a request. The memory of an admitted one is held until EventRequestReleased.
func (c *Controller) handleRequest(index int32, queueDelay time.Duration) {
	c.adjustRequestLimit(queueDelay)
	conn := &c.connections[index]
	peer := &c.peers[conn.peerIndex]
	peerReputation := c.reputation(peer)
	if !c.hasRequestQuota(peer, peerReputation) || !c.holdRequest(conn) {
		c.rejectRequest(conn)
		return
	}
	conn.rejectionsInRow = 0
	c.transition(index, signalBusy)
	conn.openRequests++
	peer.openRequests++
	c.openRequests++
	if peerReputation > unknown {
		conn.openKnownRequests++
		c.openKnownRequests++
	}
	c.emit(Action{Kind: Accept, Conn: conn.id})
}

func (c *Controller) rejectRequest(conn *connection) {
	c.Counts.RequestsRejected++
	wait := c.retryAfter(conn.id + ConnID(c.Counts.RequestsRejected))
	c.emit(Action{Kind: Reject, Conn: conn.id, Wait: wait})
	conn.rejectionsInRow++
	isOverloaded := c.mode >= ModeFull || c.unknownRequestLimit < float64(c.settings.MaxRequests)
	isOverQuota := conn.idleMessages.take(1, c.now)
	if conn.rejectionsInRow >= maxRejectionsInRow || isOverQuota || isOverloaded {
		conn.rejectionsInRow = 0
		c.pause(conn)
	}
}

// handleRequestEnd subtracts a request from the quotas. A request that was served in time raises the peer's score.
func (c *Controller) handleRequestEnd(index int32, event *Event) {
	conn := &c.connections[index]
	peer := &c.peers[conn.peerIndex]
	if conn.openRequests > 0 {
		conn.openRequests--
		peer.openRequests--
		c.openRequests--
		if conn.openKnownRequests > 0 {
			conn.openKnownRequests--
			c.openKnownRequests--
		}
	}
	if event.Rejected && c.reputation(peer) > unknown {
		c.knownRequestRejected = true
	}
	if event.InTime {
		conn.hasBeenServed = true
		c.reward(peer)
	}
}

// hasRequestQuota reports whether a peer may open another request. Known peers together may use the whole limit on open
// requests. Unknown peers together have a limit of their own, which is lowered under load. Once half of this limit is
// used, each of them is held to an equal share.
func (c *Controller) hasRequestQuota(peer *peerRecord, peerReputation reputation) bool {
	switch {
	case c.settings.RequestsPerPeer > 0 && peer.openRequests >= c.settings.RequestsPerPeer:
		return false
	case peerReputation == unknown && c.mode == ModeShedding:
		return false // requests that are already open have priority
	case c.settings.MaxRequests <= 0:
		return true
	case peerReputation > unknown:
		return c.openKnownRequests < c.settings.MaxRequests
	}
	openUnknownRequests := float64(c.openRequests - c.openKnownRequests)
	share := c.unknownRequestLimit / float64(max(1, c.peersWithConnections())) * quotaFractions[c.mode][peerReputation]
	if openUnknownRequests >= c.unknownRequestLimit {
		return false
	}
	return openUnknownRequests < c.unknownRequestLimit/2 || float64(peer.openRequests) < max(1, share)
}

// adjustRequestLimit lowers the request limit of unknown peers if events wait too long for the engine or if the routing
// policy has rejected a known peer's request, and raises it otherwise. Rejections count because requests of unknown
// peers may overload upstream connections and the origin before they overload the CPU.
func (c *Controller) adjustRequestLimit(queueDelay time.Duration) {
	if c.settings.MaxRequests <= 0 || c.now-c.limitAdjustedAt < limitAdjustInterval {
		return
	}
	c.limitAdjustedAt = c.now
	if queueDelay > maxQueueDelay || c.knownRequestRejected {
		c.knownRequestRejected = false
		c.unknownRequestLimit = math.Max(minRequestLimit, c.unknownRequestLimit*limitDecrease)
	} else {
		c.unknownRequestLimit = math.Min(float64(c.settings.MaxRequests), c.unknownRequestLimit*limitIncrease)
	}
}

// retryAfter returns how long a rejected client is to wait before it retries. The time grows with the mode and varies
// between connections, so that clients do not all return at the same moment.
func (c *Controller) retryAfter(id ConnID) time.Duration {
	const goldenRatio, hashBits = 0x9e3779b97f4a7c15, 24
	if !c.settings.SendRetryAfter {
		return 0
	}
	spread := float64(uint64(id)*goldenRatio>>(64-hashBits)) / (1 << hashBits)
	wait := time.Duration(float64(baseRetryAfter) * (1 + float64(c.mode)) * (0.5 + spread))
	if c.settings.MaxRetryAfter > 0 {
		wait = min(wait, c.settings.MaxRetryAfter)
	}
	return wait
}
