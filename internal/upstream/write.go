package upstream

import (
	"net"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/invariant"
	"fennelarch/internal/system"
)

// idleChecksPerTimeout is how often a connection is checked for idleness during the idle timeout.
const idleChecksPerTimeout = 4

// writeStep is the next step of the writer.
type writeStep struct {
	isClosed bool // stop writing: the connection is closed, or retired with nothing pending
	frames   []byte
	timeout  time.Duration // for writing the frames
	results  []engine.Message
}

// write writes until the connection is closed, and returns the reason.
func (c *connection) write(socket net.Conn) invariant.CloseReason {
	idle := time.NewTicker(c.pool.limits.UpstreamIdleTimeout / idleChecksPerTimeout)
	defer idle.Stop()
	for {
		c.pool.monitor.StallDetector().Settle() // an abort of a waiting attempt may have arrived during a stall
		now := time.Now()
		next := c.nextOutput(now)
		for _, result := range next.results {
			c.pool.post(now, result)
		}
		if next.isClosed {
			return invariant.CloseServerMoved // ignored if close was called before with another reason
		}
		if len(next.frames) > 0 {
			if err := c.writeFrames(socket, next, now); err != nil {
				return invariant.CloseServerWriteFailed
			}
			continue
		}
		select {
		case <-c.wake:
		case <-idle.C:
			if c.markClosedIfIdle(c.pool.limits.UpstreamIdleTimeout) {
				return invariant.CloseServerIdle
			}
		}
	}
}

// nextOutput gets the next step of the writer from the session.
func (c *connection) nextOutput(now time.Time) (next writeStep) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next.isClosed = c.state.isClosed() || c.state.isRetired() && c.session.pending() == 0
	if !next.isClosed {
		next.frames = c.session.nextOutput(now)
	}
	next.timeout = c.session.writeTimeout()
	if len(next.frames) > 0 {
		c.advance(eventWriteStarted)
	}
	next.results = c.session.takeResults()
	return next
}

// writeFrames writes frames to the socket and records how many bytes the system accepted.
func (c *connection) writeFrames(socket net.Conn, next writeStep, now time.Time) error {
	_ = socket.SetWriteDeadline(now.Add(next.timeout))
	n, err := system.Write(socket, next.frames)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session.recordWritten(n, time.Now())
	c.advance(eventWriteFinished)
	c.lastUsed = now
	return err
}
