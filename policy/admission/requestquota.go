package admission

import (
	"math"
	"time"
)

const (
	// maxRejectionsInRow is after how many rejected requests in a row a connection is not read for a while: a client
	// that does not heed Retry-After costs no more than one that does. Under overload it is not read after the first
	// one.
	maxRejectionsInRow = 8
	// crossingTime is how long before its connection ends a client may have sent something that it then sends again
	// elsewhere.
	crossingTime = 50 * time.Millisecond
	// baseRetryAfter is the shortest time to retry after; it grows with the mode, and is spread over the clients.
	baseRetryAfter = 250 * time.Millisecond
)

const (
	// maxQueueDelay is how long an event may wait for the engine before unknown peers get fewer requests: several times
	// the wait of a busy day, and little beside a latency objective.
	maxQueueDelay = 3 * time.Millisecond
	// The request limit of unknown peers follows the load at this interval: down in a fifth of a second, back in some
	// seconds, so that a flood is not let in again at once.
	limitAdjustInterval = 20 * time.Millisecond
	limitDecrease       = 0.8
	limitIncrease       = 1.01
	// minRequestLimit keeps some requests coming, so that it shows when the engine has caught up.
	minRequestLimit = 8
)

// handleRequest admits a request or rejects it, and pauses a connection that keeps asking.
func (c *Controller) handleRequest(index int32, queueDelay time.Duration) {
	c.adjustRequestLimit(queueDelay)
	conn := &c.connections[index]
	peer := &c.peers[conn.peer]
	who := c.reputation(peer)
	if !c.hasRequestQuota(peer, who) {
		c.rejectRequest(conn)
		return
	}
	conn.rejectionsInRow = 0
	c.transition(index, signalBusy)
	conn.openRequests++
	peer.openRequests++
	c.openRequests++
	if who > unknown {
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
	if conn.rejectionsInRow >= maxRejectionsInRow || isOverloaded {
		conn.rejectionsInRow = 0
		conn.mayHaveUnreadUntil = c.now + baseRetryAfter + crossingTime
		c.emit(Action{Kind: Pause, Conn: conn.id, Wait: baseRetryAfter})
	}
}

// handleRequestEnd takes a request off the quotas; one that was served in time counts for its peer.
func (c *Controller) handleRequestEnd(index int32, event *Event) {
	conn := &c.connections[index]
	peer := &c.peers[conn.peer]
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
		c.reward(peer)
	}
}

// hasRequestQuota says whether a peer may open one more request. Known peers have all that may be open to themselves;
// unknown ones have no more than their limit, and each its share once half of that is taken.
func (c *Controller) hasRequestQuota(peer *peerRecord, who reputation) bool {
	switch {
	case c.settings.RequestsPerPeer > 0 && peer.openRequests >= c.settings.RequestsPerPeer:
		return false
	case who == unknown && c.mode == ModeShedding:
		return false // requests that are open already come first
	case c.settings.MaxRequests <= 0:
		return true
	case who > unknown:
		return c.openKnownRequests < c.settings.MaxRequests
	}
	ofUnknown := float64(c.openRequests - c.openKnownRequests)
	share := c.unknownRequestLimit / float64(max(1, c.peersWithConnections())) * quotaFractions[c.mode][who]
	if ofUnknown >= c.unknownRequestLimit {
		return false
	}
	return ofUnknown < c.unknownRequestLimit/2 || float64(peer.openRequests) < max(1, share)
}

// adjustRequestLimit has the request limit of unknown peers follow how long events wait for the engine, and whether a
// known peer's request was rejected: what unknown peers ask for may fill connections and the origin before it fills
// the core.
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

// retryAfter is when a rejected client is to come back: the later the higher the mode, and not all at the same
// moment.
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
