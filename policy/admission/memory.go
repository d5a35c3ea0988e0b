package admission

const (
	// sharedMemoryParts is the number of parts into which the memory for requests is divided. Any request may use all
	// but two of them.
	sharedMemoryParts = 8
	// firstRequestParts of them are left for connections that hold none, so that connections with many requests leave
	// memory to the others.
	firstRequestParts = 1
	// servedParts of them are left for connections that were served before, so that clients that send what no server can
	// use leave memory to the others.
	servedParts = 1
	// fairShareFactor is how many times the memory that is left a connection may hold. A single connection may so hold
	// four fifths of the memory, and of many each an equal part.
	fairShareFactor = 4
)

// memoryPool is memory that the requests of all connections share, in bytes or in requests.
type memoryPool struct{ limit, held int64 }

// hasRoom reports whether a connection that holds some of the memory may hold more.
func (p *memoryPool) hasRoom(amount, heldByConnection int64, wasServed bool) bool {
	if p.limit <= 0 {
		return true
	}
	part := p.limit / sharedMemoryParts
	left := (sharedMemoryParts-firstRequestParts-servedParts)*part - p.held
	if wasServed {
		left += servedParts * part
	}
	if heldByConnection > 0 {
		return amount <= left && heldByConnection+amount <= fairShareFactor*left
	}
	return amount <= left+firstRequestParts*part
}

// handleBody admits or rejects the body of a request, whose memory is held until EventBodyReleased or
// EventRequestReleased.
func (c *Controller) handleBody(index int32, bytes int64) {
	conn := &c.connections[index]
	if !c.bodyMemory.hasRoom(bytes, conn.bodyBytes, conn.hasBeenServed) {
		c.rejectRequest(conn)
		return
	}
	conn.bodyBytes += bytes
	c.bodyMemory.held += bytes
	c.emit(Action{Kind: Accept, Conn: conn.id})
}

// releaseBody gives back the memory of a body. Its connection may have been closed long before.
func (c *Controller) releaseBody(event *Event) {
	c.bodyMemory.held -= event.Bytes
	if index, isOpen := c.connectionIndex[event.Conn]; isOpen {
		c.connections[index].bodyBytes -= event.Bytes
	}
}

// holdRequest reports whether there is memory for the records of another request, and takes it until
// EventRequestReleased.
func (c *Controller) holdRequest(conn *connection) bool {
	if !c.requestMemory.hasRoom(1, conn.heldRequests, conn.hasBeenServed) {
		return false
	}
	conn.heldRequests++
	c.requestMemory.held++
	return true
}

// releaseRequest gives back the memory of a request's records and of its body.
func (c *Controller) releaseRequest(event *Event) {
	c.requestMemory.held--
	if index, isOpen := c.connectionIndex[event.Conn]; isOpen {
		c.connections[index].heldRequests--
	}
	c.releaseBody(event)
}

// BodyBytes returns the memory that request bodies hold.
func (c *Controller) BodyBytes() int64 { return c.bodyMemory.held }
