//go:build faults

package system

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// The error of an invalid plan names the invalid word.
func TestBadPlans(t *testing.T) {
	for text, want := range map[string]string{
		"seed=x":            `word 1, "seed=x"`,
		"read=0.1 write=2":  `word 2, "write=2"`,
		"clock=3s":          `word 1, "clock=3s"`,
		"seed=1 explode=1":  `word 2, "explode=1"`,
		"listen=often":      `word 1, "listen=often"`,
		"read=0.1 dial=-.1": `word 2, "dial=-.1"`,
	} {
		if _, err := parsePlan(text); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: got error %v, want the invalid word to be named", text, err)
		}
	}
}

// usePlan replaces the fault plan until the end of the test.
func usePlan(t *testing.T, text string) {
	t.Helper()
	parsed, err := parsePlan(text)
	if err != nil {
		t.Fatal(err)
	}
	previous := plan
	t.Cleanup(func() { plan = previous })
	plan = parsed
}

// acceptOne accepts one connection, retrying calls that fail.
func acceptOne(listener net.Listener) chan net.Conn {
	accepted := make(chan net.Conn)
	go func() {
		for {
			if socket, err := listener.Accept(); err == nil {
				accepted <- socket
				return
			}
		}
	}()
	return accepted
}

// Although listening, accepting, dialing, reading and writing fail at the planned rates, all bytes arrive unchanged.
func TestNetworkFaults(t *testing.T) {
	usePlan(t, "seed=3 accept=0.3 dial=0.3 read=0.3 write=0.3 file=0.5 listen=1 clock=0s:+1h")
	if _, err := Listen("tcp", "127.0.0.1:0"); !IsTemporary(err) || Classify(err) != FaultLocal {
		t.Errorf("first listen: got error %v, want a temporary error of this machine", err)
	}
	listener, err := Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	accepted := acceptOne(listener)
	var client net.Conn
	for client == nil {
		client, _ = DialTimeout("tcp", listener.Addr().String(), time.Second)
	}
	text := strings.Repeat("0123456789", 1000)
	go func() {
		for i := 0; i < len(text); i += 100 {
			_, _ = Write(client, []byte(text[i:i+100]))
		}
		_ = client.Close()
	}()
	if got := readAll(t, <-accepted); got != text {
		t.Errorf("got %d bytes that differ from the %d sent", len(got), len(text))
	}
	plan.resetRate = 1
	if _, err := client.Write([]byte("x")); Classify(err) != FaultBroken {
		t.Errorf("write after a reset: got error %v, want a broken connection", err)
	}
}

// readAll reads until the peer closes the connection.
func readAll(t *testing.T, socket net.Conn) string {
	t.Helper()
	var got strings.Builder
	buffer := make([]byte, 64)
	for {
		n, err := Read(socket, buffer)
		got.Write(buffer[:n])
		if errors.Is(err, io.EOF) {
			return got.String()
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

func TestClockStep(t *testing.T) {
	usePlan(t, "clock=0s:+1h")
	if ahead := time.Until(WallClock()); ahead < 59*time.Minute {
		t.Errorf("wall clock is %v ahead, want 1h", ahead)
	}
}

func TestFileFaults(t *testing.T) {
	usePlan(t, "seed=3 file=0.5")
	failures := 0
	for range 100 {
		if _, err := ReadFile("/dev/null"); err != nil {
			failures++
		}
	}
	if failures < 20 || failures > 80 {
		t.Errorf("%d of 100 file reads failed, want about half", failures)
	}
}
