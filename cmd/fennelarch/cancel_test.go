package main

import (
	"testing"
	"time"
)

// When a request times out, or its client cancels it or disconnects, the router must abort its attempts at the servers.
func TestEndOfRequestAbortsItsAttempts(t *testing.T) {
	cache := newFakeServer(t, "s-1", "std", respondNothing)
	cluster := startCluster(t, cache)
	cluster.parent.setHandler(respondNothing)
	cluster.origin.setHandler(respondNothing)
	awaitAttempt := func() {
		t.Helper()
		await(t, "an attempt", func() bool { return cache.receivedCount(verbFetch) > cache.receivedCount(verbAbort) })
	}
	awaitAborts := func() {
		t.Helper()
		await(t, "an abort", func() bool { return cache.receivedCount(verbAbort) == cache.receivedCount(verbFetch) })
	}

	client := cluster.connect()
	requestedAt := time.Now()
	client.expectAnswer(client.request("clip", 1, 300, ""), "BUSY")
	if took := time.Since(requestedAt); took > 400*time.Millisecond {
		t.Errorf("answer took %v, want at most 400ms", took)
	}
	awaitAborts()

	tag := client.request("clip", 2, 5000, "")
	awaitAttempt()
	client.write(frame("UNDO", tag))
	awaitAborts()
	client.write(frame("PING", "901"))
	client.expectAnswer("901", "UP")
	if client.answerCount(tag) > 0 {
		t.Error("cancelled request got an answer")
	}

	leaving := cluster.connect()
	leaving.request("clip", 3, 5000, "")
	awaitAttempt()
	_ = leaving.conn.Close()
	awaitAborts()
}
