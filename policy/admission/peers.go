package admission

import (
	"math"
	"time"
)

// reputation is how much a peer is trusted.
type reputation uint8

const (
	unknown        reputation = iota
	recentlyServed            // several of its requests were served in time, not long ago
	allowlisted               // by the operator, or by a certificate of the operator's authority
	reputationCount
)

// peerRecord is what is known of a peer, while it has connections and for some time after.
type peerRecord struct {
	id            Peer
	connections   int
	reserved      int // of them on places reserved for known peers
	openRequests  int
	isAllowlisted bool

	score    float64 // requests served in time, decaying
	scoredAt time.Duration

	newConnections float64 // tokens: new connections that it may open now
	refilledAt     time.Duration

	links // among the peers without a connection
}

const (
	// recentlyServedScore is how many requests served in time make a peer known. A flooder that opens connections and
	// asks for nothing has none.
	recentlyServedScore = 5
	// maxScore is a minute's work of one ordinary client.
	maxScore = 20
	// scoreHalfLife has a client stay known over a break, and not over a weekend.
	scoreHalfLife = 30 * time.Minute
	// quotaViolationPenalty is what a connection rejected for the peer's own quotas costs its score: a flooder is
	// unknown soon, and a client that reconnects once too often stays known.
	quotaViolationPenalty = 0.5
)

// findPeer returns the index of a peer's record, which is created if there is none.
func (c *Controller) findPeer(id Peer) int32 {
	if index, isRemembered := c.peerIndex[id]; isRemembered {
		return index
	}
	c.forgetPeers(c.settings.MaxRememberedPeers - 1)
	index := c.allocatePeer()
	c.peers[index] = peerRecord{
		id: id, newConnections: float64(c.settings.Burst), refilledAt: c.now, scoredAt: c.now,
		isAllowlisted: c.settings.IsKnown != nil && c.settings.IsKnown(id),
	}
	c.peerIndex[id] = index
	c.idlePeers.add(index, c.peerLinks)
	return index
}

func (c *Controller) allocatePeer() int32 {
	if last := len(c.freePeers) - 1; last >= 0 {
		index := c.freePeers[last]
		c.freePeers = c.freePeers[:last]
		return index
	}
	c.peers = append(c.peers, peerRecord{})
	return int32(len(c.peers) - 1)
}

func (c *Controller) peerLinks(index int32) *links { return &c.peers[index].links }

// attach accounts a connection to a peer.
func (c *Controller) attach(index int32) {
	peer := &c.peers[index]
	peer.connections++
	if peer.connections == 1 {
		c.idlePeers.remove(index, c.peerLinks)
	}
}

// detach takes a connection off a peer.
func (c *Controller) detach(index int32) {
	peer := &c.peers[index]
	peer.connections--
	if peer.connections == 0 {
		c.idlePeers.add(index, c.peerLinks)
		c.forgetPeers(c.settings.MaxRememberedPeers)
	}
}

// forgetPeers drops the peers whose last connection closed longest ago, until only that many without a connection are
// left.
func (c *Controller) forgetPeers(remaining int) {
	for c.idlePeers.length > max(0, remaining) {
		index := c.idlePeers.oldest
		c.idlePeers.remove(index, c.peerLinks)
		delete(c.peerIndex, c.peers[index].id)
		c.freePeers = append(c.freePeers, index)
	}
}

// peersWithConnections is how many peers have a connection.
func (c *Controller) peersWithConnections() int { return len(c.peerIndex) - c.idlePeers.length }

// decayedScore brings a peer's score to this moment.
func (c *Controller) decayedScore(peer *peerRecord) float64 {
	if elapsed := c.now - peer.scoredAt; elapsed > 0 {
		peer.score *= math.Exp2(-float64(elapsed) / float64(scoreHalfLife))
		peer.scoredAt = c.now
	}
	return peer.score
}

// penalize lowers the score of a peer that went beyond its quotas.
func (c *Controller) penalize(peer *peerRecord) {
	peer.score = math.Max(0, peer.score-quotaViolationPenalty)
}

// reward raises the score of a peer one of whose requests was served in time.
func (c *Controller) reward(peer *peerRecord) {
	peer.score = math.Min(maxScore, c.decayedScore(peer)+1)
}

func (c *Controller) reputation(peer *peerRecord) reputation {
	switch {
	case peer.isAllowlisted:
		return allowlisted
	case c.decayedScore(peer) >= recentlyServedScore:
		return recentlyServed
	}
	return unknown
}

// exceedsConnectionQuota says whether a peer has more connections than this part of the quota.
func (c *Controller) exceedsConnectionQuota(peer *peerRecord, fraction float64) bool {
	quota := c.settings.ConnectionsPerPeer
	return quota > 0 && peer.connections > max(1, int(float64(quota)*fraction))
}

// consumeNewConnection takes a new connection out of a peer's token bucket, and says whether there was a token.
func (c *Controller) consumeNewConnection(peer *peerRecord, fraction float64) bool {
	if c.settings.NewPerPeerPerSecond <= 0 {
		return true
	}
	burst := math.Max(1, float64(c.settings.Burst)*fraction)
	refill := c.settings.NewPerPeerPerSecond * fraction * max(0, c.now-peer.refilledAt).Seconds()
	peer.newConnections = math.Min(burst, peer.newConnections+refill)
	peer.refilledAt = c.now
	if peer.newConnections < 1 {
		return false
	}
	peer.newConnections--
	return true
}
