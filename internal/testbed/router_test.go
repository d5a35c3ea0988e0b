package testbed

import (
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// A router that was killed on purpose and started again counts as running: if it then crashes, Stop reports that.
func TestCrashAfterRestartIsReported(t *testing.T) {
	folder := t.TempDir()
	program := filepath.Join(folder, "router")
	if err := os.WriteFile(program, []byte("#!/bin/sh\nexec sleep 60\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	router := &Router{Name: "n0", Address: answerPings(t), options: RouterOptions{Program: program, Folder: folder}}
	if err := router.Start(); err != nil {
		t.Fatal(err)
	}
	router.Kill()
	if err := router.Stop(); err != nil {
		t.Errorf("got error %v after a kill, want none", err)
	}
	if err := router.Start(); err != nil {
		t.Fatal(err)
	}
	router.Signal(syscall.SIGKILL) // a crash, not by Kill
	<-router.Ended()
	if router.Stop() == nil {
		t.Error("got no error after a crash, want one")
	}
}

// answerPings accepts connections on loopback and answers what they send, until the test ends.
func answerPings(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = connection.Write([]byte("+PONG\r\n"))
			_ = connection.Close()
		}
	}()
	return listener.Addr().String()
}
