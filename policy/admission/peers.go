package admission

import (
	"math"
	"time"
)

// reputation is how much a peer is trusted.
type reputation uint8

const (
	unknown        reputation = iota
	recentlyServed            // several of the peer's requests were recently served in time
	allowlisted               // listed by the operator, or holding a certificate of the operator's authority
	reputationCount
)

// peerRecord is the state of a peer, kept while the peer has connections and for some time after.
type peerRecord struct {
	id            Peer
	connections   int
	reserved      int // those of connections that occupy reserved slots
	openRequests  int
	isAllowlisted bool

	score    float64 // requests served in time, with exponential decay
	scoredAt time.Duration

	connectionTokens float64 // number of new connections that the peer may open now
	tokensRefilledAt time.Duration

	links // position in idlePeers, if the peer has no connection
}

const (
	// recentlyServedScore is the score from which a peer counts as recentlyServed. A flooder that opens connections but
	// sends no requests scores nothing.
	recentlyServedScore = 5
	// maxScore limits a score to a minute of requests from an ordinary client.
	maxScore = 20
	// scoreHalfLife lets a client stay known during a break, but not over a weekend.
	scoreHalfLife = 30 * time.Minute
	// quotaViolationPenalty is subtracted from a peer's score when one of its connections is rejected for its quotas. A
	// flooder soon becomes unknown, while a client that reconnects once too often stays known.
	quotaViolationPenalty = 0.5
)

// findPeer returns the index of a peer's record, and creates the record if necessary.
func (c *Controller) findPeer(id Peer) int32 {
	if index, isRemembered := c.peerIndex[id]; isRemembered {
		return index
	}
	c.forgetPeers(c.settings.MaxRememberedPeers - 1)
	index := c.allocatePeer()
	c.peers[index] = peerRecord{
		id: id, connectionTokens: float64(c.settings.NewPerPeerBurst), tokensRefilledAt: c.now, scoredAt: c.now,
		isAllowlisted: c.settings.allowlists(id),
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

// addPeerConnection counts a connection for a peer.
func (c *Controller) addPeerConnection(index int32) {
	peer := &c.peers[index]
	peer.connections++
	if peer.connections == 1 {
		c.idlePeers.remove(index, c.peerLinks)
	}
}

// removePeerConnection stops counting a connection for a peer.
func (c *Controller) removePeerConnection(index int32) {
	peer := &c.peers[index]
	peer.connections--
	if peer.connections == 0 {
		c.idlePeers.add(index, c.peerLinks)
		c.forgetPeers(c.settings.MaxRememberedPeers)
	}
}

// forgetPeers deletes records of peers without a connection until at most the given number remain, starting with the
// peers whose last connection closed longest ago.
func (c *Controller) forgetPeers(remaining int) {
	for c.idlePeers.length > max(0, remaining) {
		index := c.idlePeers.oldest
		c.idlePeers.remove(index, c.peerLinks)
		delete(c.peerIndex, c.peers[index].id)
		c.freePeers = append(c.freePeers, index)
	}
}

// peersWithConnections returns the number of peers that have a connection.
func (c *Controller) peersWithConnections() int { return len(c.peerIndex) - c.idlePeers.length }

// decayedScore updates a peer's score to the current time and returns it.
func (c *Controller) decayedScore(peer *peerRecord) float64 {
	if elapsed := c.now - peer.scoredAt; elapsed > 0 {
		peer.score *= math.Exp2(-float64(elapsed) / float64(scoreHalfLife))
		peer.scoredAt = c.now
	}
	return peer.score
}

// penalize lowers the score of a peer that has exceeded its quotas.
func (c *Controller) penalize(peer *peerRecord) {
	peer.score = math.Max(0, peer.score-quotaViolationPenalty)
}

// reward raises the score of a peer for a request that was served in time.
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

// exceedsConnectionQuota reports whether a peer has more connections than the given fraction of its quota.
func (c *Controller) exceedsConnectionQuota(peer *peerRecord, fraction float64) bool {
	quota := c.settings.ConnectionsPerPeer
	return quota > 0 && peer.connections > max(1, int(float64(quota)*fraction))
}

// takeConnectionToken takes a token from a peer's bucket for a new connection and reports whether there was one.
func (c *Controller) takeConnectionToken(peer *peerRecord, fraction float64) bool {
	if c.settings.NewPerPeerPerSecond <= 0 {
		return true
	}
	burst := math.Max(1, float64(c.settings.NewPerPeerBurst)*fraction)
	refill := c.settings.NewPerPeerPerSecond * fraction * max(0, c.now-peer.tokensRefilledAt).Seconds()
	peer.connectionTokens = math.Min(burst, peer.connectionTokens+refill)
	peer.tokensRefilledAt = c.now
	if peer.connectionTokens < 1 {
		return false
	}
	peer.connectionTokens--
	return true
}
