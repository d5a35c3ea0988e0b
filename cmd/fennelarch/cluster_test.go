package main

// The tests of this package start the program and talk to it over loopback sockets, as clients on one side and as fake
// cache servers, a parent, the origin and a discovery server on the other. The fakes are written from the published
// protocols.

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// settingsText holds the settings of all routers under test. Package config documents the keys.
const settingsText = `{"az":0,"dcs":["west","east"],"shapes":["std","parent","origin"],"n_instances":1,
 "registry_mode":"automatic","weight_source":"rough","report":{"columns":["util","x1"],"via":"probe"},
 "caps":{"cancelling":true,"conn_idle_ms":30000,"connect_timeout_ms":400,"max_retry_after_ms":1000,"most_tries":6,
  "multiplex":100,"probes":true,"retry_after":true,"second_copies":true},
 "classes":[{"name":"clip","aim_stretch":1.6,"deadline_ms":5000,"target_ms":400,"importance":2,"late_worth":0.15,
   "effect":"retryable"},
  {"name":"signoff","deadline_ms":3000,"target_ms":700,"importance":3,"effect":"fragile"}],
 "rules":{"drain_grace_ms":300,"start_capacity":0.3,"cold_ms":10000,"fall_multiple":2.5,"overload_for_ms":3000},
 "specifics":{"class_write":[false,true],"flow_kb_per_s":3000,"gone_everywhere_ms":6000,"lifetime_by_class_ms":[0,0],
  "may_pass_by":true,"merges_fills":false,"neighbours":"any","parent_floor":0.1,"parent_ramp_ms":20000,
  "upper_fall_multiple":2,"purge_grace_ms":1000,"root_kind":2,"second_tier_kind":1,"says":"all","seats_by_zone":[1,0],
  "origin_limit_factor":2.5,"origin_bears_ms":3000}}`

// testCluster is a router process with a fake parent, origin and discovery server and fake cache servers.
type testCluster struct {
	t              *testing.T
	parent, origin *fakeServer
	discovery      *fakeDiscovery
	process        *exec.Cmd
	listen         string // address
	configPath     string

	exited  chan struct{} // closed once the process has ended; log and exitErr may be read only then
	log     bytes.Buffer
	exitErr error
}

// freeAddress returns a free listen address for a router. The loopback IP address is derived from the process id, so
// that other processes do not take the port before the router does.
func freeAddress(t *testing.T) string {
	t.Helper()
	pid := os.Getpid()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>14&0x7f, pid>>7&0x7f, 1+pid&0x7f))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// startCluster starts a cluster whose endpoint list has the given cache servers, a parent and the origin.
func startCluster(t *testing.T, caches ...*fakeServer) *testCluster {
	t.Helper()
	cluster := newCluster(t, caches...)
	cluster.start()
	return cluster
}

// newCluster returns a cluster whose router is not started yet.
func newCluster(t *testing.T, caches ...*fakeServer) *testCluster {
	t.Helper()
	cluster := &testCluster{
		t: t, discovery: newFakeDiscovery(t), listen: freeAddress(t),
		configPath: filepath.Join(t.TempDir(), "config.json"),
	}
	cluster.parent = newFakeServer(t, "s-parent", "parent", respondMiss)
	cluster.origin = newFakeServer(t, "s-origin", "origin", respondHit)
	cluster.discovery.publishAll(stateReady, append(caches, cluster.parent, cluster.origin)...)
	cluster.configure(cluster.discovery)
	return cluster
}

// configure writes the configuration with the address of the given discovery server.
func (c *testCluster) configure(discovery *fakeDiscovery) {
	c.t.Helper()
	c.writeConfig(c.configText(discovery))
}

// configText returns the text of the configuration.
func (c *testCluster) configText(discovery *fakeDiscovery) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"8c1f30d27a5be964",
	  "limits":{"cores":1,"memory_mb":192,"sockets":1024},
	  "bulletin":%q,"flow_bytes_per_s":310000,"link_bytes_per_s":620000,"known":%s,"settings":%s}`,
		c.listen, discovery.Address, c.discovery.FirstEvent(), settingsText)
}

func (c *testCluster) writeConfig(text string) {
	c.t.Helper()
	if err := os.WriteFile(c.configPath, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

func (c *testCluster) readConfig() string {
	c.t.Helper()
	text, err := os.ReadFile(c.configPath)
	if err != nil {
		c.t.Fatal(err)
	}
	return string(text)
}

// setKnownEvents replaces the known events in the configuration.
func (c *testCluster) setKnownEvents(known string) {
	c.t.Helper()
	text := c.readConfig()
	changed := strings.Replace(text, `"known":`+c.discovery.FirstEvent(), `"known":`+known, 1)
	if changed == text {
		c.t.Fatal("configuration has no known events")
	}
	c.writeConfig(changed)
}

// start starts the router and waits until it listens.
func (c *testCluster) start() {
	c.t.Helper()
	c.startWithoutWaiting()
	await(c.t, "the router to listen", func() bool {
		conn, err := net.Dial("tcp", c.listen)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
}

// startWithoutWaiting starts the router process.
func (c *testCluster) startWithoutWaiting() {
	c.t.Helper()
	c.exited = make(chan struct{})
	c.process = program("serve", c.configPath)
	output, err := c.process.StderrPipe()
	if err != nil {
		c.t.Fatal(err)
	}
	if err := c.process.Start(); err != nil {
		c.t.Fatal(err)
	}
	go func() {
		_, _ = io.Copy(&c.log, output)
		c.exitErr = c.process.Wait()
		close(c.exited)
	}()
	c.t.Cleanup(c.kill)
}

// kill kills the router at the end of a test, and fails the test if the log shows a panic or a data race.
func (c *testCluster) kill() {
	_ = c.process.Process.Kill()
	<-c.exited
	text := c.log.String()
	if c.t.Failed() {
		c.t.Log(text)
	}
	if strings.Contains(text, "panic") || strings.Contains(text, "DATA RACE") {
		c.t.Error(text)
	}
}

func (c *testCluster) signal(signals ...syscall.Signal) {
	for _, s := range signals {
		_ = c.process.Process.Signal(s)
	}
}

// connect opens a client connection and collects its answers.
func (c *testCluster) connect() *testClient {
	c.t.Helper()
	return c.connectWithoutReading().read()
}

// connectWithoutReading opens a client connection from which the client does not read.
func (c *testCluster) connectWithoutReading() *testClient {
	c.t.Helper()
	conn, err := net.Dial("tcp", c.listen)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { _ = conn.Close() })
	return newTestClient(c.t, conn)
}

// awaitExit waits until the router process has ended.
func (c *testCluster) awaitExit() {
	c.t.Helper()
	select {
	case <-c.exited:
	case <-time.After(testTimeout):
		c.t.Fatal("timed out waiting for the router to exit")
	}
}

// expectShutdown waits until the router has ended, and checks that it ended without an error or open requests and
// within a time after the signal.
func (c *testCluster) expectShutdown(signalledAt time.Time, within time.Duration) {
	c.t.Helper()
	c.awaitExit()
	if took := time.Since(signalledAt); c.exitErr != nil || took > within {
		c.t.Errorf("router exited after %v with error %v, want no error and an exit in time", took, c.exitErr)
	}
	if !strings.Contains(c.log.String(), "stopped\t{\"router\": \"n0\", \"in_flight\": 0}") {
		c.t.Error("log does not report a shutdown without open requests")
	}
}

// expectLogged checks how often each text occurs in the log of a router that has ended.
func (c *testCluster) expectLogged(counts map[string]int) {
	c.t.Helper()
	log := c.log.String()
	for text, want := range counts {
		if got := strings.Count(log, text); got != want {
			c.t.Errorf("%q occurs %d times in the log, want %d:\n%s", text, got, want, log)
		}
	}
}
