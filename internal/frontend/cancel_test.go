package frontend

// What a client took back, or left behind, while nothing was taken of its input is never handed on: an attempt for it
// would begin long after the cancel.

import (
	"net"
	"testing"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/limits"

	"github.com/tidwall/redcon"
)

// A request and its cancel both wait while the input is held. Once the client reads again, neither is handed on.
func TestCancelledWhileHeld(t *testing.T) {
	for name, sends := range map[string]func(h *testServer, c *net.TCPConn){
		"in one write": func(h *testServer, c *net.TCPConn) { h.write(c, requestFrame(200)+frame("UNDO", "200")) },
		"apart": func(h *testServer, c *net.TCPConn) {
			h.write(c, requestFrame(200))
			time.Sleep(60 * time.Millisecond)
			h.write(c, frame("UNDO", "200"))
		},
		"behind more than the answers that may wait": func(h *testServer, c *net.TCPConn) {
			h.write(c, requestFrame(200))
			for range 200 {
				h.write(c, frame("PING", "7"))
			}
			h.write(c, frame("UNDO", "200"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newTestServer(t, nil)
			c := h.dial() // with a buffer of the usual size: one that was small once is slow to drain
			h.stuff(c, 99)
			sends(h, c)
			time.Sleep(150 * time.Millisecond)
			h.write(c, frame("PING", "9999"))
			readUntil(t, c, "9999")
			if len(h.requests) > 0 {
				t.Errorf("request %d is handed on, which was cancelled 0.15 s before", got(t, h.requests).Tag)
			}
			_ = c.Close()
		})
	}
	t.Run("in one turn", cancelledInOneTurn)
}

// A request and its cancel that are read at once come to nothing; the next request is none the worse for it.
func cancelledInOneTurn(t *testing.T) {
	s := testSession()
	text := do(70, "") + frame("UNDO", "70") + do(71, "")
	if err := s.receive(copy(s.inputSpace(), text), time.Time{}); err != nil {
		t.Fatal(err)
	}
	events := s.takeMessages()
	if len(events) != 1 {
		t.Fatalf("%d events, not one", len(events))
	}
	if a, asked := events[0].(*engine.Request); !asked || a.Tag != 71 || len(s.inFlight) != 1 {
		t.Errorf("%+v is handed on, %d requests are open", events[0], len(s.inFlight))
	}
}

// readUntil reads a client's answers up to the one under a tag.
func readUntil(t *testing.T, c net.Conn, tag string) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	for reader := redcon.NewReader(c); ; {
		answer, err := reader.ReadCommand()
		if err != nil {
			t.Fatal(err)
		}
		if string(answer.Args[0]) == tag {
			return
		}
	}
}

// Half a request stays half for too long. Its tag is known, so that it is refused before its connection ends: its last bytes may be
// on their way, and nobody would answer them.
func TestHalfRequestIsRefused(t *testing.T) {
	for name, c := range map[string]struct{ half, want string }{
		"tag and more": {do(7, "body")[:60], frame("7", "BUSY", "", "")},
		"tag alone":    {"*5\r\n$2\r\nDO\r\n$1\r\n7\r\n", frame("7", "BUSY", "", "")},
		"no tag yet":   {"*5\r\n$2\r\nDO\r\n$1\r\n7", ""},
		"no request":   {"*5\r\n$4\r\nPING\r\n$1\r\n7\r\n", ""},
	} {
		h := newTestServer(t, func(l *limits.Limits) { l.MessageTimeout = 50 * time.Millisecond })
		conn := h.dial()
		h.write(conn, frame("PING", "1")+c.half)
		if got := h.readToEnd(conn); got != frame("1", "UP", "", "")+c.want {
			t.Errorf("%s: %q", name, got)
		}
	}
}

// A client that reads nothing has most of the memory for answers; one that reads has its answers all the same.
func TestDeafClientLeavesRoomForOthers(t *testing.T) {
	deaf := testSession()
	answer := func(s *session, tag int) (word string) {
		t.Helper()
		if err := s.receive(copy(s.inputSpace(), do(tag, "")), time.Time{}); err != nil {
			t.Fatal(err)
		}
		s.respond(engine.Tag(tag), engine.Response{Status: engine.StatusOK, Body: make([]byte, 100_000)})
		return s.pendingResponses[len(s.pendingResponses)-1].status
	}
	tag := 1
	for ; answer(deaf, tag) == "OK"; tag++ {
	}
	if tag < 8 {
		t.Errorf("a client that reads nothing yet has %d answers", tag-1)
	}
	other := newSession(deaf.shared, nil, open, time.Time{})
	other.input.Release()
	if err := other.receive(copy(other.inputSpace(), frame("DO", "1", "clip", "req=00000000000000aa,timeout=1500,subject=7f3a9c21e0b4d655")), time.Time{}); err != nil {
		t.Fatal(err)
	}
	other.respond(1, engine.Response{Status: engine.StatusOK, Body: make([]byte, 100_000)})
	if word := other.pendingResponses[0].status; word != "OK" {
		t.Errorf("a client that reads has %s", word)
	}
}
