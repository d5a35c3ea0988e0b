package upstream

import (
	"fmt"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/flightrecorder"
	"fennelarch/internal/invariant"
	"fennelarch/policy/routing"

	"go.uber.org/zap"
)

// endpoint is a server and the connections to it. It is guarded by the pool's lock.
type endpoint struct {
	uid, address string
	server       invariant.Server
	state        routing.EndpointState
	isReplaced   bool // another endpoint has its address
	stateSince   time.Time
	connections  []*connection
}

var endpointStateNames = [...]string{routing.Gone: "gone", routing.Ready: "ready", routing.Draining: "draining"}

// goneEndpoint is an endpoint that was gone since a time.
type goneEndpoint struct {
	id    routing.EndpointID
	since time.Time
}

// UpdateEndpoints applies an endpoint list. An endpoint that is gone is kept for limits.ForgetAfter, since attempts may
// still name it. The time that this takes depends on the length of the list, not on the number of known endpoints,
// unless the list is complete: changes to a large list come often.
func (p *Pool) UpdateEndpoints(list engine.EndpointList) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for i := range list.Endpoints {
		p.updateEndpoint(&list.Endpoints[i], now)
	}
	if list.Complete {
		p.removeUnlisted(list.Endpoints, now)
	}
	p.forgetGone(now)
}

// removeUnlisted marks the endpoints as gone that a complete list does not contain.
func (p *Pool) removeUnlisted(list []engine.Endpoint, now time.Time) {
	listed := make(map[routing.EndpointID]bool, len(list))
	for i := range list {
		listed[list[i].ID] = true
	}
	for id, known := range p.endpoints {
		if !listed[id] {
			p.setState(id, known, routing.Gone, now)
		}
	}
}

// forgetGone forgets the endpoints that have been gone for limits.ForgetAfter and to which no connection is open.
func (p *Pool) forgetGone(now time.Time) {
	for len(p.gone) > 0 && now.Sub(p.gone[0].since) > p.limits.ForgetAfter {
		oldest := p.gone[0]
		p.gone = p.gone[1:]
		known := p.endpoints[oldest.id]
		switch {
		case known == nil || known.state != routing.Gone || known.stateSince.After(oldest.since): // listed again meanwhile
		case len(known.connections) > 0:
			p.gone = append(p.gone, goneEndpoint{oldest.id, now})
			known.stateSince = now
		default:
			delete(p.endpoints, oldest.id)
		}
	}
}

func (p *Pool) updateEndpoint(update *engine.Endpoint, now time.Time) {
	known := p.endpoints[update.ID]
	if known == nil && update.State == routing.Gone {
		return
	}
	if update.IsReplaced {
		known.isReplaced = true
		known.closeConnections()
		p.setState(update.ID, known, routing.Gone, now)
		return
	}
	if known == nil {
		known = &endpoint{uid: update.UID, address: update.Address}
		p.endpoints[update.ID] = known
	}
	known.isReplaced = false
	known.server = invariant.Server{Endpoint: update.ID, Zone: update.Zone, Cell: update.Cell}
	if known.address != update.Address && update.Address != "" {
		known.address = update.Address
		known.retireConnections()
	}
	p.setState(update.ID, known, update.State, now)
}

func (p *Pool) setState(id routing.EndpointID, known *endpoint, state routing.EndpointState, now time.Time) {
	if known.state == state {
		return
	}
	known.state, known.stateSince = state, now
	if state == routing.Gone {
		p.gone = append(p.gone, goneEndpoint{id, now})
	}
	p.monitor.Record(flightrecorder.Entry{
		Event:    flightrecorder.ServerState,
		Endpoint: uint64(id),
		Reason:   uint8(state),
	})
	p.log.Info("endpoint",
		zap.String("uid", known.uid),
		zap.String("id", fmt.Sprintf("%x", uint64(id))),
		zap.String("state", endpointStateNames[state]))
}

// closeConnections closes all connections to an endpoint, and so ends the attempts in flight on them. It is used when
// another server has taken over the address, so that no response can arrive any more.
func (e *endpoint) closeConnections() {
	for _, c := range e.connections {
		go c.close(invariant.CloseServerMoved)
	}
}

// retireConnections retires the connections to an endpoint that has moved: they accept no more attempts. Attempts that
// wait for a dial fail. A connection with attempts in flight stays open until these have ended, since the server may
// still answer at its old address.
func (e *endpoint) retireConnections() {
	for _, c := range e.connections {
		if canCloseNow := c.retire(); canCloseNow {
			go c.close(invariant.CloseServerMoved)
		} else {
			c.wakeWriter()
		}
	}
}
