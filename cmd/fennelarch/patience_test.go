package main

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// What fails for a moment at the start is tried again: the address is still in use, the file is just being written.
func TestStartOutlastsMomentaryFailures(t *testing.T) {
	const moment = 700 * time.Millisecond
	for name, fails := range map[string]func(f *fleet){
		"address in use": func(f *fleet) {
			ln, err := net.Listen("tcp", f.listen)
			if err != nil {
				t.Fatal(err)
			}
			time.AfterFunc(moment, func() { _ = ln.Close() })
		},
		"half a configuration": func(f *fleet) {
			whole, err := os.ReadFile(f.config)
			if err != nil {
				t.Fatal(err)
			}
			_ = os.WriteFile(f.config, whole[:len(whole)/2], 0o600)
			time.AfterFunc(moment/7, func() {
				_ = os.WriteFile(f.config+".new", whole, 0o600)
				_ = os.Rename(f.config+".new", f.config)
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fleet{t: t, board: newBoard(t), listen: freeAddress(t), config: filepath.Join(t.TempDir(), "config.json")}
			f.parent, f.origin = newNode(t, "s-parent", "parent", missing), newNode(t, "s-origin", "origin", hit)
			f.board.list(true, "ready", newNode(t, "s-1", "std", hit), f.parent, f.origin)
			f.configure(f.board, "")
			fails(f)
			begun := time.Now()
			router := program("serve", f.config)
			var log strings.Builder
			router.Stderr = &log
			if err := router.Start(); err != nil {
				t.Fatal(err)
			}
			ended := make(chan error, 1)
			go func() { ended <- router.Wait() }()
			time.Sleep(moment + 100*time.Millisecond)
			select {
			case err := <-ended:
				t.Fatalf("it ended after %v with %v: %s", time.Since(begun), err, log.String())
			default:
			}
			f.client().read().expectServed()
			_ = router.Process.Signal(syscall.SIGTERM)
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}

func (c *client) expectServed() {
	c.t.Helper()
	c.expect(c.view("clip", 1, 2000, ""), "OK")
}

// What is for good ends the start at once, with one line.
func TestStartEndsOnWhatIsForGood(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "nowhere.json")
	begun := time.Now()
	out, err := program("serve", missing).CombinedOutput()
	if exit, ended := err.(*exec.ExitError); !ended || exit.ExitCode() != 1 || time.Since(begun) > 2*time.Second {
		t.Errorf("%v after %v: %s", err, time.Since(begun), out)
	}
}

// At SIGHUP no descriptor is free. The configuration is read as soon as one is, without another signal.
func TestReloadOutlastsMomentaryFailures(t *testing.T) {
	a, b := newNode(t, "s-1", "std", hit), newNode(t, "s-2", "std", hit)
	f := newFleet(t, a)
	c := f.client().read()
	c.expectServed()
	other := newBoard(t)
	other.Follow(f.board.Board)
	f.configure(other, "")

	var usual unix.Rlimit
	pid := f.router.Process.Pid
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &usual); err != nil {
		t.Fatal(err)
	}
	none := unix.Rlimit{Cur: 3, Max: usual.Max}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &none, nil); err != nil {
		t.Fatal(err)
	}
	_ = f.router.Process.Signal(syscall.SIGHUP)
	time.Sleep(700 * time.Millisecond)
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &usual, nil); err != nil {
		t.Fatal(err)
	}
	time.Sleep(700 * time.Millisecond)
	other.list(false, "ready", b)
	c.reaches(b)
}
