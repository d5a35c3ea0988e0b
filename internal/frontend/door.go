package frontend

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
	"fennelarch/internal/flightrecorder"
	"fennelarch/internal/invariant"
	"fennelarch/internal/limits"
	"fennelarch/internal/resp"
	"fennelarch/internal/system"
	"fennelarch/policy/admission"

	"go.uber.org/zap"
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
		s.file, _ = system.Open(os.DevNull)
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
	if e.Kind == admission.EventClosed {
		delete(s.conns, e.Conn)
	}
	s.acts = s.doors.Handle(time.Since(s.start), &e, s.acts[:0])
	for _, x := range s.acts {
		switch x.Kind {
		case admission.CloseIdle:
			if c := s.conns[x.Conn]; c != nil {
				delete(s.conns, x.Conn)
				c.ended.Store(true)
				go func() {
					c.mu.Lock()
					defer c.mu.Unlock()
					c.wake()
				}()
			}
		case admission.ModeChanged:
			s.log.Info("admission mode changed", zap.Stringer("from", x.From), zap.Stringer("to", x.To))
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

// Accept returns the next connection that is taken; those that are not are turned back on the way. It waits for nothing
// but the network, and for the pause that the decisions want where descriptors run out.
func (l listener) Accept() (net.Conn, error) {
	s := l.server
	for {
		begun := time.Now()
		up, err := l.Listener.Accept()
		now := time.Now()
		if now.Sub(begun) > s.shared.limits.RecheckInterval {
			s.refusing = time.Time{} // nobody waited when the call began
		}
		switch {
		case err != nil && system.Exhausted(err):
			if s.refusing.IsZero() {
				s.refusing = now
			}
			if now.Sub(s.refusing) < s.shared.limits.DescriptorShortageAfter { // it may be for a moment: who waits to be accepted loses nothing
				time.Sleep(s.shared.limits.RecheckInterval)
				continue
			}
			if c := s.overflow(l.Listener); c != nil {
				return c, nil
			}
			continue
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case err != nil: // one that went before it was taken
			time.Sleep(s.shared.limits.RecheckInterval)
			continue
		}
		s.spare.hold()
		s.tell(admission.Event{Kind: admission.EventDescriptorAvailable})
		c := s.arrive(up, s.arrived(now))
		if s.spare.file != nil {
			s.refusing = time.Time{} // what waited for descriptors is taken one by one; the next has hardly waited longer
		}
		if c != nil {
			return c, nil
		}
	}
}

func (s *Server) arrive(up net.Conn, came time.Time) *conn {
	ip, err := netip.ParseAddrPort(up.RemoteAddr().String())
	if err != nil {
		_ = up.Close()
		return nil
	}
	c := newConn(s, up)
	c.empty = came
	s.mu.Lock()
	s.last++
	c.id = s.last
	s.conns[c.id] = c
	s.mu.Unlock()
	a, _ := s.tell(admission.Event{Kind: admission.EventArrive, Conn: c.id, Peer: admission.Address(ip.Addr().As16()), TLS: s.keys != nil})
	if a.Kind == admission.Accept {
		s.guard.Record(flightrecorder.Entry{Event: flightrecorder.ConnectionAccepted, ID: uint64(c.id)})
		c.counts.Store(true)
		s.live.Add(1)
		return c
	}
	s.guard.CloseClient(uint64(c.id), invariant.CloseRejected, 0)
	s.mu.Lock()
	delete(s.conns, c.id)
	s.mu.Unlock()
	if a.Kind == admission.Reject && s.spare.file != nil && s.turned.Add(1) <= int64(s.shared.limits.RejectedConnections) {
		go func() {
			defer s.turned.Add(-1)
			s.turnBack(up, a.Wait)
		}()
		return nil
	} else if a.Kind == admission.Reject {
		if s.spare.file != nil {
			s.turned.Add(-1)
		}
		s.turnBackAtOnce(up, a.Wait)
	}
	_ = up.Close()
	return nil
}

// arrived is when a connection that is accepted now may have come, and its first request with it: it has waited while the process
// stood still, or while there was no descriptor for it.
func (s *Server) arrived(now time.Time) time.Time {
	came := s.guard.Watch().Arrived(now)
	if !s.refusing.IsZero() && s.refusing.Before(came) {
		came = s.refusing
	}
	return came
}

// turnBackAtOnce answers what has come by now, or says so unasked, and waits for nothing: there are too many to be polite.
func (s *Server) turnBackAtOnce(up net.Conn, wait time.Duration) {
	l := &s.shared.limits
	buf, n := make([]byte, 4<<10), 0
	if raw, can := up.(syscall.Conn); can {
		if c, err := raw.SyscallConn(); err == nil {
			_ = c.Read(func(fd uintptr) bool { // once, whatever comes of it
				n, _ = syscall.Read(int(fd), buf)
				return true
			})
		}
	}
	in, dec := resp.Ring{Bound: l.ClientReadBuffer}, resp.Decoder{Args: l.FrameStrings, Size: l.ClientReadBuffer - 2*l.FieldBytes, Most: l.ClientReadBuffer}
	in.Append(buf[:max(0, n)])
	out := answers(nil, &dec, &in, l.FieldBytes, wait)
	if len(out) == 0 {
		out = word(wait)
	}
	_ = up.SetWriteDeadline(time.Now().Add(time.Millisecond))
	_, _ = up.Write(out)
}

// answers adds the refusal of each whole message that has come.
func answers(b []byte, dec *resp.Decoder, in *resp.Ring, fields int, wait time.Duration) []byte {
	for {
		args, err := dec.Next(in)
		if args == nil || err != nil {
			return b
		}
		if len(args) < 2 || len(args[1]) > fields {
			continue
		}
		what, hold := "BUSY", ""
		if v := string(args[0]); v != "DO" && v != "PING" {
			what = "FAILED"
		} else if wait > 0 {
			hold = fmt.Sprintf("holdoff=%d", max(1, wait.Milliseconds()))
		}
		b = resp.AppendWords(b, string(args[1]), what, hold, "")
	}
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
	_ = up.SetDeadline(time.Now().Add(l.CloseLinger))
	in, dec := resp.Ring{Bound: l.ClientReadBuffer}, resp.Decoder{Args: l.FrameStrings, Size: l.ClientReadBuffer - 2*l.FieldBytes, Most: l.ClientReadBuffer}
	told := false
	for !told {
		n, err := up.Read(in.Tail())
		in.Commit(n)
		if out := answers(nil, &dec, &in, l.FieldBytes, wait); len(out) > 0 {
			if _, err := up.Write(out); err != nil {
				return
			}
			told = true
		}
		if err != nil {
			break
		}
	}
	_ = up.SetDeadline(time.Now().Add(l.CloseLinger))
	if !told {
		if _, err := up.Write(word(wait)); err != nil {
			return
		}
	}
	drain(up, l)
}

// drain says that nothing more will be written, and takes what the other side still sends, within bounds of bytes and time.
func drain(up net.Conn, l *limits.Limits) {
	if half, can := up.(interface{ CloseWrite() error }); can {
		_ = half.CloseWrite()
	}
	_ = up.SetReadDeadline(time.Now().Add(l.CloseLinger))
	rest := make([]byte, 1<<10)
	for range l.ClientReadBuffer / len(rest) {
		if _, err := up.Read(rest); err != nil {
			return
		}
	}
}

// ReportDescriptorShortage says that no descriptor was left for something else: connections that rest make room for it.
func (s *Server) ReportDescriptorShortage() {
	s.tell(admission.Event{Kind: admission.EventNoUpstreamDescriptors})
}

// overflow: there is no descriptor left. The spare one is given up, and whoever comes in the time that the decisions say is
// told so by it, or taken if they may be where the decisions have made room; then it is held again.
func (s *Server) overflow(l net.Listener) *conn {
	defer s.spare.hold()
	a, _ := s.tell(admission.Event{Kind: admission.EventNoDescriptors})
	if s.OnDescriptorShortage != nil {
		s.OnDescriptorShortage()
	}
	s.spare.release()
	t, can := l.(interface{ SetDeadline(time.Time) error })
	if !can {
		time.Sleep(a.Wait)
		return nil
	}
	// All that wait are told at once, by one descriptor after the other: who waits in the system's queue believes to be taken.
	_ = t.SetDeadline(time.Now().Add(a.Wait))
	defer func() { _ = t.SetDeadline(time.Time{}) }()
	for range s.shared.limits.Sockets {
		up, err := l.Accept()
		if err != nil {
			if system.Exhausted(err) {
				time.Sleep(a.Wait) // not even the spare one is to be had
			}
			return nil
		}
		if c := s.arrive(up, s.arrived(time.Now())); c != nil { // room was made for it
			return c
		}
	}
	return nil
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
	if e.Kind == admission.EventRequest {
		if c.server.ending.Load() {
			return 0, false
		}
		e.Elapsed = c.server.lag()
	}
	a, said := c.server.tell(e)
	taken := said && a.Kind == admission.Accept
	if taken && !c.busy { // the decisions take it for busy from here on: its end would lose the view
		c.busy = true
		c.server.busy.Add(1)
	}
	return a.Wait, taken
}

var _ engine.Client = (*conn)(nil)

// shake finishes a TLS handshake in time, and tells the decisions whose certificate it showed.
func (c *conn) shake() bool {
	if c.server.keys == nil {
		return true
	}
	begun := time.Now()
	peer, err := c.server.keys.shake(c.Conn, c.server.shared.limits.MessageTimeout)
	c.server.tell(admission.Event{Kind: admission.EventHandshakeDone, Conn: c.id, Peer: peer, Elapsed: c.server.keys.cost(time.Since(begun), err)})
	if err != nil {
		c.server.keys.complain(c.server.log, err)
		c.mu.Lock()
		c.session.closed = true
		c.mu.Unlock()
		return false
	}
	return true
}
