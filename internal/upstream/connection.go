package upstream

import (
	"net"
	"slices"
	"sync"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/invariant"
	"fennelarch/policy/routing"
)

// dialPurpose is the reason for dialling a connection.
type dialPurpose uint8

const (
	dialForAttempt  dialPurpose = iota
	dialReplacement             // another dial is overdue; a replacement is never replaced itself
)

// connection is a connection to a server, either being dialled or open. It has two goroutines: run, which dials and
// then writes, and read.
type connection struct {
	pool        *Pool
	endpoint    routing.EndpointID
	purpose     dialPurpose
	dialStarted time.Time
	wake        chan struct{} // signals the writer to look for output

	mu           sync.Mutex
	state        connectionState
	session      *session
	socket       net.Conn // nil until the dial has succeeded
	lastResponse time.Time
	lastUsed     time.Time
}

func newConnection(p *Pool, id routing.EndpointID, purpose dialPurpose) *connection {
	now := time.Now()
	return &connection{
		pool:        p,
		endpoint:    id,
		purpose:     purpose,
		dialStarted: now,
		wake:        make(chan struct{}, 1),
		session:     newSession(&p.limits, &p.names, &p.bodyMemory),
		lastUsed:    now,
	}
}

// run dials, starts the reader, and writes until the connection is closed.
func (c *connection) run(address string) {
	reason := invariant.CloseServerEnded
	defer func() { c.close(reason) }()
	socket := c.connect(address)
	if socket == nil {
		reason = invariant.CloseDialFailed
		return
	}
	go c.read(socket)
	reason = c.write(socket)
}

// enqueue queues an attempt and reports whether the connection still accepted it.
func (c *connection) enqueue(e exchange) bool {
	c.mu.Lock()
	defer c.wakeWriter()
	defer c.mu.Unlock()
	if !c.state.acceptsAttempts() {
		return false
	}
	e.attempt.TransportState = c
	c.session.enqueue(e)
	return true
}

// abort aborts an attempt and reports whether it may have run. If only a part of the attempt has been written, the
// connection is closed.
func (c *connection) abort(attempt *engine.Attempt) (mayHaveRun bool) {
	c.mu.Lock()
	defer c.wakeWriter()
	defer c.mu.Unlock()
	mayHaveRun = c.session.abort(attempt, time.Now())
	if c.session.hasPartialAbort {
		c.advance(eventClose)
		go c.close(invariant.CloseServerHalfWritten)
	}
	return mayHaveRun
}

// checkHealth queues a health check.
func (c *connection) checkHealth() {
	c.mu.Lock()
	c.session.checkHealth(c.endpoint, c.pool.healthCheckVerb, time.Now())
	c.mu.Unlock()
	c.wakeWriter()
}

// wakeWriter signals the writer to look for output.
func (c *connection) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// load returns what selectConnection needs to know about the connection. The attempt is nil for a health check.
func (c *connection) load(attempt *engine.Attempt) connectionLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	return connectionLoad{
		pending:   c.session.pending(),
		isSuspect: c.session.isSuspect(),
		isFull:    c.session.recent.isFull(),
		canCarry:  c.state.acceptsAttempts() && (attempt == nil || c.session.canCarry(attempt)),
		lastUsed:  c.lastUsed,
	}
}

// canCarry reports whether an attempt can be sent on this connection.
func (c *connection) canCarry(attempt *engine.Attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.state.isClosed() && c.session.canCarry(attempt)
}

// retire stops the connection from accepting attempts and reports whether it can be closed at once.
func (c *connection) retire() (canCloseNow bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(eventRetire)
	return c.session.pending() == 0 || c.socket == nil
}

// markDialOverdue records that the dial is slow and reports whether the attempts that wait for it must be moved.
func (c *connection) markDialOverdue() (mustReassign bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(eventDialOverdue)
	return c.state.isDialOverdue() && c.purpose != dialReplacement && len(c.session.waiting) > 0
}

func (c *connection) isDialOverdue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.isDialOverdue()
}

func (c *connection) hasWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.session.waiting) > 0
}

// takeFirstWaiting removes and returns the attempt that has waited longest, if the dial is overdue.
func (c *connection) takeFirstWaiting() (e exchange, isTaken bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.state.isDialOverdue() || len(c.session.waiting) == 0 {
		return exchange{}, false
	}
	return c.session.takeFirstWaiting(), true
}

// isResponsiveSince reports whether the connection is open, idle and not suspect, and has received a response after the
// given time.
func (c *connection) isResponsiveSince(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.isUp() && c.state.acceptsAttempts() && c.session.pending() == 0 && !c.session.isSuspect() &&
		c.lastResponse.After(since)
}

// markClosedIfIdle marks the connection as closed if it has been idle for at least minIdle. It reports whether it did;
// the caller must then close the connection.
func (c *connection) markClosedIfIdle(minIdle time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.state.isUp() || c.session.pending() > 0 || time.Since(c.lastUsed) < minIdle {
		return false
	}
	c.advance(eventClose)
	return true
}

// close removes the connection from the pool and posts the results of its pending attempts. Every connection is closed
// this way. close may be called more than once; the first reason counts. During a write, only the writer will know how
// much was written: close then closes the socket, and the writer's own call of close posts the results.
func (c *connection) close(reason invariant.CloseReason) {
	now := time.Now()
	isFirst := c.pool.remove(c)
	c.mu.Lock()
	if isFirst {
		c.pool.monitor.RecordServerClose(uint64(c.endpoint), reason, c.session.pending())
	}
	c.advance(eventClose)
	var results []engine.Message
	if !c.state.isWriting() {
		c.session.failAll()
		results = c.session.takeResults()
	}
	socket := c.socket
	c.mu.Unlock()
	if socket != nil {
		_ = socket.Close()
	}
	c.wakeWriter()
	for _, result := range results {
		c.pool.post(now, result)
	}
}

// remove removes a connection from the pool and reports whether it was still there.
func (p *Pool) remove(c *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[c.endpoint]
	if e == nil {
		return false
	}
	i := slices.Index(e.connections, c)
	if i < 0 {
		return false
	}
	e.connections = slices.Delete(e.connections, i, i+1)
	p.connectionCount--
	return true
}
