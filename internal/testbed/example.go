package testbed

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

// Addresses in deploy/example.json and deploy/operator.example.json.
const (
	exampleCache  = "127.0.0.1:9101"
	exampleParent = "127.0.0.1:9102"
	exampleOrigin = "127.0.0.1:9103"
	exampleStore  = "127.0.0.1:6390"
)

// ServeExample runs the fake servers that deploy/example.json configures, until it is interrupted. They let a new user
// try a router.
func ServeExample(discoveryAddress string, out io.Writer) error {
	servers := site.New(func(site.Object) int { return 2000 }, func(uint64) int { return 1 })
	defer servers.Close()
	for _, options := range []site.CacheServerOptions{
		{UID: "s-1", Address: exampleCache, Kind: site.Cache, ServiceTime: site.ServiceTime{Base: time.Millisecond}},
		{UID: "s-2", Address: exampleParent, Kind: site.Parent, ServiceTime: site.ServiceTime{Base: 4 * time.Millisecond}},
		{UID: "s-3", Address: exampleOrigin, Kind: site.Origin, ServiceTime: site.ServiceTime{Base: 30 * time.Millisecond}},
	} {
		options.Weight, options.Seed = 4, 1
		if _, err := servers.Add(options); err != nil {
			return err
		}
	}
	listener, err := net.Listen("tcp", discoveryAddress)
	if err != nil {
		return err
	}
	servers.Discovery.Serve(listener)
	store, err := redis.Start(redis.Config{Address: exampleStore, MaxValueBytes: 64 << 20})
	if err != nil {
		return err
	}
	defer store.Close()
	_, _ = fmt.Fprintf(out, "cache %s, parent %s, origin %s, discovery %s, store %s\n", exampleCache, exampleParent,
		exampleOrigin, discoveryAddress, exampleStore)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	<-stop
	return nil
}
