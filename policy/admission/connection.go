package admission

import "time"

// connectionState is what an accepted connection is doing. Its TLS handshake is apart from it: it takes a place among
// the handshakes, not among the requests.
type connectionState uint8

const (
	stateNew     connectionState = iota // no complete message has come yet, and nothing is to be written
	stateNewBusy                        // something is to be written, though no complete message has come
	stateIdle                           // it has sent messages, and nothing is open
	stateBusy                           // a request is open, or something is to be written
	connectionStateCount
)

// connectionSignal is what changes the state of a connection.
type connectionSignal uint8

const (
	signalMessage connectionSignal = iota // a complete message came
	signalBusy                            // a request is open, or something is to be written
	signalIdle                            // nothing is any more
	connectionSignalCount
)

// connectionTransitions says which state follows. Every signal may come in every state: the front end reports a
// change of its own, and one that is known already changes nothing.
var connectionTransitions = [connectionStateCount][connectionSignalCount]connectionState{
	//            message    busy          idle
	stateNew:     {stateIdle, stateNewBusy, stateNew},
	stateNewBusy: {stateBusy, stateNewBusy, stateNew},
	stateIdle:    {stateIdle, stateBusy, stateIdle},
	stateBusy:    {stateBusy, stateBusy, stateIdle},
}

// connection is one connection that was accepted.
type connection struct {
	id            ConnID
	peer          int32
	state         connectionState
	isReserved    bool // it has one of the places reserved for known peers
	isHandshaking bool

	openRequests       int
	openKnownRequests  int           // of them, opened while its peer was known
	rejectionsInRow    int           // requests rejected since the last one that was admitted
	mayHaveUnreadUntil time.Duration // until then something of it may not have been read yet, as reading was paused
	idleSince          time.Duration // when it was accepted, sent its first message or became idle
	links                            // in the list of its state, while it is idle
}

func (c *Controller) connectionLinks(index int32) *links { return &c.connections[index].links }

// idleListOf returns the list of the connections in an idle state, or nil for the others.
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

// transition follows the table, and says whether the state has changed.
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

// insert adds a connection that is accepted.
func (c *Controller) insert(event *Event, peer int32, onReservedPlace bool) {
	index := c.allocateConnection()
	c.connections[index] = connection{
		id: event.Conn, peer: peer, isReserved: onReservedPlace, isHandshaking: event.TLS, idleSince: c.now,
	}
	c.connectionIndex[event.Conn] = index
	c.connectionCount++
	if onReservedPlace {
		c.reservedCount++
		c.peers[peer].reserved++
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

// remove takes a connection out, with all that is accounted to it.
func (c *Controller) remove(index int32) {
	conn := &c.connections[index]
	c.removeFromIdleList(index)
	peer := &c.peers[conn.peer]
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
	c.detach(conn.peer)
}

// reassign accounts a connection to the certificate that it has shown: clients behind one address have quotas of
// their own.
func (c *Controller) reassign(index int32, id Peer) {
	to := c.findPeer(id)
	conn := &c.connections[index]
	from := conn.peer
	oldPeer, newPeer := &c.peers[from], &c.peers[to]
	newPeer.isAllowlisted = true
	oldPeer.openRequests -= conn.openRequests
	newPeer.openRequests += conn.openRequests
	if conn.isReserved {
		oldPeer.reserved--
		newPeer.reserved++
	}
	c.attach(to)
	c.detach(from)
	conn.peer = to
	// The connection was admitted by the address's rate; the certificate's own quota holds from here on.
	if c.exceedsConnectionQuota(newPeer, quotaFractions[c.mode][allowlisted]) {
		c.closeIdle(index)
	}
}
