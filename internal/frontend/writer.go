package frontend

import (
	"time"

	"fennelarch/internal/system"
)

// writeLoop writes responses until the session is closed. A failed write closes the session and the connection.
func (c *connection) writeLoop() {
	for {
		output, isClosed := c.awaitOutput()
		if isClosed {
			return
		}
		_ = c.SetWriteDeadline(time.Now().Add(c.server.shared.limits.WriteStallTimeout))
		count, err := system.Write(c.Conn, output)
		c.mu.Lock()
		c.session.advanceOutput(count)
		if err != nil {
			c.session.close()
		}
		c.unlockAndNotify()
		if err != nil {
			_ = c.Conn.Close()
			return
		}
	}
}

// awaitOutput waits until there is output to write or the session is closed.
func (c *connection) awaitOutput() (output []byte, isClosed bool) {
	c.mu.Lock()
	defer c.unlockAndNotify()
	output = c.session.nextOutput()
	for len(output) == 0 && !c.session.state.isClosed() {
		c.sessionChanged.Wait()
		output = c.session.nextOutput()
	}
	return output, c.session.state.isClosed()
}
