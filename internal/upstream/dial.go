package upstream

import (
	"errors"
	"net"
	"time"

	"fennelarch/internal/flightrecorder"
	"fennelarch/internal/system"
)

// connect dials the connection and returns its socket, or nil if the dial failed or the connection was closed
// meanwhile.
func (c *connection) connect(address string) net.Conn {
	overdue := time.AfterFunc(c.pool.limits.SlowConnect, func() { c.pool.reassignWaiting(c) })
	defer overdue.Stop()
	socket, err := c.dial(address)
	if err != nil {
		c.recordDialError(err)
		return nil
	}
	overdue.Stop()
	c.mu.Lock()
	c.socket = socket
	c.advance(eventConnected)
	isClosed := c.state.isClosed()
	c.mu.Unlock()
	if isClosed {
		_ = socket.Close()
		return nil
	}
	return socket
}

func (c *connection) recordDialError(err error) {
	var failed *dialError
	isLocal := errors.As(err, &failed) && failed.fault == system.FaultLocal
	c.mu.Lock()
	c.session.dialFailedLocally = isLocal
	c.mu.Unlock()
}

// dial dials the server, and redials after an error that is local to this machine or may be momentary. A local error
// that persists says nothing about the server. The error returned is a *dialError.
func (c *connection) dial(address string) (net.Conn, error) {
	l := &c.pool.limits
	started := time.Now()
	socket, err := c.pool.dial("tcp", address, l.ConnectTimeout)
	attempts := 1
	for ; attempts <= l.MaxRedials && c.shouldRedial(err, time.Since(started)); attempts++ {
		if attempts > 1 && system.IsExhausted(err) { // more than momentary
			c.pool.freeDescriptors()
		}
		time.Sleep(l.RecheckInterval)
		timeout := max(l.RecheckInterval, l.ConnectTimeout-time.Since(started))
		socket, err = c.pool.dial("tcp", address, timeout)
	}
	now := time.Now()
	fault := system.Classify(err)
	if fault == system.FaultSilent && c.pool.monitor.StallDetector().StalledSince(started, now) {
		fault = system.FaultLocal // the process stalled meanwhile and may have missed the server's reply
	}
	c.pool.monitor.Record(flightrecorder.Entry{
		Event:    flightrecorder.ServerDialled,
		Endpoint: uint64(c.endpoint),
		Reason:   uint8(fault),
		Value:    now.Sub(started).Milliseconds(),
	})
	if err != nil {
		return nil, &dialError{address: address, attempts: attempts, fault: fault, err: err}
	}
	return socket, nil
}

// shouldRedial reports whether to redial after an error, given the time since the first dial began.
func (c *connection) shouldRedial(err error, elapsed time.Duration) bool {
	switch system.Classify(err) {
	case system.FaultLocal:
		return true
	case system.FaultSilent: // a quick failure is a missing route, which may be back in a moment
		return elapsed < c.pool.limits.SlowConnect
	default:
		return false
	}
}

// freeDescriptors frees file descriptors for attempts in progress: it closes idle connections and lets other parts of
// the process free theirs.
func (p *Pool) freeDescriptors() {
	p.CloseIdle()
	if p.onDescriptorShortage != nil {
		p.onDescriptorShortage()
	}
}
