package upstream

import (
	"time"

	"fennelarch/policy/routing"
)

// reassignWaiting moves attempts that wait for an overdue dial to idle connections of the same endpoint on which a
// response has arrived since the dial began, which proves that the server is up. If attempts still wait, it moves the
// first to a new connection, since only this dial may be slow. A replacement that is slow itself is not replaced.
func (p *Pool) reassignWaiting(overdue *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	mustReassign := overdue.markDialOverdue()
	known := p.endpoints[overdue.endpoint]
	if known == nil || known.isReplaced || !mustReassign {
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

// reassignToIdle moves an attempt that waits for an overdue dial of the same endpoint to a connection that has just
// become idle.
func (p *Pool) reassignToIdle(idle *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[idle.endpoint]; e != nil {
		for _, other := range e.connections {
			p.reassignTo(idle, other)
		}
	}
}

// reassignTo moves an attempt that waits for an overdue dial to another connection, if that is open, idle and not
// suspect, and has received a response since the dial began.
func (p *Pool) reassignTo(to, from *connection) {
	if from == to || !from.isDialOverdue() {
		return
	}
	if to.isResponsiveSince(from.dialStarted) {
		p.moveFirstWaiting(from, to)
	}
}

// moveFirstWaiting moves the attempt that has waited longest for an overdue dial to another connection.
func (p *Pool) moveFirstWaiting(from, to *connection) {
	e, isTaken := from.takeFirstWaiting()
	if !isTaken {
		return
	}
	if to.canCarry(e.attempt) && to.enqueue(e) {
		return
	}
	if !from.enqueue(e) {
		p.postFailure(e.attempt, routing.ConnectFailed, time.Now()) // the dial has failed in the meantime
	}
}
