package upstream

import (
	"time"

	"fennelarch/policy/routing"
)

// reassignWaiting moves what waits for a connection whose dial is overdue to another one of its endpoint: one on
// which a response came meanwhile, so that the server lives, or, once, a new one, as this dial may be the only slow
// one.
func (p *Pool) reassignWaiting(overdue *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	mustReassign := overdue.markDialOverdue()
	known := p.endpoints[overdue.endpoint]
	if known == nil || !mustReassign {
		return
	}
	for _, other := range known.connections {
		p.reassignTo(other, overdue)
	}
	if !overdue.hasWaiting() {
		return
	}
	if replacement := p.open(overdue.endpoint, known, dialReplacement); replacement != nil {
		p.moveFirstWaiting(overdue, replacement)
	}
}

// reassignToIdle is called when nothing is pending on a connection any more: it takes an attempt that waits for an
// overdue dial to its endpoint.
func (p *Pool) reassignToIdle(idle *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[idle.endpoint]; e != nil {
		for _, other := range e.connections {
			p.reassignTo(idle, other)
		}
	}
}

// reassignTo moves an attempt that waits for an overdue dial to another connection, if that is up, idle, not suspect,
// and has had a response since the dial began.
func (p *Pool) reassignTo(to, from *connection) {
	if from == to || !from.isDialOverdue() {
		return
	}
	if to.isProvenSince(from.dialStarted) {
		p.moveFirstWaiting(from, to)
	}
}

// moveFirstWaiting moves the first attempt that waits for an overdue dial to another connection.
func (p *Pool) moveFirstWaiting(from, to *connection) {
	e, isTaken := from.takeFirstWaiting()
	if !isTaken {
		return
	}
	if to.canCarry(e.attempt) && to.enqueue(e) {
		return
	}
	if !from.enqueue(e) {
		p.postFailure(e.attempt, routing.ConnectFailed, time.Now()) // the dial has failed meanwhile
	}
}
