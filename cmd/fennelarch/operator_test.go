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

// A store by the operator's file: a miss is filled from the parent and stored, the next view is the store's. SIGHUP takes what
// may change, and refuses the rest in one line each, while views go on.
func TestOperator(t *testing.T) {
	store, err := redis.Start(redis.Config{Age: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	path := filepath.Join(t.TempDir(), "operator.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	good := fmt.Sprintf(`{"stores": [{"uid": "s-redis", "addresses": [%q], "weight": 4}], "shared": {"lease": true},
	  "admission": {"per_address": 50}}`, store.Address())
	write(good)
	t.Setenv("RELAY_OPERATOR", path)
	f := newFleet(t)
	f.parent.set(func(q query) (string, bool) {
		return q.says("200", fmt.Sprintf("sum=0000000000000005,t0=%d,how=local", time.Now().UnixMilli()), "of "+q.fields["key"]), false
	})
	c := f.client().read()
	await(t, "a view that the store alone serves", func() bool {
		asked := len(f.parent.got("fetch"))
		c.expect(c.view("clip", 1, 2000, ""), "OK  of 0000000000000001")
		time.Sleep(20 * time.Millisecond)
		return len(f.parent.got("fetch")) == asked && store.Counts().Given > 0
	})
	for _, text := range []string{
		strings.Replace(good, "true", "false", 1), good[:40], strings.Replace(good, "s-redis", "s-other", 1),
		strings.Replace(good, "50", "0", 1),
	} {
		write(text)
		_ = f.router.Process.Signal(syscall.SIGHUP)
		time.Sleep(150 * time.Millisecond)
		c.expect(c.view("clip", 1, 2000, ""), "OK")
	}
	_ = f.router.Process.Signal(syscall.SIGTERM)
	<-f.logged
	text := f.log.String()
	for _, want := range []struct {
		line string
		n    int
	}{{"operator's file reloaded", 1}, {"operator's file not reloaded", 3}, {"cannot_change", 1}, {"line 1", 1}, {"admission.per_address", 1}} {
		if n := strings.Count(text, want.line); n != want.n {
			t.Errorf("%q is logged %d times, not %d:\n%s", want.line, n, want.n, text)
		}
	}
}
