package golden_test

// These tests pin how the router program exits.

import (
	"fmt"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

func TestServeRefusesWhatCannotBeUsed(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	config, operator := filepath.Join(f.folder, "broken.json"), filepath.Join(f.folder, "operator.json")
	var w strings.Builder
	for _, text := range []string{"", "{", `{"listen":"127.0.0.1:1"}`} {
		f.write(config, text)
		fmt.Fprintf(&w, "# configuration %q\n%s", text,
			run(t, routerProgram, []string{"RELAY_CONFIG=" + config}, nil, "serve"))
	}
	f.write(operator, `{"stroes": []}`)
	out := run(t, routerProgram, []string{"RELAY_CONFIG=" + f.config}, nil, "serve", "--operator", operator)
	fmt.Fprintf(&w, "# operator's file\n%s", strings.ReplaceAll(out.String(), f.folder, "FOLDER"))
	fmt.Fprintf(&w, "# no configuration\n%s", run(t, routerProgram, nil, nil, "serve"))
	expectGolden(t, "serve_refuses.txt", []byte(w.String()))
}

// After SIGTERM the router answers the requests that it has accepted, then exits with code 0.
func TestServeEndsAtSIGTERM(t *testing.T) {
	t.Parallel()
	fetched, release := make(chan struct{}), make(chan struct{})
	cache := newCacheServer(t, "s-1", "std", func(fetch []string) []string {
		close(fetched)
		<-release
		return []string{fetch[1], "200", "sum=0000000000000005,how=local", "in time"}
	})
	f := newFixture(t, cache).start()
	c := f.client()
	c.send("DO", "1", "clip", requestFields(1, 1))
	select {
	case <-fetched:
	case <-time.After(maxWait):
		t.Fatal("timed out waiting for a fetch")
	}
	if err := f.process.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	close(release)
	if response := fmt.Sprintf("%q", c.receive()); response != `["1" "OK" "" "in time"]` {
		t.Error(response)
	}
	select {
	case err := <-f.ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(maxWait):
		t.Fatal("timed out waiting for the program to exit")
	}
}
