package upstream

import (
	"net"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/invariant"
	"fennelarch/internal/system"
)

// readResult is the outcome of one read.
type readResult struct {
	err        error // the bytes read are not valid responses
	results    []engine.Message
	becameIdle bool // a response has arrived and nothing is pending any more
	isRetired  bool // the connection has become idle and is retired
}

// read reads until the connection is closed.
func (c *connection) read(socket net.Conn) {
	reason := invariant.CloseServerEnded
	defer func() { c.close(reason) }()
	for {
		c.mu.Lock()
		buffer := c.session.readBuffer()
		c.mu.Unlock()
		n, err := system.Read(socket, buffer)
		now := time.Now()
		input := c.handleRead(n, now)
		if input.becameIdle && input.err == nil && !input.isRetired {
			c.pool.reassignToIdle(c)
		}
		for _, result := range input.results {
			c.pool.post(now, result)
		}
		switch {
		case input.err != nil:
			reason = invariant.CloseServerMalformed
			return
		case err != nil:
			return
		case input.isRetired:
			reason = invariant.CloseServerMoved
			return
		}
	}
}

// handleRead passes the bytes read to the session.
func (c *connection) handleRead(n int, now time.Time) (input readResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.session.responses
	input.err = c.session.handleRead(n, now)
	c.lastUsed = now
	if c.session.responses > before {
		c.lastResponse = now
		input.becameIdle = c.session.pending() == 0
	}
	input.isRetired = input.becameIdle && c.state.isRetired()
	input.results = c.session.takeResults()
	return input
}
