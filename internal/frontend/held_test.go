package frontend

import (
	"io"
	"testing"
	"time"

	"fennelarch/internal/engine"
)

// A connection is paused, as the decisions on admission have it where views are refused in a row. A request with little time left that
// comes meanwhile has its final answer before that is up.
func TestPauseEndsBeforeADeadline(t *testing.T) {
	h := newTestServer(t, nil)
	c := h.dial()
	h.write(c, frame("PING", "1"))
	if _, err := io.ReadFull(c, make([]byte, len(frame("1", "UP", "", "")))); err != nil {
		t.Fatal(err)
	}
	h.mu.Lock()
	for _, conn := range h.connections {
		conn.pauseFor.Store(int64(2 * time.Second))
	}
	h.mu.Unlock()
	h.write(c, frame("PING", "2")) // the pause begins
	time.Sleep(50 * time.Millisecond)
	begun := time.Now()
	h.write(c, frame("DO", "3", "clip", "req=00000000000000a7,timeout=300,subject=7f3a9c21e0b4d655"))
	select {
	case a := <-h.requests:
		if took := time.Since(begun); took > 300*time.Millisecond {
			t.Errorf("it is taken after %v", took)
		}
		if left := time.Until(a.ReceivedAt.Add(a.Timeout)); left > 300*time.Millisecond-time.Since(begun)+20*time.Millisecond {
			t.Errorf("it has %v left after %v", left, time.Since(begun))
		}
		a.Client.Respond(a.Tag, engine.Response{Status: engine.StatusRejected})
	case <-time.After(time.Second):
		t.Error("its time is up, and it has not been taken")
	}
	_ = c.Close()
}
