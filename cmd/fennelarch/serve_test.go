package main

// These tests start the program and speak to it over loopback sockets: clients on one side, stand-ins of cache servers,
// a parent, the origin and the bulletin on the other, all written from the published protocol.

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"fennelarch/internal/fake/site"

	"github.com/tidwall/redcon"
)

// TestMain is the program itself when the tests start it.
func TestMain(m *testing.M) {
	if os.Getenv("FENNELARCH_ARGS") != "" {
		os.Args = append(os.Args[:1], strings.Fields(os.Getenv("FENNELARCH_ARGS"))...)
		main()
		return
	}
	os.Exit(m.Run())
}

const patience = 10 * time.Second // for what must happen at all

func await(t *testing.T, what string, so func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !so(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("in vain: %s", what)
		}
	}
}

func frame(strs ...string) string {
	b := redcon.AppendArray(nil, len(strs))
	for _, s := range strs {
		b = redcon.AppendBulkString(b, s)
	}
	return string(b)
}

// query is what a node is asked.
type query struct {
	verb, id, body string
	fields         map[string]string
	conn           net.Conn
}

func (q query) says(word, fields, body string) string { return frame(q.id, word, fields, body) }

// node is a stand-in of a cache server, a parent or the origin. What does returns is written; the connection is closed
// if it says so.
type node struct {
	uid, kind, address string

	mu    sync.Mutex
	ln    net.Listener
	does  func(q query) (answer string, end bool)
	seen  []query
	conns map[net.Conn]bool
}

func newNode(t *testing.T, uid, kind string, does func(query) (string, bool)) *node {
	n := &node{uid: uid, kind: kind, does: does, conns: map[net.Conn]bool{}}
	n.listen(t)
	return n
}

func (n *node) listen(t *testing.T) {
	address := "127.0.0.1:0"
	if n.address != "" {
		address = n.address
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	n.ln, n.address = ln, ln.Addr().String()
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go n.serve(c)
		}
	}()
}

func (n *node) serve(c net.Conn) {
	n.mu.Lock()
	n.conns[c] = true
	n.mu.Unlock()
	defer func() {
		_ = c.Close()
		n.mu.Lock()
		delete(n.conns, c)
		n.mu.Unlock()
	}()
	for r := redcon.NewReader(c); ; {
		cmd, err := r.ReadCommand()
		if err != nil {
			return
		}
		q := query{verb: string(cmd.Args[0]), id: string(cmd.Args[1]), fields: map[string]string{}, conn: c}
		if len(cmd.Args) > 3 {
			q.body = string(cmd.Args[3])
			for f := range strings.SplitSeq(string(cmd.Args[2]), ",") {
				name, value, _ := strings.Cut(f, "=")
				q.fields[name] = value
			}
		}
		n.mu.Lock()
		n.seen = append(n.seen, q)
		does := n.does
		n.mu.Unlock()
		answer, end := frame(q.id, "alive", "stats=util:0.1;x1:0.1"), false
		if q.verb == "fetch" {
			answer, end = does(q)
		} else if q.verb == "abort" {
			answer = ""
		}
		if _, err := io.WriteString(c, answer); err != nil || end {
			return
		}
	}
}

func (n *node) set(does func(query) (string, bool)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.does = does
}

// got is what the node was asked by a verb.
func (n *node) got(verb string) (list []query) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, q := range n.seen {
		if q.verb == verb {
			list = append(list, q)
		}
	}
	return list
}

func hit(q query) (string, bool) {
	return q.says("200", "sum=5,t0=1,how=local", "of "+q.fields["key"]), false
}
func silent(query) (string, bool)    { return "", false }
func missing(q query) (string, bool) { return q.says("404", "how=not_there", ""), false }
func busy(q query) (string, bool)    { return q.says("503", "how=turned_away", ""), false }

// board is the stand-in of the bulletin.
type board struct{ *site.Board }

func newBoard(t *testing.T) *board {
	b := &board{site.NewBoard()}
	t.Cleanup(b.Close)
	return b
}

func (b *board) list(all bool, state string, nodes ...*node) {
	var lines []site.Line
	for _, n := range nodes {
		lines = append(lines, site.Line{UID: n.uid, Address: n.address, Zone: "west", Kind: site.Kind(n.kind), State: state, Weight: 4})
	}
	b.List(all, lines...)
}

// fleet is a router among its stand-ins: a parent, the origin and the caches given.
type fleet struct {
	t              *testing.T
	parent, origin *node
	board          *board
	router         *exec.Cmd
	listen, config string
	log            bytes.Buffer
	logged         chan struct{}
	ended          error
}

const settingsText = `{"az":0,"dcs":["west","east"],"shapes":["std","parent","origin"],"n_instances":1,"registry_mode":"automatic",
 "weight_source":"rough","report":{"columns":["util","x1"],"via":"probe"},
 "caps":{"cancelling":true,"conn_idle_ms":30000,"connect_timeout_ms":400,"max_retry_after_ms":1000,"most_tries":6,"multiplex":100,
  "probes":true,"retry_after":true,"second_copies":true},
 "classes":[{"name":"clip","aim_stretch":1.6,"deadline_ms":5000,"target_ms":400,"importance":2,"late_worth":0.15,"effect":"retryable"},
  {"name":"signoff","deadline_ms":3000,"target_ms":700,"importance":3,"effect":"fragile"}],
 "rules":{"drain_grace_ms":300,"start_capacity":0.3,"cold_ms":10000,"fall_multiple":2.5,"overload_for_ms":3000},
 "specifics":{"class_write":[false,true],"flow_kb_per_s":3000,"gone_everywhere_ms":6000,"lifetime_by_class_ms":[0,0],"may_pass_by":true,
  "merges_fills":false,"neighbours":"any","parent_floor":0.1,"parent_ramp_ms":20000,"upper_fall_multiple":2,"purge_grace_ms":1000,
  "root_kind":2,"second_tier_kind":1,"says":"all","seats_by_zone":[1,0],"origin_limit_factor":2.5,"origin_bears_ms":3000}}`

// freeAddress is one that a router can listen at. It is on a loopback address of this process alone: between here and there,
// nobody else can take the port.
func freeAddress(t *testing.T) string {
	pid := os.Getpid()
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>14&0x7f, pid>>7&0x7f, 1+pid&0x7f))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func newFleet(t *testing.T, caches ...*node) *fleet {
	f := prepareFleet(t, caches...)
	f.start()
	return f
}

// prepareFleet is a fleet whose router has not started yet.
func prepareFleet(t *testing.T, caches ...*node) *fleet {
	f := &fleet{t: t, board: newBoard(t)}
	f.parent, f.origin = newNode(t, "s-parent", "parent", missing), newNode(t, "s-origin", "origin", hit)
	f.board.list(true, "ready", append(caches, f.parent, f.origin)...)
	f.listen = freeAddress(t)
	f.config = filepath.Join(t.TempDir(), "config.json")
	f.configure(f.board, "")
	return f
}

// configureKnown writes the configuration with all that the bulletin has told by now.
func (f *fleet) configureKnown() {
	text, err := os.ReadFile(f.config)
	if err != nil {
		f.t.Fatal(err)
	}
	whole := strings.Replace(string(text), f.board.First(), f.board.Known(), 1)
	if err := os.WriteFile(f.config, []byte(whole), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// start starts the router and waits until it listens.
func (f *fleet) start() {
	t := f.t
	f.logged = make(chan struct{})
	f.router = program("serve", f.config)
	out, err := f.router.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := f.router.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_, _ = io.Copy(&f.log, out)
		f.ended = f.router.Wait()
		close(f.logged)
	}()
	t.Cleanup(func() {
		_ = f.router.Process.Kill()
		<-f.logged
		if t.Failed() {
			t.Log(f.log.String())
		}
		if text := f.log.String(); strings.Contains(text, "panic") || strings.Contains(text, "DATA RACE") {
			t.Error(text)
		}
	})
	await(t, "the router listens", func() bool {
		c, err := net.Dial("tcp", f.listen)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	})
}

// configure writes the configuration with the bulletin at a board, cut off where it is to be.
func (f *fleet) configure(b *board, cut string) {
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,"sockets":1024},
	  "bulletin":%q,"flow_bytes_per_s":310000,"link_bytes_per_s":620000,"known":%s,"settings":%s}`, f.listen,
		b.Address, f.board.First(), settingsText)
	if cut != "" {
		text, _, _ = strings.Cut(text, cut)
	}
	if err := os.WriteFile(f.config, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func program(args, config string) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "FENNELARCH_ARGS="+args, "RELAY_CONFIG="+config, "GORACE=atexit_sleep_ms=0")
	return cmd
}

// client is one connection to the router.
type client struct {
	t    *testing.T
	conn net.Conn
	tag  int

	mu      sync.Mutex
	answers map[string][][]string
	over    bool
}

func (f *fleet) client() *client {
	conn, err := net.Dial("tcp", f.listen)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	return &client{t: f.t, conn: conn, answers: map[string][][]string{}}
}

func (c *client) read() *client {
	go func() {
		for r := redcon.NewReader(c.conn); ; {
			cmd, err := r.ReadCommand()
			c.mu.Lock()
			if err != nil {
				c.over = true
				c.mu.Unlock()
				return
			}
			var words []string
			for _, a := range cmd.Args[1:] {
				words = append(words, string(a))
			}
			c.answers[string(cmd.Args[0])] = append(c.answers[string(cmd.Args[0])], words)
			c.mu.Unlock()
		}
	}()
	return c
}

func (c *client) write(text string) {
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Error(err)
	}
}

// view asks for an object and returns the tag.
func (c *client) view(kind string, object, timeout int, body string) string {
	c.tag++
	tag := strconv.Itoa(c.tag)
	fields := fmt.Sprintf("req=%016x,timeout=%d,subject=%016x,piece=0,lot=1,need=30,ver=00000000000000bc", time.Now().UnixNano(), timeout, object)
	c.write(frame("DO", tag, kind, fields, body))
	return tag
}

func (c *client) count(tag string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.answers[tag])
}

// reaches asks for one object after the other until a node that the router has just been told of is asked.
func (c *client) reaches(n *node) {
	c.t.Helper()
	object := 0
	await(c.t, "a leg to "+n.uid, func() bool {
		object++
		c.expect(c.view("clip", object, 2000, ""), "OK")
		return len(n.got("fetch")) > 0
	})
}

// answer awaits the one answer under a tag.
func (c *client) answer(tag string) []string {
	c.t.Helper()
	await(c.t, "an answer under "+tag, func() bool { return c.count(tag) > 0 })
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.answers[tag]) != 1 {
		c.t.Errorf("%d answers under %s", len(c.answers[tag]), tag)
	}
	return c.answers[tag][0]
}

func (c *client) expect(tag, want string) {
	c.t.Helper()
	if got := c.answer(tag); !strings.HasPrefix(strings.Join(got, " "), want) {
		c.t.Errorf("%.80q, not %s", got, want)
	}
}

func TestServed(t *testing.T) {
	odd := "\r\n*1\r\n\x00\xff" + strings.Repeat("x", 200_000)
	cache := newNode(t, "s-1", "std", func(q query) (string, bool) {
		if q.fields["key"] == "0000000000000002" {
			return q.says("304", "sum=00000000000000bc,t0=1,how=local", ""), false
		}
		return q.says("200", "sum=5,t0=1,how=local", odd), false
	})
	f := newFleet(t, cache)
	c := f.client().read()
	c.write(frame("PING", "900"))
	c.expect("900", "UP")
	first, second := c.view("clip", 1, 2000, ""), c.view("clip", 2, 2000, "")
	if got := c.answer(first); got[0] != "OK" || got[2] != odd {
		t.Errorf("%.60q", got)
	}
	if got := c.answer(second); fmt.Sprint(got) != "[OK unchanged=1 ]" {
		t.Errorf("%q", got)
	}
	q := cache.got("fetch")[0]
	if q.fields["class"] != "clip" || q.fields["next"] != "s-parent" || q.fields["cached"] != "00000000000000bc" || q.fields["part"] != "0" {
		t.Errorf("%v", q.fields)
	}
	await(t, "a probe", func() bool { c.expect(c.view("clip", 1, 2000, ""), "OK"); return len(cache.got("stats")) > 0 })
}

func TestFilled(t *testing.T) {
	cache := newNode(t, "s-1", "std", func(q query) (string, bool) {
		if q.fields["next"] == "s-origin" {
			return q.says("200", "how=pulled_far,slow=5.5", "filled"), false
		}
		return q.says("404", "how=not_there", ""), false
	})
	c := newFleet(t, cache).client().read()
	c.expect(c.view("clip", 1, 2000, ""), "OK  filled")
}

func TestTurnedBack(t *testing.T) {
	f := newFleet(t, newNode(t, "s-1", "std", busy))
	f.parent.set(busy)
	f.origin.set(busy)
	c := f.client().read()
	c.expect(c.view("clip", 1, 2000, ""), "BUSY holdoff=")
}

// What passed through the router is given again where the view would be turned back, until it is purged.
func TestOwnCopies(t *testing.T) {
	cache := newNode(t, "s-1", "std", func(q query) (string, bool) {
		return q.says("200", fmt.Sprintf("sum=5,t0=%d,how=local", time.Now().UnixMilli()), "bytes"), false
	})
	f := newFleet(t, cache)
	c := f.client().read()
	c.expect(c.view("clip", 1, 2000, ""), "OK  bytes")
	cache.set(busy)
	f.parent.set(busy)
	f.origin.set(busy)
	c.expect(c.view("clip", 1, 2000, ""), "OK  bytes")
	c.expect(c.view("clip", 2, 2000, ""), "BUSY")
	f.board.Tell(fmt.Sprintf(`"recall":{"item":"0000000000000001","issued":%d}`, time.Now().UnixMilli()))
	await(t, "the purge", func() bool { return c.answer(c.view("clip", 1, 2000, ""))[0] == "BUSY" })
}

// The time of a view is up: it is answered then, and the node is told.
func TestTimeUpAndUndo(t *testing.T) {
	cache := newNode(t, "s-1", "std", silent)
	f := newFleet(t, cache)
	f.parent.set(silent)
	f.origin.set(silent)
	c := f.client().read()
	begun := time.Now()
	c.expect(c.view("clip", 1, 300, ""), "BUSY")
	if took := time.Since(begun); took > 400*time.Millisecond {
		t.Errorf("the answer took %v", took)
	}
	await(t, "an abort", func() bool { return len(cache.got("abort")) == len(cache.got("fetch")) })
	tag := c.view("clip", 2, 5000, "")
	await(t, "a leg", func() bool { return len(cache.got("fetch")) > len(cache.got("abort")) })
	c.write(frame("UNDO", tag))
	await(t, "an abort", func() bool { return len(cache.got("fetch")) == len(cache.got("abort")) })
	c.write(frame("PING", "901"))
	c.expect("901", "UP")
	if c.count(tag) > 0 {
		t.Error("a view that was given up has an answer")
	}
	other := f.client().read()
	other.view("clip", 3, 5000, "")
	await(t, "a leg", func() bool { return len(cache.got("fetch")) > len(cache.got("abort")) })
	_ = other.conn.Close()
	await(t, "an abort", func() bool { return len(cache.got("fetch")) == len(cache.got("abort")) })
}

// A one-shot view runs once at the most, wherever its way breaks; and once it provably did not run, it goes again.
func TestOneShot(t *testing.T) {
	f := newFleet(t, newNode(t, "s-1", "std", hit))
	c := f.client().read()
	runs := func() int { return len(f.origin.got("fetch")) }
	ran := func(q query) (string, bool) { return q.says("200", "sum=5,t0=1", "done "+q.body), false }
	for i, breaks := range []struct {
		how  func(query) (string, bool)
		runs int
		want string
	}{
		{ran, 1, "OK  done body"},
		{func(q query) (string, bool) { return "", true }, 1, "FAILED"},
		{func(q query) (string, bool) { return "*4\r\n$16\r\n" + q.id, true }, 1, "FAILED"},
		{func(q query) (string, bool) { return "*4\r\nrubbish", false }, 1, "FAILED"},
		{func(q query) (string, bool) { return q.says("500", "-", ""), false }, 1, "FAILED"},
		{func(q query) (string, bool) {
			f.origin.set(ran)
			return q.says("503", "-", ""), false
		}, 2, "OK  done body"},
	} {
		before := runs()
		f.origin.set(breaks.how)
		c.expect(c.view("signoff", i+1, 2000, "body"), breaks.want)
		if got := runs() - before; got != breaks.runs {
			t.Errorf("case %d ran %d times", i, got)
		}
	}
	// Nobody listens: a refused connection proves that nothing ran, so the view may be turned back.
	_ = f.origin.ln.Close()
	await(t, "the end of all connections", func() bool {
		f.origin.mu.Lock()
		defer f.origin.mu.Unlock()
		for c := range f.origin.conns {
			_ = c.(*net.TCPConn).CloseWrite()
		}
		return len(f.origin.conns) == 0
	})
	before := runs()
	c.expect(c.view("signoff", 8, 2000, "body"), "BUSY")
	f.origin.listen(t)
	c.expect(c.view("signoff", 9, 2000, "body"), "OK  done body")
	if got := runs() - before; got != 1 {
		t.Errorf("after a refusal it ran %d times", got)
	}
}

// One cache falls silent; views for the others are not held up, and its own find another way.
func TestSilentNode(t *testing.T) {
	a, b := newNode(t, "s-1", "std", hit), newNode(t, "s-2", "std", hit)
	f := newFleet(t, a, b)
	c := f.client().read()
	for object := range 40 {
		c.expect(c.view("clip", object+1, 2000, ""), "OK")
	}
	if len(a.got("fetch")) < 5 || len(b.got("fetch")) < 5 {
		t.Fatalf("%d and %d legs", len(a.got("fetch")), len(b.got("fetch")))
	}
	a.set(silent)
	var tags []string
	for object := range 30 {
		tags = append(tags, c.view("clip", object+1, 3000, ""))
	}
	for _, tag := range tags {
		c.expect(tag, "OK")
	}
	if len(a.got("abort")) == 0 {
		t.Error("no leg to the silent cache was given up")
	}
}

func TestDrainPurgeAndReuse(t *testing.T) {
	a, b := newNode(t, "s-1", "std", hit), newNode(t, "s-2", "std", hit)
	f := newFleet(t, a)
	c := f.client().read()
	c.expect(c.view("clip", 1, 2000, ""), "OK")
	f.board.Tell(fmt.Sprintf(`"recall":{"item":"0000000000000001","issued":%d}`, time.Now().UnixMilli()))
	await(t, "an age limit", func() bool {
		c.expect(c.view("clip", 1, 2000, ""), "OK")
		list := a.got("fetch")
		return list[len(list)-1].fields["agelim"] != ""
	})
	// Another cache server, another uid, the same address: the old connection is not used for it.
	old := a.got("fetch")[0].conn
	b.address = a.address
	f.board.list(false, "gone", a)
	f.board.list(false, "ready", b)
	await(t, "the end of the old connection", func() bool {
		c.expect(c.view("clip", 2, 2000, ""), "OK")
		list := a.got("fetch") // they share the listener
		return list[len(list)-1].conn != old
	})
	f.board.list(false, "draining", b)
	told := time.Now()
	await(t, "the drain", func() bool {
		n := len(a.got("fetch"))
		c.answer(c.view("clip", 3, 2000, ""))
		return len(a.got("fetch")) == n
	})
	n := len(a.got("fetch"))
	for time.Since(told) < 400*time.Millisecond {
		c.answer(c.view("clip", 4, 2000, ""))
	}
	if got := len(a.got("fetch")); got != n {
		t.Errorf("%d legs after the grace", got-n)
	}
}

// The bulletin is out of reach for a while; nothing of it is missed.
func TestBulletinOut(t *testing.T) {
	a, b := newNode(t, "s-1", "std", hit), newNode(t, "s-2", "std", hit)
	f := newFleet(t, a)
	c := f.client().read()
	f.board.Mute(true)
	f.board.list(false, "ready", b)
	c.expect(c.view("clip", 1, 2000, ""), "OK")
	f.board.Mute(false)
	c.reaches(b)
}

// At SIGHUP the bulletin is followed at its new address, from the number that it has come to. A configuration that cannot be
// used changes nothing, nor does a signal more.
func TestReload(t *testing.T) {
	a, b := newNode(t, "s-1", "std", hit), newNode(t, "s-2", "std", hit)
	f := newFleet(t, a)
	c := f.client().read()
	other := newBoard(t)
	other.Follow(f.board.Board)
	f.configure(other, `"settings"`)
	_ = f.router.Process.Signal(syscall.SIGHUP)
	f.configure(other, "")
	for range 3 {
		_ = f.router.Process.Signal(syscall.SIGHUP)
		time.Sleep(50 * time.Millisecond)
	}
	other.list(false, "ready", b)
	c.reaches(b)
	_ = f.router.Process.Signal(syscall.SIGTERM)
	_ = f.router.Process.Signal(syscall.SIGHUP)
	c.expect(c.view("clip", 1, 2000, ""), "OK")
	<-f.logged
	if f.ended != nil {
		t.Error(f.ended)
	}
}

// What one client does wrong is its own affair.
func TestBadClients(t *testing.T) {
	cache := newNode(t, "s-1", "std", func(q query) (string, bool) { return q.says("200", "how=local", strings.Repeat("x", 200_000)), false })
	f := newFleet(t, cache)
	c := f.client().read()
	c.write(frame("DO", "500", "film", "req=1") + frame("JUMP", "501") + frame("DO", "0"))
	c.expect("500", "FAILED")
	c.expect("501", "FAILED")
	c.expect("0", "FAILED")
	c.expect(c.view("clip", 1, 2000, ""), "OK")
	for _, rubbish := range []string{"GET / HTTP/1.0\r\n\r\n", "*3\r\n$99999999999\r\n", "*99999\r\n", "$5\r\n"} {
		bad := f.client().read()
		tag := bad.view("clip", 1, 2000, "")
		bad.write(rubbish)
		bad.expect(tag, "") // the one answer; never one to what came after rubbish
		await(t, "the end of the connection", func() bool {
			bad.mu.Lock()
			defer bad.mu.Unlock()
			return bad.over
		})
	}
	half, mute, begun := f.client().read(), f.client().read(), time.Now()
	half.write("*4\r\n$2\r\nDO\r\n$1") // and silence
	deaf := f.client()                 // reads nothing
	for object := range 32 {
		deaf.view("clip", object+1, 2000, "")
	}
	for range 20 {
		c.expect(c.view("clip", 1, 2000, ""), "OK")
	}
	for _, bad := range []*client{half, mute} {
		await(t, "the end of a silent connection", func() bool {
			bad.mu.Lock()
			defer bad.mu.Unlock()
			return bad.over
		})
	}
	if took := time.Since(begun); took > 3*time.Second {
		t.Errorf("silent connections stay for %v", took)
	}
}

// At SIGTERM all that is taken is answered, what still comes too, and then the program ends by itself.
func TestStopUnderLoad(t *testing.T) {
	slow := newNode(t, "s-1", "std", func(q query) (string, bool) {
		if q.fields["key"] != "0000000000000001" {
			go func() {
				time.Sleep(100 * time.Millisecond) // the node takes its time
				_, _ = io.WriteString(q.conn, q.says("200", "how=local", "late"))
			}()
		}
		return "", false
	})
	f := newFleet(t, slow)
	f.parent.set(silent)
	f.origin.set(silent)
	c := f.client().read()
	var tags []string
	for object := range 10 {
		tags = append(tags, c.view("clip", object+1, 5000, ""))
	}
	await(t, "legs", func() bool { return len(slow.got("fetch")) >= 10 })
	begun := time.Now()
	for range 2 {
		_ = f.router.Process.Signal(syscall.SIGTERM)
	}
	var late []*client
	for object := range 5 {
		c := f.client().read()
		c.view("clip", object+2, 5000, "")
		late = append(late, c)
	}
	for _, c := range late {
		c.expect("1", "OK")
	}
	for i, tag := range tags {
		if c.expect(tag, ""); i > 0 {
			c.expect(tag, "OK")
		}
	}
	<-f.logged
	if took := time.Since(begun); f.ended != nil || took < 700*time.Millisecond || took > 3700*time.Millisecond {
		t.Errorf("ended after %v with %v", took, f.ended)
	}
}

func TestUnusableConfiguration(t *testing.T) {
	for _, text := range []string{"", "{", `{"listen":"127.0.0.1:1"}`} {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		out, err := program("serve", path).CombinedOutput()
		if exit, ended := err.(*exec.ExitError); !ended || exit.ExitCode() != 1 || bytes.Count(out, []byte("\n")) != 1 {
			t.Errorf("%q: %v, %s", text, err, out)
		}
	}
	if out, err := program("version", "").CombinedOutput(); err != nil || !strings.HasPrefix(string(out), "fennelarch ") {
		t.Errorf("%v, %s", err, out)
	}
}
