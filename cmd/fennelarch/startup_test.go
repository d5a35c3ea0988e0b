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

// isFailedStart reports whether the program ended by itself with exit code 1.
func isFailedStart(err error) bool {
	var exit *exec.ExitError
	return errors.As(err, &exit) && exit.ExitCode() == 1
}

func TestInvalidConfigurationEndsStart(t *testing.T) {
	for name, text := range map[string]string{
		"empty": "", "cut off": "{", "incomplete": `{"listen":"127.0.0.1:1"}`,
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "config.json")
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			output, err := program("serve", path).CombinedOutput()
			if !isFailedStart(err) || bytes.Count(output, []byte("\n")) != 1 {
				t.Errorf("%v, %s", err, output)
			}
		})
	}
}

func TestVersion(t *testing.T) {
	output, err := program("version", "").CombinedOutput()
	if err != nil || !strings.HasPrefix(string(output), "fennelarch ") {
		t.Errorf("%v, %s", err, output)
	}
}

// What fails temporarily at the start is retried: the address is still in use, the file is just being written.
func TestStartRetriesTemporaryFailures(t *testing.T) {
	const moment = 700 * time.Millisecond
	for name, fail := range map[string]func(t *testing.T, cluster *testCluster){
		"address in use": func(t *testing.T, cluster *testCluster) {
			t.Helper()
			listener, err := net.Listen("tcp", cluster.listen)
			if err != nil {
				t.Fatal(err)
			}
			time.AfterFunc(moment, func() { _ = listener.Close() })
		},
		"half a configuration": func(t *testing.T, cluster *testCluster) {
			t.Helper()
			whole := cluster.readConfig()
			cluster.writeConfig(whole[:len(whole)/2])
			time.AfterFunc(moment/7, func() {
				_ = os.WriteFile(cluster.configPath+".new", []byte(whole), 0o600)
				_ = os.Rename(cluster.configPath+".new", cluster.configPath)
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newCluster(t, newFakeServer(t, "s-1", "std", respondHit))
			fail(t, cluster)
			cluster.startWithoutWaiting()
			begun := time.Now()
			time.Sleep(moment + 100*time.Millisecond)
			select {
			case <-cluster.exited:
				t.Fatalf("it ended after %v with %v: %s", time.Since(begun), cluster.exitErr, cluster.log.String())
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

// A permanent failure ends the start at once, with one line.
func TestStartEndsAtPermanentFailure(t *testing.T) {
	begun := time.Now()
	output, err := program("serve", filepath.Join(t.TempDir(), "nowhere.json")).CombinedOutput()
	if took := time.Since(begun); !isFailedStart(err) || took > 2*time.Second {
		t.Errorf("%v after %v: %s", err, took, output)
	}
}
