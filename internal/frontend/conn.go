package frontend

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/invariant"
	"fennelarch/internal/system"
	"fennelarch/policy/admission"

	"golang.org/x/sys/unix"
)

// This file owns a client connection: the goroutine that reads it, the one that writes it, and its end. It must never look into
// a frame.

// conn is one client connection.
type conn struct {
	net.Conn
	raw    net.Conn // what it runs over
	server *Server
	id     admission.ConnID
	paused atomic.Int64 // for how long nothing is to be taken of it
	ended  atomic.Bool  // it is to make room for others
	counts atomic.Bool  // among those that are not closed yet

	mu      sync.Mutex
	change  *sync.Cond // of the session
	session *session
	busy    bool
	opens   time.Time // nothing is taken of it before
	stalled bool      // nor until its client has read
	looked  time.Time // when it was last looked through

	empty time.Time // when the system last held nothing of it that was not read; the reader's own, as is
	gone  bool      // the client was found to have left
}

// unlock lets go of the session after a change of it.
func (c *conn) unlock() {
	if busy := !c.session.idle(); busy != c.busy {
		c.busy = busy
		kind := admission.EventIdle
		if busy {
			c.server.busy.Add(1)
			kind = admission.EventBusy
		} else {
			c.server.busy.Add(-1)
		}
		c.server.tell(admission.Event{Kind: kind, Conn: c.id})
		if !busy && c.leaving() {
			c.wake()
		}
	}
	if c.stalled && !c.session.full() {
		c.stalled = false
		c.wake()
	}
	c.change.Broadcast()
	c.mu.Unlock()
}

// wake has the reader look up from what it waits for. The session must be held, as the reader does when it begins to wait.
func (c *conn) wake() { _ = c.Conn.SetReadDeadline(time.Unix(1, 0)) }

// leaving says whether the connection is to go as soon as nothing is owed on it.
func (c *conn) leaving() bool { return c.ended.Load() || c.server.ending.Load() }

// Respond takes the final answer of a view.
func (c *conn) Respond(tag engine.Tag, a engine.Response) {
	c.mu.Lock()
	c.session.answer(tag, a)
	c.unlock()
}

// Read is called by redcon's goroutine of the connection. It does all the reading and returns when the connection is
// over, so that redcon ends it.
func (c *conn) Read([]byte) (int, error) {
	reason, over := invariant.CloseHandshake, !c.shake()
	if !over {
		go c.write()
	}
	for !over {
		reason, over = c.read()
	}
	c.mu.Lock()
	c.server.guard.CloseClient(uint64(c.id), reason, len(c.session.open))
	c.session.over()
	events := c.session.take()
	c.unlock()
	c.tell(time.Now(), events)
	if !left(reason) {
		c.part()
	}
	c.server.tell(admission.Event{Kind: admission.EventClosed, Conn: c.id})
	return 0, io.EOF
}

// left says whether the client, or the network, ended a connection, so that nothing more can be told on it.
func left(reason invariant.CloseReason) bool {
	switch reason {
	case invariant.CloseClientLeft, invariant.CloseReadFailed, invariant.CloseWriteFailed, invariant.CloseHandshake:
		return true
	}
	return false
}

// Close ends the connection for good.
func (c *conn) Close() error {
	if c.counts.Swap(false) {
		c.server.live.Add(-1)
	}
	return c.Conn.Close()
}

// read takes what comes next. It says whether the connection is over, and for what reason. While nothing may be taken, what comes
// is kept in the ring, so that whoever leaves or takes something back is heard all the same.
func (c *conn) read() (reason invariant.CloseReason, over bool) {
	now := time.Now()
	bad, more := c.parse(now)
	next := c.plan(now)
	c.tell(now, next.events)
	switch {
	case bad != nil: // what is open has its answer yet
		c.await(func() bool { return c.session.idle() })
		return invariant.CloseClientMalformed, true
	case c.gone:
		return invariant.CloseClientLeft, true
	case next.closed:
		return invariant.CloseWriteFailed, true
	case more && !next.held:
		return reason, false // there is more to take at once
	case next.leaves:
		return next.reason, true
	case len(next.space) == 0:
		time.Sleep(c.server.shared.limits.RecheckInterval)
		return invariant.CloseClientLeft, hungUp(c.raw)
	}
	err := c.take(next.space)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		if now = time.Now(); next.held || now.Before(next.until) {
			return reason, false
		}
		return c.rests(now)
	case errors.Is(err, io.EOF):
		return invariant.CloseClientLeft, true
	case err != nil:
		return invariant.CloseReadFailed, true
	}
	return reason, false
}

// parse takes what has come, unless it is held. Where something of it came long ago, the rest of what the client has sent is looked
// through first: it may have taken it back since, or left. More says that something in the ring may be left to take.
func (c *conn) parse(now time.Time) (bad error, more bool) {
	c.mu.Lock()
	if wait := c.paused.Swap(0); wait > 0 {
		c.opens = now.Add(time.Duration(wait))
	}
	if now.Before(c.opens) || c.session.full() {
		c.lookAhead(now)
	}
	if now.Before(c.opens) || c.session.full() {
		c.unlock()
		return nil, true
	}
	bad = c.session.parse(now)
	more = c.session.full()
	stale := c.session.stale(now)
	c.unlock()
	if stale && bad == nil {
		c.catchUp()
		more = true
	}
	return bad, more
}

// lookAhead looks now and then through what is held. A pause ends before the time of a request among it is up: what is to be refused is
// refused in time.
func (c *conn) lookAhead(now time.Time) {
	l := &c.server.shared.limits
	if now.Sub(c.looked) < l.HeldInputInterval {
		return
	}
	c.looked = now
	if first := c.session.ahead(); !first.IsZero() && first.Sub(now) < l.PauseMargin {
		c.opens = now
	}
}

// catchUp reads what the system holds of the connection by now, and gives up what was taken back in it. Where there is more of it
// than the ring has room for, what came long ago is refused: nobody can tell whether its client still waits.
func (c *conn) catchUp() {
	end := time.Now().Add(c.server.shared.limits.ReadAheadTimeout)
	err, whole := error(nil), false
	for err == nil {
		c.mu.Lock()
		space := c.session.space()
		_ = c.Conn.SetReadDeadline(end)
		c.mu.Unlock()
		if len(space) == 0 {
			break
		}
		err = c.take(space)
		whole = errors.Is(err, os.ErrDeadlineExceeded)
	}
	gone := err != nil && !whole || hungUp(c.raw)
	c.mu.Lock()
	defer c.unlock()
	switch {
	case gone:
		c.gone = true
		c.session.over()
	case whole:
		c.session.ahead()
	default:
		c.session.ahead()
		c.session.refuseStale(time.Now())
	}
}

// step is what the reader is to do next.
type step struct {
	events []engine.Message
	space  []byte
	until  time.Time // nothing is to come for longer
	held   bool      // nothing may be taken at the moment
	closed bool      // the writer has found the connection broken
	leaves bool      // the connection is to end now
	reason invariant.CloseReason
}

// plan says what the reader is to do next, and by when it is to look again.
func (c *conn) plan(now time.Time) (next step) {
	c.mu.Lock()
	defer c.unlock()
	c.stalled = c.session.full()
	next.held = c.stalled || now.Before(c.opens)
	ending := c.server.ending.Load()
	next.leaves = (ending || c.ended.Load()) && !next.held && c.session.still(now, ending)
	if next.reason = invariant.CloseClientForCapacity; ending {
		next.reason = invariant.CloseShutdown
	}
	next.closed, next.events = c.session.closed, c.session.take()
	next.space, next.until = c.session.space(), c.session.until(now)
	switch {
	case next.held:
		next.until = now.Add(c.server.shared.limits.HeldInputInterval)
	case ending && !c.session.asked && c.session.in.Len() == 0:
		next.until = c.session.begun.Add(c.server.shared.limits.CloseLinger)
	}
	_ = c.Conn.SetReadDeadline(next.until)
	return next
}

// take reads into the ring, and keeps account of when what it read may have come.
func (c *conn) take(space []byte) error {
	begun := time.Now()
	n, err := system.Read(c.Conn, space)
	now, watch := time.Now(), c.server.guard.Watch()
	came := watch.Earliest(c.empty, begun, now)
	if n < len(space) && watch.Arrived(now).Equal(now) {
		c.empty = now // the system holds nothing more of it; just after a stall, it may still be handing on what came meanwhile
	}
	if n == 0 {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session.put(n, now, came)
	return nil // an error comes again
}

// rests is called when nothing came for long, and says whether the connection is to end for it.
func (c *conn) rests(now time.Time) (reason invariant.CloseReason, over bool) {
	c.mu.Lock()
	if reason = invariant.CloseClientIdle; c.session.in.Len() > 0 {
		reason = invariant.CloseIncomplete
	}
	over = c.session.rest()
	events := c.session.take()
	c.unlock()
	c.tell(now, events)
	if over {
		c.await(func() bool { return c.session.idle() })
	}
	return reason, over
}

// part ends the connection so that what was written arrives: an end over unread bytes would reset it, and take along what the
// system still holds. What comes now crosses the end: it is read, and passed over.
func (c *conn) part() {
	s := c.server
	if c.ended.Load() { // another has its place already, and may need its descriptor
		defer s.parting.Add(-1)
		if s.parting.Add(1) > int64(s.shared.limits.RejectedConnections) && !s.ending.Load() {
			return
		}
	}
	if c.Conn != c.raw {
		if half, can := c.Conn.(interface{ CloseWrite() error }); can { // TLS has an end of its own
			_ = half.CloseWrite()
		}
	}
	drain(c.raw, &s.shared.limits)
}

// hungUp says whether the other side has closed, though there are bytes of it to be read before its end.
func hungUp(up net.Conn) bool {
	raw, can := up.(syscall.Conn)
	if !can {
		return false
	}
	c, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	n := 0
	err = c.Control(func(fd uintptr) {
		n, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}, 0)
	})
	return err != nil || n > 0
}

// tell hands on what the client wants. A request that the engine has no room for is refused at once: the connection must go on
// being read.
func (c *conn) tell(at time.Time, events []engine.Message) {
	for _, e := range events {
		if a, is := e.(*engine.Request); !c.server.post(at, e) && is {
			c.Respond(a.Tag, engine.Response{Status: engine.StatusRejected})
		}
	}
}

func (c *conn) await(so func() bool) {
	c.mu.Lock()
	for !so() {
		c.change.Wait()
	}
	c.mu.Unlock()
}

func (c *conn) write() {
	for {
		c.mu.Lock()
		out := c.session.outgoing()
		for len(out) == 0 && !c.session.closed {
			c.change.Wait()
			out = c.session.outgoing()
		}
		closed := c.session.closed
		c.unlock()
		if closed {
			return
		}
		_ = c.Conn.SetWriteDeadline(time.Now().Add(c.server.shared.limits.WriteStallTimeout))
		n, err := system.Write(c.Conn, out)
		c.mu.Lock()
		c.session.out.Wrote(n)
		if err != nil {
			c.session.over()
		}
		c.unlock()
		if err != nil {
			_ = c.Conn.Close()
			return
		}
	}
}
