package frontend

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"fennelarch/internal/engine"
)

// The input of a client that does not read is held; that it leaves, or cancels something, is noticed all the same,
// and nothing that it sent before is taken after that.
func TestHeldClientLeaves(t *testing.T) {
	for name, leave := range map[string]func(conn *net.TCPConn){
		"cancels": func(conn *net.TCPConn) { _, _ = io.WriteString(conn, frame("UNDO", "99")) },
		"shuts":   func(conn *net.TCPConn) { _ = conn.CloseWrite() },
		"closes":  func(conn *net.TCPConn) { _ = conn.Close() },
		"resets":  reset,
		"more than the ring holds, and shuts": func(conn *net.TCPConn) {
			_ = conn.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
			_, _ = io.WriteString(conn, strings.Repeat(frame("PING", "7"), 4_000))
			_ = conn.CloseWrite()
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := newTestServer(t, nil)
			conn := server.dialWithHeldInput(99)
			server.write(conn, requestFrame(100)) // held: not taken yet
			leave(conn)
			left := time.Now()
			receive(t, server.cancelled)
			if elapsed := time.Since(left); elapsed > 2*time.Second { // some hundredths where nothing else runs
				t.Errorf("noticed after %v", elapsed)
			}
			_ = conn.Close()
			await(t, "the end of it", func() bool { return server.UnclosedCount() == 0 })
			if len(server.requests) > 0 {
				t.Error("a request was taken of a client that had gone")
			}
		})
	}
}

// A request and its cancel both wait while the input is held. Once the client reads again, neither is handed on: an
// attempt for the request would begin long after the cancel.
func TestCancelledWhileHeld(t *testing.T) {
	for name, send := range map[string]func(server *testServer, conn *net.TCPConn){
		"in one write": func(server *testServer, conn *net.TCPConn) {
			server.write(conn, requestFrame(200)+frame("UNDO", "200"))
		},
		"apart": func(server *testServer, conn *net.TCPConn) {
			server.write(conn, requestFrame(200))
			time.Sleep(60 * time.Millisecond)
			server.write(conn, frame("UNDO", "200"))
		},
		"behind more than the responses that may wait": func(server *testServer, conn *net.TCPConn) {
			server.write(conn, requestFrame(200))
			for range 200 {
				server.write(conn, frame("PING", "7"))
			}
			server.write(conn, frame("UNDO", "200"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := newTestServer(t, nil)
			conn := server.dial() // with a buffer of the usual size: one that was small once is slow to drain
			server.holdInput(conn, 99)
			send(server, conn)
			time.Sleep(150 * time.Millisecond)
			server.write(conn, frame("PING", "9999"))
			readUntil(t, conn, "9999")
			if len(server.requests) > 0 {
				request := receive(t, server.requests)
				t.Errorf("request %d is handed on, which was cancelled 0.15 s before", request.Tag)
			}
			_ = conn.Close()
		})
	}
}

// A request and its cancel that are parsed at once come to nothing; the next request is none the worse for it.
func TestCancelledInOneParse(t *testing.T) {
	s := newTestSession()
	mustReceive(t, s, do(70, "")+frame("UNDO", "70")+do(71, ""))
	messages := s.takeMessages()
	if len(messages) != 1 {
		t.Fatalf("%d messages, not one", len(messages))
	}
	if request, isRequest := messages[0].(*engine.Request); !isRequest || request.Tag != 71 || len(s.inFlight) != 1 {
		t.Errorf("%+v is handed on, %d requests are in flight", messages[0], len(s.inFlight))
	}
}

// A connection is paused, as the admission policy has it where requests are rejected in a row. A request with little
// time left that comes meanwhile has its final response before that is up.
func TestPauseEndsBeforeDeadline(t *testing.T) {
	const timeout = 300 * time.Millisecond
	server := newTestServer(t, nil)
	conn := server.dial()
	server.write(conn, frame("PING", "1"))
	server.readExactly(conn, pong("1"))
	server.anyConnection(func(c *connection) bool {
		c.pauseFor.Store(int64(2 * time.Second))
		return false
	})
	server.write(conn, frame("PING", "2")) // the pause begins
	time.Sleep(50 * time.Millisecond)
	begun := time.Now()
	server.write(conn, frame("DO", "3", "clip", "req=00000000000000a7,timeout=300,subject=7f3a9c21e0b4d655"))
	select {
	case request := <-server.requests:
		if elapsed := time.Since(begun); elapsed > timeout {
			t.Errorf("it is taken after %v", elapsed)
		}
		remaining := time.Until(request.ReceivedAt.Add(request.Timeout))
		if remaining > timeout-time.Since(begun)+20*time.Millisecond {
			t.Errorf("it has %v left after %v", remaining, time.Since(begun))
		}
		request.Client.Respond(request.Tag, engine.Response{Status: engine.StatusRejected})
	case <-time.After(time.Second):
		t.Error("its time is up, and it has not been taken")
	}
	_ = conn.Close()
}
