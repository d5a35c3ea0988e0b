package front

// This file owns the way in: it accepts, asks the decisions, turns back with a word that reaches even a peer that is still
// sending, and goes on in order where descriptors run out. It must never decide who comes in.

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/resp"
	"fennelarch/rules/admission"
)

// spare is a descriptor held back, so that one more connection can be accepted and turned back where there is none.
type spare struct{ file *os.File }

func newSpare() *spare {
	s := &spare{}
	s.hold()
	return s
}

func (s *spare) hold() {
	if s.file == nil {
		s.file, _ = os.Open(os.DevNull)
	}
}

func (s *spare) release() {
	if s.file != nil {
		_ = s.file.Close()
		s.file = nil
	}
}

// tell hands the decisions an event and does what they want done with connections; what they say of the one in question is
// returned.
func (s *Server) tell(e admission.Event) (a admission.Action, said bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Kind == admission.EventGone {
		delete(s.conns, e.Conn)
	}
	s.acts = s.doors.Handle(time.Since(s.start), &e, s.acts[:0])
	for _, x := range s.acts {
		switch x.Kind {
		case admission.End:
			if c := s.conns[x.Conn]; c != nil {
				delete(s.conns, x.Conn)
				_ = c.raw.Close()
			}
		case admission.Log:
			s.log.Info(x.Text)
		case admission.Pause:
			if c := s.conns[x.Conn]; c != nil {
				c.paused.Store(int64(x.Wait))
				continue
			}
			a, said = x, true
		default:
			if x.Conn == e.Conn {
				a, said = x, true
			}
		}
	}
	return a, said
}

// exhausted says whether an accept failed for want of descriptors or memory.
func exhausted(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// Accept returns the next connection that is taken; those that are not are turned back on the way. It waits for nothing
// but the network, and for the pause that the decisions want where descriptors run out.
func (l listener) Accept() (net.Conn, error) {
	s := l.server
	for {
		up, err := l.Listener.Accept()
		switch {
		case err != nil && exhausted(err):
			s.overflow(l.Listener)
			continue
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case err != nil: // one that went before it was taken
			time.Sleep(s.shared.limits.Pause)
			continue
		}
		s.spare.hold()
		s.tell(admission.Event{Kind: admission.EventAccepted})
		if c := s.arrive(up); c != nil {
			return c, nil
		}
	}
}

func (s *Server) arrive(up net.Conn) *conn {
	ip, err := netip.ParseAddrPort(up.RemoteAddr().String())
	if err != nil {
		_ = up.Close()
		return nil
	}
	c := newConn(s, up)
	s.mu.Lock()
	s.last++
	c.id = s.last
	s.conns[c.id] = c
	s.mu.Unlock()
	a, _ := s.tell(admission.Event{Kind: admission.EventArrive, Conn: c.id, Peer: admission.Address(ip.Addr().As16()), TLS: s.keys != nil})
	if a.Kind == admission.Take {
		return c
	}
	s.mu.Lock()
	delete(s.conns, c.id)
	s.mu.Unlock()
	if a.Kind == admission.Refuse && s.turned.Add(1) <= int64(s.shared.limits.Turned) {
		go func() {
			defer s.turned.Add(-1)
			s.turnBack(up, a.Wait)
		}()
		return nil
	} else if a.Kind == admission.Refuse {
		s.turned.Add(-1)
		_ = up.SetWriteDeadline(time.Now().Add(time.Millisecond))
		_, _ = up.Write(word(a.Wait))
	}
	_ = up.Close()
	return nil
}

// word is what a client is told that has not asked for anything: an error that any reader of RESP knows for one.
func word(wait time.Duration) []byte {
	if wait <= 0 {
		return []byte("-BUSY too many connections\r\n")
	}
	return fmt.Appendf(nil, "-BUSY too many connections, come back in %d ms\r\n", wait.Milliseconds())
}

// turnBack answers what was asked with the time to come back, or says so unasked, and closes so that it arrives: an end
// with bytes unread would reset the connection, and the word with it.
func (s *Server) turnBack(up net.Conn, wait time.Duration) {
	defer func() { _ = up.Close() }()
	l := &s.shared.limits
	_ = up.SetDeadline(time.Now().Add(l.Polite))
	in, dec := resp.Ring{Bound: l.ClientIn}, resp.Decoder{Args: l.Strings, Size: l.ClientIn - 2*l.Fields, Most: l.ClientIn}
	told := false
	for !told {
		n, err := up.Read(in.Tail())
		in.Commit(n)
		for {
			args, bad := dec.Next(&in)
			if bad != nil {
				err = bad
			}
			if args == nil || bad != nil {
				break
			}
			if len(args) < 2 || len(args[1]) > l.Fields {
				continue
			}
			what, fields := "BUSY", ""
			if v := string(args[0]); v != "DO" && v != "PING" {
				what = "FAILED"
			} else if wait > 0 {
				fields = fmt.Sprintf("holdoff=%d", max(1, wait.Milliseconds()))
			}
			if _, err := up.Write(resp.AppendWords(nil, string(args[1]), what, fields, "")); err != nil {
				return
			}
			told = true
		}
		if err != nil {
			break
		}
	}
	_ = up.SetDeadline(time.Now().Add(l.Polite))
	if !told {
		if _, err := up.Write(word(wait)); err != nil {
			return
		}
	}
	if half, can := up.(interface{ CloseWrite() error }); can {
		_ = half.CloseWrite()
	}
	rest := make([]byte, 1<<10)
	for range l.ClientIn / len(rest) { // what it still sends is taken, up to a bound
		if _, err := up.Read(rest); err != nil {
			return
		}
	}
}

// overflow: there is no descriptor left. The spare one is given up for one more connection, which is told so; then nothing
// is accepted for as long as the decisions say.
func (s *Server) overflow(l net.Listener) {
	a, _ := s.tell(admission.Event{Kind: admission.EventExhausted})
	s.spare.release()
	if t, can := l.(*net.TCPListener); can {
		_ = t.SetDeadline(time.Now().Add(time.Millisecond))
		if up, err := t.Accept(); err == nil {
			_ = up.SetWriteDeadline(time.Now().Add(time.Millisecond))
			_, _ = up.Write(word(0))
			_ = up.Close()
		}
		_ = t.SetDeadline(time.Time{})
	}
	s.spare.hold()
	time.Sleep(a.Wait)
}

// newConn wraps a connection; over TLS its bytes are those inside.
func newConn(s *Server, up net.Conn) *conn {
	c := &conn{Conn: up, raw: up, server: s}
	if s.keys != nil {
		c.Conn = s.keys.server(up)
	}
	c.change = sync.NewCond(&c.mu)
	c.session = newSession(&s.shared, c, c.admits, time.Now())
	return c
}

// admits asks the decisions about a view, or tells them of one.
func (c *conn) admits(e admission.Event) (time.Duration, bool) {
	e.Conn = c.id
	if e.Kind == admission.EventView {
		e.Took = c.server.lag()
	}
	a, said := c.server.tell(e)
	return a.Wait, said && a.Kind == admission.Take
}

var _ engine.Client = (*conn)(nil)

// shake finishes a TLS handshake in time, and tells the decisions whose certificate it showed.
func (c *conn) shake() bool {
	if c.server.keys == nil {
		return true
	}
	begun := time.Now()
	peer, err := c.server.keys.shake(c.Conn, c.server.shared.limits.Whole)
	c.server.tell(admission.Event{Kind: admission.EventShown, Conn: c.id, Peer: peer, Took: c.server.keys.cost(time.Since(begun))})
	if err != nil {
		c.server.keys.complain(c.server.log, err)
		c.mu.Lock()
		c.session.closed = true
		c.mu.Unlock()
		return false
	}
	return true
}
