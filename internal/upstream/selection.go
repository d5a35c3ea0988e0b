package upstream

import (
	"cmp"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/invariant"
	"fennelarch/policy/routing"
)

// connectionLoad is what the choice of a connection looks at.
type connectionLoad struct {
	pending   int
	isSuspect bool
	canCarry  bool // this attempt
	lastUsed  time.Time
}

// selectConnection is the connection to an endpoint for an attempt, or for a health check where attempt is nil: of
// those on which nothing is pending the one used last, or a new one, so that the end of a connection fails no other
// attempt; where there is no capacity for more, the least loaded one, and at last one that is suspect.
func (p *Pool) selectConnection(id routing.EndpointID, attempt *engine.Attempt) *connection {
	known := p.endpoints[id]
	if known == nil {
		return nil
	}
	var idle, leastLoaded, suspect *connection
	var idleLastUsed time.Time
	leastPending := p.limits.StreamsPerConnection
	for _, c := range known.connections {
		load := c.load(attempt)
		switch {
		case load.isSuspect && load.pending == 0:
			go c.close(invariant.CloseServerSuspect)
		case !load.canCarry:
		case load.isSuspect:
			suspect = c
		case load.pending == 0 && !load.lastUsed.Before(idleLastUsed):
			idle, idleLastUsed = c, load.lastUsed
		case load.pending < leastPending:
			leastLoaded, leastPending = c, load.pending
		}
	}
	if idle == nil {
		idle = p.open(id, known, dialForAttempt)
	}
	return cmp.Or(idle, leastLoaded, suspect)
}

// open begins a new connection to an endpoint, where there is capacity for one.
func (p *Pool) open(id routing.EndpointID, e *endpoint, purpose dialPurpose) *connection {
	if len(e.connections) >= p.limits.ConnectionsPerEndpoint {
		return nil
	}
	if p.connectionCount >= p.limits.UpstreamConnections && !p.closeOneIdle() {
		return nil
	}
	c := newConnection(p, id, purpose)
	e.connections = append(e.connections, c)
	p.connectionCount++
	go c.run(e.address)
	return c
}

// closeOneIdle closes a connection on which nothing is pending, so that another may be opened in its place.
func (p *Pool) closeOneIdle() bool {
	for _, e := range p.endpoints {
		for _, c := range e.connections {
			if c.markClosedIfIdle(0) {
				go c.close(invariant.CloseServerForCapacity)
				return true
			}
		}
	}
	return false
}

// CloseIdle closes the connections on which nothing is pending: their descriptors are needed.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		for _, c := range e.connections {
			if c.markClosedIfIdle(0) {
				go c.close(invariant.CloseServerForCapacity)
			}
		}
	}
}
