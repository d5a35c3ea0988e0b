package golden_test

// These tests check the effect of the keys of the operator's file for which no error message shows that they are read.

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"time"
)

// startWithOperator starts a router with an operator's file.
func startWithOperator(f *fixture, operator string) *fixture {
	f.t.Helper()
	path := filepath.Join(f.folder, "operator.json")
	f.write(path, operator)
	return f.start("RELAY_OPERATOR=" + path)
}

// A store that has just started receives almost no requests if its share of the capacity, or the multiple of it that
// routers may use, is close to zero.
func TestColdStoreIsSpared(t *testing.T) {
	for _, test := range []struct {
		shared string
		spared bool
	}{
		{`"capacity_per_s": 100000, "cold_ms": 86400000, "cold_share": 0.5, "multiple": 100`, false},
		{`"capacity_per_s": 100000, "cold_ms": 86400000, "cold_share": 1e-9, "multiple": 1`, true},
		{`"capacity_per_s": 100000, "cold_ms": 86400000, "cold_share": 0.5, "multiple": 1e-9`, true},
		{`"capacity_per_s": 100000, "cold_ms": 0.001, "cold_share": 1e-9, "multiple": 1`, false},
		{`"capacity_per_s": 1e-9, "cold_ms": 86400000, "cold_share": 0.5, "multiple": 1`, true},
	} {
		store := newRedisServer(t)
		store.uptime = 1
		f := startWithOperator(newFixture(t), fmt.Sprintf(`{"stores": [{"uid": "s-redis", "addresses": [%q], "weight": 4}],
 "shared": {%s}}`, store.address, test.shared))
		f.parent.set(respond("200", "sum=0000000000000005,how=local", "hit"))
		waitFor(t, "the invalidation log is written", func() bool { return len(store.received("ZADD")) > 0 })
		c := f.client()
		for object := range 20 {
			doRequest(c, object+1, "clip", object+1, "")
		}
		if gets := len(store.received("GET")); test.spared && gets > 2 || !test.spared && gets < 10 {
			t.Errorf("%s: %d of 20 requests read from the store, want at most 2 if spared, else at least 10",
				test.shared, gets)
		}
	}
}

// The name that a store's certificate must hold is sent in the TLS client hello.
func TestServerNameOfAStore(t *testing.T) {
	listener, names := listen(t), make(chan string, 100)
	config := &tls.Config{GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		names <- hello.ServerName
		return nil, errors.New("the test needs only the client hello")
	}}
	go acceptEach(listener, func(conn net.Conn) {
		_ = tls.Server(conn, config).Handshake()
		_ = conn.Close()
	})
	startWithOperator(newFixture(t), fmt.Sprintf(`{"stores": [{"uid": "s-redis", "addresses": [%q],
 "tls": {"server_name": "store.example"}}]}`, listener.Addr().String()))
	select {
	case name := <-names:
		if name != "store.example" {
			t.Error(name)
		}
	case <-time.After(maxWait):
		t.Error("timed out waiting for a client hello")
	}
}

// A request beyond the limit of one address is rejected, on whichever connection it arrives.
func TestAdmissionRefusals(t *testing.T) {
	cache, w := newCacheServer(t, "s-1", "std", silent), &transcript{}
	f := startWithOperator(newFixture(t, cache), `{"admission": {"views_per_address": 1}}`)
	first, second := f.client(), f.client()
	first.send("DO", "1", "clip", requestFields(1, 1))
	waitFor(t, "a fetch", func() bool { fetches, _, _ := cache.counts(); return fetches > 0 })
	for i, c := range []*client{first, second} {
		c.send("DO", "2", "clip", requestFields(i+2, i+2))
		w.addLine(fmt.Sprintf("client %d", i+1), "<", c.receive())
	}
	expectGolden(t, "operator_admission.txt", []byte(w.String()))
}
