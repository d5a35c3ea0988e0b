package main

import (
	"strings"
	"testing"
	"time"
)

// A client that misbehaves must not affect other clients.
func TestMisbehavingClientsAreIsolated(t *testing.T) {
	cache := newFakeServer(t, "s-1", "std", func(request serverRequest) (string, bool) {
		return request.respond("200", "how=local", strings.Repeat("x", 200_000)), false
	})
	cluster := startCluster(t, cache)
	client := cluster.connect()

	client.write(frame("DO", "500", "film", "req=1") + frame("JUMP", "501") + frame("DO", "0"))
	for _, tag := range []string{"500", "501", "0"} {
		client.expectAnswer(tag, "FAILED")
	}
	client.expectServed(1)

	for _, malformed := range []string{"GET / HTTP/1.0\r\n\r\n", "*3\r\n$99999999999\r\n", "*99999\r\n", "$5\r\n"} {
		sender := cluster.connect()
		tag := sender.request("clip", 1, 2000, "")
		sender.write(malformed)
		sender.expectAnswer(tag, "") // the malformed input gets no answer
		sender.awaitClose()
	}

	halfMessage, noMessage, openedAt := cluster.connect(), cluster.connect(), time.Now()
	halfMessage.write("*4\r\n$2\r\nDO\r\n$1")
	notReading := cluster.connectWithoutReading()
	for object := range 32 {
		notReading.request("clip", object+1, 2000, "")
	}
	for range 20 {
		client.expectServed(1)
	}
	halfMessage.awaitClose()
	noMessage.awaitClose()
	if took := time.Since(openedAt); took > 3*time.Second {
		t.Errorf("silent connections stayed open for %v, want at most 3s", took)
	}
}
