// Package admission decides which client connections are accepted, which are closed for others, and how many requests
// each client may have open. It does no I/O, reads no clock and starts no goroutine: it takes events with their times
// and returns the actions that follow.
//
// controller.go has the events in reading order; connection.go, peers.go and mode.go hold the states and their tables
// of transitions; eviction.go, handshakes.go, requestquota.go and descriptors.go hold one decision each.
package admission

import "time"

// Controller holds all admission decisions of one router. It is not safe for concurrent use.
type Controller struct {
	// Counts is the number of decisions of each kind so far.
	Counts Counts

	settings Settings
	now      time.Duration
	actions  []Action // of the event that is being handled
	mode     Mode

	connections     []connection // slab
	freeConnections []int32      // unused entries of it
	connectionIndex map[ConnID]int32
	newConnections  idleList // in stateNew
	idleConnections idleList // in stateIdle
	connectionCount int
	reservedCount   int // connections on reserved places

	peers     []peerRecord // slab
	freePeers []int32
	peerIndex map[Peer]int32
	idlePeers idleList // those without a connection

	handshakeCount         int
	handshakeCPUSeconds    float64 // that may be spent now; negative where it is overdrawn
	handshakeCPURefilledAt time.Duration

	openRequests         int
	openKnownRequests    int // of them, of known peers
	unknownRequestLimit  float64
	limitAdjustedAt      time.Duration
	knownRequestRejected bool // since the limit was adjusted last

	shedUntil            time.Duration
	descriptorLimit      int // connections for which descriptors were found to suffice; 0: all
	descriptorLimitSetAt time.Duration
}

// New returns a controller that knows no peer.
func New(settings Settings) *Controller {
	settings = settings.normalized()
	return &Controller{
		settings: settings, connectionIndex: map[ConnID]int32{}, peerIndex: map[Peer]int32{},
		newConnections: newIdleList(), idleConnections: newIdleList(), idlePeers: newIdleList(),
		unknownRequestLimit: float64(settings.MaxRequests),
	}
}

// UpdateSettings applies changed settings; existing connections stay.
func (c *Controller) UpdateSettings(settings Settings) {
	settings = settings.normalized()
	c.settings, c.unknownRequestLimit = settings, float64(settings.MaxRequests)
	for i := range c.peers {
		if peer := &c.peers[i]; c.peerIndex[peer.id] == int32(i) {
			peer.isAllowlisted = settings.IsKnown != nil && settings.IsKnown(peer.id)
		}
	}
}

// ConnectionCount returns how many connections there are.
func (c *Controller) ConnectionCount() int { return c.connectionCount }

// Mode returns the current overload mode.
func (c *Controller) Mode() Mode { return c.mode }

// Handle takes one event and appends the actions that follow. A time before that of the last event counts as that
// one's.
func (c *Controller) Handle(now time.Duration, event *Event, actions []Action) []Action {
	c.now, c.actions = max(now, c.now), actions
	switch event.Kind {
	case EventArrive:
		c.handleArrival(event)
	case EventNoDescriptors:
		c.handleDescriptorsExhausted()
	case EventNoUpstreamDescriptors:
		c.handleUpstreamDescriptorsExhausted()
	case EventDescriptorAvailable:
		c.handleDescriptorAvailable()
	default:
		if index, isOpen := c.connectionIndex[event.Conn]; isOpen {
			c.handleConnectionEvent(index, event)
		}
	}
	actions, c.actions = c.actions, nil
	return actions
}

// emit adds an action to those of the event.
func (c *Controller) emit(action Action) { c.actions = append(c.actions, action) }

// handleArrival accepts a new connection, or not.
func (c *Controller) handleArrival(event *Event) {
	c.handleDescriptorAvailable()
	peer := c.findPeer(event.Peer)
	c.attach(peer) // so that it is not forgotten while others are closed for it
	if !c.admitConnection(event, peer) {
		c.detach(peer)
	}
	c.updateOccupancy()
}

// admitConnection accepts a connection, which is accounted to its peer already, or says that it is not admitted.
func (c *Controller) admitConnection(event *Event, peerIndex int32) bool {
	peer := &c.peers[peerIndex]
	who := c.reputation(peer)
	fraction := quotaFractions[c.mode][who]
	if c.exceedsConnectionQuota(peer, fraction) || !c.consumeNewConnection(peer, fraction) {
		c.penalize(peer)
		return c.refuseConnection(event, Reject)
	}
	if event.TLS && !c.mayHandshake(who) {
		return c.refuseConnection(event, Drop)
	}
	decision := c.placeFor(peer, who)
	if decision == reject || decision == admitEvicting && !c.evictIdle(who) {
		return c.refuseConnection(event, Reject)
	}
	c.insert(event, peerIndex, decision == admitReserved)
	return true
}

// placeFor looks up the verdict of the mode and adapts it to the places that are free.
func (c *Controller) placeFor(peer *peerRecord, who reputation) verdict {
	decision := verdicts[c.mode][who]
	mayReserve := c.mayUseReserve(peer)
	if decision == admit && who > unknown && mayReserve {
		decision = admitReserved // so that no flood of unknown peers can have it closed
	}
	hasFreePlace := c.connectionCount-c.reservedCount < c.unreservedPlaces()
	if decision == admitReserved && !mayReserve || decision == admit && !hasFreePlace {
		decision = admitEvicting
	}
	if decision == admitEvicting && hasFreePlace {
		decision = admit
	}
	return decision
}

// reserveParts is into how many parts the reserve is split, of which one peer may have one: a known peer that floods
// leaves the others theirs.
const reserveParts = 4

func (c *Controller) mayUseReserve(peer *peerRecord) bool {
	return c.reservedCount < c.settings.Reserve && peer.reserved < max(1, c.settings.Reserve/reserveParts)
}

// refuseConnection rejects a connection or drops it: before its TLS handshake it could not read a message.
func (c *Controller) refuseConnection(event *Event, how ActionKind) (admitted bool) {
	if event.TLS {
		how = Drop
	}
	if how == Drop {
		c.Counts.Dropped++
	} else {
		c.Counts.Rejected++
	}
	c.emit(Action{Kind: how, Conn: event.Conn, Wait: c.retryAfter(event.Conn)})
	return false
}

// handleConnectionEvent takes an event of an accepted connection.
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
	case EventBusy:
		c.transition(index, signalBusy)
	case EventIdle:
		c.handleIdle(index)
	case EventClosed:
		c.remove(index)
		c.updateOccupancy()
	default: // of no connection: Handle has it
	}
}
