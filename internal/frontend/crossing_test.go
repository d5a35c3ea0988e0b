package frontend

// Crossings on client connections: what ends, and what comes or is owed in the same moment. Clients are sockets driven by hand.

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"fennelarch/internal/config"
	"fennelarch/internal/engine"
	"fennelarch/internal/limits"
	"fennelarch/policy/routing"

	"go.uber.org/zap"
)

// testServer is a server whose views come by a channel.
type testServer struct {
	*Server
	t         *testing.T
	listener  net.Listener
	requests  chan *engine.Request
	cancelled chan routing.RequestID
}

func newTestServer(t *testing.T, change func(*limits.Limits)) *testServer {
	l := limits.From(limits.Inputs{MemoryMB: 192, Sockets: 256, StreamsPerConnection: 100, LongestDeadline: 5 * time.Second})
	l.WriteStallTimeout = time.Hour // a client that reads nothing is not what ends it here
	if change != nil {
		change(&l)
	}
	h := &testServer{t: t, requests: make(chan *engine.Request, 1000), cancelled: make(chan routing.RequestID, 1000)}
	h.Server = New(l, config.Names{Classes: []string{"clip"}}, []routing.Class{{}}, Options{}, func(_ time.Time, message engine.Message) bool {
		switch message := message.(type) {
		case *engine.Request:
			h.requests <- message
		case engine.ClientGone:
			h.cancelled <- message.Request
		}
		return true
	}, zap.NewNop())
	var err error
	if h.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = h.Serve(h.listener)
	}()
	t.Cleanup(func() {
		_ = h.listener.Close()
		<-served
		within(t, "every connection is closed, and nothing of it is left", func() bool {
			h.shared.mu.Lock()
			defer h.shared.mu.Unlock()
			return h.UnclosedCount() == 0 && h.ConnectionCount() == 0 && h.busyCount.Load() == 0 && h.shared.backlogBytes.Load() == 0 && len(h.shared.inFlight) == 0
		})
	})
	return h
}

func within(t *testing.T, what string, so func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !so(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("in vain: %s", what)
		}
	}
}

func (h *testServer) dial() *net.TCPConn {
	h.t.Helper()
	c, err := net.Dial("tcp", h.listener.Addr().String())
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c.(*net.TCPConn)
}

func (h *testServer) write(c net.Conn, text string) {
	h.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		h.t.Fatal(err)
	}
}

// rest reads to the end of a connection, which must be one that loses nothing.
func (h *testServer) readToEnd(c net.Conn) string {
	h.t.Helper()
	b, err := io.ReadAll(c)
	if err != nil {
		h.t.Errorf("after %.60q: %v", b, err)
	}
	return string(b)
}

func got[T any](t *testing.T, c chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(10 * time.Second):
		t.Fatal("in vain")
	}
	return v
}

func requestFrame(tag int) string {
	return frame("DO", fmt.Sprint(tag), "clip", fmt.Sprintf("req=%016x,timeout=1500,subject=7f3a9c21e0b4d655", tag))
}

// A client sends rubbish behind a view, and goes on sending. What was open has its answer, which arrives: the end does not
// reset the connection over what was not read.
func TestRubbishKeepsAnswers(t *testing.T) {
	h := newTestServer(t, nil)
	for range 20 {
		c := h.dial()
		h.write(c, requestFrame(1))
		got(t, h.requests)
		h.write(c, "GET / HTTP/1.1\r\n"+strings.Repeat("x", 20_000))
		got(t, h.cancelled)
		h.write(c, strings.Repeat("y", 20_000))
		if text := h.readToEnd(c); text != frame("1", "FAILED", "", "") {
			t.Fatalf("%q", text)
		}
	}
}

// A request comes at the moment in which its connection is ended for having rested: it is not taken any more, and what was
// answered before arrives.
func TestRequestCrossesEnd(t *testing.T) {
	h := newTestServer(t, func(l *limits.Limits) { l.ClientIdleTimeout = 30 * time.Millisecond })
	for range 10 {
		c := h.dial()
		h.write(c, frame("PING", "1"))
		if text := h.readToEnd(c); text != frame("1", "UP", "", "") { // the router has shut its side
			t.Fatalf("%q", text)
		}
		h.write(c, requestFrame(2))
		within(t, "the connection is closed", func() bool { return h.UnclosedCount() == 0 })
		if len(h.requests) > 0 {
			t.Fatal("a request that was read after the end was taken")
		}
	}
}

// stuffed is a connection whose input is held, as its client reads none of its answers; the view with the tag is open on it.
func (h *testServer) stuffed(tag int) *net.TCPConn {
	h.t.Helper()
	c := h.dial()
	_ = c.SetReadBuffer(4 << 10)
	h.stuff(c, tag)
	return c
}

func (h *testServer) stuff(c *net.TCPConn, tag int) {
	h.t.Helper()
	big := bytes.Repeat([]byte("x"), 240_000)
	for n := 1; n <= 60; n++ {
		h.write(c, requestFrame(n))
		a := got(h.t, h.requests)
		a.Client.Respond(a.Tag, engine.Response{Status: engine.StatusOK, Body: big})
	}
	h.write(c, requestFrame(tag))
	got(h.t, h.requests)
	for n := range 100 {
		h.write(c, frame("PING", fmt.Sprint(5000+n)))
	}
	within(h.t, "the input is held", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, c := range h.connections {
			c.mu.Lock()
			isBackpressured := c.isBackpressured
			c.mu.Unlock()
			if isBackpressured {
				return true
			}
		}
		return false
	})
}

// The input of a client that does not read is held; that it leaves, or gives something up, is noticed all the same, and
// nothing that it sent before is taken after that.
func TestHeldClientLeaves(t *testing.T) {
	for name, leaves := range map[string]func(c *net.TCPConn){
		"takes back": func(c *net.TCPConn) { _, _ = io.WriteString(c, frame("UNDO", "99")) },
		"shuts":      func(c *net.TCPConn) { _ = c.CloseWrite() },
		"closes":     func(c *net.TCPConn) { _ = c.Close() },
		"resets":     func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
		"more than the ring holds, and shuts": func(c *net.TCPConn) {
			_ = c.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
			_, _ = io.WriteString(c, strings.Repeat(frame("PING", "7"), 4_000))
			_ = c.CloseWrite()
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newTestServer(t, nil)
			c := h.stuffed(99)
			h.write(c, requestFrame(100)) // held: not taken yet
			leaves(c)
			left := time.Now()
			got(t, h.cancelled)
			if took := time.Since(left); took > 2*time.Second { // some hundredths where nothing else runs
				t.Errorf("noticed after %v", took)
			}
			_ = c.Close()
			within(t, "the end of it", func() bool { return h.UnclosedCount() == 0 })
			if len(h.requests) > 0 {
				t.Error("a request was taken of a client that had gone")
			}
		})
	}
}

// The order to end: who rests goes at once and loses nothing, an open view has its answer first, one that comes then is
// refused, also where half of it had come, or its connection only just.
func TestEnd(t *testing.T) {
	h := newTestServer(t, nil)
	resting, open, half := h.dial(), h.dial(), h.dial()
	for _, c := range []net.Conn{resting, half} {
		h.write(c, frame("PING", "1"))
		if _, err := io.ReadFull(c, make([]byte, len(frame("1", "UP", "", "")))); err != nil {
			t.Fatal(err)
		}
	}
	h.write(half, requestFrame(2)[:40])
	h.write(open, requestFrame(3))
	a := got(t, h.requests)
	within(t, "half a request has come", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, c := range h.connections {
			c.mu.Lock()
			n := c.session.input.Len()
			c.mu.Unlock()
			if n == 40 {
				return true
			}
		}
		return false
	})
	h.Drain()
	h.Drain()
	if text := h.readToEnd(resting); text != "" {
		t.Errorf("%q", text)
	}
	h.write(resting, requestFrame(9)) // crosses the end
	h.write(open, requestFrame(4))
	h.write(half, requestFrame(2)[40:])
	late := h.dial()
	h.write(late, requestFrame(5))
	for _, c := range []net.Conn{half, late} {
		if text := h.readToEnd(c); !strings.Contains(text, "BUSY") {
			t.Errorf("%q", text)
		}
	}
	time.Sleep(50 * time.Millisecond)
	a.Client.Respond(a.Tag, engine.Response{Status: engine.StatusOK, Body: []byte("bytes")})
	if text := h.readToEnd(open); text != frame("4", "BUSY", "", "")+frame("3", "OK", "", "bytes") {
		t.Errorf("%q", text)
	}
	for _, c := range []net.Conn{resting, open, half, late} {
		_ = c.Close()
	}
	within(t, "nobody is left", func() bool { return h.UnclosedCount() == 0 })
	if len(h.requests) > 0 {
		t.Error("a request was taken after the order to end")
	}
}

// An answer and its client's leaving, in each order, leave nothing behind; nor do a view taken back twice, or an answer after
// either.
func TestLeavingInEachOrder(t *testing.T) {
	for order := range 4 {
		h := newTestServer(t, nil)
		c := h.dial()
		h.write(c, requestFrame(1))
		a := got(t, h.requests)
		answer := func() { a.Client.Respond(a.Tag, engine.Response{Status: engine.StatusOK, Body: []byte("bytes")}) }
		switch order {
		case 0:
			answer()
			_ = c.Close()
		case 1:
			_ = c.Close()
			got(t, h.cancelled)
			answer()
		case 2:
			h.write(c, frame("UNDO", "1")+frame("UNDO", "1")+frame("PING", "2"))
			got(t, h.cancelled)
			answer()
			want := frame("2", "UP", "", "")
			b := make([]byte, len(want))
			if _, err := io.ReadFull(c, b); err != nil || string(b) != want {
				t.Errorf("%q, %v", b, err)
			}
		case 3:
			var both sync.WaitGroup
			both.Go(answer)
			both.Go(func() { _ = c.SetLinger(0); _ = c.Close() })
			both.Wait()
		}
		_ = c.Close()
		within(t, "the end of it", func() bool { return h.UnclosedCount() == 0 })
		if len(h.cancelled) > 1 {
			t.Errorf("order %d: %d times gone", order, len(h.cancelled))
		}
	}
}

// What the kernel of a client says of a reset is no end that it could take for a whole answer; this guards the helper above.
func TestRestTellsResets(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err == nil {
			_, _ = c.Read(make([]byte, 1))
			_ = c.Close() // over unread bytes
		}
	}()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, "ab")
	if _, err := io.ReadAll(c); err == nil || errors.Is(err, io.EOF) {
		t.Error("a reset looks like an end")
	}
}
