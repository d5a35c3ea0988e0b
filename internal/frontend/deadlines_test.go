package frontend

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/limits"
)

// The first message, and any message that has begun, must be complete in time. A connection may be idle for longer
// between messages.
func TestReadDeadline(t *testing.T) {
	client, bounds := newTestSession(), testLimits(6)
	start, later := time.Time{}, time.Time{}.Add(time.Minute)
	if client.readDeadline(later) != start.Add(bounds.MessageTimeout) || !client.handleReadTimeout() {
		t.Error("a connection that sends nothing is not closed in time")
	}
	_, _ = client.feed(do(1, ""), 9)
	if client.readDeadline(later) != later.Add(bounds.ClientIdleTimeout) || client.handleReadTimeout() {
		t.Error("a connection with a request in flight is closed")
	}
	complete, now := later.Add(bounds.MessageTimeout), later.Add(time.Second)
	if err := client.receiveAt("*4\r\n$2\r\nDO", later); err != nil || client.readDeadline(now) != complete {
		t.Error("an incomplete message has another deadline")
	}
	if err := client.receiveAt("\r", now); err != nil || client.readDeadline(now) != complete {
		t.Error("another byte changes the deadline of a message")
	}
	if mayClose := client.handleReadTimeout(); !mayClose || fmt.Sprint(client.writtenResponses()) != "[1 FAILED  ]" {
		t.Error("an incomplete message does not close the connection, or requests in flight do not fail")
	}
}

// An incomplete request whose tag is known is rejected before its connection is closed for the timeout: the rest of the
// request may be on its way, and would get no response.
func TestIncompleteRequestIsRejected(t *testing.T) {
	rejection := frame("7", "BUSY", "", "")
	for name, c := range map[string]struct{ partial, want string }{
		"tag and more": {do(7, "body")[:60], rejection},
		"tag alone":    {"*5\r\n$2\r\nDO\r\n$1\r\n7\r\n", rejection},
		"no tag yet":   {"*5\r\n$2\r\nDO\r\n$1\r\n7", ""},
		"no request":   {"*5\r\n$4\r\nPING\r\n$1\r\n7\r\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			server := newTestServer(t, func(l *limits.Limits) { l.MessageTimeout = 50 * time.Millisecond })
			conn := server.dial()
			server.write(conn, frame("PING", "1")+c.partial)
			if got := server.readToEnd(conn); got != pong("1")+c.want {
				t.Errorf("unexpected response: %q", got)
			}
		})
	}
}

// A request's time is measured from the arrival of its last byte, however many requests wait with it.
func TestArrivals(t *testing.T) {
	start := time.Now()
	at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	client := newTestSession()
	receive := func(text string, milliseconds int) {
		client.addInput(copy(client.inputBuffer(), text), at(milliseconds), at(milliseconds))
	}
	third := strings.Replace(do(3, ""), "9b1f03aa5c7e2d41", "9b1f03aa5c7e2d43", 1)
	receive(do(1, "")+do(2, "")[:30], 0)
	receive(do(2, "")[30:], 10)
	receive(third[:50], 20)
	receive(third[50:], 30)
	if first := client.scanHeldInput(); !first.Equal(at(1500)) {
		t.Errorf("the first deadline is %v after the start, want 1.5 s", first.Sub(start))
	}
	if err := client.parse(at(100)); err != nil {
		t.Fatal(err)
	}
	for tag, milliseconds := range []int{0, 10, 30} {
		request := client.inFlight[engine.Tag(tag+1)]
		if request == nil || !request.ReceivedAt.Equal(at(milliseconds)) {
			t.Errorf("request %d is missing or has a wrong arrival time: %+v", tag+1, request)
		}
	}
	if len(client.arrivals.list) > 1 {
		t.Errorf("%d arrivals are kept, want at most 1", len(client.arrivals.list))
	}
	for i := range 1000 { // more than maxArrivals: the last ones count by an earlier time than their own
		receive("*", 200+i)
		if i == 0 {
			_ = client.parse(at(200))
		}
	}
	last, kept := client.arrivals.arrivalTime(0), len(client.arrivals.list)
	if kept > maxArrivals || last.After(at(1199)) || last.Before(at(200)) {
		t.Errorf("%d arrivals are kept, the last at %v after the start", kept, last.Sub(start))
	}
}
