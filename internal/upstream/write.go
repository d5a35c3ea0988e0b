package upstream

import (
	"net"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/invariant"
	"fennelarch/internal/system"
)

// idleChecksPerTimeout is how often within the idle timeout a connection is looked at.
const idleChecksPerTimeout = 4

// output is what the writer does next.
type output struct {
	isClosed bool // nothing more
	frames   []byte
	timeout  time.Duration // of writing them
	results  []engine.Message
}

// write writes until the connection is closed, and says why it is.
func (c *connection) write(socket net.Conn) invariant.CloseReason {
	idle := time.NewTicker(c.pool.limits.UpstreamIdleTimeout / idleChecksPerTimeout)
	defer idle.Stop()
	for {
		c.pool.monitor.Watch().Settle() // an abort of what waits here may have come while the process stood still
		now := time.Now()
		next := c.nextOutput(now)
		for _, result := range next.results {
			c.pool.post(now, result)
		}
		if next.isClosed {
			return invariant.CloseServerMoved // or for the reason for which it was closed before
		}
		if len(next.frames) > 0 {
			if err := c.writeFrames(socket, next, now); err != nil {
				return invariant.CloseServerWrite
			}
			continue
		}
		select {
		case <-c.wake:
		case <-idle.C:
			if c.markClosedIfIdle(c.pool.limits.UpstreamIdleTimeout) {
				return invariant.CloseIdle
			}
		}
	}
}

// nextOutput takes what is to be written next out of the session.
func (c *connection) nextOutput(now time.Time) (next output) {
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

// writeFrames writes, and accounts for what the system took.
func (c *connection) writeFrames(socket net.Conn, next output, now time.Time) error {
	_ = socket.SetWriteDeadline(now.Add(next.timeout))
	n, err := system.Write(socket, next.frames)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session.wrote(n, time.Now())
	c.advance(eventWriteFinished)
	c.lastUsed = now
	return err
}
