package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"fennelarch/internal/fake/redis"
)

// With a store in the operator's file, a miss is filled from the parent and stored, and the store serves the next
// request. On SIGHUP the router must apply settings that may change and reject other changes with one log line each,
// while it serves requests.
func TestOperatorFile(t *testing.T) {
	store, err := redis.Start(redis.Config{InitialAge: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	path := filepath.Join(t.TempDir(), "operator.json")
	writeFile := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	valid := fmt.Sprintf(`{"stores": [{"uid": "s-redis", "addresses": [%q], "weight": 4}], "shared": {"lease": true},
	  "admission": {"per_address": 50}}`, store.Address())
	writeFile(valid)
	t.Setenv("RELAY_OPERATOR", path)
	cluster := startCluster(t)
	cluster.parent.setHandler(func(request serverRequest) (string, bool) {
		fields := fmt.Sprintf("sum=0000000000000005,t0=%d,how=local", time.Now().UnixMilli())
		return request.respond("200", fields, "of "+request.fields["key"]), false
	})
	client := cluster.connect()
	await(t, "a request that the store serves without the parent", func() bool {
		fills := cluster.parent.receivedCount(verbFetch)
		client.expectAnswer(client.request("clip", 1, 2000, ""), "OK  of "+objectKey(1))
		time.Sleep(20 * time.Millisecond)
		return cluster.parent.receivedCount(verbFetch) == fills && store.Counts().Hits > 0
	})
	for _, text := range []string{
		strings.Replace(valid, `"lease": true`, `"lease": false`, 1),
		valid[:40],
		strings.Replace(valid, `"uid": "s-redis"`, `"uid": "s-other"`, 1),
		strings.Replace(valid, `"per_address": 50`, `"per_address": 0`, 1),
	} {
		writeFile(text)
		cluster.signal(syscall.SIGHUP)
		time.Sleep(150 * time.Millisecond)
		client.expectServed(1)
	}
	cluster.signal(syscall.SIGTERM)
	cluster.awaitExit()
	cluster.expectLogged(map[string]int{
		"operator's file reloaded":     1,
		"operator's file not reloaded": 3,
		"cannot change while":          1,
		"line 1":                       1,
		"admission.per_address":        1,
	})
}
