package golden_test

// This file holds the test environment of a router on loopback: fake cache servers, discovery and clients.

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/redcon"
)

// encode returns words as a RESP array of bulk strings.
func encode(words ...string) []byte {
	b := redcon.AppendArray(nil, len(words))
	for _, w := range words {
		b = redcon.AppendBulkString(b, w)
	}
	return b
}

// words returns the words of a command, and checks that the command came as an array of bulk strings.
func words(t *testing.T, cmd redcon.Command) (list []string) {
	t.Helper()
	for _, arg := range cmd.Args {
		list = append(list, string(arg))
	}
	if !bytes.Equal(cmd.Raw, encode(list...)) {
		t.Errorf("not an array of bulk strings: %q", cmd.Raw)
	}
	return list
}

// listen opens a random loopback port until the test ends.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// acceptEach serves each connection of a listener on its own goroutine.
func acceptEach(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

// handler returns the answer to a fetch, or nil for no answer.
type handler func(fetch []string) (answer []string)

// respond returns a handler that gives the same answer to every fetch.
func respond(rest ...string) handler {
	return func(fetch []string) []string { return append([]string{fetch[1]}, rest...) }
}

// silent is a handler that never answers.
func silent([]string) []string { return nil }

// cacheServer is a fake cache server, parent or origin. It records the commands that it receives.
type cacheServer struct {
	t              *testing.T
	uid, kind      string
	address, state string

	mu           sync.Mutex
	handle       handler
	fetches      [][]string // since the last call of take
	aborts       [][]string
	healthChecks [][]string
}

func newCacheServer(t *testing.T, uid, kind string, handle handler) *cacheServer {
	t.Helper()
	listener := listen(t)
	s := &cacheServer{t: t, uid: uid, kind: kind, address: listener.Addr().String(), state: "ready", handle: handle}
	go acceptEach(listener, s.serve)
	return s
}

// serve answers the commands on one connection.
func (s *cacheServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	for r := redcon.NewReader(conn); ; {
		cmd, err := r.ReadCommand()
		if err != nil {
			return
		}
		if answer := s.answer(words(s.t, cmd)); answer != nil {
			if _, err := conn.Write(encode(answer...)); err != nil {
				return
			}
		}
	}
}

// answer records a command and returns the answer.
func (s *cacheServer) answer(command []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch command[0] {
	case "fetch":
		s.fetches = append(s.fetches, command)
		return s.handle(command)
	case "abort":
		s.aborts = append(s.aborts, command)
		return nil
	}
	s.healthChecks = append(s.healthChecks, command)
	return []string{command[1], "alive", "stats=util:0.1;x1:0.1"}
}

// set replaces the handler of fetches.
func (s *cacheServer) set(handle handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handle = handle
}

// take returns the fetches and aborts since it was last called.
func (s *cacheServer) take() (fetches, aborts [][]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fetches, aborts = s.fetches, s.aborts
	s.fetches, s.aborts = nil, nil
	return fetches, aborts
}

// counts returns the number of fetches and aborts since the last call of take, and of all health checks.
func (s *cacheServer) counts() (fetches, aborts, healthChecks int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.fetches), len(s.aborts), len(s.healthChecks)
}

// firstHealthCheck returns the first health check.
func (s *cacheServer) firstHealthCheck() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.healthChecks[0]
}

// entry returns the server's entry in an endpoint list.
func (s *cacheServer) entry() string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"west","model":%q,"state":%q,"capacity_hint":4,"boot_ms":0}`,
		s.uid, s.address, s.kind, s.state)
}

// endpointListEvent returns an endpoint list event without its number.
func endpointListEvent(all bool, servers ...*cacheServer) string {
	var targets []string
	for _, s := range servers {
		targets = append(targets, s.entry())
	}
	return fmt.Sprintf(`"roster":{"rev":1,"all":%v,"targets":[%s]}`, all, strings.Join(targets, ","))
}

// fixture is a router under test with its fake servers and discovery.
type fixture struct {
	t         *testing.T
	discovery *discoveryServer
	parent    *cacheServer
	origin    *cacheServer
	caches    []*cacheServer
	address   string // of the router
	folder    string
	config    string
	process   *exec.Cmd
	stderr    bytes.Buffer
	ended     chan error
}

// routerSettings are the settings of a router under test. Hedged requests are disabled, because they depend on timing.
const routerSettings = `{"az":0,"dcs":["west"],"shapes":["std","parent","origin"],"n_instances":1,
 "registry_mode":"automatic","weight_source":"rough","report":{"columns":["util","x1"],"via":"probe"},
 "caps":{"cancelling":true,"conn_idle_ms":30000,"connect_timeout_ms":2000,"max_retry_after_ms":1000,"most_tries":6,
  "multiplex":100,"probes":true,"retry_after":true,"second_copies":false},
 "tenants":[{"name":"acme","allowance_per_s":500},{"name":"other","allowance_per_s":500}],
 "classes":[
  {"name":"clip","aim_stretch":1.6,"deadline_ms":5000,"target_ms":3000,"importance":2,"late_worth":0.15,
   "effect":"retryable"},
  {"name":"signoff","deadline_ms":5000,"target_ms":3000,"importance":3,"effect":"fragile"},
  {"name":"order","deadline_ms":5000,"target_ms":3000,"importance":3,"effect":"dedup","group":"all",
   "window_ms":60000},
  {"name":"news","deadline_ms":5000,"target_ms":3000,"importance":2,"effect":"retryable"}],
 "rules":{"drain_grace_ms":1000,"start_capacity":0.3,"cold_ms":10000,"fall_multiple":2.5,"overload_for_ms":3000},
 "specifics":{"class_write":[false,true,true,false],"flow_kb_per_s":3000,"gone_everywhere_ms":6000,
  "lifetime_by_class_ms":[0,0,0,60000],"older_by_ms":[0,0,0,30000],"may_pass_by":true,"merges_fills":true,
  "neighbours":"any","parent_floor":0.1,"parent_ramp_ms":20000,"upper_fall_multiple":2,"purge_grace_ms":1000,
  "root_kind":2,"second_tier_kind":1,"says":"all","seats_by_zone":[1],"origin_limit_factor":2.5,
  "origin_bears_ms":3000}}`

// newFixture creates the fake servers and the configuration; start starts the router.
func newFixture(t *testing.T, caches ...*cacheServer) *fixture {
	t.Helper()
	f := &fixture{t: t, discovery: newDiscoveryServer(t), caches: caches, folder: t.TempDir(), ended: make(chan error, 1)}
	f.parent = newCacheServer(t, "s-parent", "parent", respond("404", "how=not_there", ""))
	f.origin = newCacheServer(t, "s-origin", "origin", respond("200", "sum=0000000000000005,how=local", "of the origin"))
	f.discovery.publish(endpointListEvent(true, f.servers()...))
	f.address = freeAddress(t)
	f.config = filepath.Join(f.folder, "config.json")
	f.write(f.config, fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"8c1f30d27a5be964",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},"bulletin":%q,"known":%s,"settings":%s}`,
		f.address, f.discovery.address, f.discovery.page(0), routerSettings))
	return f
}

// servers returns the parent, the origin and the cache servers.
func (f *fixture) servers() []*cacheServer {
	return append([]*cacheServer{f.parent, f.origin}, f.caches...)
}

func (f *fixture) write(path, text string) {
	f.t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// freeAddress returns an address at which a router can listen. It uses a loopback address that belongs to this process
// alone, so that no other process takes the port before the router listens.
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

// start starts the router and waits until it listens.
func (f *fixture) start(environment ...string) *fixture {
	f.t.Helper()
	f.process = exec.Command(routerProgram, "serve")
	f.process.Env = append(append(baseEnvironment(), "RELAY_CONFIG="+f.config), environment...)
	f.process.Stderr = &f.stderr
	if err := f.process.Start(); err != nil {
		f.t.Fatal(err)
	}
	exited := make(chan struct{})
	go func() { f.ended <- f.process.Wait(); close(exited) }()
	f.t.Cleanup(func() {
		_ = f.process.Process.Kill()
		<-exited
		if f.t.Failed() {
			f.t.Log(f.stderr.String())
		}
	})
	waitFor(f.t, "the router listens", func() bool {
		conn, err := net.Dial("tcp", f.address)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
	return f
}

// client is one connection to the router.
type client struct {
	t      *testing.T
	conn   net.Conn
	reader *redcon.Reader
}

func (f *fixture) client() *client {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	return &client{f.t, conn, redcon.NewReader(conn)}
}

// send writes a message.
func (c *client) send(words ...string) {
	c.t.Helper()
	if _, err := c.conn.Write(encode(words...)); err != nil {
		c.t.Fatal(err)
	}
}

// receive reads the next response.
func (c *client) receive() []string {
	c.t.Helper()
	_ = c.conn.SetReadDeadline(time.Now().Add(maxWait))
	cmd, err := c.reader.ReadCommand()
	if err != nil {
		c.t.Fatal("timed out waiting for a response: ", err)
	}
	return words(c.t, cmd)
}
