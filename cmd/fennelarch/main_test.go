package main

import (
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"
)

// argumentsVariable holds the arguments of a child process that is the program itself.
const argumentsVariable = "FENNELARCH_ARGS"

// testTimeout bounds the wait for what must happen at all.
const testTimeout = 10 * time.Second

// TestMain is the program itself where a test has started it.
func TestMain(m *testing.M) {
	if arguments := os.Getenv(argumentsVariable); arguments != "" {
		os.Args = append(os.Args[:1], strings.Fields(arguments)...)
		main()
		return
	}
	os.Exit(m.Run())
}

// program is a command that runs the program in a process of its own.
func program(arguments, configPath string) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(),
		argumentsVariable+"="+arguments, "RELAY_CONFIG="+configPath, "GORACE=atexit_sleep_ms=0")
	return cmd
}

// await polls a condition until it holds.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}
