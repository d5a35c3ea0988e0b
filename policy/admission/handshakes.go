package admission

import (
	"math"
	"time"
)

const (
	// unknownHandshakeShare is the fraction of the concurrent handshakes that unknown peers may have.
	unknownHandshakeShare = 0.75
	// slowHandshake is how long a handshake may take before its connection may be closed for another: several round
	// trips across a continent.
	slowHandshake = 300 * time.Millisecond
	// handshakeBurstSeconds is the capacity of the CPU time budget, as seconds of refill.
	handshakeBurstSeconds = 0.25
	// knownHandshakeOverdraft is how far known peers may overdraw the CPU time budget, as seconds of refill.
	knownHandshakeOverdraft = 1.0
)

// mayHandshake reports whether another handshake may begin: the CPU time for handshakes is not used up, and the number
// of handshakes is below its limit or a slow handshake is closed. The cost of a handshake is charged when it ends,
// because an unfinished handshake has cost next to nothing.
func (c *Controller) mayHandshake(peerReputation reputation) bool {
	if !c.hasHandshakeCPU(peerReputation) {
		return false
	}
	limit := c.settings.MaxHandshakes
	if peerReputation == unknown {
		limit = int(unknownHandshakeShare * float64(limit))
	}
	if c.settings.MaxHandshakes <= 0 || c.handshakeCount < limit {
		return true
	}
	return c.evictSlowHandshake()
}

// hasHandshakeCPU refills the CPU time budget and reports whether any is left for a peer of the given reputation.
func (c *Controller) hasHandshakeCPU(peerReputation reputation) bool {
	share := c.settings.HandshakeCPU
	if share <= 0 {
		return true
	}
	refill := share * (c.now - c.handshakeCPURefilledAt).Seconds()
	c.handshakeCPUSeconds = math.Min(share*handshakeBurstSeconds, c.handshakeCPUSeconds+refill)
	c.handshakeCPURefilledAt = c.now
	if c.handshakeCPUSeconds < -knownHandshakeOverdraft*share {
		return false
	}
	return peerReputation != unknown || c.handshakeCPUSeconds > 0
}

// evictSlowHandshake closes the connection with the longest-running handshake if that handshake is slow, and reports
// whether it has closed one.
func (c *Controller) evictSlowHandshake() bool {
	for index := c.newConnections.oldest; index != noIndex; index = c.connections[index].younger {
		conn := &c.connections[index]
		if conn.isHandshaking && !conn.isReserved && c.now-conn.idleSince >= slowHandshake {
			c.closeIdle(index)
			return true
		}
	}
	return false
}

// handleHandshakeDone charges the cost of a handshake and moves the connection to the peer of the client certificate,
// if there is one.
func (c *Controller) handleHandshakeDone(index int32, event *Event) {
	if conn := &c.connections[index]; conn.isHandshaking {
		conn.isHandshaking = false
		c.handshakeCount--
		c.Counts.Handshakes++
		c.handshakeCPUSeconds -= event.Elapsed.Seconds()
	}
	if event.Peer != (Peer{}) {
		c.reassign(index, event.Peer)
	}
}
