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
	stateSince   time.Time
	connections  []*connection
}

var endpointStateNames = [...]string{routing.Gone: "gone", routing.Ready: "ready", routing.Draining: "draining"}

// UpdateEndpoints applies an endpoint list. An endpoint that is gone is kept for limits.ForgetAfter, since attempts may
// still name it.
func (p *Pool) UpdateEndpoints(list engine.EndpointList) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	listed := map[routing.EndpointID]bool{}
	for i := range list.Endpoints {
		listed[list.Endpoints[i].ID] = true
		p.updateEndpoint(&list.Endpoints[i], now)
	}
	for id, known := range p.endpoints {
		if list.Complete && !listed[id] {
			p.setState(id, known, routing.Gone, now)
		}
		if known.state != routing.Gone {
			continue
		}
		if hasReadyAt(list.Endpoints, known.address) {
			known.closeConnections()
		}
		if len(known.connections) == 0 && now.Sub(known.stateSince) > p.limits.ForgetAfter {
			delete(p.endpoints, id)
		}
	}
}

func (p *Pool) updateEndpoint(update *engine.Endpoint, now time.Time) {
	known := p.endpoints[update.ID]
	if known == nil {
		known = &endpoint{uid: update.UID, address: update.Address}
		p.endpoints[update.ID] = known
	}
	known.server = invariant.Server{Endpoint: update.ID, Zone: update.Zone, Cell: update.Cell}
	if known.address != update.Address && update.Address != "" {
		known.address = update.Address
		known.retireConnections()
	}
	p.setState(update.ID, known, update.State, now)
}

func (p *Pool) setState(id routing.EndpointID, e *endpoint, state routing.EndpointState, now time.Time) {
	if e.state == state {
		return
	}
	e.state, e.stateSince = state, now
	p.monitor.Record(flightrecorder.Entry{
		Event:    flightrecorder.ServerState,
		Endpoint: uint64(id),
		Reason:   uint8(state),
	})
	p.log.Info("endpoint",
		zap.String("uid", e.uid),
		zap.String("id", fmt.Sprintf("%x", uint64(id))),
		zap.String("state", endpointStateNames[state]))
}

// hasReadyAt reports whether a list has a ready endpoint at an address.
func hasReadyAt(list []engine.Endpoint, address string) bool {
	for i := range list {
		if list[i].Address == address && list[i].State == routing.Ready {
			return true
		}
	}
	return false
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
