package upstream

import (
	"net"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/invariant"
	"fennelarch/internal/system"
)

// input is the outcome of one read.
type input struct {
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
		came := c.received(n, now)
		if came.becameIdle && came.err == nil && !came.isRetired {
			c.pool.reassignToIdle(c)
		}
		for _, result := range came.results {
			c.pool.post(now, result)
		}
		switch {
		case came.err != nil:
			reason = invariant.CloseServerMalformed
			return
		case err != nil:
			return
		case came.isRetired:
			reason = invariant.CloseServerMoved
			return
		}
	}
}

// received passes the bytes read to the session.
func (c *connection) received(n int, now time.Time) (came input) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.session.responses
	came.err = c.session.received(n, now)
	c.lastUsed = now
	if c.session.responses > before {
		c.lastResponse = now
		came.becameIdle = c.session.pending() == 0
	}
	came.isRetired = came.becameIdle && c.state.isRetired()
	came.results = c.session.takeResults()
	return came
}
