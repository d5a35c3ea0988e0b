package main

import (
	"syscall"
	"testing"
	"time"

	"fennelarch/internal/fake/site"
)

// A router starts with known events that report one cache server as draining and one as gone. From the first request
// on, neither may be the target of an attempt or the source of a fill.
func TestKnownEventsExcludeDepartedServers(t *testing.T) {
	ready := newFakeServer(t, "s-1", "std", respondMiss)
	draining, gone := newFakeServer(t, "s-2", "std", respondMiss), newFakeServer(t, "s-3", "std", respondMiss)
	cluster := newCluster(t, ready, draining, gone)
	cluster.discovery.publish(stateDraining, draining)
	cluster.discovery.publish(stateGone, gone)
	time.Sleep(400 * time.Millisecond) // past the grace of 0.3 s
	cluster.setKnownEvents(cluster.discovery.KnownEvents())
	cluster.start()
	client := cluster.connect()
	for object := range 60 {
		client.awaitAnswer(client.request("clip", object+1, 500, ""))
	}
	if count := draining.receivedCount(verbFetch) + gone.receivedCount(verbFetch); count > 0 {
		t.Errorf("%d attempts reached servers that were draining or gone", count)
	}
	for _, request := range ready.received(verbFetch) {
		if next := request.fields["next"]; next == draining.uid || next == gone.uid {
			t.Errorf("%s was named as the source of a fill although it was draining or gone", next)
		}
	}
}

// Unreadable known events are skipped and do not prevent the start, as the discovery server sends the current state.
func TestUnreadableKnownEventsAreSkipped(t *testing.T) {
	for name, known := range map[string]string{
		"malformed events":        `{"no":2,"items":[{"no":1,"roster":{"targets":7}},{"no":2,"recall":{"item":"x"}}]}`,
		"malformed page":          `{"no":"two"}`,
		"array instead of a page": `[]`,
		"null":                    `null`,
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newCluster(t)
			cache := newFakeServer(t, "s-1", "std", respondHit)
			cluster.setKnownEvents(known)
			cluster.start()
			cluster.discovery.publish(stateReady, cache)
			cluster.discovery.publishAll(stateReady, cache, cluster.parent, cluster.origin)
			client := cluster.connect()
			await(t, "the endpoint list of the discovery server", func() bool {
				client.awaitAnswer(client.request("clip", 1, 2000, "")) // rejected until the list has arrived
				return cache.receivedCount(verbFetch) > 0
			})
		})
	}
}

// The discovery server is unreachable for a while. Events published meanwhile must not be missed.
func TestNoEventIsMissedWhileDiscoveryIsDown(t *testing.T) {
	first, second := newFakeServer(t, "s-1", "std", respondHit), newFakeServer(t, "s-2", "std", respondHit)
	cluster := startCluster(t, first)
	client := cluster.connect()
	cluster.discovery.Suspend()
	cluster.discovery.publish(stateReady, second)
	client.expectServed(1)
	cluster.discovery.Resume()
	client.awaitRequestAt(second)
}

// After a purge, servers are sent an age limit. A new server then takes over the address of one that is gone, and must
// get new connections. After the drain grace of the new server, no attempt may reach it.
func TestPurgeAddressReuseAndDrain(t *testing.T) {
	former, successor := newFakeServer(t, "s-1", "std", respondHit), newFakeServer(t, "s-2", "std", respondHit)
	cluster := startCluster(t, former)
	client := cluster.connect()
	client.expectServed(1)
	cluster.discovery.publishPurge(1)
	await(t, "an age limit", func() bool {
		client.expectServed(1)
		requests := former.received(verbFetch)
		return requests[len(requests)-1].fields["agelim"] != ""
	})

	formerConn := former.received(verbFetch)[0].conn
	successor.address = former.address
	listener := former // accepts connections for both servers
	cluster.discovery.publish(stateGone, former)
	cluster.discovery.publish(stateReady, successor)
	await(t, "a new connection for the successor", func() bool {
		client.expectServed(2)
		requests := listener.received(verbFetch)
		return requests[len(requests)-1].conn != formerConn
	})

	cluster.discovery.publish(stateDraining, successor)
	published := time.Now()
	await(t, "the drain", func() bool {
		before := listener.receivedCount(verbFetch)
		client.awaitAnswer(client.request("clip", 3, 2000, ""))
		return listener.receivedCount(verbFetch) == before
	})
	drained := listener.receivedCount(verbFetch)
	for time.Since(published) < 400*time.Millisecond {
		client.awaitAnswer(client.request("clip", 4, 2000, ""))
	}
	if got := listener.receivedCount(verbFetch); got != drained {
		t.Errorf("%d attempts reached the server after the drain grace", got-drained)
	}
}

// A drain is published while the discovery server is unreachable. Another discovery server, with lower event numbers,
// then replaces it. The router must read the complete list and send the drained cache server nothing after its grace.
func TestDrainAcrossDiscoveryServers(t *testing.T) {
	drained, ready := newFakeServer(t, "s-1", "std", respondHit), newFakeServer(t, "s-2", "std", respondHit)
	cluster := startCluster(t, drained, ready)
	client := cluster.connect()
	expectServed := func(firstObject int) {
		t.Helper()
		for i := range 20 {
			client.expectServed(firstObject + i)
		}
	}
	expectServed(1)
	for range 3 {
		cluster.discovery.Publish(`"other":{}`) // gives the other server lower event numbers
	}
	time.Sleep(100 * time.Millisecond)
	cluster.discovery.Suspend()
	other := newFakeDiscovery(t)
	other.PublishList(append([]site.Endpoint{drained.endpointLine(stateDraining)},
		endpointLines(stateReady, []*fakeServer{ready, cluster.parent, cluster.origin})...)...)
	cluster.configure(other)
	cluster.signal(syscall.SIGHUP)

	isDrained := func() bool {
		before := drained.receivedCount(verbFetch)
		expectServed(1)
		return drained.receivedCount(verbFetch) == before
	}
	await(t, "the drain", isDrained)
	time.Sleep(300 * time.Millisecond) // the drain grace
	before := ready.receivedCount(verbFetch)
	if !isDrained() {
		t.Error("attempt reached the drained cache server after its grace")
	}
	expectServed(100)
	for _, request := range ready.received(verbFetch)[before:] {
		if request.fields["next"] == drained.uid {
			t.Fatalf("%s was named as the source of a fill after its grace", drained.uid)
		}
	}
}
