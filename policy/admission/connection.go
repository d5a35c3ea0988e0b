package admission

import "time"

// connectionState is the state of an accepted connection. A TLS handshake is tracked separately, because it is limited
// together with the other handshakes, not with the requests.
type connectionState uint8

const (
	stateNew     connectionState = iota // no complete message received yet, and no output pending
	stateNewBusy                        // output pending, but no complete message received yet
	stateIdle                           // messages received, but no request open and no output pending
	stateBusy                           // a request open or output pending
	connectionStateCount
)

// connectionSignal is an input of the state machine of a connection.
type connectionSignal uint8

const (
	signalMessage connectionSignal = iota // a complete message was received
	signalBusy                            // a request is open or output is pending
	signalIdle                            // no request is open and no output is pending
	connectionSignalCount
)

// connectionTransitions holds the next state for each state and signal. Every signal may occur in every state, because
// the front end reports changes that the controller may already know of; such a signal changes nothing.
var connectionTransitions = [connectionStateCount][connectionSignalCount]connectionState{
	//            message    busy          idle
	stateNew:     {stateIdle, stateNewBusy, stateNew},
	stateNewBusy: {stateBusy, stateNewBusy, stateNew},
	stateIdle:    {stateIdle, stateBusy, stateIdle},
	stateBusy:    {stateBusy, stateBusy, stateIdle},
}

// connection is the record of an accepted connection.
type connection struct {
	id            ConnID
	peerIndex     int32
	state         connectionState
	isReserved    bool // occupies a slot reserved for known peers
	isHandshaking bool

	bodyBytes          int64 // memory of the request bodies that are held
	heldRequests       int64 // requests whose records are held
	hasBeenServed      bool  // a request was served in time
	openRequests       int
	openKnownRequests  int // those of openRequests that were opened while the peer was known
	rejectionsInRow    int // requests rejected since the last admitted one
	idleMessages       messageQuota
	mayHaveUnreadUntil time.Duration // reading was paused, so until this time there may be unread input
	idleSince          time.Duration // time of acceptance, of the first message or of the last change to idle
	links                            // position in the list that idleListOf(state) returns, if any
}

func (c *Controller) connectionLinks(index int32) *links { return &c.connections[index].links }

// idleListOf returns the list of the connections in the given state, or nil if the state is not idle.
func (c *Controller) idleListOf(state connectionState) *idleList {
	switch state {
	case stateNew:
		return &c.newConnections
	case stateIdle:
		return &c.idleConnections
	default:
		return nil
	}
}

func (c *Controller) addToIdleList(index int32) {
	if list := c.idleListOf(c.connections[index].state); list != nil {
		list.add(index, c.connectionLinks)
	}
}

func (c *Controller) removeFromIdleList(index int32) {
	if list := c.idleListOf(c.connections[index].state); list != nil {
		list.remove(index, c.connectionLinks)
	}
}

// transition applies a signal to a connection and reports whether its state has changed.
func (c *Controller) transition(index int32, signal connectionSignal) (changed bool) {
	conn := &c.connections[index]
	next := connectionTransitions[conn.state][signal]
	if next == conn.state {
		return false
	}
	c.removeFromIdleList(index)
	conn.state = next
	if signal != signalBusy {
		conn.idleSince = c.now
	}
	c.addToIdleList(index)
	return true
}

// addConnection adds a record for an accepted connection and emits the Accept action.
func (c *Controller) addConnection(event *Event, peerIndex int32, inReservedSlot bool) {
	index := c.allocateConnection()
	c.connections[index] = connection{
		id: event.Conn, peerIndex: peerIndex, isReserved: inReservedSlot, isHandshaking: event.TLS, idleSince: c.now,
	}
	c.connectionIndex[event.Conn] = index
	c.connectionCount++
	if inReservedSlot {
		c.reservedCount++
		c.peers[peerIndex].reserved++
	}
	if event.TLS {
		c.handshakeCount++
	}
	c.addToIdleList(index)
	c.Counts.Accepted++
	c.emit(Action{Kind: Accept, Conn: event.Conn})
}

func (c *Controller) allocateConnection() int32 {
	if last := len(c.freeConnections) - 1; last >= 0 {
		index := c.freeConnections[last]
		c.freeConnections = c.freeConnections[:last]
		return index
	}
	c.connections = append(c.connections, connection{})
	return int32(len(c.connections) - 1)
}

// removeConnection deletes a connection and subtracts its requests, slot and handshake from the totals.
func (c *Controller) removeConnection(index int32) {
	conn := &c.connections[index]
	c.removeFromIdleList(index)
	peer := &c.peers[conn.peerIndex]
	peer.openRequests -= conn.openRequests
	c.openRequests -= conn.openRequests
	c.openKnownRequests -= conn.openKnownRequests
	if conn.isReserved {
		c.reservedCount--
		peer.reserved--
	}
	if conn.isHandshaking {
		c.handshakeCount--
	}
	c.connectionCount--
	delete(c.connectionIndex, conn.id)
	c.freeConnections = append(c.freeConnections, index)
	c.removePeerConnection(conn.peerIndex)
}

// reassign moves a connection from its address to the peer of its client certificate, so that clients behind one
// address have separate quotas.
func (c *Controller) reassign(index int32, id Peer) {
	to := c.findPeer(id)
	conn := &c.connections[index]
	from := conn.peerIndex
	oldPeer, newPeer := &c.peers[from], &c.peers[to]
	oldPeer.openRequests -= conn.openRequests
	newPeer.openRequests += conn.openRequests
	if conn.isReserved {
		oldPeer.reserved--
		newPeer.reserved++
	}
	c.addPeerConnection(to)
	c.removePeerConnection(from)
	conn.peerIndex = to
	// The address's quota admitted the connection; from here on the certificate's quota applies.
	if c.exceedsConnectionQuota(newPeer, quotaFractions[c.mode][allowlisted]) {
		c.closeIdle(index)
	}
}
