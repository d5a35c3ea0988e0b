package main

// The tests in this file shut the router down while requests or connections are open. The fake servers force the order
// of events, and the program must exit by itself. docs/endings.md lists the cases.

import (
	"fmt"
	"io"
	"syscall"
	"testing"
	"time"
)

// SIGTERM arrives twice with a SIGHUP in between, while connections are in these states: waiting for a slow cache
// server, half a request sent, unused, idle, and about to send another request. Requests that arrive in time must be
// served, each request must get one answer, and each connection must be closed without a reset. No later request may be
// forwarded.
func TestShutdownWithConnectionsInEachState(t *testing.T) {
	release := make(chan struct{})
	cache := newFakeServer(t, "s-1", "std", respondHitButDelay(objectKey(1), release))
	cluster := startCluster(t, cache)
	inFlight, halfSent, active := cluster.connect(), cluster.connect(), cluster.connect()
	idle, unused := cluster.connect(), cluster.connect()
	inFlight.write(message("1", 1))
	halfSent.write(message("1", 2)[:50])
	idle.write(frame("PING", "1"))
	idle.expectAnswer("1", "UP")
	active.write(message("1", 3))
	active.expectAnswer("1", "OK")
	await(t, "the slow request", func() bool { return cache.receivedCount(verbFetch) == 2 })

	signalledAt := time.Now()
	cluster.signal(syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	halfSent.write(message("1", 2)[50:])
	unused.write(message("1", 4))
	active.write(message("2", 5))
	late := cluster.connect()
	late.write(message("1", 6))
	for _, client := range []*testClient{halfSent, unused, late} {
		client.expectAnswer("1", "OK")
	}
	active.expectAnswer("2", "OK")
	idle.expectClose()

	forwarded := cache.receivedCount(verbFetch)
	_, _ = io.WriteString(idle.conn, message("2", 7)) // races with the close
	inFlight.write(message("2", 8))
	inFlight.expectAnswer("2", "BUSY")
	close(release)
	inFlight.expectAnswer("1", "OK  slow")
	for _, client := range []*testClient{inFlight, halfSent, unused, active, late} {
		client.expectClose()
		_ = client.conn.Close()
	}
	_ = idle.conn.Close()
	cluster.expectShutdown(signalledAt, 2500*time.Millisecond)
	if got := cache.receivedCount(verbFetch); got != forwarded {
		t.Errorf("%d requests that came after the drain were forwarded", got-forwarded)
	}
	expectNoSecondAnswer(t, map[string]*testClient{
		"in flight": inFlight, "half sent": halfSent, "active": active, "idle": idle, "unused": unused, "late": late,
	})
}

// respondHitButDelay returns a handler that serves one object only after a channel is closed, and all others at once.
func respondHitButDelay(delayedKey string, release <-chan struct{}) handler {
	return func(request serverRequest) (string, bool) {
		if request.fields["key"] != delayedKey {
			return respondHit(request)
		}
		go func() {
			<-release
			_, _ = io.WriteString(request.conn, request.respond("200", "sum=5,t0=1,how=local", "slow"))
		}()
		return "", false
	}
}

// message encodes a client's request for an object with a given tag.
func message(tag string, object int) string {
	fields := fmt.Sprintf("req=%016x,timeout=2500,subject=%016x,need=30", 77+object, object)
	return frame("DO", tag, "clip", fields, "")
}

// expectNoSecondAnswer checks that no client got two answers to a tag.
func expectNoSecondAnswer(t *testing.T, clients map[string]*testClient) {
	t.Helper()
	for name, client := range clients {
		for _, tag := range []string{"1", "2"} {
			if count := client.answerCount(tag); count > 1 {
				t.Errorf("client %q got %d answers to tag %s, want at most 1", name, count, tag)
			}
		}
	}
}

// After SIGTERM the program answers all accepted requests and those that arrive for a while, and then exits by itself.
func TestShutdownUnderLoad(t *testing.T) {
	cache := newFakeServer(t, "s-1", "std", func(request serverRequest) (string, bool) {
		if request.fields["key"] != objectKey(1) {
			go func() {
				time.Sleep(100 * time.Millisecond) // simulates a slow server
				_, _ = io.WriteString(request.conn, request.respond("200", "how=local", "late"))
			}()
		}
		return "", false
	})
	cluster := startCluster(t, cache)
	cluster.parent.setHandler(respondNothing)
	cluster.origin.setHandler(respondNothing)
	client := cluster.connect()
	var tags []string
	for object := range 10 {
		tags = append(tags, client.request("clip", object+1, 5000, ""))
	}
	await(t, "ten attempts", func() bool { return cache.receivedCount(verbFetch) >= 10 })
	signalledAt := time.Now()
	cluster.signal(syscall.SIGTERM, syscall.SIGTERM)
	var late []*testClient
	for object := range 5 {
		lateClient := cluster.connect()
		lateClient.request("clip", object+2, 5000, "")
		late = append(late, lateClient)
	}
	for _, lateClient := range late {
		lateClient.expectAnswer("1", "OK")
	}
	client.expectAnswer(tags[0], "") // the server never responds to this request
	for _, tag := range tags[1:] {
		client.expectAnswer(tag, "OK")
	}
	cluster.awaitExit()
	took := time.Since(signalledAt)
	if cluster.exitErr != nil || took < 700*time.Millisecond || took > 3700*time.Millisecond {
		t.Errorf("router exited after %v with error %v, want no error after 700ms to 3.7s", took, cluster.exitErr)
	}
}

// SIGTERM arrives while a cache server, the parent and the origin are silent and another cache server is unreachable.
// Each request must be answered by its deadline, and the program must exit in time.
func TestShutdownWhileNoServerResponds(t *testing.T) {
	cache := newFakeServer(t, "s-1", "std", respondNothing)
	unreachable := &fakeServer{uid: "s-2", kind: "std", address: unreachableAddress(t)}
	cluster := startCluster(t, cache, unreachable)
	cluster.parent.setHandler(respondNothing)
	cluster.origin.setHandler(respondNothing)
	client := cluster.connect()
	var tags []string
	for object := range 20 { // some go to the unreachable server
		tags = append(tags, client.request("clip", object+1, 800, ""))
	}
	write, long := client.request("signoff", 2, 2900, "body"), client.request("clip", 3, 5000, "")
	await(t, "attempts", func() bool {
		return cache.receivedCount(verbFetch) >= 5 && cluster.origin.receivedCount(verbFetch) >= 1
	})
	signalledAt := time.Now()
	cluster.signal(syscall.SIGTERM)
	for _, tag := range tags {
		client.expectAnswer(tag, "BUSY")
	}
	client.expectAnswer(write, "FAILED")
	client.expectAnswer(long, "")
	client.expectClose()
	_ = client.conn.Close()
	cluster.expectShutdown(signalledAt, 3700*time.Millisecond)
	writes := 0
	for _, request := range cluster.origin.received(verbFetch) {
		if request.fields["class"] == "signoff" {
			writes++
		}
	}
	if writes != 1 {
		t.Errorf("non-idempotent request was sent %d times, want 1", writes)
	}
}

// SIGTERM, followed by SIGHUP, arrives before the first endpoint list. The program must reject requests, since it knows
// no servers, and exit.
func TestShutdownBeforeFirstEndpointList(t *testing.T) {
	cluster := newCluster(t, newFakeServer(t, "s-1", "std", respondHit))
	cluster.discovery.Suspend()
	cluster.setKnownEvents(`{"no":0,"items":[]}`)
	cluster.start()
	client := cluster.connect()
	cluster.signal(syscall.SIGTERM, syscall.SIGHUP)
	client.expectAnswer(client.request("clip", 1, 2000, ""), "BUSY")
	client.expectAnswer(client.request("signoff", 1, 2000, "body"), "BUSY")
	client.expectClose()
	_ = client.conn.Close()
	cluster.awaitExit()
	if cluster.exitErr != nil {
		t.Error(cluster.exitErr)
	}
}
