package upstream

import (
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fennelarch/internal/config"
	"fennelarch/internal/engine"
	"fennelarch/internal/limits"
	"fennelarch/policy/routing"

	"github.com/tidwall/redcon"
	"go.uber.org/zap"
)

// stand is a node that answers only while it is told to, and counts its connections.
type stand struct {
	net.Listener
	conns  chan net.Conn
	asked  chan string
	answer chan bool
	wait   atomic.Int64 // the deadline that the last request named, in milliseconds
}

func newStand(t *testing.T) *stand {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &stand{Listener: ln, conns: make(chan net.Conn, 100), asked: make(chan string, 100), answer: make(chan bool, 100)}
	t.Cleanup(func() {
		_ = ln.Close()
		close(s.answer)
	})
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			s.conns <- c
			go func() {
				for r := redcon.NewReader(c); ; {
					cmd, err := r.ReadCommand()
					if err != nil {
						_ = c.Close()
						return
					}
					if _, rest, found := strings.Cut(string(cmd.Raw), ",wait="); found {
						ms, _ := strconv.Atoi(rest[:strings.IndexAny(rest, ",\r")])
						s.wait.Store(int64(ms))
					}
					s.asked <- string(cmd.Args[0])
					if string(cmd.Args[0]) == "fetch" && <-s.answer {
						_, _ = c.Write([]byte(frame(string(cmd.Args[1]), "200", "-", "bytes")))
					}
				}
			}()
		}
	}()
	return s
}

// rig is a pool whose ends come by a channel.
type rig struct {
	*Pool
	t    *testing.T
	ends chan engine.AttemptResult
}

func newRig(t *testing.T, change func(*limits.Limits)) *rig {
	l := bounds
	l.ConnectTimeout = 300 * time.Millisecond
	if change != nil {
		change(&l)
	}
	r := &rig{t: t, ends: make(chan engine.AttemptResult, 100)}
	r.Pool = New(l, config.Names{Classes: []string{"clip"}}, false, func(_ time.Time, message engine.Message) {
		if end, leg := message.(engine.AttemptResult); leg {
			r.ends <- end
		}
	}, zap.NewNop())
	t.Cleanup(func() {
		r.mu.Lock()
		for _, n := range r.endpoints {
			n.closeConnections()
		}
		r.mu.Unlock()
		for end := time.Now().Add(10 * time.Second); r.ConnectionCount() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d connections are left", r.ConnectionCount())
			}
		}
	})
	return r
}

func (r *rig) list(id routing.EndpointID, s routing.EndpointState, address string) {
	r.UpdateEndpoints([]engine.Endpoint{{Endpoint: routing.Endpoint{ID: id, State: s}, UID: "s", Address: address}}, false)
}

func (r *rig) send(ident engine.ClientRequestID, node routing.EndpointID) *engine.Attempt {
	l := leg(ident)
	l.Endpoint = node
	r.Send(l)
	return l
}

func (r *rig) end(want routing.Outcome, l *engine.Attempt) {
	r.t.Helper()
	select {
	case end := <-r.ends:
		if end.Attempt != l || end.Outcome != want {
			r.t.Fatalf("leg %x ended with %d, not %x with %d", end.Attempt.Request.ClientRequestID, end.Outcome, l.Request.ClientRequestID, want)
		}
	case <-time.After(10 * time.Second):
		r.t.Fatal("no end")
	}
}

func next[T any](t *testing.T, c chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(10 * time.Second):
		t.Fatal("in vain")
	}
	return v
}

// A machine that says nothing to a new connection holds up nobody else, and its leg did not run.
func TestConnectionThatNeverComes(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "deaf")
	defer file.Close()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	f, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for { // until its queue is full
		c, err := net.DialTimeout("tcp", f.Addr().String(), 200*time.Millisecond)
		if err != nil {
			break
		}
		defer c.Close()
	}
	other := newStand(t)
	r := newRig(t, nil)
	r.list(1, routing.Ready, f.Addr().String())
	r.list(2, routing.Ready, other.Addr().String())
	deaf, fine := r.send(1, 1), r.send(2, 2)
	other.answer <- true
	r.end(routing.Succeeded, fine)
	r.end(routing.ConnectFailed, deaf)
}

// A connection on which a leg was given up in silence is not trusted with the next; the same one is, once it is
// heard of.
func TestSilentConnection(t *testing.T) {
	s := newStand(t)
	r := newRig(t, nil)
	r.list(1, routing.Ready, s.Addr().String())
	first := r.send(1, 1)
	next(t, s.asked)
	if !r.Abort(first) {
		t.Error("it may have run")
	}
	second := r.send(2, 1)
	if next(t, s.conns) == next(t, s.conns) {
		t.Error("the silent connection was used again")
	}
	s.answer <- false // to the first
	s.answer <- true
	r.end(routing.Succeeded, second)
	third := r.send(3, 1)
	s.answer <- true
	r.end(routing.Succeeded, third)
	if r.ConnectionCount() > 2 || len(s.conns) > 0 {
		t.Errorf("%d connections, %d more", r.ConnectionCount(), len(s.conns))
	}
}

// What ends a connection takes one leg with it, as long as there is room; a leg without any place was never sent.
func TestConnectionsOfTheirOwn(t *testing.T) {
	s := newStand(t)
	r := newRig(t, func(l *limits.Limits) {
		l.UpstreamConnections, l.ConnectionsPerEndpoint, l.StreamsPerConnection = 2, 2, 2
	})
	r.list(1, routing.Ready, s.Addr().String())
	first := r.send(1, 1)
	conn := next(t, s.conns)
	next(t, s.asked)
	second := r.send(2, 1)
	next(t, s.asked)
	_ = conn.Close()
	r.end(routing.ConnectionBroken, first)
	s.answer <- false // to the first
	s.answer <- true
	r.end(routing.Succeeded, second)
	for ident := range engine.ClientRequestID(4) {
		r.send(10+ident, 1)
	}
	r.end(routing.NotSent, r.send(20, 1))
	if r.ConnectionCount() != 2 {
		t.Errorf("%d connections", r.ConnectionCount())
	}
}

// What was open on a connection to a node whose address another has now ends, and may have run.
func TestAddressUsedAgain(t *testing.T) {
	s := newStand(t)
	r := newRig(t, nil)
	r.list(1, routing.Ready, s.Addr().String())
	l := r.send(1, 1)
	next(t, s.asked)
	r.list(1, routing.Gone, s.Addr().String())
	r.list(2, routing.Ready, s.Addr().String())
	r.end(routing.ConnectionBroken, l)
	s.answer <- false
	l = r.send(2, 2)
	s.answer <- true
	r.end(routing.Succeeded, l)
	if next(t, s.conns) == next(t, s.conns) {
		t.Error("the old connection was used")
	}
}

// Connections that rest are closed, after a while or when others need their place; nothing is kept of nodes long gone.
func TestRest(t *testing.T) {
	r := newRig(t, func(l *limits.Limits) {
		l.UpstreamConnections, l.UpstreamIdleTimeout, l.ForgetAfter = 2, 100*time.Millisecond, 0
	})
	var stands []*stand
	for id := range 4 {
		s := newStand(t)
		s.answer <- true
		stands = append(stands, s)
		r.list(routing.EndpointID(id+1), routing.Ready, s.Addr().String())
		r.end(routing.Succeeded, r.send(engine.ClientRequestID(id+1), routing.EndpointID(id+1)))
	}
	for end := time.Now().Add(10 * time.Second); r.ConnectionCount() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections rest", r.ConnectionCount())
		}
	}
	for id, s := range stands {
		r.list(routing.EndpointID(id+1), routing.Gone, s.Addr().String())
	}
	r.list(9, routing.Gone, "")
	if len(r.endpoints) > 1 {
		t.Errorf("%d nodes are kept", len(r.endpoints))
	}
	r.end(routing.ConnectFailed, r.send(9, 1))
}

// A server moves: what is open on its old connection ends there, what waits for one goes elsewhere, and nothing new
// goes by the old.
func TestServerMoves(t *testing.T) {
	old, to := newStand(t), newStand(t)
	r := newRig(t, nil)
	r.list(1, routing.Ready, old.Addr().String())
	open := r.send(1, 1)
	next(t, old.asked)
	r.list(1, routing.Ready, to.Addr().String())
	moved := r.send(2, 1)
	next(t, to.asked)
	to.answer <- true
	r.end(routing.Succeeded, moved)
	old.answer <- true
	r.end(routing.Succeeded, open)
	for end := time.Now().Add(10 * time.Second); r.ConnectionCount() > 1; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections are left", r.ConnectionCount())
		}
	}
	if len(old.asked) > 0 {
		t.Error("the old connection was used again")
	}

	held := make(chan struct{})
	dial := r.dial
	r.dial = func(n, a string, d time.Duration) (net.Conn, error) {
		if a == old.Addr().String() {
			<-held
		}
		return dial(n, a, d)
	}
	r.list(1, routing.Ready, old.Addr().String())
	waits := r.send(3, 1)
	r.list(1, routing.Ready, to.Addr().String())
	r.end(routing.ConnectFailed, waits)
	close(held)
}

// What concerns this machine alone is tried again, and tells nothing of the server; so does a way that is gone for a
// moment. A server that refuses is asked no second time.
func TestDialFailures(t *testing.T) {
	for _, c := range []struct {
		err   error
		times int // it fails
		want  routing.Outcome
		dials int
	}{
		{syscall.EADDRNOTAVAIL, 2, routing.Succeeded, 3},
		{syscall.ENETUNREACH, 100, routing.NotSent, 9},
		{syscall.EHOSTUNREACH, 1, routing.Succeeded, 2},
		{syscall.EHOSTUNREACH, 100, routing.ConnectFailed, 9},
		{syscall.EINTR, 1, routing.Succeeded, 2},
		{syscall.ECONNREFUSED, 1, routing.ConnectFailed, 1},
	} {
		s := newStand(t)
		r := newRig(t, func(l *limits.Limits) { l.SlowConnect = 100 * time.Millisecond })
		var dials atomic.Int64
		r.dial = func(n, a string, d time.Duration) (net.Conn, error) {
			if dials.Add(1) <= int64(c.times) {
				return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", c.err)}
			}
			return net.DialTimeout(n, a, d)
		}
		r.list(1, routing.Ready, s.Addr().String())
		l := r.send(1, 1)
		s.answer <- true
		if r.end(c.want, l); int(dials.Load()) != c.dials {
			t.Errorf("%v, %d times: %d dials, not %d", c.err, c.times, dials.Load(), c.dials)
		}
	}
}
