package main

import (
	"strconv"
	"syscall"
	"testing"
	"time"
)

// The program stands still for a while, as on a starved core. A request that came meanwhile lay in the system's buffer:
// its time counts from then, so the deadline that goes to the server has shrunk by it. One that was cancelled or left
// behind meanwhile goes nowhere.
func TestRequestsThatCameWhileStopped(t *testing.T) {
	cache := newNode(t, "s-1", "std", hit)
	f := newFleet(t, cache)
	c, cancels, leaves := f.client().read(), f.client().read(), f.client()
	c.expect(c.view("clip", 1, 2000, ""), "OK")
	cancels.expect(cancels.view("clip", 1, 2000, ""), "OK")
	leaves.view("clip", 1, 2000, "")
	await(t, "three attempts", func() bool { return len(cache.got("fetch")) >= 3 })
	for range 3 {
		before := len(cache.got("fetch"))
		_ = f.router.Process.Signal(syscall.SIGSTOP)
		time.Sleep(20 * time.Millisecond)
		tag := c.view("clip", 2, 1500, "")
		cancels.write(frame("UNDO", cancels.view("clip", 3, 1500, "")))
		if before == 3 {
			leaves.view("clip", 4, 1500, "")
			_ = leaves.conn.Close()
		}
		time.Sleep(600 * time.Millisecond)
		_ = f.router.Process.Signal(syscall.SIGCONT)
		c.expect(tag, "")
		time.Sleep(50 * time.Millisecond)
		for _, q := range cache.got("fetch")[before:] {
			if q.fields["key"] != "0000000000000002" {
				t.Errorf("a request for %s, whose client had gone, reached a server", q.fields["key"])
				continue
			}
			if ms, _ := strconv.Atoi(q.fields["wait"]); ms > 900+150 {
				t.Errorf("the server is told %d ms, the client has at most 900 ms left", ms)
			}
		}
	}
}
