package front

// This file owns the listener and the goroutines of each client connection. redcon accepts, keeps and ends the
// connections; their bytes are read here, under the session's bounds, because redcon's own reader grows with whatever
// length a client announces. It must never look into a frame.

import (
	"errors"
	"io"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tidwall/redcon"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"fennelarch/internal/engine"
	"fennelarch/internal/limits"
	"fennelarch/internal/settings"
	"fennelarch/rules"
	"fennelarch/rules/admission"
)

// Server takes clients.
type Server struct {
	shared shared
	post   func(at time.Time, what any)
	redcon *redcon.Server
	start  time.Time
	log    *zap.Logger
	keys   *Keys // none: connections are plain
	spare  *spare
	lag    func() time.Duration

	Relieve func()       // if set, is called when no descriptor is left: others may have some to spare
	turned  atomic.Int64 // connections that are being turned back

	busy atomic.Int64 // connections on which something is open or to be written
	live atomic.Int64 // connections that were taken and are not closed yet

	parting atomic.Int64 // connections without a place that are being ended so that what was written arrives

	ending atomic.Bool // whoever rests is to go, and nothing new is taken

	mu    sync.Mutex
	doors *admission.Admission
	conns map[admission.ConnID]*conn
	last  admission.ConnID
	acts  []admission.Action
}

// Doors is how connections are admitted.
type Doors struct {
	Admission admission.Settings
	Keys      *Keys                // for TLS, or none
	Lag       func() time.Duration // how long events wait for the engine
	FlowKB    float64              // KB a second of one transfer, by which due times grow
}

// New returns a server; what clients want goes to post.
func New(l limits.Limits, n settings.Names, tariffs []rules.Tariff, d Doors, post func(at time.Time, what any), log *zap.Logger) *Server {
	s := &Server{post: post, conns: map[admission.ConnID]*conn{}, start: time.Now(), log: log, keys: d.Keys, spare: newSpare(), lag: d.Lag}
	if s.lag == nil {
		s.lag = func() time.Duration { return 0 }
	}
	s.doors = admission.New(bounded(d.Admission, &l))
	s.shared.limits, s.shared.tariffs, s.shared.open = l, map[string]rules.TariffID{}, map[engine.Ident]claim{}
	s.shared.tenants = n.Tenants
	for i, name := range n.Tariffs {
		s.shared.tariffs[name] = rules.TariffID(i)
		s.shared.writes = append(s.shared.writes, tariffs[i].Write)
		growth := 0.0
		if d.FlowKB > 0 {
			growth = tariffs[i].DueStretch / d.FlowKB
		}
		s.shared.due, s.shared.growth = append(s.shared.due, tariffs[i].Due), append(s.shared.growth, growth)
	}
	s.redcon = redcon.NewServer("", func(redcon.Conn, redcon.Command) {}, nil, nil)
	return s
}

// bounded fills in what the process's limits say.
func bounded(set admission.Settings, l *limits.Limits) admission.Settings {
	set.Most, set.Fresh = l.Clients, l.Fresh
	return set
}

// Admit takes settings that changed.
func (s *Server) Admit(set admission.Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.doors.Set(bounded(set, &s.shared.limits))
}

// Serve takes connections from a listener until it is closed.
func (s *Server) Serve(l net.Listener) error { return s.redcon.Serve(listener{l, s}) }

// End has every connection go as soon as nothing is owed on it; what is still asked is refused at once.
func (s *Server) End() {
	s.ending.Store(true)
	s.mu.Lock()
	conns := slices.Collect(maps.Values(s.conns))
	s.mu.Unlock()
	for _, c := range conns {
		c.mu.Lock()
		c.wake()
		c.mu.Unlock()
	}
}

// Left is how many connections are not closed yet.
func (s *Server) Left() int { return int(s.live.Load() + s.turned.Load()) }

// Count is how many connections there are.
func (s *Server) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Doors is what was decided about connections so far, and the mode it is in.
func (s *Server) Doors() (admission.Counts, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.doors.Counts, s.doors.Mode()
}

// listener hands redcon connections whose bytes are read here.
type listener struct {
	net.Listener
	server *Server
}

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
	came    time.Time // when the first of what was not taken yet came
	looked  time.Time // when it was last looked through
}

// unlock lets go of the session after a change of it.
func (c *conn) unlock() {
	if busy := !c.session.idle(); busy != c.busy {
		c.busy = busy
		kind := admission.EventRests
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

// Answer takes the final answer of a view.
func (c *conn) Answer(tag engine.Tag, a engine.Answer) {
	c.mu.Lock()
	c.session.answer(tag, a)
	c.unlock()
}

// Read is called by redcon's goroutine of the connection. It does all the reading and returns when the connection is
// over, so that redcon ends it.
func (c *conn) Read([]byte) (int, error) {
	more, left := c.shake(), true
	if more {
		go c.write()
	}
	for more {
		more, left = c.read()
	}
	c.mu.Lock()
	c.session.over()
	events := c.session.take()
	c.unlock()
	c.tell(time.Now(), events)
	if !left {
		c.part()
	}
	c.server.tell(admission.Event{Kind: admission.EventGone, Conn: c.id})
	return 0, io.EOF
}

// Close ends the connection for good.
func (c *conn) Close() error {
	if c.counts.Swap(false) {
		c.server.live.Add(-1)
	}
	return c.Conn.Close()
}

// read takes what comes next. It says whether more may come, and if not, whether it was the client who left. While nothing
// may be taken, what comes is kept in the ring, so that whoever leaves or takes something back is heard all the same.
func (c *conn) read() (more, left bool) {
	l := &c.server.shared.limits
	now := time.Now()
	c.mu.Lock()
	if wait := c.paused.Swap(0); wait > 0 {
		c.opens = now.Add(time.Duration(wait))
	}
	var bad error
	if held := now.Before(c.opens) || c.session.full(); !held {
		at := c.came
		if c.came = (time.Time{}); at.IsZero() {
			at = now
		}
		bad = c.session.parse(at)
	} else if now.Sub(c.looked) >= l.Watch {
		c.looked = now
		c.session.ahead()
	}
	c.stalled = c.session.full()
	held := c.stalled || now.Before(c.opens)
	ending := c.server.ending.Load()
	still := (ending || c.ended.Load()) && c.session.still(now, ending)
	closed, events := c.session.closed, c.session.take()
	space, until := c.session.space(), c.session.until(now)
	switch {
	case held:
		until = now.Add(l.Watch)
	case ending && !c.session.asked && c.session.in.Len() == 0:
		until = c.session.begun.Add(l.Polite)
	}
	_ = c.Conn.SetReadDeadline(until)
	c.unlock()
	c.tell(now, events)
	switch {
	case bad != nil: // what is open has its answer yet
		c.await(func() bool { return c.session.idle() })
		return false, false
	case closed:
		return false, true
	case still && !held:
		return false, false
	case len(space) == 0:
		time.Sleep(l.Pause)
		left = hungUp(c.raw)
		return !left, left
	}
	n, err := c.Conn.Read(space)
	now = time.Now()
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return held || now.Before(until) || !c.rests(now), false
	case err != nil:
		return false, true
	}
	c.mu.Lock()
	if c.came.IsZero() {
		c.came = now
	}
	c.session.put(n, now)
	c.mu.Unlock()
	return true, false
}

// rests is called when nothing came for long, and says whether the connection is to end for it.
func (c *conn) rests(now time.Time) bool {
	c.mu.Lock()
	rests, events := c.session.rest(), c.session.take()
	c.unlock()
	c.tell(now, events)
	if rests {
		c.await(func() bool { return c.session.idle() })
	}
	return rests
}

// part ends the connection so that what was written arrives: an end over unread bytes would reset it, and take along what the
// system still holds. What comes now crosses the end: it is read, and passed over.
func (c *conn) part() {
	s := c.server
	if c.ended.Load() { // another has its place already, and may need its descriptor
		defer s.parting.Add(-1)
		if s.parting.Add(1) > int64(s.shared.limits.Turned) && !s.ending.Load() {
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

func (c *conn) tell(at time.Time, events []any) {
	for _, e := range events {
		c.server.post(at, e)
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
		_ = c.Conn.SetWriteDeadline(time.Now().Add(c.server.shared.limits.Stuck))
		n, err := c.Conn.Write(out)
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
