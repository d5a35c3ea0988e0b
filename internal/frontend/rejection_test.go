package frontend

import (
	"io"
	"strings"
	"testing"
	"time"

	"fennelarch/policy/admission"
)

// A client that is not admitted gets a rejection that it can parse, even while it is still sending.
func TestRejectionArrives(t *testing.T) {
	address, _ := startServer(t, Options{Admission: admission.Settings{
		ConnectionsPerPeer: 1, SendRetryAfter: true, MaxRetryAfter: time.Second,
	}})
	first := dial(t, address)
	_ = first.SetDeadline(time.Now().Add(responseTimeout))
	write(t, first, frame("PING", "1"))
	if n, err := first.Read(make([]byte, 64)); err != nil || n == 0 {
		t.Fatal(err)
	}
	const rejection = "*4\r\n$1\r\n7\r\n$4\r\nBUSY\r\n"
	for name, test := range map[string]struct{ sends, want string }{
		"a request":          {do(7, ""), rejection},
		"a request and more": {do(7, "") + strings.Repeat("x", 20_000), rejection},
		"an unknown verb":    {frame("JUMP", "3"), "*4\r\n$1\r\n3\r\n$6\r\nFAILED\r\n"},
		"nothing":            {"", "-BUSY too many connections, come back in "},
		"another protocol":   {"GET / HTTP/1.0\r\n\r\n", "-BUSY"},
		"half a request":     {"*4\r\n$2\r\nDO\r\n$1", "-BUSY"},
	} {
		t.Run(name, func(t *testing.T) {
			conn := dial(t, address)
			_ = conn.SetDeadline(time.Now().Add(responseTimeout))
			_, _ = io.WriteString(conn, test.sends)
			got, err := io.ReadAll(conn)
			if !strings.HasPrefix(string(got), test.want) || err != nil {
				t.Errorf("got %q, error %v", got, err)
			}
			_ = conn.Close()
		})
	}
}

// A client that is not admitted and sends more than the input buffer holds without completing a message still gets a
// rejection, and its connection is closed.
func TestRejectionOfEndlessInputEnds(t *testing.T) {
	address, server := startServer(t, Options{Admission: admission.Settings{ConnectionsPerPeer: 1}})
	first := dial(t, address)
	write(t, first, frame("PING", "1"))
	if n, err := first.Read(make([]byte, 64)); err != nil || n == 0 {
		t.Fatal(err)
	}
	conn := dial(t, address)
	_, _ = io.WriteString(conn, strings.Repeat("x", server.shared.limits.ClientReadBuffer+1000))
	response := make([]byte, 64)
	_ = conn.SetReadDeadline(time.Now().Add(responseTimeout))
	if n, err := conn.Read(response); err != nil || !strings.HasPrefix(string(response[:n]), "-BUSY") {
		t.Errorf("got %q, error %v", response[:n], err)
	}
	_ = conn.Close()
	for until := time.Now().Add(responseTimeout); server.OpenSocketCount() > 1; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the rejected connection was not closed")
		}
	}
}
