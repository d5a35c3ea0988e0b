package admission

import (
	"math"
	"time"
)

const (
	// unknownHandshakes is the part of the handshakes at once that unknown peers may have.
	unknownHandshakes = 0.75
	// slowHandshake is how long a handshake may take before it is closed for another: several round trips across a
	// continent.
	slowHandshake = 300 * time.Millisecond
	// handshakeBurstSeconds is how much CPU time may be saved up, as a part of a second's.
	handshakeBurstSeconds = 0.25
	// knownHandshakeOverdraft is how far known peers may overdraw the CPU time, in seconds of it.
	knownHandshakeOverdraft = 1.0
)

// mayHandshake says whether one more handshake may begin: there is a place, or a slow one is closed for it, and the
// CPU time for handshakes is not spent. What one costs is known when it is over: half a handshake costs next to
// nothing.
func (c *Controller) mayHandshake(who reputation) bool {
	if !c.hasHandshakeCPU(who) {
		return false
	}
	limit := c.settings.MaxHandshakes
	if who == unknown {
		limit = int(unknownHandshakes * float64(limit))
	}
	if c.settings.MaxHandshakes <= 0 || c.handshakeCount < limit {
		return true
	}
	return c.evictSlowHandshake()
}

// hasHandshakeCPU refills the CPU time for handshakes, and says whether any is left for a peer of that reputation.
func (c *Controller) hasHandshakeCPU(who reputation) bool {
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
	return who != unknown || c.handshakeCPUSeconds > 0
}

// evictSlowHandshake closes the connection whose handshake has taken longest, if that is too long.
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

// handleHandshakeDone charges a handshake, and accounts the connection to the certificate that was shown.
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
