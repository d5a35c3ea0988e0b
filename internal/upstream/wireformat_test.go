package upstream

import (
	"testing"
	"time"

	"fennelarch/policy/routing"
)

// The frames of attempts, aborts and health checks, byte for byte.
func TestRequestFrames(t *testing.T) {
	session := newTestSession()
	now := time.Now()
	check := func(name string, at time.Time, want string) {
		t.Helper()
		if got := string(session.nextOutput(at)); got != want {
			t.Errorf("%s: got\n%q, want\n%q", name, got, want)
		}
		session.output.Advance(session.output.Len())
	}

	full := newAttempt(testID)
	full.Deadline = now.Add(1500 * time.Millisecond)
	full.MaxAge, full.CacheRank = 2*time.Second, 2
	full.FillOptions = routing.CoalesceFill | routing.OnlyIfCached | routing.NoStore | routing.StaleWhileRevalidate
	full.Request.HeldETag, full.Request.IdempotencyKey, full.Request.Body = "4be0", "op-7", []byte("a\r\nb")
	session.enqueue(exchange{attempt: full, sourceUID: "s-1", notAfter: now.Add(time.Second)})
	check("all fields", now, "*4\r\n$5\r\nfetch\r\n$16\r\n00000000000000a7\r\n$127\r\n"+
		"class=clip,key=000000000000beef,part=3,wait=1500,next=s-1,admit=2,agelim=2000,"+
		"ways=join+held+nocopy+renew,once=op-7,cached=4be0\r\n$4\r\na\r\nb\r\n")

	short := newAttempt(testID + 1)
	short.Deadline = now.Add(1400 * time.Millisecond)
	session.enqueue(exchange{attempt: short, notAfter: now.Add(time.Second)})
	check("no field that may be left out", now.Add(100*time.Millisecond),
		"*4\r\n$5\r\nfetch\r\n$16\r\n00000000000000a8\r\n$48\r\n"+
			"class=clip,key=000000000000beef,part=3,wait=1300\r\n$0\r\n\r\n")

	session.abort(full, time.Now())
	session.checkHealth(7, verbCheckWithReport, time.Now())
	check("abort and health check", time.Now(),
		"*2\r\n$5\r\nabort\r\n$16\r\n00000000000000a7\r\n*2\r\n$5\r\nstats\r\n$1\r\n1\r\n")
}
