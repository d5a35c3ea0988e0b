package main

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// At SIGHUP the discovery server at the new address is watched, from the last event on. An invalid configuration
// changes nothing, nor do repeated signals.
func TestReloadMovesToOtherDiscoveryServer(t *testing.T) {
	first, second := newFakeServer(t, "s-1", "std", respondHit), newFakeServer(t, "s-2", "std", respondHit)
	cluster := startCluster(t, first)
	client := cluster.connect()
	other := newFakeDiscovery(t)
	other.Follow(cluster.discovery.DiscoveryServer)
	halfConfig, _, _ := strings.Cut(cluster.configText(other), `"settings"`)
	cluster.writeConfig(halfConfig)
	cluster.signal(syscall.SIGHUP)
	cluster.configure(other)
	for range 3 {
		cluster.signal(syscall.SIGHUP)
		time.Sleep(50 * time.Millisecond)
	}
	other.publish(stateReady, second)
	client.awaitRequestAt(second)
	cluster.signal(syscall.SIGTERM, syscall.SIGHUP)
	client.expectServed(1)
	cluster.awaitExit()
	if cluster.exitErr != nil {
		t.Error(cluster.exitErr)
	}
}

// At SIGHUP nothing but the address of the discovery server changes. Other classes, limits and another listen address
// in the file have no effect, and one log line says so.
func TestReloadChangesOnlyDiscoveryAddress(t *testing.T) {
	cluster := startCluster(t, newFakeServer(t, "s-1", "std", respondHit))
	client := cluster.connect()
	client.expectServed(1)
	other := newFakeDiscovery(t)
	other.Follow(cluster.discovery.DiscoveryServer)
	cluster.writeConfig(strings.NewReplacer(
		`"name":"clip"`, `"name":"film"`,
		`"effect":"fragile"`, `"effect":"retryable"`,
		`"class_write":[false,true]`, `"class_write":[true,false]`,
		`"memory_mb":192`, `"memory_mb":16`,
		cluster.listen, "127.0.0.1:1",
	).Replace(cluster.configText(other)))
	cluster.signal(syscall.SIGHUP)
	added := newFakeServer(t, "s-2", "std", respondHit)
	other.publish(stateReady, added)
	client.awaitRequestAt(added)

	client.expectAnswer(client.request("film", 1, 2000, ""), "FAILED")
	before := cluster.origin.receivedCount(verbFetch)
	cluster.origin.setHandler(func(serverRequest) (string, bool) { return "", true }) // it may have run
	client.expectAnswer(client.request("signoff", 1, 2000, "body"), "FAILED")
	if got := cluster.origin.receivedCount(verbFetch) - before; got != 1 {
		t.Errorf("a request that is not idempotent was sent %d times after the reload", got)
	}
	begun := time.Now()
	cluster.signal(syscall.SIGTERM)
	_ = client.conn.Close()
	cluster.expectShutdown(begun, 2500*time.Millisecond)
	cluster.expectLogged(map[string]int{"only the discovery address changes before a restart": 1})
}

// At SIGHUP no descriptor is free. The configuration is read as soon as one is, without another signal.
func TestReloadRetriesTemporaryFailure(t *testing.T) {
	first, second := newFakeServer(t, "s-1", "std", respondHit), newFakeServer(t, "s-2", "std", respondHit)
	cluster := startCluster(t, first)
	client := cluster.connect()
	client.expectServed(1)
	other := newFakeDiscovery(t)
	other.Follow(cluster.discovery.DiscoveryServer)
	cluster.configure(other)

	var usual unix.Rlimit
	pid := cluster.process.Process.Pid
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &usual); err != nil {
		t.Fatal(err)
	}
	none := unix.Rlimit{Cur: 3, Max: usual.Max}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &none, nil); err != nil {
		t.Fatal(err)
	}
	cluster.signal(syscall.SIGHUP)
	time.Sleep(700 * time.Millisecond)
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &usual, nil); err != nil {
		t.Fatal(err)
	}
	time.Sleep(700 * time.Millisecond)
	other.publish(stateReady, second)
	client.awaitRequestAt(second)
}
