package front

// This file owns the listener and the goroutines of each client connection. redcon accepts, keeps and ends the
// connections; their bytes are read here, under the session's bounds, because redcon's own reader grows with whatever
// length a client announces. It must never look into a frame.

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"
	"go.uber.org/zap"

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

// Quiet says whether no connection has anything open or to be written.
func (s *Server) Quiet() bool { return s.busy.Load() == 0 }

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
	paused atomic.Int64 // for how long nothing is to be read of it

	mu      sync.Mutex
	change  *sync.Cond // of the session
	session *session
	busy    bool
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
	}
	c.change.Broadcast()
	c.mu.Unlock()
}

// Answer takes the final answer of a view.
func (c *conn) Answer(tag engine.Tag, a engine.Answer) {
	c.mu.Lock()
	c.session.answer(tag, a)
	c.unlock()
}

// Read is called by redcon's goroutine of the connection. It does all the reading and returns when the connection is
// over, so that redcon ends it.
func (c *conn) Read([]byte) (int, error) {
	if c.shake() {
		go c.write()
		for c.read() {
		}
	}
	c.mu.Lock()
	c.session.over()
	events := c.session.take()
	c.unlock()
	c.tell(time.Now(), events)
	c.server.tell(admission.Event{Kind: admission.EventGone, Conn: c.id})
	return 0, io.EOF
}

// read takes what comes next, and says whether more may come.
func (c *conn) read() bool {
	c.mu.Lock()
	space, until := c.session.space(), c.session.until(time.Now())
	c.mu.Unlock()
	_ = c.Conn.SetReadDeadline(until)
	n, err := c.Conn.Read(space)
	now := time.Now()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.mu.Lock()
		rests, events := c.session.rest(), c.session.take()
		c.unlock()
		c.tell(now, events)
		if rests {
			c.await(func() bool { return c.session.idle() })
		}
		return !rests
	}
	if err != nil {
		return false
	}
	for {
		c.mu.Lock()
		bad := c.session.got(n, now)
		events := c.session.take()
		full := c.session.full()
		c.unlock()
		c.tell(now, events)
		switch {
		case bad != nil: // what is open has its answer yet
			c.await(func() bool { return c.session.idle() })
			return false
		case !full:
			if wait := c.paused.Swap(0); wait > 0 {
				time.Sleep(time.Duration(wait))
			}
			return true
		}
		c.await(func() bool { return c.session.closed || !c.session.full() })
		n = 0
	}
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
