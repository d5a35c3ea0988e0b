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

	"fennelarch/internal/engine"
	"fennelarch/internal/limits"
	"fennelarch/internal/settings"
	"fennelarch/rules"
)

// Server takes clients.
type Server struct {
	shared shared
	post   func(at time.Time, what any)
	redcon *redcon.Server
	busy   atomic.Int64 // connections on which something is open or to be written

	mu    sync.Mutex
	conns map[*conn]bool
}

// New returns a server; what clients want goes to post.
func New(l limits.Limits, n settings.Names, tariffs []rules.Tariff, post func(at time.Time, what any)) *Server {
	s := &Server{post: post, conns: map[*conn]bool{}}
	s.shared.limits, s.shared.tariffs, s.shared.open = l, map[string]rules.TariffID{}, map[engine.Ident]claim{}
	for i, name := range n.Tariffs {
		s.shared.tariffs[name] = rules.TariffID(i)
		s.shared.writes = append(s.shared.writes, tariffs[i].Write)
	}
	s.redcon = redcon.NewServer("", func(redcon.Conn, redcon.Command) {}, nil, nil)
	return s
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

// listener hands redcon connections whose bytes are read here.
type listener struct {
	net.Listener
	server *Server
}

// Accept never waits on anything but the network. Where there are too many connections, one that rests makes room, or
// else the new one is closed.
func (l listener) Accept() (net.Conn, error) {
	up, err := l.Listener.Accept()
	if err != nil {
		time.Sleep(l.server.shared.limits.Pause) // redcon asks again at once
		return nil, err
	}
	c := &conn{Conn: up, server: l.server}
	c.change = sync.NewCond(&c.mu)
	c.session = newSession(&l.server.shared, c, time.Now())
	s := l.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.shared.limits.Clients {
		rests := s.resting(c)
		_ = rests.Conn.Close()
		delete(s.conns, rests)
		if rests == c {
			return c, nil
		}
	}
	s.conns[c] = true
	return c, nil
}

// resting is the connection on which nothing is open or to be written for the longest, or the one given. One that has not
// asked for anything yet goes before those that have, unless it has only just come.
func (s *Server) resting(c *conn) *conn {
	var longest time.Time
	found := c
	for o := range s.conns {
		if since, rests := o.rests(); rests && (found == c || since.Before(longest)) {
			found, longest = o, since
		}
	}
	return found
}

// conn is one client connection.
type conn struct {
	net.Conn
	server *Server

	mu      sync.Mutex
	change  *sync.Cond // of the session
	session *session
	busy    bool
}

// unlock lets go of the session after a change of it.
func (c *conn) unlock() {
	if busy := !c.session.idle(); busy != c.busy {
		c.busy = busy
		if busy {
			c.server.busy.Add(1)
		} else {
			c.server.busy.Add(-1)
		}
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

func (c *conn) rests() (since time.Time, rests bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since = c.session.begun
	if !c.session.asked {
		since = since.Add(-c.server.shared.limits.Fresh)
	}
	return since, c.session.idle()
}

// Read is called by redcon's goroutine of the connection. It does all the reading and returns when the connection is
// over, so that redcon ends it.
func (c *conn) Read([]byte) (int, error) {
	go c.write()
	for c.read() {
	}
	c.mu.Lock()
	c.session.over()
	events := c.session.take()
	c.unlock()
	c.tell(time.Now(), events)
	s := c.server
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
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
