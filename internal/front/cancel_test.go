package front

// What a client took back, or left behind, while nothing was taken of its input is never handed on: an attempt for it
// would begin long after the cancel.

import (
	"net"
	"testing"
	"time"

	"fennelarch/internal/engine"

	"github.com/tidwall/redcon"
)

// A request and its cancel both wait while the input is held. Once the client reads again, neither is handed on.
func TestCancelledWhileHeld(t *testing.T) {
	for name, sends := range map[string]func(h *house, c *net.TCPConn){
		"in one write": func(h *house, c *net.TCPConn) { h.write(c, view(200)+frame("UNDO", "200")) },
		"apart": func(h *house, c *net.TCPConn) {
			h.write(c, view(200))
			time.Sleep(60 * time.Millisecond)
			h.write(c, frame("UNDO", "200"))
		},
		"behind more than the answers that may wait": func(h *house, c *net.TCPConn) {
			h.write(c, view(200))
			for range 200 {
				h.write(c, frame("PING", "7"))
			}
			h.write(c, frame("UNDO", "200"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHouse(t, nil)
			c := h.dial() // with a buffer of the usual size: one that was small once is slow to drain
			h.stuff(c, 99)
			sends(h, c)
			time.Sleep(150 * time.Millisecond)
			h.write(c, frame("PING", "9999"))
			readUntil(t, c, "9999")
			if len(h.asks) > 0 {
				t.Errorf("request %d is handed on, which was cancelled 0.15 s before", got(t, h.asks).Tag)
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
	if err := s.got(copy(s.space(), text), time.Time{}); err != nil {
		t.Fatal(err)
	}
	events := s.take()
	if len(events) != 1 {
		t.Fatalf("%d events, not one", len(events))
	}
	if a, asked := events[0].(*engine.Ask); !asked || a.Tag != 71 || len(s.open) != 1 {
		t.Errorf("%+v is handed on, %d requests are open", events[0], len(s.open))
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
