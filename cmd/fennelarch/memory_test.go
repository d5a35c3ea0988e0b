package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// memoryKB returns the memory that is the router's alone, or 0 once it has ended.
func (c *testCluster) memoryKB() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.process.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, "RssAnon:"); found {
			memory, _ := strconv.Atoi(strings.Fields(rest)[0])
			return memory
		}
	}
	return 0
}

// TestMemoryOfManyWrites guards against a router that is killed for its memory, with the open requests of all clients:
// many clients send as many writes at once as they may, and the origin answers none. A client that was served before
// still reads and writes meanwhile.
func TestMemoryOfManyWrites(t *testing.T) {
	const memoryMB, clients, writes = 32, 60, 32
	cluster := newCluster(t, newFakeServer(t, "s-1", "std", respondHit))
	cluster.writeConfig(strings.Replace(cluster.readConfig(), `"memory_mb":192,"sockets":1024`,
		fmt.Sprintf(`"memory_mb":%d,"sockets":256`, memoryMB), 1))
	cluster.start()
	cluster.origin.setHandler(func(request serverRequest) (string, bool) {
		if strings.HasPrefix(request.body, "sound") {
			return request.respond("200", "sum=5,t0=1", "done"), false
		}
		return "", false
	})
	sound := cluster.connect()
	sound.expectServed(1)
	var sending sync.WaitGroup
	body := strings.Repeat("y", 48_000)
	for i := range clients {
		conn, err := net.Dial("tcp", cluster.listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		sending.Go(func() {
			for tag := 1; tag <= writes; tag++ {
				fields := fmt.Sprintf("req=%016x,timeout=3000,subject=%016x", 1000*i+tag, 1000*i+tag)
				if _, err := io.WriteString(conn, frame("DO", strconv.Itoa(tag), "signoff", fields, body)); err != nil {
					return
				}
			}
		})
	}
	peak := 0
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		peak = max(peak, cluster.memoryKB())
	}
	sending.Wait()
	sound.expectServed(2)
	sound.expectAnswer(sound.request("signoff", 3, 2000, "sound"+body[:40_000]), "OK")
	if peak = max(peak, cluster.memoryKB()); peak == 0 || peak > memoryMB<<10 {
		t.Errorf("the router's memory came to %d KB of %d KB", peak, memoryMB<<10)
	}
}
