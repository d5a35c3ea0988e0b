package admission

const (
	// sharedMemoryParts is the number of parts into which the memory for request bodies is divided. Any request may use
	// all but two of them.
	sharedMemoryParts = 8
	// firstBodyParts of them are left for connections that hold no body, so that connections with many requests leave
	// memory to the others.
	firstBodyParts = 1
	// servedParts of them are left for those of these connections that were served before, so that clients that send
	// what no server can use leave memory to the others.
	servedParts = 1
	// fairShareFactor is how many times the memory that is left a connection may hold. A single connection may so hold
	// four fifths of the memory, and of many each an equal part.
	fairShareFactor = 4
)

// handleBody admits or rejects the body of a request, whose memory is held until EventBodyReleased.
func (c *Controller) handleBody(index int32, bytes int64) {
	conn := &c.connections[index]
	if !c.hasBodyMemory(conn, bytes) {
		c.rejectRequest(conn)
		return
	}
	conn.bodyBytes += bytes
	c.bodyBytes += bytes
	c.emit(Action{Kind: Accept, Conn: conn.id})
}

// handleBodyReleased gives back the memory of a body. Its connection may have been closed long before.
func (c *Controller) handleBodyReleased(event *Event) {
	c.bodyBytes -= event.Bytes
	if index, isOpen := c.connectionIndex[event.Conn]; isOpen {
		c.connections[index].bodyBytes -= event.Bytes
	}
}

// BodyBytes returns the memory that request bodies hold.
func (c *Controller) BodyBytes() int64 { return c.bodyBytes }

// hasBodyMemory reports whether a connection may hold another body.
func (c *Controller) hasBodyMemory(conn *connection, bytes int64) bool {
	if c.settings.MaxBodyBytes <= 0 {
		return true
	}
	part := c.settings.MaxBodyBytes / sharedMemoryParts
	left := (sharedMemoryParts-firstBodyParts-servedParts)*part - c.bodyBytes
	switch {
	case conn.bodyBytes > 0:
		return bytes <= left && conn.bodyBytes+bytes <= fairShareFactor*left
	case conn.hasBeenServed:
		return bytes <= left+(firstBodyParts+servedParts)*part
	default:
		return bytes <= left+firstBodyParts*part
	}
}
