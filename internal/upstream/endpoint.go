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

// endpoint is a server and the connections to it; the lock of the pool guards it.
type endpoint struct {
	uid, address string
	server       invariant.Server
	state        routing.EndpointState
	stateSince   time.Time
	connections  []*connection
}

var endpointStateNames = [...]string{routing.Gone: "gone", routing.Ready: "ready", routing.Draining: "draining"}

// UpdateEndpoints keeps the address of each endpoint of the list. One that is gone is known for a while: attempts may
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

// hasReadyAt says whether a list has an endpoint that is ready at an address.
func hasReadyAt(list []engine.Endpoint, address string) bool {
	for i := range list {
		if list[i].Address == address && list[i].State == routing.Ready {
			return true
		}
	}
	return false
}

// closeConnections closes all connections to an endpoint, and ends with them what is in flight there: another server
// has its address, so that none of them leads anywhere.
func (e *endpoint) closeConnections() {
	for _, c := range e.connections {
		go c.close(invariant.CloseServerMoved)
	}
}

// retireConnections has the connections to an endpoint take nothing more, as it has moved: what waits for one that
// is being dialled fails with it, and what is in flight keeps a connection up until it has ended, since the server
// may well answer where it was.
func (e *endpoint) retireConnections() {
	for _, c := range e.connections {
		if canCloseNow := c.retire(); canCloseNow {
			go c.close(invariant.CloseServerMoved)
		} else {
			c.wakeWriter()
		}
	}
}
