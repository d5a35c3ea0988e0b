package testbed

// This file owns the stand-ins of the example configuration: a newcomer's first served view comes from them.

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"fennelarch/internal/fake/redis"
	"fennelarch/internal/fake/site"
)

// Up starts the stand-ins of deploy/example.json at the addresses that it names, and runs until it is interrupted.
func Up(bulletin string, out io.Writer) error {
	s := site.New(func(site.Object) int { return 2000 }, func(id uint64) int { return 1 })
	defer s.Close()
	for _, n := range []struct {
		uid, address string
		kind         site.Kind
		takes        time.Duration
	}{
		{"s-1", "127.0.0.1:9101", site.Cache, time.Millisecond},
		{"s-2", "127.0.0.1:9102", site.Parent, 4 * time.Millisecond},
		{"s-3", "127.0.0.1:9103", site.Origin, 30 * time.Millisecond},
	} {
		if _, err := s.Add(site.CacheServerOptions{
			UID: n.uid, Kind: n.kind, Address: n.address, Weight: 4, ServiceTime: site.ServiceTime{Base: n.takes}, Seed: 1,
		}); err != nil {
			return err
		}
	}
	ln, err := net.Listen("tcp", bulletin)
	if err != nil {
		return err
	}
	s.Discovery.Serve(ln)
	store, err := redis.Start(redis.Config{Address: "127.0.0.1:6390", Memory: 64 << 20})
	if err != nil {
		return err
	}
	defer store.Close()
	fmt.Fprintln(out, "cache 127.0.0.1:9101, parent 127.0.0.1:9102, origin 127.0.0.1:9103, bulletin "+bulletin+", store 127.0.0.1:6390")
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	<-stop
	return nil
}
