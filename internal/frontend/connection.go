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

// connection is one client connection. Over TLS, its bytes are those inside.
type connection struct {
	net.Conn
	raw    net.Conn // what it runs over
	server *Server
	id     admission.ConnID

	pauseFor   atomic.Int64 // how long nothing is to be parsed, counted from the reader's next step
	isEvicted  atomic.Bool  // it is to be closed for the sake of others
	isUnclosed atomic.Bool  // it is counted among those that are not closed yet

	mu              sync.Mutex // comes before the server's
	changed         *sync.Cond // of the session
	session         *session
	isReportedBusy  bool // to the admission policy
	isBackpressured bool // the reader waits until the client has read
	pausedUntil     time.Time
	heldScannedAt   time.Time

	emptyAt time.Time // when the system last held nothing of it that was not read; the reader's own
}

var _ engine.Client = (*connection)(nil)

func newConnection(s *Server, raw net.Conn, cameAt time.Time) *connection {
	c := &connection{Conn: raw, raw: raw, server: s, emptyAt: cameAt}
	c.changed = sync.NewCond(&c.mu)
	c.session = newSession(&s.shared, c, c.admitRequest, time.Now())
	if s.tlsKeys != nil {
		c.Conn = s.tlsKeys.serverConn(raw)
		c.session.state = stateHandshaking
	}
	return c
}

// unlockChanged unlocks the session after a change of it: the admission policy is notified whether the connection is
// busy, the writer looks again, and so does a reader that was held back or is to close an idle connection.
func (c *connection) unlockChanged() {
	if isBusy := !c.session.isIdle(); isBusy != c.isReportedBusy {
		c.reportBusy(isBusy)
	}
	if c.isBackpressured && !c.session.isBackpressured() {
		c.isBackpressured = false
		c.wakeReader()
	}
	c.changed.Broadcast()
	c.mu.Unlock()
}

// reportBusy tells the admission policy that the connection has become busy or idle.
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

// wakeReader has the reader return from its read. The connection must be locked, as it is by the reader when it sets
// its own deadline.
func (c *connection) wakeReader() { _ = c.SetReadDeadline(time.Unix(1, 0)) }

// isClosing says whether the connection is to be closed as soon as nothing is owed on it.
func (c *connection) isClosing() bool { return c.isEvicted.Load() || c.server.isDraining.Load() }

// Respond takes the final response of a request.
func (c *connection) Respond(tag engine.Tag, response engine.Response) {
	c.mu.Lock()
	c.session.respond(tag, response)
	c.unlockChanged()
}

// Read is called by redcon's goroutine of the connection. It does all the reading and returns when the connection is
// over, so that redcon closes it.
func (c *connection) Read([]byte) (int, error) {
	reason, isOver := invariant.CloseHandshake, !c.handshake()
	if !isOver {
		c.server.goroutines.Go(c.writeLoop)
	}
	for !isOver {
		reason, isOver = c.readStep()
	}
	c.mu.Lock()
	c.server.monitor.RecordClientClose(uint64(c.id), reason, len(c.session.inFlight))
	c.session.close()
	messages := c.session.takeMessages()
	c.unlockChanged()
	c.forward(time.Now(), messages)
	if !isEndedByClient(reason) {
		c.linger()
	}
	c.server.handleAdmissionEvent(admission.Event{Kind: admission.EventClosed, Conn: c.id})
	return 0, io.EOF
}

// Close closes the connection for good. Closing it again does no harm.
func (c *connection) Close() error {
	if c.isUnclosed.Swap(false) {
		c.server.unclosedCount.Add(-1)
	}
	return c.Conn.Close()
}

// isEndedByClient says whether the client, or the network, has ended a connection, so that no response can arrive any
// more.
func isEndedByClient(reason invariant.CloseReason) bool {
	switch reason {
	case invariant.CloseClientLeft, invariant.CloseReadFailed, invariant.CloseWriteFailed, invariant.CloseHandshake:
		return true
	default:
		return false
	}
}

// linger ends the connection so that what was written arrives: closing over unread bytes would reset it, and discard
// what the system has not sent yet. What comes now crosses the close: it is read, and passed over.
func (c *connection) linger() {
	server := c.server
	if c.isEvicted.Load() { // another has its place already, and may need its descriptor
		defer server.lingeringCount.Add(-1)
		isOverLimit := server.lingeringCount.Add(1) > int64(server.shared.limits.RejectedConnections)
		if isOverLimit && !server.isDraining.Load() {
			return
		}
	}
	if c.Conn != c.raw {
		if half, canCloseWrite := c.Conn.(interface{ CloseWrite() error }); canCloseWrite { // TLS has an end of its own
			_ = half.CloseWrite()
		}
	}
	closeWriteAndDiscard(c.raw, &server.shared.limits)
}

// hasPeerClosed says whether the other side has closed, though there are bytes of it to be read before its end.
func hasPeerClosed(raw net.Conn) bool {
	withDescriptor, canControl := raw.(syscall.Conn)
	if !canControl {
		return false
	}
	descriptor, err := withDescriptor.SyscallConn()
	if err != nil {
		return true
	}
	ready := 0
	err = descriptor.Control(func(fd uintptr) {
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}, 0)
	})
	return err != nil || ready > 0
}

// forward posts what the client wants to the engine. A request that the engine has no room for is rejected at once:
// the connection must go on being read.
func (c *connection) forward(at time.Time, messages []engine.Message) {
	for _, message := range messages {
		taken := c.server.post(at, message)
		if request, isRequest := message.(*engine.Request); isRequest && !taken {
			c.Respond(request.Tag, engine.Response{Status: engine.StatusRejected})
		}
	}
}

// awaitIdle waits until all that is in flight has its response, and all responses are written.
func (c *connection) awaitIdle() {
	c.mu.Lock()
	for !c.session.isIdle() {
		c.changed.Wait()
	}
	c.mu.Unlock()
}
