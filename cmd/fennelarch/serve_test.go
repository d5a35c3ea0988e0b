package main

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// objectKey returns an object's key in the servers' protocol.
func objectKey(object int) string { return fmt.Sprintf("%016x", object) }

func TestServesCachedObjects(t *testing.T) {
	body := "\r\n*1\r\n\x00\xff" + strings.Repeat("x", 200_000)
	cache := newFakeServer(t, "s-1", "std", func(request serverRequest) (string, bool) {
		if request.fields["key"] == objectKey(2) {
			return request.respond("304", "sum=00000000000000bc,t0=1,how=local", ""), false
		}
		return request.respond("200", "sum=5,t0=1,how=local", body), false
	})
	client := startCluster(t, cache).connect()
	client.write(frame("PING", "900"))
	client.expectAnswer("900", "UP")
	changed, unchanged := client.request("clip", 1, 2000, ""), client.request("clip", 2, 2000, "")
	if got := client.awaitAnswer(changed); got[0] != "OK" || got[2] != body {
		t.Errorf("got answer %.60q, want OK with the body", got)
	}
	if got := client.awaitAnswer(unchanged); fmt.Sprint(got) != "[OK unchanged=1 ]" {
		t.Errorf("got answer %q, want unchanged", got)
	}
	fields := cache.received(verbFetch)[0].fields
	for name, want := range map[string]string{
		"class": "clip", "next": "s-parent", "cached": "00000000000000bc", "part": "0",
	} {
		if fields[name] != want {
			t.Errorf("field %s is %q, want %q, in %v", name, fields[name], want, fields)
		}
	}
	await(t, "a health check", func() bool {
		client.expectServed(1)
		return cache.receivedCount(verbStats) > 0
	})
}

func TestFillsMissFromOrigin(t *testing.T) {
	cache := newFakeServer(t, "s-1", "std", func(request serverRequest) (string, bool) {
		if request.fields["next"] == "s-origin" {
			return request.respond("200", "how=pulled_far,slow=5.5", "filled"), false
		}
		return respondMiss(request)
	})
	client := startCluster(t, cache).connect()
	client.expectAnswer(client.request("clip", 1, 2000, ""), "OK  filled")
}

func TestRejectsWhereAllServersAreBusy(t *testing.T) {
	cluster := startCluster(t, newFakeServer(t, "s-1", "std", respondBusy))
	cluster.parent.setHandler(respondBusy)
	cluster.origin.setHandler(respondBusy)
	client := cluster.connect()
	client.expectAnswer(client.request("clip", 1, 2000, ""), "BUSY holdoff=")
}

// When all servers are busy, the local cache serves objects that have passed through the router, until a purge.
func TestLocalCacheServesUntilPurge(t *testing.T) {
	cache := newFakeServer(t, "s-1", "std", func(request serverRequest) (string, bool) {
		fields := fmt.Sprintf("sum=5,t0=%d,how=local", time.Now().UnixMilli())
		return request.respond("200", fields, "bytes"), false
	})
	cluster := startCluster(t, cache)
	client := cluster.connect()
	client.expectAnswer(client.request("clip", 1, 2000, ""), "OK  bytes")
	cache.setHandler(respondBusy)
	cluster.parent.setHandler(respondBusy)
	cluster.origin.setHandler(respondBusy)
	client.expectAnswer(client.request("clip", 1, 2000, ""), "OK  bytes")
	client.expectAnswer(client.request("clip", 2, 2000, ""), "BUSY")
	cluster.discovery.publishPurge(1)
	await(t, "the purge", func() bool { return client.awaitAnswer(client.request("clip", 1, 2000, ""))[0] == "BUSY" })
}

// A cache server stops responding. Requests to it must be retried elsewhere and aborted at the silent server, and all
// requests must be served.
func TestSilentServerIsRoutedAround(t *testing.T) {
	silent, healthy := newFakeServer(t, "s-1", "std", respondHit), newFakeServer(t, "s-2", "std", respondHit)
	client := startCluster(t, silent, healthy).connect()
	for object := range 40 {
		client.expectServed(object + 1)
	}
	if silent.receivedCount(verbFetch) < 5 || healthy.receivedCount(verbFetch) < 5 {
		t.Fatalf("servers got %d and %d attempts, want at least 5 each",
			silent.receivedCount(verbFetch), healthy.receivedCount(verbFetch))
	}
	silent.setHandler(respondNothing)
	var tags []string
	for object := range 30 {
		tags = append(tags, client.request("clip", object+1, 3000, ""))
	}
	for _, tag := range tags {
		client.expectAnswer(tag, "OK")
	}
	if silent.receivedCount(verbAbort) == 0 {
		t.Error("no attempt was aborted at the silent server")
	}
}
