package main

import (
	"strconv"
	"syscall"
	"testing"
	"time"
)

// The process is stopped for a while, as on a machine without a free core. Requests that arrive meanwhile wait in
// kernel buffers. Their time counts from their arrival, so the server must be sent a shorter timeout. A request that is
// cancelled meanwhile, or whose client leaves, must reach no server.
func TestRequestsThatArriveWhileStopped(t *testing.T) {
	const (
		timeoutMS    = 1500
		stopped      = 600 * time.Millisecond
		maxTimeoutMS = 900 + 150 // what is left of timeoutMS after the stop, and a tolerance
	)
	cache := newFakeServer(t, "s-1", "std", respondHit)
	cluster := startCluster(t, cache)
	staying, cancelling, leaving := cluster.connect(), cluster.connect(), cluster.connectWithoutReading()
	staying.expectServed(1)
	cancelling.expectServed(1)
	leaving.request("clip", 1, 2000, "")
	await(t, "three attempts", func() bool { return cache.receivedCount(verbFetch) >= 3 })
	for range 3 {
		before := cache.receivedCount(verbFetch)
		cluster.signal(syscall.SIGSTOP)
		time.Sleep(20 * time.Millisecond)
		tag := staying.request("clip", 2, timeoutMS, "")
		cancelling.write(frame("UNDO", cancelling.request("clip", 3, timeoutMS, "")))
		if before == 3 {
			leaving.request("clip", 4, timeoutMS, "")
			_ = leaving.conn.Close()
		}
		time.Sleep(stopped)
		cluster.signal(syscall.SIGCONT)
		staying.expectAnswer(tag, "")
		time.Sleep(50 * time.Millisecond)
		for _, request := range cache.received(verbFetch)[before:] {
			if key := request.fields["key"]; key != objectKey(2) {
				t.Errorf("request for %s reached a server after its client had cancelled or left", key)
				continue
			}
			if ms, _ := strconv.Atoi(request.fields["wait"]); ms > maxTimeoutMS {
				t.Errorf("server was sent a timeout of %d ms, but the client has at most 900 ms left", ms)
			}
		}
	}
}
