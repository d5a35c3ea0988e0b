//go:build faults

package system

import (
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

// Each call fails at its rate, and what is written and read is whole all the same.
func TestFaults(t *testing.T) {
	usual := plan
	defer func() { plan = usual }()
	var err error
	if plan, err = parsePlan("seed=3 accept=0.3 dial=0.3 read=0.3 write=0.3 file=0.5 listen=1 clock=0s:+1h"); err != nil {
		t.Fatal(err)
	}
	if _, err := Listen("tcp", "127.0.0.1:0"); !Temporary(err) || Classify(err) != FaultLocal {
		t.Errorf("the first listen: %v", err)
	}
	ln, err := Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	accepted := make(chan net.Conn)
	go func() {
		for {
			if c, err := ln.Accept(); err == nil {
				accepted <- c
				return
			}
		}
	}()
	var c net.Conn
	failed := 0
	for c == nil {
		if c, err = DialTimeout("tcp", ln.Addr().String(), time.Second); err != nil {
			failed++
		}
	}
	text := strings.Repeat("0123456789", 1000)
	go func() {
		for i := 0; i < len(text); i += 100 {
			_, _ = Write(c, []byte(text[i:i+100]))
		}
		_ = c.Close()
	}()
	peer := <-accepted
	var got strings.Builder
	buffer := make([]byte, 64)
	for {
		n, err := Read(peer, buffer)
		got.Write(buffer[:n])
		if err == io.EOF {
			break
		} else if err != nil {
			t.Fatal(err)
		}
	}
	if got.String() != text {
		t.Errorf("%d bytes of %d arrive", got.Len(), len(text))
	}
	if ahead := time.Until(WallClock()); ahead < 59*time.Minute {
		t.Errorf("the wall clock is %v ahead", ahead)
	}
	files := 0
	for range 100 {
		if _, err := ReadFile("/dev/null"); err != nil {
			files++
		}
	}
	if files < 20 || files > 80 {
		t.Errorf("%d of 100 reads of a file fail", files)
	}
	plan.reset = 1
	if _, err := c.Write([]byte("x")); Classify(err) != FaultBroken {
		t.Errorf("a reset: %v", err)
	}
}
