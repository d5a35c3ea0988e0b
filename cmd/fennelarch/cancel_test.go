package main

import (
	"testing"
	"time"
)

// The attempts of a request are aborted at the servers once its time is up, its client cancels it, or its client has
// gone.
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
	begun := time.Now()
	client.expectAnswer(client.request("clip", 1, 300, ""), "BUSY")
	if took := time.Since(begun); took > 400*time.Millisecond {
		t.Errorf("the answer took %v", took)
	}
	awaitAborts()

	tag := client.request("clip", 2, 5000, "")
	awaitAttempt()
	client.write(frame("UNDO", tag))
	awaitAborts()
	client.write(frame("PING", "901"))
	client.expectAnswer("901", "UP")
	if client.answerCount(tag) > 0 {
		t.Error("a cancelled request has an answer")
	}

	leaving := cluster.connect()
	leaving.request("clip", 3, 5000, "")
	awaitAttempt()
	_ = leaving.conn.Close()
	awaitAborts()
}
