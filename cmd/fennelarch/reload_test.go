package main

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// On SIGHUP the router watches the discovery server at the new address, starting after the last event. An invalid
// configuration and repeated signals must change nothing.
func TestReloadMovesToOtherDiscoveryServer(t *testing.T) {
	first, second := newFakeServer(t, "s-1", "std", respondHit), newFakeServer(t, "s-2", "std", respondHit)
	cluster := startCluster(t, first)
	client := cluster.connect()
	other := newFakeDiscovery(t)
	other.CopyFirstEvent(cluster.discovery.DiscoveryServer)
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

// On SIGHUP only the address of the discovery server changes. Changed classes, limits and a changed listen address must
// have no effect, which one log line reports.
func TestReloadChangesOnlyDiscoveryAddress(t *testing.T) {
	cluster := startCluster(t, newFakeServer(t, "s-1", "std", respondHit))
	client := cluster.connect()
	client.expectServed(1)
	other := newFakeDiscovery(t)
	other.CopyFirstEvent(cluster.discovery.DiscoveryServer)
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
	cluster.origin.setHandler(func(serverRequest) (string, bool) { return "", true }) // the request may have run
	client.expectAnswer(client.request("signoff", 1, 2000, "body"), "FAILED")
	if got := cluster.origin.receivedCount(verbFetch) - before; got != 1 {
		t.Errorf("non-idempotent request was sent %d times after the reload, want 1", got)
	}
	signalledAt := time.Now()
	cluster.signal(syscall.SIGTERM)
	_ = client.conn.Close()
	cluster.expectShutdown(signalledAt, 2500*time.Millisecond)
	cluster.expectLogged(map[string]int{"only the discovery address changes before a restart": 1})
}

// On SIGHUP no descriptor is free. The router must read the configuration once a descriptor is free, without another
// signal.
func TestReloadRetriesTemporaryFailure(t *testing.T) {
	first, second := newFakeServer(t, "s-1", "std", respondHit), newFakeServer(t, "s-2", "std", respondHit)
	cluster := startCluster(t, first)
	client := cluster.connect()
	client.expectServed(1)
	other := newFakeDiscovery(t)
	other.CopyFirstEvent(cluster.discovery.DiscoveryServer)
	cluster.configure(other)

	var previous unix.Rlimit
	pid := cluster.process.Process.Pid
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &previous); err != nil {
		t.Fatal(err)
	}
	noFree := unix.Rlimit{Cur: 3, Max: previous.Max}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &noFree, nil); err != nil {
		t.Fatal(err)
	}
	cluster.signal(syscall.SIGHUP)
	time.Sleep(700 * time.Millisecond)
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &previous, nil); err != nil {
		t.Fatal(err)
	}
	time.Sleep(700 * time.Millisecond)
	other.publish(stateReady, second)
	client.awaitRequestAt(second)
}
