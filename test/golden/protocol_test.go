package golden_test

// These tests pin the bytes that a router sends to clients, cache servers and discovery.

import (
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"
)

// varying matches the parts of messages that differ between runs, each with its replacement.
var varying = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`\bwait=[0-9]+`), "wait=MS"},                // the time left of a request
	{regexp.MustCompile(`\bagelim=[0-9]+`), "agelim=MS"},            // the time since a purge
	{regexp.MustCompile(`\bholdoff=[0-9]+`), "holdoff=MS"},          // a random wait
	{regexp.MustCompile(`Host: 127\.0\.0\.1:[0-9]+`), "Host: HOST"}, // a random port
}

// normalise replaces the parts of a message that differ between runs.
func normalise(text string) string {
	for _, v := range varying {
		text = v.pattern.ReplaceAllString(text, v.replacement)
	}
	return text
}

// transcript records a conversation, one message per line.
type transcript struct{ strings.Builder }

func (w *transcript) addLine(party, direction string, words []string) {
	w.WriteString(normalise(fmt.Sprintf("%s %s %q\n", party, direction, words)))
}

// exchange sends a request and records it, the requests that the servers received, and the response.
func (w *transcript) exchange(name string, f *fixture, c *client, request ...string) {
	f.t.Helper()
	_, _ = fmt.Fprintf(w, "# %s\n", name)
	c.send(request...)
	response := c.receive()
	w.addLine("client", ">", request)
	w.addServerRequests(f)
	w.addLine("client", "<", response)
}

// addServerRequests records the fetches and aborts that the servers received since the last call.
func (w *transcript) addServerRequests(f *fixture) {
	for _, s := range f.servers() {
		fetches, aborts := s.take()
		for _, words := range append(fetches, aborts...) {
			w.addLine(s.uid, "<", words)
		}
	}
}

// requestFields returns the fields that every request has.
func requestFields(id, object int) string {
	return fmt.Sprintf("req=%016x,timeout=5000,subject=%016x,piece=3,lot=17,need=30", id, object)
}

func TestResponsesOfCacheServers(t *testing.T) {
	cache := newCacheServer(t, "s-1", "std", nil)
	f := newFixture(t, cache).start()
	client, w := f.client(), &transcript{}
	w.exchange("health check of the router", f, client, "PING", "1")
	for index, answer := range []struct {
		name   string
		handle handler
	}{
		{"hit", respond("200", "sum=0000000000000005,t0=1,how=local", "some\r\nbytes\x00\xff")},
		{"empty hit", respond("200", "sum=0000000000000005,t0=1,how=local", "")},
		{"unchanged", respond("304", "sum=00000000000000bc,t0=1,how=local", "")},
		{"filled", respond("200", "sum=0000000000000005,t0=1,how=pulled,slow=5.5", "filled")},
		{"joined", respond("200", "sum=0000000000000005,t0=1,how=rode,slow=5.5", "joined")},
		{"stale", respond("200", "sum=0000000000000005,t0=1,how=expired", "stale")},
		{"fields to come", respond("200", "sum=0000000000000005,new=1,stats=util:0.5;x1:0.5,how=local", "hit")},
		{"no fields", respond("200", "-", "hit")},
	} {
		cache.set(answer.handle)
		w.exchange(answer.name, f, client, "DO", fmt.Sprint(index+2), "clip",
			requestFields(index+1, index+1)+",owner=acme,ver=00000000000000bc")
	}
	cache.set(func(fetch []string) []string {
		if strings.Contains(fetch[2], "next=s-origin") {
			return []string{fetch[1], "200", "sum=0000000000000005,how=pulled_far", "from afar"}
		}
		return []string{fetch[1], "404", "how=not_there", ""}
	})
	w.exchange("a parent that lacks it", f, client, "DO", "50", "clip", requestFields(50, 50))
	expectGolden(t, "protocol_cache_servers.txt", []byte(w.String()))
}

func TestRequestFields(t *testing.T) {
	cache := newCacheServer(t, "s-1", "std", respond("200", "sum=0000000000000005,how=local", "hit"))
	f := newFixture(t, cache).start()
	f.origin.set(respond("200", "sum=0000000000000005,t0=1", "done"))
	c, w := f.client(), &transcript{}
	w.exchange("all fields", f, c, "DO", "1", "clip",
		requestFields(1, 1)+",resent=1,owner=other,ver=00000000000000bc,odd=1")
	w.exchange("with a body", f, c, "DO", "2", "clip", requestFields(2, 2), "a body")
	w.exchange("least fields", f, c, "DO", "3", "clip", "req=0000000000000003,timeout=5000,subject=0000000000000003")
	for i := range 4 {
		w.exchange("a class with a fresh time", f, c, "DO", fmt.Sprint(10+i), "news", requestFields(10+i, 10))
	}
	w.exchange("keyed write", f, c, "DO", "20", "order", requestFields(20, 20)+",owner=acme,opkey=op-7", "to write")
	w.exchange("write without a key", f, c, "DO", "21", "order", requestFields(21, 21)+",owner=other", "to write")
	w.exchange("fragile write", f, c, "DO", "22", "signoff", requestFields(22, 22), "to write")
	expectGolden(t, "protocol_request_fields.txt", []byte(w.String()))
}

func TestFailures(t *testing.T) {
	cache := newCacheServer(t, "s-1", "std", respond("503", "how=turned_away", ""))
	f := newFixture(t, cache).start()
	client, w := f.client(), &transcript{}
	for i, status := range []string{"500", "504", "999"} {
		f.origin.set(respond(status, "-", ""))
		w.exchange("fragile write, "+status, f, client, "DO", fmt.Sprint(i+1), "signoff", requestFields(i+1, i+1), "write")
	}
	fetchCount := 0
	f.origin.set(func(fetch []string) []string {
		if fetchCount++; fetchCount == 1 {
			return []string{fetch[1], "503", "how=turned_away", ""}
		}
		return []string{fetch[1], "200", "sum=0000000000000005", "done"}
	})
	w.exchange("fragile write, 503 once", f, client, "DO", "10", "signoff", requestFields(10, 10), "write")
	f.origin.set(respond("503", "how=turned_away", ""))
	f.parent.set(respond("503", "how=turned_away", ""))
	w.exchange("all are full", f, client, "DO", "11", "clip", requestFields(11, 11))
	expectGolden(t, "protocol_failures.txt", []byte(w.String()))
}

func TestMalformedRequests(t *testing.T) {
	f := newFixture(t, newCacheServer(t, "s-1", "std", respond("200", "how=local", "hit"))).start()
	client, w := f.client(), &transcript{}
	good := requestFields(1, 1)
	for index, request := range [][]string{
		{"DO", "1", "no-such-class", good},
		{"DO", "2", "clip", strings.Replace(good, "req=", "rec=", 1)},
		{"DO", "3", "clip", strings.Replace(good, "subject=", "object=", 1)},
		{"DO", "4", "clip", strings.Replace(good, "timeout=", "timeouts=", 1)},
		{"DO", "5", "clip", good + ",req=0000000000000001"},
		{"DO", "6", "clip", good + ",owner=nobody"},
		{"DO", "7", "clip", good + ",opkey="},
		{"DO", "8", "clip", good + ",opkey=a b"},
		{"DO", "9", "clip", good + ",ver=BC"},
		{"DO", "10", "clip", good + ",resent=2"},
		{"DO", "11", "clip", strings.Replace(good, "lot=17", "lot=256", 1)},
		{"DO", "12", "clip", strings.Replace(good, "piece=3", "piece=-3", 1)},
		{"DO", "13", "clip", strings.Replace(good, "need=30", "need=much", 1)},
		{"DO", "14", "clip", strings.Replace(good, "timeout=5000", "timeout=50000000", 1)},
		{"DO", "15", "clip"},
		{"DO", "16", "clip", good, "body", "more"},
		{"DO", "0", "clip", good},
		{"DO", "x", "clip", good},
		{"JUMP", "17"},
		{"do", "18", "clip", good},
		{"PING", "0"},
		{"PING", "19"},
	} {
		w.exchange(fmt.Sprintf("request %d", index+1), f, client, request...)
	}
	expectGolden(t, "protocol_malformed_requests.txt", []byte(w.String()))
}

func TestRubbishEndsTheConnection(t *testing.T) {
	f := newFixture(t).start()
	for _, garbage := range []string{"GET / HTTP/1.0\r\n\r\n", "*3\r\n$99999999999\r\n", "*99999\r\n", "$5\r\n"} {
		c := f.client()
		if _, err := c.conn.Write([]byte(garbage)); err != nil {
			t.Fatal(err)
		}
		_ = c.conn.SetReadDeadline(time.Now().Add(maxWait))
		n, err := c.conn.Read(make([]byte, 100))
		if netErr, ok := err.(interface{ Timeout() bool }); n > 0 || err == nil || ok && netErr.Timeout() {
			t.Errorf("after %q: read %d bytes, error %v, want a closed connection", garbage, n, err)
		}
	}
}

func TestAbort(t *testing.T) {
	cache := newCacheServer(t, "s-1", "std", silent)
	f := newFixture(t, cache).start()
	client, w := f.client(), &transcript{}
	aborted := func() bool { _, aborts, _ := cache.counts(); return aborts == 1 }

	_, _ = fmt.Fprintln(w, "# a request is undone: no response to it, and UP is the next")
	client.send("DO", "1", "clip", requestFields(1, 1))
	waitFor(t, "a fetch", func() bool { fetches, _, _ := cache.counts(); return fetches == 1 })
	client.send("UNDO", "1")
	waitFor(t, "an abort", aborted)
	w.addServerRequests(f)
	w.exchange("after it", f, client, "PING", "2")

	_, _ = fmt.Fprintln(w, "# a client leaves")
	other := f.client()
	other.send("DO", "1", "clip", requestFields(2, 2))
	waitFor(t, "a fetch", func() bool { fetches, _, _ := cache.counts(); return fetches == 1 })
	_ = other.conn.Close()
	waitFor(t, "an abort", aborted)
	w.addServerRequests(f)

	_, _ = fmt.Fprintln(w, "# the time of a request is over")
	client.send("DO", "3", "clip", strings.Replace(requestFields(3, 3), "5000", "1000", 1))
	w.addLine("client", "<", client.receive())
	waitFor(t, "an abort", aborted)
	w.addServerRequests(f)
	expectGolden(t, "protocol_abort.txt", []byte(w.String()))
}

func TestHealthCheck(t *testing.T) {
	cache := newCacheServer(t, "s-1", "std", respond("200", "sum=0000000000000005,how=local", "hit"))
	f := newFixture(t, cache).start()
	c, w := f.client(), &transcript{}
	sent := 0
	waitFor(t, "a health check", func() bool {
		sent++
		c.send("DO", fmt.Sprint(sent), "clip", requestFields(sent, sent))
		_ = c.receive()
		_, _, checks := cache.counts()
		return checks > 0
	})
	w.addLine("s-1", "<", cache.firstHealthCheck())
	expectGolden(t, "protocol_health_check.txt", []byte(w.String()))
}

func TestDiscoveryPolls(t *testing.T) {
	cache := newCacheServer(t, "s-1", "std", respond("200", "sum=0000000000000005,how=local", "hit"))
	f := newFixture(t, cache).start()
	client, w := f.client(), &transcript{}
	waitForPolls := func(n int) {
		t.Helper()
		waitFor(t, "a poll", func() bool { return len(f.discovery.pollHeads()) >= n })
	}
	waitForPolls(1)
	added := newCacheServer(t, "s-2", "std", respond("200", "sum=0000000000000005,how=local", "hit"))
	f.caches = append(f.caches, added)
	f.discovery.publish(endpointListEvent(false, added))
	waitForPolls(2)
	for object := range 12 {
		w.exchange("an object, with a new cache server", f, client, "DO", fmt.Sprint(object+1), "clip",
			requestFields(object+1, object+1))
	}
	f.discovery.publish(fmt.Sprintf(`"recall":{"item":"%016x","issued":%d}`, 1, time.Now().UnixMilli()))
	waitForPolls(3)
	w.exchange("a purged object", f, client, "DO", "100", "clip", requestFields(100, 1))
	f.discovery.publish(fmt.Sprintf(`"recall":{"lot":17,"issued":%d}`, time.Now().UnixMilli()))
	waitForPolls(4)
	w.exchange("a purged group", f, client, "DO", "101", "clip", requestFields(101, 2))
	for i, head := range f.discovery.pollHeads()[:4] {
		_, _ = fmt.Fprintf(w, "# poll %d\n%s", i+1, normalise(head))
	}
	expectGolden(t, "protocol_discovery.txt", []byte(w.String()))
}
