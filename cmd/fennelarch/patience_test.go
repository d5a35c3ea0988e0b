package main

import (
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
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

// What a start or a reload does about each kind of error, in the order in which errors come.
func TestJudgeErrors(t *testing.T) {
	busy := fmt.Errorf("open config.json: %w", syscall.ENFILE)
	half, other := errors.New("line 4: unexpected end"), errors.New("line 9: unexpected end")
	for name, c := range map[string]struct {
		errs []error
		want retryAction
	}{
		"no descriptor, again and again": {[]error{busy, busy, busy}, retrySoon},
		"half a file":                    {[]error{half}, rereadFile},
		"a file that still grows":        {[]error{half, other}, rereadFile},
		"a bad file":                     {[]error{half, half}, giveUp},
		"a bad file, seen at last":       {[]error{half, busy, half}, giveUp},
		"no file":                        {[]error{fmt.Errorf("open: %w", fs.ErrNotExist)}, giveUp},
		"no permission":                  {[]error{fmt.Errorf("open: %w", syscall.EACCES)}, giveUp},
	} {
		var policy retryPolicy
		var got retryAction
		for _, err := range c.errs {
			got = policy.classifyError(err)
		}
		if got != c.want {
			t.Errorf("%s: %d, not %d", name, got, c.want)
		}
	}
}

// A start goes on once what it needs can be had; a reload is taken then, too, and one that is refused is not tried again.
func TestTriedAgain(t *testing.T) {
	calls := 0
	retry := newStartupRetry()
	retry.isLogged = true // no line among the test's
	err := retry.load(func() error {
		if calls++; calls < 3 {
			return syscall.EMFILE
		}
		return nil
	})
	if err != nil || calls != 3 {
		t.Errorf("%v after %d calls", err, calls)
	}
	retry.deadline = time.Now()
	if err := retry.load(func() error { return syscall.EMFILE }); !errors.Is(err, syscall.EMFILE) {
		t.Errorf("past its patience: %v", err)
	}

	reloads := newReloader(zap.NewNop())
	taken, bad := 0, errors.New("line 1: no number")
	reloads.add("one", func() error {
		if taken++; taken < 3 {
			return syscall.EMFILE
		}
		return nil
	})
	reloads.add("two", func() error { return bad })
	reloads.reloadAll()
	for range 10 {
		due, file := reloads.nextRetry()
		if due == nil {
			break
		}
		<-due
		reloads.reload(file)
	}
	if due, _ := reloads.nextRetry(); taken != 3 || due != nil {
		t.Errorf("taken after %d tries, still waiting: %v", taken, due != nil)
	}
}

// Events of the configuration that can't be read cost themselves, not the start: the rest is told by the bulletin.
func TestUnreadableKnownEvents(t *testing.T) {
	for _, known := range []string{`{"no":2,"items":[{"no":1,"roster":{"targets":7}},{"no":2,"recall":{"item":"x"}}]}`, `{"no":"two"}`, `[]`, `null`} {
		f := &fleet{t: t, board: newBoard(t), listen: freeAddress(t), config: filepath.Join(t.TempDir(), "config.json")}
		f.parent, f.origin = newNode(t, "s-parent", "parent", missing), newNode(t, "s-origin", "origin", hit)
		cache := newNode(t, "s-1", "std", hit)
		f.board.list(true, "ready", f.parent, f.origin)
		f.configure(f.board, "")
		text, err := os.ReadFile(f.config)
		if err != nil {
			t.Fatal(err)
		}
		whole := strings.Replace(string(text), `"known":`+f.board.First(), `"known":`+known, 1)
		if whole == string(text) {
			t.Fatal("the configuration has no such events")
		}
		if err := os.WriteFile(f.config, []byte(whole), 0o600); err != nil {
			t.Fatal(err)
		}
		f.start()
		f.board.list(false, "ready", cache)
		f.board.list(true, "ready", cache, f.parent, f.origin)
		c := f.client().read()
		await(t, "the list that the bulletin tells", func() bool {
			c.answer(c.view("clip", 1, 2000, "")) // refused until it has come
			return len(cache.got("fetch")) > 0
		})
	}
}
