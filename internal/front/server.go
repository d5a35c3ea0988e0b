package front

// This file owns the listener and the goroutines of each client connection. redcon accepts, keeps and ends the
// connections; the bytes are read here, under the session's bounds. It must never look into a frame.

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"
	"go.uber.org/zap"

	"fennelarch/internal/engine"
	"fennelarch/internal/limits"
	"fennelarch/internal/settings"
	"fennelarch/rules"
)

// Server takes clients.
type Server struct {
	shared shared
	post   func(at time.Time, what any)
	log    *zap.Logger
	redcon *redcon.Server
	count  atomic.Int64 // connections
	views  atomic.Uint64
	busy   atomic.Int64 // connections on which something is open or to be written
	down   atomic.Bool
}

// New returns a server that answers a PING with UP until Down is called.
func New(l limits.Limits, n settings.Names, tariffs []rules.Tariff, post func(at time.Time, what any), log *zap.Logger) *Server {
	s := &Server{post: post, log: log}
	s.shared = shared{limits: l, tariffs: map[string]rules.TariffID{},
		view: func() rules.ViewID { return rules.ViewID(s.views.Add(1)) },
		up:   func() bool { return !s.down.Load() }}
	for i, name := range n.Tariffs {
		s.shared.tariffs[name] = rules.TariffID(i)
		s.shared.writes = append(s.shared.writes, tariffs[i].Write)
	}
	s.redcon = redcon.NewServer("", func(redcon.Conn, redcon.Command) {}, nil, nil)
	return s
}

// Serve takes connections from a listener until it is closed.
func (s *Server) Serve(l net.Listener) error { return s.redcon.Serve(listener{l, s}) }

// Down answers a PING with DOWN from now on.
func (s *Server) Down() { s.down.Store(true) }

// Quiet says whether no connection has anything open or to be written.
func (s *Server) Quiet() bool { return s.busy.Load() == 0 }

// listener hands redcon connections whose bytes are read here.
type listener struct {
	net.Listener
	server *Server
}

func (l listener) Accept() (net.Conn, error) {
	up, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: up, server: l.server, wake: make(chan struct{}, 1), done: make(chan struct{})}
	c.session = newSession(&l.server.shared, c)
	return c, nil
}

// conn is one client connection.
type conn struct {
	net.Conn
	server *Server
	wake   chan struct{}
	done   chan struct{}

	mu      sync.Mutex
	session *session
	busy    bool
}

// Answer takes the final answer of a view.
func (c *conn) Answer(tag uint64, a engine.Answer) {
	c.mu.Lock()
	c.session.answer(tag, a)
	c.mu.Unlock()
	c.stir()
}

func (c *conn) stir() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Read is called by redcon's goroutine of the connection and returns when the connection is over.
func (c *conn) Read([]byte) (int, error) {
	go c.write()
	for {
		c.mu.Lock()
		space := c.session.space()
		c.mu.Unlock()
		n, err := c.Conn.Read(space)
		now := time.Now()
		c.mu.Lock()
		var bad error
		if n > 0 {
			bad = c.session.got(n, now)
		}
		if err != nil {
			c.session.over()
		}
		events := c.session.take()
		c.mark()
		c.mu.Unlock()
		for _, e := range events {
			c.server.post(now, e)
		}
		c.stir()
		if err != nil {
			close(c.done)
			return 0, io.EOF
		}
		if bad != nil {
			c.drain()
			c.mu.Lock()
			c.session.over()
			c.mark()
			c.mu.Unlock()
			close(c.done)
			return 0, io.EOF
		}
	}
}

// drain waits until all that is open on a connection whose framing broke has its answer.
func (c *conn) drain() {
	for range 400 {
		c.mu.Lock()
		idle := c.session.idle()
		c.mu.Unlock()
		if idle {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// mark keeps the count of busy connections; the caller holds the lock.
func (c *conn) mark() {
	if busy := !c.session.idle(); busy != c.busy {
		c.busy = busy
		if busy {
			c.server.busy.Add(1)
		} else {
			c.server.busy.Add(-1)
		}
	}
}

func (c *conn) write() {
	for {
		c.mu.Lock()
		out := c.session.outgoing()
		c.mu.Unlock()
		if len(out) == 0 {
			select {
			case <-c.wake:
				continue
			case <-c.done:
				return
			}
		}
		_ = c.Conn.SetWriteDeadline(time.Now().Add(c.server.shared.limits.Stuck))
		n, err := c.Conn.Write(out)
		c.mu.Lock()
		c.session.out.Drop(n)
		c.mark()
		c.mu.Unlock()
		if err != nil {
			_ = c.Conn.Close()
			return
		}
	}
}
