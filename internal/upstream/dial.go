package upstream

import (
	"errors"
	"net"
	"time"

	"fennelarch/internal/flightrecorder"
	"fennelarch/internal/system"
)

// connect brings the connection up, or returns nil.
func (c *connection) connect(address string) net.Conn {
	overdue := time.AfterFunc(c.pool.limits.SlowConnect, func() { c.pool.reassignWaiting(c) })
	defer overdue.Stop()
	socket, err := c.dial(address)
	if err != nil {
		c.noteDialError(err)
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

func (c *connection) noteDialError(err error) {
	var failed *dialError
	isLocal := errors.As(err, &failed) && failed.fault == system.FaultLocal
	c.mu.Lock()
	c.session.dialFailedLocally = isLocal
	c.mu.Unlock()
}

// dial tries until the connection is up, or it is known that it will not be. What concerns this machine alone, or
// may be over in a moment, is tried again; if that is what remains, it tells nothing of the server. Its error is a
// dialError.
func (c *connection) dial(address string) (net.Conn, error) {
	l := &c.pool.limits
	started := time.Now()
	socket, err := c.pool.dial("tcp", address, l.ConnectTimeout)
	attempts := 1
	for ; attempts <= l.Redials && c.isWorthRedial(err, time.Since(started)); attempts++ {
		if attempts > 1 && system.Exhausted(err) { // not for the moment only
			c.pool.makeRoomForDescriptor()
		}
		time.Sleep(l.RecheckInterval)
		timeout := max(l.RecheckInterval, l.ConnectTimeout-time.Since(started))
		socket, err = c.pool.dial("tcp", address, timeout)
	}
	now := time.Now()
	fault := system.Classify(err)
	if fault == system.FaultSilent && c.pool.monitor.Watch().StalledSince(started, now) {
		fault = system.FaultLocal // this process stood still meanwhile: nobody knows what came
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

// isWorthRedial says whether a dial that failed after so long is worth another try.
func (c *connection) isWorthRedial(err error, elapsed time.Duration) bool {
	switch system.Classify(err) {
	case system.FaultLocal:
		return true
	case system.FaultSilent: // known at once: the way to the server may be back in a moment
		return elapsed < c.pool.limits.SlowConnect
	default:
		return false
	}
}

// makeRoomForDescriptor gives up what holds descriptors without need: attempts under way come first.
func (p *Pool) makeRoomForDescriptor() {
	p.CloseIdle()
	if p.onDescriptorShortage != nil {
		p.onDescriptorShortage()
	}
}
