package upstream

import (
	"cmp"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/invariant"
	"fennelarch/policy/routing"
)

// connectionLoad is the information by which a connection is selected.
type connectionLoad struct {
	pending   int
	isSuspect bool
	isFull    bool // it has carried so many requests recently that it carries no more
	canCarry  bool // the attempt in question can be sent on it
	lastUsed  time.Time
}

// selectConnection returns the connection to an endpoint for an attempt, or for a health check if attempt is nil. It
// prefers the most recently used idle connection, then a new one, so that a connection that breaks fails only one
// attempt. If the limits allow no new connection, it returns the least loaded one, or else a suspect one. It returns
// nil if the endpoint is unknown or no connection can carry the attempt.
func (p *Pool) selectConnection(id routing.EndpointID, attempt *engine.Attempt) *connection {
	known := p.endpoints[id]
	if known == nil || known.isReplaced {
		return nil
	}
	var idle, leastLoaded, suspect *connection
	var idleLastUsed time.Time
	leastPending := p.limits.StreamsPerConnection
	for _, candidate := range known.connections {
		load := candidate.load(attempt)
		switch {
		case load.isSuspect && load.pending == 0:
			go candidate.close(invariant.CloseServerSuspect)
		case load.isFull && load.pending == 0:
			go candidate.close(invariant.CloseServerForCapacity)
		case !load.canCarry:
		case load.isSuspect:
			suspect = candidate
		case load.pending == 0 && !load.lastUsed.Before(idleLastUsed):
			idle, idleLastUsed = candidate, load.lastUsed
		case load.pending < leastPending:
			leastLoaded, leastPending = candidate, load.pending
		}
	}
	if idle == nil {
		idle = p.open(id, known, dialForAttempt)
	}
	return cmp.Or(idle, leastLoaded, suspect)
}

// open starts a new connection to an endpoint, or returns nil if the limits allow none.
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

// closeOneIdle closes an idle connection to make room for a new one, and reports whether there was one.
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

// CloseIdle closes all idle connections to free their file descriptors.
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
