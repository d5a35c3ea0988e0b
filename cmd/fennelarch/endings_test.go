package main

// What ends the program, or what it was told, while something is still owed: the order is forced by the stand-ins, and the
// program is asked afterwards to have ended by itself. docs/endings.md has the table.

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"fennelarch/internal/fake/site"
)

// stopped awaits the end of the program, which must be its own, in order, and no later than told.
func (f *fleet) stopped(begun time.Time, within time.Duration) {
	f.t.Helper()
	select {
	case <-f.logged:
	case <-time.After(patience):
		f.t.Fatal("it does not end")
	}
	if took := time.Since(begun); f.ended != nil || took > within {
		f.t.Errorf("ended after %v with %v", took, f.ended)
	}
	if !strings.Contains(f.log.String(), "stopped\t{\"router\": \"n0\", \"in_flight\": 0}") {
		f.t.Error("views were left open")
	}
}

// closes awaits the end of a client's connection, which must not be a reset.
func (c *client) closes() {
	c.t.Helper()
	await(c.t, "the end of a connection", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.over
	})
	if err := c.failed(); err != nil {
		c.t.Errorf("a connection ended with %v", err)
	}
}

func (c *client) failed() error {
	_ = c.conn.SetReadDeadline(time.Now().Add(patience))
	if _, err := c.conn.Read(make([]byte, 1)); err != io.EOF {
		return fmt.Errorf("no end but %w", err)
	}
	return nil
}

// SIGTERM, twice and with a SIGHUP between, while one request is at a slow cache, half of one has come, one connection was only
// just made, one rests and one is about to ask again. All that comes in time is served, each has one answer and an end that
// takes none with it, and nothing is sent on after that.
func TestStopAmongAllKinds(t *testing.T) {
	release := make(chan struct{})
	cache := newNode(t, "s-1", "std", func(q query) (string, bool) {
		if q.fields["key"] == fmt.Sprintf("%016x", 1) {
			go func() {
				<-release
				_, _ = io.WriteString(q.conn, q.says("200", "sum=5,t0=1,how=local", "slow"))
			}()
			return "", false
		}
		return hit(q)
	})
	f := newFleet(t, cache)
	open, half, again, resting, fresh := f.client().read(), f.client().read(), f.client().read(), f.client().read(), f.client().read()
	asked := func(tag string, object int) string {
		return frame("DO", tag, "clip", fmt.Sprintf("req=%016x,timeout=2500,subject=%016x,need=30", 77+object, object), "")
	}
	open.write(asked("1", 1))
	half.write(asked("1", 2)[:50])
	resting.write(frame("PING", "1"))
	resting.expect("1", "UP")
	again.write(asked("1", 3))
	again.expect("1", "OK")
	await(t, "the slow request", func() bool { return len(cache.got("fetch")) == 2 })
	begun := time.Now()
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		_ = f.router.Process.Signal(s)
	}
	time.Sleep(100 * time.Millisecond)
	half.write(asked("1", 2)[50:])
	fresh.write(asked("1", 4))
	again.write(asked("2", 5))
	late := f.client().read()
	late.write(asked("1", 6))
	for _, c := range []*client{half, fresh, late} {
		c.expect("1", "OK")
	}
	again.expect("2", "OK")
	resting.closes() // in the end phase
	n := len(cache.got("fetch"))
	_, _ = io.WriteString(resting.conn, asked("2", 7)) // crosses the end
	open.write(asked("2", 8))
	open.expect("2", "BUSY")
	close(release)
	open.expect("1", "OK  slow")
	for _, c := range []*client{open, half, fresh, again, late} {
		c.closes()
		_ = c.conn.Close()
	}
	_ = resting.conn.Close()
	f.stopped(begun, 2500*time.Millisecond)
	if got := len(cache.got("fetch")); got != n {
		t.Errorf("%d requests were sent on that came after the end", got-n)
	}
	for i, c := range []*client{open, half, again, resting, fresh, late} {
		for _, tag := range []string{"1", "2"} {
			if c.count(tag) > 1 {
				t.Errorf("client %d has %d answers under %s", i, c.count(tag), tag)
			}
		}
	}
}

// deaf is an address at which connections never come up: the queue of those that wait is full.
func deaf(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "deaf")
	t.Cleanup(func() { _ = file.Close() })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for {
		c, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// SIGTERM while nobody answers: cache, parent and origin are silent, and connections to another cache never come up. Each request has its
// answer when its time is up, and the program ends in the time that it has.
func TestStopAmongSilence(t *testing.T) {
	cache, unheard := newNode(t, "s-1", "std", silent), &node{uid: "s-2", kind: "std", address: deaf(t)}
	f := newFleet(t, cache, unheard)
	f.parent.set(silent)
	f.origin.set(silent)
	c := f.client().read()
	var tags []string
	for object := range 20 { // some of them at the deaf cache
		tags = append(tags, c.view("clip", object+1, 800, ""))
	}
	write, long := c.view("signoff", 2, 2900, "body"), c.view("clip", 3, 5000, "")
	await(t, "legs", func() bool { return len(cache.got("fetch")) >= 5 && len(f.origin.got("fetch")) >= 1 })
	begun := time.Now()
	_ = f.router.Process.Signal(syscall.SIGTERM)
	for _, tag := range tags {
		c.expect(tag, "BUSY")
	}
	c.expect(write, "FAILED")
	c.expect(long, "")
	c.closes()
	_ = c.conn.Close()
	f.stopped(begun, 3700*time.Millisecond)
	writes := 0
	for _, q := range f.origin.got("fetch") {
		if q.fields["class"] == "signoff" {
			writes++
		}
	}
	if writes != 1 {
		t.Errorf("a one-shot view was sent %d times", writes)
	}
}

// SIGTERM before the first list has come, and SIGHUP after it: the program is ready, refuses what it can't place, and ends.
func TestStopBeforeFirstList(t *testing.T) {
	f := newFleet(t, newNode(t, "s-1", "std", hit))
	// A second router on the same board, which knows nothing and hears nothing.
	f.board.Mute(true)
	text, err := os.ReadFile(f.config)
	if err != nil {
		t.Fatal(err)
	}
	address := freeAddress(t)
	path := f.config + ".empty"
	empty := strings.Replace(strings.Replace(string(text), f.board.First(), `{"no":0,"items":[]}`, 1), f.listen, address, 1)
	if err := os.WriteFile(path, []byte(empty), 0o600); err != nil {
		t.Fatal(err)
	}
	router := program("serve", path)
	if err := router.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = router.Process.Kill() }()
	var conn net.Conn
	await(t, "the router listens", func() bool {
		conn, err = net.Dial("tcp", address)
		return err == nil
	})
	c := (&client{t: t, conn: conn, answers: map[string][][]string{}}).read()
	_ = router.Process.Signal(syscall.SIGTERM)
	_ = router.Process.Signal(syscall.SIGHUP)
	c.expect(c.view("clip", 1, 2000, ""), "BUSY")
	c.expect(c.view("signoff", 1, 2000, "body"), "BUSY")
	c.closes()
	_ = conn.Close()
	done := make(chan error, 1)
	go func() { done <- router.Wait() }()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(patience):
		t.Error("it does not end")
	}
}

// At SIGHUP only the bulletin moves. Other classes, tenants, limits and an address to listen on that stand in the new file act
// on nothing, and one log line says so.
func TestReloadChangesNothingElse(t *testing.T) {
	cache := newNode(t, "s-1", "std", hit)
	f := newFleet(t, cache)
	c := f.client().read()
	c.expect(c.view("clip", 1, 2000, ""), "OK")
	other := newBoard(t)
	other.Follow(f.board.Board)
	f.configure(other, "")
	text, err := os.ReadFile(f.config)
	if err != nil {
		t.Fatal(err)
	}
	swapped := strings.NewReplacer(`"name":"clip"`, `"name":"film"`, `"effect":"fragile"`, `"effect":"retryable"`, `"class_write":[false,true]`,
		`"class_write":[true,false]`, `"memory_mb":192`, `"memory_mb":16`, f.listen, "127.0.0.1:1").Replace(string(text))
	if err := os.WriteFile(f.config, []byte(swapped), 0o600); err != nil {
		t.Fatal(err)
	}
	_ = f.router.Process.Signal(syscall.SIGHUP)
	b := newNode(t, "s-2", "std", hit)
	other.list(false, "ready", b)
	c.reaches(b) // only the new bulletin tells of it
	c.expect(c.view("film", 1, 2000, ""), "FAILED")
	before := len(f.origin.got("fetch"))
	f.origin.set(func(query) (string, bool) { return "", true }) // it may have run
	c.expect(c.view("signoff", 1, 2000, "body"), "FAILED")
	if got := len(f.origin.got("fetch")) - before; got != 1 {
		t.Errorf("a one-shot view was sent %d times after the reload", got)
	}
	begun := time.Now()
	_ = f.router.Process.Signal(syscall.SIGTERM)
	_ = c.conn.Close()
	f.stopped(begun, 2500*time.Millisecond)
	if n := strings.Count(f.log.String(), "only the discovery address changes before a restart"); n != 1 {
		t.Errorf("%d log lines say that the rest was not taken", n)
	}
}

// A drain is told while the bulletin is out of reach and another one takes its place, with its numbers begun anew: the whole
// list comes, and the drained cache gets nothing after its grace. Its address is used again by another one meanwhile.
func TestDrainAcrossBulletins(t *testing.T) {
	a, b := newNode(t, "s-1", "std", hit), newNode(t, "s-2", "std", hit)
	f := newFleet(t, a, b)
	c := f.client().read()
	for object := range 20 {
		c.expect(c.view("clip", object+1, 2000, ""), "OK")
	}
	for range 3 {
		f.board.Tell(`"other":{}`) // so that the new numbers are lower
	}
	time.Sleep(100 * time.Millisecond)
	f.board.Mute(true)
	other := newBoard(t)
	other.List(true, site.Line{UID: "s-1", Address: a.address, Zone: "west", Kind: "std", State: "draining", Weight: 4},
		site.Line{UID: "s-2", Address: b.address, Zone: "west", Kind: "std", State: "ready", Weight: 4},
		site.Line{UID: "s-parent", Address: f.parent.address, Zone: "west", Kind: "parent", State: "ready", Weight: 4},
		site.Line{UID: "s-origin", Address: f.origin.address, Zone: "west", Kind: "origin", State: "ready", Weight: 4})
	f.configure(other, "")
	_ = f.router.Process.Signal(syscall.SIGHUP)
	still := func() bool {
		n := len(a.got("fetch"))
		for object := range 20 {
			c.expect(c.view("clip", object+1, 2000, ""), "OK")
		}
		return len(a.got("fetch")) == n
	}
	await(t, "the drain", still)
	time.Sleep(300 * time.Millisecond) // the grace
	n := len(b.got("fetch"))
	if !still() {
		t.Error("a leg to a drained cache after its grace")
	}
	for object := range 20 {
		c.expect(c.view("clip", 100+object, 2000, ""), "OK")
	}
	for _, q := range b.got("fetch")[n:] {
		if q.fields["next"] == "s-1" {
			t.Fatal("a drained cache was named as the source of a fill after its grace")
		}
	}
}
