// Package admission decides which client connections are accepted, which idle connections are closed to make room for
// others, and how many requests each client may have open. It does no I/O, reads no clock and starts no goroutine: it
// takes events with their times and returns the resulting actions.
//
// controller.go dispatches the events and is the place to start reading. connection.go, peers.go and mode.go hold the
// states and their transition tables; eviction.go, handshakes.go, requestquota.go, memory.go and descriptors.go make
// one decision each.
package admission

import "time"

// Controller makes all admission decisions of one router. It is not safe for concurrent use.
type Controller struct {
	// Counts holds the number of decisions of each kind so far.
	Counts Counts

	settings Settings
	now      time.Duration
	actions  []Action // resulting from the event being handled
	mode     Mode

	connections     []connection // slab, indexed through connectionIndex
	freeConnections []int32      // indexes of the unused entries of connections
	connectionIndex map[ConnID]int32
	newConnections  idleList // connections in stateNew
	idleConnections idleList // connections in stateIdle
	connectionCount int
	reservedCount   int // connections that occupy reserved slots

	peers     []peerRecord // slab, indexed through peerIndex
	freePeers []int32      // indexes of the unused entries of peers
	peerIndex map[Peer]int32
	idlePeers idleList // peers without a connection

	handshakeCount         int
	handshakeCPUSeconds    float64 // CPU time left for handshakes; negative when overdrawn
	handshakeCPURefilledAt time.Duration

	bodyMemory           memoryPool // of request bodies, in bytes
	requestMemory        memoryPool // of the records of requests, in requests
	openRequests         int
	openKnownRequests    int     // those of openRequests that belong to known peers
	unknownRequestLimit  float64 // limit on the open requests of unknown peers
	limitAdjustedAt      time.Duration
	knownRequestRejected bool // a known peer's request was rejected since the last adjustment of the limit

	shedUntil            time.Duration // earliest time to leave ModeShedding
	descriptorLimit      int           // number of connections that the available descriptors allow; 0 means no limit
	descriptorLimitSetAt time.Duration
}

// New returns a controller without connections and peers.
func New(settings Settings) *Controller {
	settings = settings.normalized()
	return &Controller{
		settings: settings, connectionIndex: map[ConnID]int32{}, peerIndex: map[Peer]int32{},
		bodyMemory: memoryPool{limit: settings.MaxBodyBytes}, requestMemory: memoryPool{limit: settings.MaxHeldRequests},
		newConnections: newIdleList(), idleConnections: newIdleList(), idlePeers: newIdleList(),
		unknownRequestLimit: float64(settings.MaxRequests),
	}
}

// UpdateSettings applies changed settings. It closes no existing connection.
func (c *Controller) UpdateSettings(settings Settings) {
	settings = settings.normalized()
	c.settings, c.unknownRequestLimit = settings, float64(settings.MaxRequests)
	c.bodyMemory.limit, c.requestMemory.limit = settings.MaxBodyBytes, settings.MaxHeldRequests
	for i := range c.peers {
		if peer := &c.peers[i]; c.peerIndex[peer.id] == int32(i) {
			peer.isAllowlisted = settings.allowlists(peer.id)
		}
	}
}

// ConnectionCount returns the number of accepted connections.
func (c *Controller) ConnectionCount() int { return c.connectionCount }

// Mode returns the current overload mode.
func (c *Controller) Mode() Mode { return c.mode }

// Handle processes one event and appends the resulting actions to the given slice. A time earlier than that of the
// previous event is replaced by the time of the previous event.
func (c *Controller) Handle(now time.Duration, event *Event, actions []Action) []Action {
	c.now, c.actions = max(now, c.now), actions
	switch event.Kind {
	case EventArrival:
		c.handleArrival(event)
	case EventDescriptorsExhausted:
		c.handleDescriptorsExhausted()
	case EventUpstreamDescriptorsExhausted:
		c.handleUpstreamDescriptorsExhausted()
	case EventDescriptorAvailable:
		c.handleDescriptorAvailable()
	case EventBodyReleased:
		c.releaseBody(event)
	case EventRequestReleased:
		c.releaseRequest(event)
	default:
		if index, isOpen := c.connectionIndex[event.Conn]; isOpen {
			c.handleConnectionEvent(index, event)
		}
	}
	actions, c.actions = c.actions, nil
	return actions
}

// emit appends an action to those of the current event.
func (c *Controller) emit(action Action) { c.actions = append(c.actions, action) }

// handleArrival accepts or refuses a new connection.
func (c *Controller) handleArrival(event *Event) {
	c.handleDescriptorAvailable()
	peerIndex := c.findPeer(event.Peer)
	c.addPeerConnection(peerIndex) // keeps the peer's record while other connections are closed for this one
	if !c.admitConnection(event, peerIndex) {
		c.removePeerConnection(peerIndex)
	}
	c.updateOccupancy()
}

// admitConnection accepts or refuses a connection that is already counted for its peer, and reports which.
func (c *Controller) admitConnection(event *Event, peerIndex int32) bool {
	peer := &c.peers[peerIndex]
	peerReputation := c.reputation(peer)
	fraction := quotaFractions[c.mode][peerReputation]
	if c.exceedsConnectionQuota(peer, fraction) || !c.takeConnectionToken(peer, fraction) {
		c.penalize(peer)
		return c.refuseConnection(event, Reject)
	}
	if event.TLS && !c.mayHandshake(peerReputation) {
		return c.refuseConnection(event, Drop)
	}
	decision := c.verdictFor(peer, peerReputation)
	if decision == reject || decision == admitEvicting && !c.evictIdle(peerReputation) {
		return c.refuseConnection(event, Reject)
	}
	c.addConnection(event, peerIndex, decision == admitReserved)
	return true
}

// verdictFor returns the verdict of the current mode, adjusted to the slots that are free.
func (c *Controller) verdictFor(peer *peerRecord, peerReputation reputation) verdict {
	decision := verdicts[c.mode][peerReputation]
	canUseReserve := c.mayUseReserve(peer)
	if decision == admit && peerReputation > unknown && canUseReserve {
		decision = admitReserved // protects the connection from eviction during a flood of unknown peers
	}
	hasFreeSlot := c.connectionCount-c.reservedCount < c.unreservedSlots()
	if decision == admitReserved && !canUseReserve || decision == admit && !hasFreeSlot {
		decision = admitEvicting
	}
	if decision == admitEvicting && hasFreeSlot {
		decision = admit
	}
	return decision
}

// reserveParts is the number of parts into which the reserve is divided. One peer may use one part, so that a known
// peer that floods the router leaves reserved slots for the others.
const reserveParts = 4

func (c *Controller) mayUseReserve(peer *peerRecord) bool {
	return c.reservedCount < c.settings.ReservedSlots && peer.reserved < max(1, c.settings.ReservedSlots/reserveParts)
}

// refuseConnection rejects or drops a connection. A TLS connection is always dropped, because its client cannot read a
// message before the handshake.
func (c *Controller) refuseConnection(event *Event, kind ActionKind) (admitted bool) {
	if event.TLS {
		kind = Drop
	}
	if kind == Drop {
		c.Counts.Dropped++
	} else {
		c.Counts.Rejected++
	}
	c.emit(Action{Kind: kind, Conn: event.Conn, Wait: c.retryAfter(event.Conn)})
	return false
}

// handleConnectionEvent processes an event of an accepted connection.
func (c *Controller) handleConnectionEvent(index int32, event *Event) {
	switch event.Kind {
	case EventHandshakeDone:
		c.handleHandshakeDone(index, event)
	case EventMessage:
		c.transition(index, signalMessage)
	case EventRequest:
		c.handleRequest(index, event.Elapsed)
	case EventRequestEnd:
		c.handleRequestEnd(index, event)
	case EventIdleMessage:
		c.handleIdleMessage(index, 1)
	case EventCancel:
		c.handleIdleMessage(index, cancelWeight)
	case EventBody:
		c.handleBody(index, event.Bytes)
	case EventBusy:
		c.transition(index, signalBusy)
	case EventIdle:
		c.handleIdle(index)
	case EventClosed:
		c.removeConnection(index)
		c.updateOccupancy()
	default: // Handle processes the events that concern no accepted connection
	}
}
