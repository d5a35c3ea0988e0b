package upstream

// Crossings on the way to nodes: what is being written while its connection ends, its client leaves, or its time
// runs out. The peer is a scripted connection, so that the order is forced.

import (
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/flightrecorder"
	"fennelarch/internal/invariant"
	"fennelarch/internal/limits"
	"fennelarch/policy/routing"

	"go.uber.org/zap"
)

// wire is a connection of which each write is held up: after it took most bytes it says so on took, and goes on once
// it is told how the write ends, or is closed.
type wire struct {
	net.Conn
	most   int
	took   chan string
	goesOn chan error
	closed chan struct{}
	once   sync.Once
}

var errCut = errors.New("cut")

func newWire(most int) *wire {
	return &wire{most: most, took: make(chan string, 100), goesOn: make(chan error), closed: make(chan struct{})}
}

func (w *wire) Write(b []byte) (int, error) {
	n := min(w.most, len(b))
	w.took <- string(b[:n])
	select {
	case err := <-w.goesOn:
		return n, err
	case <-w.closed:
		return n, net.ErrClosed
	}
}

func (w *wire) Read([]byte) (int, error)         { <-w.closed; return 0, net.ErrClosed }
func (w *wire) Close() error                     { w.once.Do(func() { close(w.closed) }); return nil }
func (w *wire) SetWriteDeadline(time.Time) error { return nil }

// newWired returns a rig whose dials give these connections in turn.
func newWired(t *testing.T, change func(*limits.Limits), wires ...*wire) *rig {
	r := newRig(t, func(l *limits.Limits) {
		l.SlowConnect = time.Hour // nothing goes by another connection
		if change != nil {
			change(l)
		}
	})
	var mu sync.Mutex
	r.dial = func(string, string, time.Duration) (net.Conn, error) {
		mu.Lock()
		defer mu.Unlock()
		if len(wires) == 0 {
			return nil, errCut
		}
		w := wires[0]
		wires = wires[1:]
		return w, nil
	}
	r.list(1, routing.Ready, "10.0.0.1:1")
	return r
}

// conn is the pool's only connection.
func (r *rig) conn() *connection {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoints[1].connections[0]
}

func (r *rig) noEnd() {
	r.t.Helper()
	select {
	case end := <-r.ends:
		r.t.Fatalf("leg %x ended with %d", end.Attempt.Request.ClientRequestID, end.Outcome)
	case <-time.After(20 * time.Millisecond):
	}
}

// A connection ends while the system has taken a leg whole and the writer does not know it yet: the leg may have
// run. While it has taken a part, the leg did not.
func TestEndWhileWriting(t *testing.T) {
	for _, c := range []struct {
		most int
		want routing.Outcome
	}{{1 << 20, routing.ConnectionBroken}, {1, routing.ConnectFailed}, {30, routing.ConnectFailed}} {
		w := newWire(c.most)
		r := newWired(t, nil, w)
		l := r.send(1, 1)
		next(t, w.took)
		r.conn().close(invariant.CloseServerEnded) // as the reader does at a reset
		r.end(c.want, l)
		if r.ConnectionCount() != 0 {
			t.Errorf("%d connections", r.ConnectionCount())
		}
	}
}

// A leg that is given up while it is half written never becomes whole: its connection ends at once, whoever reads or
// not. One that waits behind it is taken back, and did not run.
func TestGivenUpHalfWritten(t *testing.T) {
	w, other := newWire(10), newWire(1<<20)
	r := newWired(t, func(l *limits.Limits) { l.ConnectionsPerEndpoint = 1 }, w, other)
	half := r.send(1, 1)
	next(t, w.took)
	behind := r.send(2, 1)
	if r.Abort(behind) {
		t.Error("a leg that waits behind a write may have run")
	}
	if !r.Abort(half) {
		t.Error("nobody can tell yet that half a leg did not run")
	}
	select {
	case <-w.closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the rest of it may still go")
	}
	r.noEnd()
	for end := time.Now().Add(10 * time.Second); r.ConnectionCount() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connection keeps its place")
		}
	}
	r.send(3, 1)
	if text := next(t, other.took); len(w.took) > 0 || len(text) < 50 {
		t.Errorf("%q went, and %d writes more on the connection that was given up", text, len(w.took))
	}
}

// Two legs wait for one connection: as long as the first is being written, the second can be taken back.
func TestOneFrameAtATime(t *testing.T) {
	w, up := newWire(1<<20), make(chan struct{})
	r := newWired(t, func(l *limits.Limits) { l.ConnectionsPerEndpoint = 1 }, w)
	dial := r.dial
	r.dial = func(n, a string, d time.Duration) (net.Conn, error) { <-up; return dial(n, a, d) }
	first, second := r.send(1, 1), r.send(2, 1)
	close(up)
	if text := next(t, w.took); !containsID(text, 1) || containsID(text, 2) {
		t.Errorf("%q", text)
	}
	if r.Abort(second) {
		t.Error("a leg of which nothing was given to the system may have run")
	}
	w.goesOn <- nil
	r.conn().close(invariant.CloseServerEnded)
	r.end(routing.ConnectionBroken, first)
	r.noEnd()
	if len(w.took) > 0 {
		t.Errorf("%q went after all", <-w.took)
	}
}

// A repeat that must be on its way within a window is not when its connection comes up late; nor is one to a node
// that is told to leave.
func TestConnectionLateForWindow(t *testing.T) {
	for _, state := range []routing.EndpointState{routing.Ready, routing.Draining} {
		w, up := newWire(1<<20), make(chan struct{})
		r := newWired(t, nil, w)
		dial := r.dial
		r.dial = func(n, a string, d time.Duration) (net.Conn, error) { <-up; return dial(n, a, d) }
		if state != routing.Ready {
			r.list(1, state, "10.0.0.1:1")
		}
		l := leg(1)
		l.Endpoint, l.NotAfter = 1, time.Now().Add(20*time.Millisecond)
		if state == routing.Draining {
			l.NotAfter = time.Now().Add(time.Minute)
		}
		r.Send(l)
		time.Sleep(bounds.DrainingStartWithin + 30*time.Millisecond)
		close(up)
		r.end(routing.ConnectFailed, l)
		if len(w.took) > 0 {
			t.Errorf("%q went all the same", <-w.took)
		}
	}
}

// A client leaves while its leg's connection is being dialled: nothing of it is ever written.
func TestGivenUpWhileDialled(t *testing.T) {
	w, up := newWire(1<<20), make(chan struct{})
	r := newWired(t, nil, w)
	dial := r.dial
	r.dial = func(n, a string, d time.Duration) (net.Conn, error) { <-up; return dial(n, a, d) }
	l := r.send(1, 1)
	if r.Abort(l) {
		t.Error("it may have run")
	}
	close(up)
	second := r.send(2, 1)
	if text := next(t, w.took); !containsID(text, 2) || containsID(text, 1) {
		t.Errorf("%q", text)
	}
	_ = second
	r.noEnd()
}

func containsID(text string, id engine.ClientRequestID) bool {
	for i := 0; i+16 <= len(text); i++ {
		if text[i:i+16] == hexadecimal(uint64(id)) {
			return true
		}
	}
	return false
}

// late has the first dial wait until it is told how it ends; later ones go to the address.
func (r *rig) late() chan error {
	ends := make(chan error)
	var mu sync.Mutex
	first := true
	r.dial = func(n, a string, d time.Duration) (net.Conn, error) {
		mu.Lock()
		held := first
		first = false
		mu.Unlock()
		if held {
			if err := <-ends; err != nil {
				return nil, err
			}
		}
		return net.DialTimeout(n, a, d)
	}
	return ends
}

// One connection comes up late, though its node lives: what waits for it goes by another, and is given up there;
// nothing of it goes by the late one, which serves the next.
func TestLateConnection(t *testing.T) {
	for _, up := range []error{nil, errCut} {
		s := newStand(t)
		r := newRig(t, func(l *limits.Limits) { l.SlowConnect = 5 * time.Millisecond })
		ends := r.late()
		r.list(1, routing.Ready, s.Addr().String())
		l := r.send(1, 1)
		s.answer <- true
		r.end(routing.Succeeded, l) // by a second dial
		l = r.send(2, 1)
		next(t, s.asked)
		next(t, s.asked)
		if !r.Abort(l) {
			t.Error("it may have run")
		}
		s.answer <- false
		ends <- up
		r.noEnd()
		for end := time.Now().Add(10 * time.Second); r.ConnectionCount() > 1; time.Sleep(time.Millisecond) {
			if up == nil && r.ConnectionCount() == 2 { // one in doubt, one that came late
				break
			}
			if time.Now().After(end) {
				t.Fatalf("%d connections", r.ConnectionCount())
			}
		}
		l = r.send(3, 1)
		s.answer <- true
		r.end(routing.Succeeded, l)
	}
}

// Two are late at once, and a third has an answer: the first that waits goes by it then. What is late for good ends
// as such.
func TestLateConnectionWaitsForOther(t *testing.T) {
	s := newStand(t)
	r := newRig(t, func(l *limits.Limits) { l.SlowConnect, l.ConnectionsPerEndpoint = 5*time.Millisecond, 2 })
	r.list(1, routing.Ready, s.Addr().String())
	busy := r.send(1, 1)
	next(t, s.asked)
	ends := r.late()
	l := r.send(2, 1)
	time.Sleep(30 * time.Millisecond) // late by now, and no room for a dial
	s.answer <- true
	r.end(routing.Succeeded, busy)
	s.answer <- true
	r.end(routing.Succeeded, l)
	busy = r.send(3, 1)
	next(t, s.asked) // of 2
	next(t, s.asked)
	l = r.send(4, 1) // for the late one again
	ends <- errCut
	r.end(routing.ConnectFailed, l)
	s.answer <- true
	r.end(routing.Succeeded, busy)
}

// A client has its answer, has gone, or its time is up, while its attempt waits: nothing of the attempt is written,
// and its server is not blamed. One that begins is known to the guard, and its last byte too.
func TestNothingBegunOnceOver(t *testing.T) {
	for name, over := range map[string]func(r *invariant.Request){
		"answered":  func(r *invariant.Request) { r.End(invariant.EndServed, time.Now()) },
		"cancelled": func(r *invariant.Request) { r.End(invariant.EndCancelled, time.Now()) },
		"time up":   func(*invariant.Request) { time.Sleep(120 * time.Millisecond) },
	} {
		w, up := newWire(1<<20), make(chan struct{})
		r := newWired(t, nil, w)
		dial := r.dial
		r.dial = func(n, a string, d time.Duration) (net.Conn, error) { <-up; return dial(n, a, d) }
		l := leg(1)
		l.Endpoint, l.Deadline = 1, time.Now().Add(100*time.Millisecond)
		monitor := invariant.NewMonitor(zap.NewNop(), flightrecorder.New(64, invariant.ReasonName), nil, nil)
		l.Request.Invariants = monitor.NewRequest(1, l.Deadline, invariant.RepeatPolicy{})
		r.Send(l)
		over(l.Request.Invariants)
		close(up)
		r.end(routing.NotSent, l)
		if len(w.took) > 0 {
			t.Errorf("%s: %q went all the same", name, <-w.took)
		}
		if monitor.Violations() != 0 {
			t.Errorf("%s: counted as a violation", name)
		}
	}
}

// A server takes no bytes: a request that is half written when its first tenth of a second is over never becomes
// whole, and did not run.
func TestFrameThatIsNotTaken(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		if c, err := ln.Accept(); err == nil {
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
			accepted <- c
		}
	}()
	r := newRig(t, func(l *limits.Limits) { l.ConnectionsPerEndpoint, l.UpstreamWriteBuffer = 1, 8<<20 })
	r.list(1, routing.Ready, ln.Addr().String())
	l := leg(1)
	l.Endpoint, l.Deadline, l.Request.Body = 1, time.Now().Add(10*time.Second), make([]byte, 8<<20) // more than the system takes
	begun := time.Now()
	r.Send(l)
	r.end(routing.ConnectFailed, l)
	if took := time.Since(begun); took < bounds.RequestWriteTimeout || took > bounds.WriteStallTimeout/2 {
		t.Errorf("given up after %v", took)
	}
	c := next(t, accepted)
	_ = c.Close()
}
