package main

import (
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"
)

// argumentsVariable is the environment variable with the arguments of the program, when the test binary runs as the
// program.
const argumentsVariable = "FENNELARCH_ARGS"

// testTimeout is how long tests wait for an event before they fail.
const testTimeout = 10 * time.Second

// TestMain runs the program instead of the tests if argumentsVariable is set.
func TestMain(m *testing.M) {
	if arguments := os.Getenv(argumentsVariable); arguments != "" {
		os.Args = append(os.Args[:1], strings.Fields(arguments)...)
		main()
		return
	}
	os.Exit(m.Run())
}

// program returns a command that runs the program, as a child process from the test binary.
func program(arguments, configPath string) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(),
		argumentsVariable+"="+arguments, "RELAY_CONFIG="+configPath, "GORACE=atexit_sleep_ms=0")
	return cmd
}

// await polls a condition until it holds, and fails the test after testTimeout.
func await(t *testing.T, event string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", event)
		}
	}
}
