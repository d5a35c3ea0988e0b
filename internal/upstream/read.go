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
		n, err := c.readInto(socket, buffer)
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

// readInto reads into a buffer. If that is empty, there is no memory for the body of a response, and it only waits.
func (c *connection) readInto(socket net.Conn, buffer []byte) (int, error) {
	if len(buffer) > 0 {
		return system.Read(socket, buffer)
	}
	time.Sleep(c.pool.limits.RecheckInterval)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.isClosed() {
		return 0, net.ErrClosed
	}
	return 0, nil
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
