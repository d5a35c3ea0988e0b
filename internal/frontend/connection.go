package frontend

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/invariant"
	"fennelarch/policy/admission"

	"golang.org/x/sys/unix"
)

// connection is a client connection. With TLS, it reads and writes the plaintext.
type connection struct {
	net.Conn
	raw    net.Conn // the connection below TLS; the same as Conn without TLS
	server *Server
	id     admission.ConnID

	wake chan struct{} // wakes a reader that waits for room

	requestedPause atomic.Int64 // nanoseconds for which nothing is parsed, from the next step of the reader
	isEvicted      atomic.Bool  // to be closed to make room for others
	isSocketOpen   atomic.Bool  // counted in Server.openSocketCount

	mu                 sync.Mutex // locked before Server.mu if both are needed
	sessionChanged     *sync.Cond // signals a change of the session
	session            *session
	isReportedBusy     bool // the admission policy counts the connection as busy
	isBackpressured    bool // input is held until the client has read its responses
	pausedUntil        time.Time
	heldInputScannedAt time.Time // last scan of held input

	// When the client was last known to have no more input under way, and how many bytes came since. Used by the reader
	// alone.
	receiveBufferEmptyAt time.Time
	burstBytes           int
	isReadingOn          bool        // the deadline of a read has passed with input unread; used by the reader alone
	isInBurst            atomic.Bool // more came than the client can send without some of it being held back
}

var _ engine.Client = (*connection)(nil)

func newConnection(s *Server, raw net.Conn, arrivedAt time.Time) *connection {
	c := &connection{
		Conn: raw, raw: raw, server: s, receiveBufferEmptyAt: arrivedAt, wake: make(chan struct{}, 1),
	}
	c.sessionChanged = sync.NewCond(&c.mu)
	c.session = newSession(&s.shared, c, c.admitRequest, time.Now())
	c.session.mayHaveLeft = c.mayHaveLeft
	if s.tlsKeys != nil {
		c.Conn = s.tlsKeys.serverConn(raw)
		c.session.state = stateHandshaking
	}
	return c
}

// unlockAndNotify unlocks the connection after a change of its session. It reports a change between busy and idle to
// the admission policy, wakes the writer, and wakes a reader that is held or has to close an idle connection.
func (c *connection) unlockAndNotify() {
	if isBusy := !c.session.isIdle(); isBusy != c.isReportedBusy {
		c.reportBusy(isBusy)
	}
	if c.isBackpressured && !c.session.isBackpressured() {
		c.isBackpressured = false
		c.wakeReader()
	}
	c.sessionChanged.Broadcast()
	c.mu.Unlock()
}

// reportBusy reports to the admission policy that the connection has become busy or idle.
func (c *connection) reportBusy(isBusy bool) {
	c.isReportedBusy = isBusy
	if isBusy {
		c.server.busyCount.Add(1)
		c.server.handleAdmissionEvent(admission.Event{Kind: admission.EventBusy, Conn: c.id})
		return
	}
	c.server.busyCount.Add(-1)
	c.server.handleAdmissionEvent(admission.Event{Kind: admission.EventIdle, Conn: c.id})
	if c.isClosing() {
		c.wakeReader()
	}
}

// wakeReader interrupts the reader's current read or wait. The connection must be locked, because the reader sets its
// own read deadline under the same lock.
func (c *connection) wakeReader() {
	_ = c.SetReadDeadline(time.Unix(1, 0))
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// isClosing reports whether the connection is to be closed once all its responses are written.
func (c *connection) isClosing() bool { return c.isEvicted.Load() || c.server.isDraining.Load() }

// Respond passes the final response to a request on to the client.
func (c *connection) Respond(tag engine.Tag, response engine.Response) {
	c.mu.Lock()
	c.session.respond(tag, response)
	c.unlockAndNotify()
}

// Read is called by redcon's goroutine for the connection. It does all reading and returns io.EOF when the connection
// has ended, so that redcon closes it.
func (c *connection) Read([]byte) (int, error) {
	reason, hasEnded := invariant.CloseHandshakeFailed, !c.handshake()
	if !hasEnded {
		c.server.goroutines.Go(c.writeLoop)
	}
	for !hasEnded {
		reason, hasEnded = c.readStep()
	}
	c.mu.Lock()
	c.server.monitor.RecordClientClose(uint64(c.id), reason, len(c.session.inFlight))
	c.session.close()
	messages := c.session.takeMessages()
	c.unlockAndNotify()
	c.forward(time.Now(), messages)
	if !isEndedByClient(reason) {
		c.linger()
	}
	c.server.handleAdmissionEvent(admission.Event{Kind: admission.EventClosed, Conn: c.id})
	return 0, io.EOF
}

// Close closes the connection. It may be called more than once.
func (c *connection) Close() error {
	if c.isSocketOpen.Swap(false) {
		c.server.openSocketCount.Add(-1)
	}
	return c.Conn.Close()
}

// isEndedByClient reports whether the client or the network ended the connection, so that no response can reach the
// client.
func isEndedByClient(reason invariant.CloseReason) bool {
	switch reason {
	case invariant.CloseClientLeft, invariant.CloseReadFailed, invariant.CloseWriteFailed, invariant.CloseHandshakeFailed:
		return true
	default:
		return false
	}
}

// linger closes the write side and discards input for a while, so that the output arrives. Closing a connection with
// unread input would reset it and discard output that the kernel has not sent yet.
func (c *connection) linger() {
	server := c.server
	if c.isEvicted.Load() { // another connection has taken the slot and may need the descriptor
		defer server.lingeringCount.Add(-1)
		isOverLimit := server.lingeringCount.Add(1) > int64(server.shared.limits.RejectedConnections)
		if isOverLimit && !server.isDraining.Load() {
			return
		}
	}
	if c.Conn != c.raw {
		if halfCloser, canCloseWrite := c.Conn.(interface{ CloseWrite() error }); canCloseWrite {
			_ = halfCloser.CloseWrite() // sends TLS's close_notify alert
		}
	}
	closeWriteAndDiscard(c.raw, &server.shared.limits)
}

// mayHaveLeft reports whether the client of a request has closed the connection, or may have closed it or cancelled the
// request: it has sent much since, and not all of it has been read.
func (c *connection) mayHaveLeft(receivedAt time.Time) bool {
	isStale := time.Since(receivedAt) > c.server.shared.limits.StaleReadAge
	return hasPeerClosed(c.raw) || isStale && c.isInBurst.Load() && hasUnreadInput(c.raw)
}

// hasPeerClosed reports whether the client has closed its side, even if there is still unread input.
func hasPeerClosed(raw net.Conn) bool { return pollNow(raw, unix.POLLRDHUP) }

// hasUnreadInput reports whether the kernel holds input of the client.
func hasUnreadInput(raw net.Conn) bool { return pollNow(raw, unix.POLLIN) }

// pollNow reports whether an event of a connection, or an error, is pending. A connection without a descriptor has
// none.
func pollNow(raw net.Conn, events int16) bool {
	syscallConn, hasSyscallConn := raw.(syscall.Conn)
	if !hasSyscallConn {
		return false
	}
	descriptor, err := syscallConn.SyscallConn()
	if err != nil {
		return true
	}
	ready := 0
	err = descriptor.Control(func(fd uintptr) {
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: events}}, 0)
	})
	return err != nil || ready > 0
}

// forward posts messages to the engine. A request for which the engine has no room is rejected at once, because the
// reader must not block.
func (c *connection) forward(at time.Time, messages []engine.Message) {
	for _, message := range messages {
		taken := c.server.post(at, message)
		if request, isRequest := message.(*engine.Request); isRequest && !taken {
			request.OnDone()
			c.Respond(request.Tag, engine.Response{Status: engine.StatusRejected})
		}
	}
}

// awaitIdle waits until no request is in flight and all responses are written.
func (c *connection) awaitIdle() {
	c.mu.Lock()
	for !c.session.isIdle() {
		c.sessionChanged.Wait()
	}
	c.mu.Unlock()
}
