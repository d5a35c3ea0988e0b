package main

import (
	"bytes"
	"errors"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// isFailedStart reports whether an error means that the program exited with code 1.
func isFailedStart(err error) bool {
	var exit *exec.ExitError
	return errors.As(err, &exit) && exit.ExitCode() == 1
}

func TestInvalidConfigurationEndsStart(t *testing.T) {
	for name, text := range map[string]string{
		"empty": "", "truncated": "{", "incomplete": `{"listen":"127.0.0.1:1"}`,
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "config.json")
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			output, err := program("serve", path).CombinedOutput()
			if !isFailedStart(err) || bytes.Count(output, []byte("\n")) != 1 {
				t.Errorf("got error %v and output %s, want exit code 1 and one line", err, output)
			}
		})
	}
}

func TestVersion(t *testing.T) {
	output, err := program("version", "").CombinedOutput()
	if err != nil || !strings.HasPrefix(string(output), "fennelarch ") {
		t.Errorf("got error %v and output %s, want the name of the program first", err, output)
	}
}

// Temporary failures at startup must be retried, such as an address in use or a file that is being written.
func TestStartRetriesTemporaryFailures(t *testing.T) {
	const failureTime = 700 * time.Millisecond
	for name, fail := range map[string]func(t *testing.T, cluster *testCluster){
		"address in use": func(t *testing.T, cluster *testCluster) {
			t.Helper()
			listener, err := net.Listen("tcp", cluster.listen)
			if err != nil {
				t.Fatal(err)
			}
			time.AfterFunc(failureTime, func() { _ = listener.Close() })
		},
		"configuration half written": func(t *testing.T, cluster *testCluster) {
			t.Helper()
			fullText := cluster.readConfig()
			cluster.writeConfig(fullText[:len(fullText)/2])
			time.AfterFunc(failureTime/7, func() {
				_ = os.WriteFile(cluster.configPath+".new", []byte(fullText), 0o600)
				_ = os.Rename(cluster.configPath+".new", cluster.configPath)
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newCluster(t, newFakeServer(t, "s-1", "std", respondHit))
			fail(t, cluster)
			cluster.startWithoutWaiting()
			startedAt := time.Now()
			time.Sleep(failureTime + 100*time.Millisecond)
			select {
			case <-cluster.exited:
				t.Fatalf("router exited after %v with error %v: %s", time.Since(startedAt), cluster.exitErr, cluster.log.String())
			default:
			}
			cluster.connect().expectServed(1)
			cluster.signal(syscall.SIGTERM)
			cluster.awaitExit()
			if cluster.exitErr != nil {
				t.Error(cluster.exitErr)
			}
		})
	}
}

// A permanent failure must end the program at once.
func TestStartEndsAtPermanentFailure(t *testing.T) {
	startedAt := time.Now()
	output, err := program("serve", filepath.Join(t.TempDir(), "nowhere.json")).CombinedOutput()
	if took := time.Since(startedAt); !isFailedStart(err) || took > 2*time.Second {
		t.Errorf("got error %v after %v, want exit code 1 within 2s; output: %s", err, took, output)
	}
}
