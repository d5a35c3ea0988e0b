package frontend

// What ends on a client connection, and what comes or is owed at the same moment.

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"fennelarch/internal/limits"
)

// A client sends what is no frame behind a request, and goes on sending. What was in flight has its response, which
// arrives: the close does not reset the connection over what was not read.
func TestMalformedInputKeepsResponses(t *testing.T) {
	server := newTestServer(t, nil)
	for range 20 {
		conn := server.dial()
		server.write(conn, requestFrame(1))
		receive(t, server.requests)
		server.write(conn, "GET / HTTP/1.1\r\n"+strings.Repeat("x", 20_000))
		receive(t, server.cancelled)
		server.write(conn, strings.Repeat("y", 20_000))
		if text := server.readToEnd(conn); text != frame("1", "FAILED", "", "") {
			t.Fatalf("%q", text)
		}
	}
}

// A request comes at the moment in which its connection is closed for having been idle: it is not taken any more, and
// what was responded before arrives.
func TestRequestCrossesIdleClose(t *testing.T) {
	server := newTestServer(t, func(l *limits.Limits) { l.ClientIdleTimeout = 30 * time.Millisecond })
	for range 10 {
		conn := server.dial()
		server.write(conn, frame("PING", "1"))
		if text := server.readToEnd(conn); text != pong("1") { // the router has shut its side
			t.Fatalf("%q", text)
		}
		server.write(conn, requestFrame(2))
		await(t, "the connection is closed", func() bool { return server.UnclosedCount() == 0 })
		if len(server.requests) > 0 {
			t.Fatal("a request that was read after the end was taken")
		}
	}
}

// When the server drains, an idle connection is closed at once and loses nothing, a request in flight has its
// response first, and one that comes then is rejected, also where half of it had come, or its connection only just.
func TestDrain(t *testing.T) {
	server := newTestServer(t, nil)
	idle, busy, half := server.dial(), server.dial(), server.dial()
	for _, conn := range []net.Conn{idle, half} {
		server.write(conn, frame("PING", "1"))
		server.readExactly(conn, pong("1"))
	}
	const halfBytes = 40
	server.write(half, requestFrame(2)[:halfBytes])
	server.write(busy, requestFrame(3))
	request := receive(t, server.requests)
	await(t, "half a request has come", func() bool {
		return server.anyConnection(func(c *connection) bool { return c.session.input.Len() == halfBytes })
	})
	server.Drain()
	server.Drain()
	begun := time.Now()
	if text := server.readToEnd(idle); text != "" {
		t.Errorf("%q", text)
	}
	if elapsed := time.Since(begun); elapsed > server.shared.limits.ClientIdleTimeout/2 {
		t.Errorf("the idle connection is closed after %v", elapsed)
	}
	server.write(idle, requestFrame(9)) // crosses the close
	server.write(busy, requestFrame(4))
	server.write(half, requestFrame(2)[halfBytes:])
	late := server.dial()
	server.write(late, requestFrame(5))
	for _, conn := range []net.Conn{half, late} {
		if text := server.readToEnd(conn); !strings.Contains(text, "BUSY") {
			t.Errorf("%q", text)
		}
	}
	time.Sleep(50 * time.Millisecond)
	respond(request, []byte("bytes"))
	if text := server.readToEnd(busy); text != frame("4", "BUSY", "", "")+frame("3", "OK", "", "bytes") {
		t.Errorf("%q", text)
	}
	for _, conn := range []net.Conn{idle, busy, half, late} {
		_ = conn.Close()
	}
	await(t, "nobody is left", func() bool { return server.UnclosedCount() == 0 })
	if len(server.requests) > 0 {
		t.Error("a request was taken after the order to drain")
	}
}

// An idle connection that is closed for another is closed at once, and loses nothing.
func TestEvictedConnectionIsClosedAtOnce(t *testing.T) {
	server := newTestServer(t, func(l *limits.Limits) { l.ClientConnections = 1 })
	evicted := server.dial()
	server.write(evicted, frame("PING", "1"))
	server.readExactly(evicted, pong("1"))
	begun := time.Now()
	server.write(server.dial(), frame("PING", "2"))
	if text := server.readToEnd(evicted); text != "" {
		t.Errorf("%q", text)
	}
	if elapsed := time.Since(begun); elapsed > server.shared.limits.ClientIdleTimeout/2 {
		t.Errorf("closed after %v", elapsed)
	}
}

// A response and its client's leaving, in each order, leave nothing behind; nor do a request cancelled twice, or a
// response after either.
func TestClientLeavesInEachOrder(t *testing.T) {
	for name, leave := range map[string]func(server *testServer, conn *net.TCPConn, respond func()){
		"response, close": func(_ *testServer, conn *net.TCPConn, respond func()) {
			respond()
			_ = conn.Close()
		},
		"close, response": func(server *testServer, conn *net.TCPConn, respond func()) {
			_ = conn.Close()
			receive(server.t, server.cancelled)
			respond()
		},
		"cancel twice, response": func(server *testServer, conn *net.TCPConn, respond func()) {
			server.write(conn, frame("UNDO", "1")+frame("UNDO", "1")+frame("PING", "2"))
			receive(server.t, server.cancelled)
			respond()
			server.readExactly(conn, pong("2"))
		},
		"response and reset at once": func(_ *testServer, conn *net.TCPConn, respond func()) {
			var both sync.WaitGroup
			both.Go(respond)
			both.Go(func() { reset(conn) })
			both.Wait()
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := newTestServer(t, nil)
			conn := server.dial()
			server.write(conn, requestFrame(1))
			request := receive(t, server.requests)
			leave(server, conn, func() { respond(request, []byte("bytes")) })
			_ = conn.Close()
			await(t, "the end of it", func() bool { return server.UnclosedCount() == 0 })
			if len(server.cancelled) > 1 {
				t.Errorf("cancelled %d times", len(server.cancelled))
			}
		})
	}
}

// reset closes a connection so that what was not sent is discarded.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// A reset is no end that readToEnd could take for a complete response.
func TestReadToEndTellsResets(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		conn, err := l.Accept()
		if err == nil {
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.Close() // over unread bytes
		}
	}()
	conn := dial(t, l.Addr())
	write(t, conn, "ab")
	if _, err := io.ReadAll(conn); err == nil || errors.Is(err, io.EOF) {
		t.Error("a reset looks like an end")
	}
}

// Closing a connection or a session twice does no harm.
func TestCloseTwice(t *testing.T) {
	ours, theirs := net.Pipe()
	defer func() { _ = theirs.Close() }()
	server := newTestServer(t, nil)
	conn := newConnection(server.Server, ours, time.Now())
	conn.isUnclosed.Store(true)
	server.unclosedCount.Add(1)
	for range 2 {
		conn.session.close()
		_ = conn.Close()
		if count := server.UnclosedCount(); count != 0 || conn.session.state != stateClosed {
			t.Errorf("%d connections are unclosed, the state is %v", count, conn.session.state)
		}
	}
}
