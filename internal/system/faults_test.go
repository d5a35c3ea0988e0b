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

// Plans that can't be used name their word.
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
			t.Errorf("%q: %v", text, err)
		}
	}
}

// usePlan puts a plan in force for the rest of a test.
func usePlan(t *testing.T, text string) {
	t.Helper()
	parsed, err := parsePlan(text)
	if err != nil {
		t.Fatal(err)
	}
	usual := plan
	t.Cleanup(func() { plan = usual })
	plan = parsed
}

// acceptOne accepts one connection, however many calls fail before.
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

// Listening, accepting, dialling, reading and writing fail at their rates, and what is written and read is whole all
// the same.
func TestNetworkFaults(t *testing.T) {
	usePlan(t, "seed=3 accept=0.3 dial=0.3 read=0.3 write=0.3 file=0.5 listen=1 clock=0s:+1h")
	if _, err := Listen("tcp", "127.0.0.1:0"); !Temporary(err) || Classify(err) != FaultLocal {
		t.Errorf("the first listen: %v", err)
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
		t.Errorf("%d bytes of %d arrive", len(got), len(text))
	}
	plan.resetRate = 1
	if _, err := client.Write([]byte("x")); Classify(err) != FaultBroken {
		t.Errorf("a reset: %v", err)
	}
}

// readAll reads until the peer closes.
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
		t.Errorf("the wall clock is %v ahead", ahead)
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
		t.Errorf("%d of 100 reads of a file fail", failures)
	}
}
