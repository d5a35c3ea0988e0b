package frontend

import (
	"io"
	"strings"
	"testing"
	"time"

	"fennelarch/policy/admission"
)

// A client that is not admitted is told so in a way that it can read, and the response arrives though it is still
// sending.
func TestRejectionArrives(t *testing.T) {
	address, _ := startServer(t, Options{Admission: admission.Settings{
		ConnectionsPerPeer: 1, SendRetryAfter: true, MaxRetryAfter: time.Second,
	}})
	first := dial(t, address)
	write(t, first, frame("PING", "1"))
	if n, err := first.Read(make([]byte, 64)); err != nil || n == 0 {
		t.Fatal(err)
	}
	const rejection = "*4\r\n$1\r\n7\r\n$4\r\nBUSY\r\n"
	for name, c := range map[string]struct{ sends, want string }{
		"a request":          {do(7, ""), rejection},
		"a request and more": {do(7, "") + strings.Repeat("x", 20_000), rejection},
		"an unknown verb":    {frame("JUMP", "3"), "*4\r\n$1\r\n3\r\n$6\r\nFAILED\r\n"},
		"nothing":            {"", "-BUSY too many connections, come back in "},
		"another protocol":   {"GET / HTTP/1.0\r\n\r\n", "-BUSY"},
		"half a request":     {"*4\r\n$2\r\nDO\r\n$1", "-BUSY"},
	} {
		t.Run(name, func(t *testing.T) {
			conn := dial(t, address)
			_, _ = io.WriteString(conn, c.sends)
			got, err := io.ReadAll(conn)
			if !strings.HasPrefix(string(got), c.want) || err != nil {
				t.Errorf("%q, %v", got, err)
			}
			_ = conn.Close()
		})
	}
}
