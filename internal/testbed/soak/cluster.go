package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"fennelarch/internal/fake/site"
	"fennelarch/internal/testbed"
)

// The size of the deployment and its load.
const (
	cacheServers      = 8
	parents           = 2
	cells             = 2
	objects           = 400
	purgeGroups       = 16
	serverWeight      = 4.0
	requestsPerSecond = 12.0 // at each router
)

// cluster holds everything that takes part in a run: routers with their clients, servers and discovery.
type cluster struct {
	options   testbed.Options
	folder    string // for configurations and flight recorders
	record    *Record
	servers   *serverSet
	link      *linkConditions
	discovery *discovery
	behaviour clientBehaviour
	routers   []*router

	done             chan struct{} // closed when the run is over
	watcher          sync.WaitGroup
	faults           sync.WaitGroup
	malformedClients sync.WaitGroup
	proxyGoroutines  sync.WaitGroup // the goroutines of all proxies

	mu   sync.Mutex
	rng  *rand.Rand
	errs []error
}

// newCluster starts the servers, discovery and the routers.
func newCluster(options testbed.Options, program string, routers int) (*cluster, error) {
	record := newRecord(routers)
	created := &cluster{
		options: options, record: record, servers: newServerSet(record), link: newLinkConditions(options.Seed),
		discovery: newDiscovery(record, routers), done: make(chan struct{}),
		rng: rand.New(rand.NewPCG(options.Seed, clusterStream)),
	}
	var err error
	if created.folder, err = os.MkdirTemp("", "soak"); err != nil {
		return nil, err
	}
	created.watcher.Go(func() { record.watchDelays(created.done) })
	if err := created.startServers(); err != nil {
		return nil, err
	}
	return created, created.startRouters(program, routers)
}

func (c *cluster) startServers() error {
	var endpoints []site.Endpoint
	for i := range cacheServers + parents + 1 {
		kind, uid := site.Cache, cacheUID(i)
		switch {
		case i == cacheServers+parents:
			kind, uid = site.Origin, "s-origin"
		case i >= cacheServers:
			kind, uid = site.Parent, parentUID(i)
		}
		s, err := c.newServer(uid, kind, i%cells, "127.0.0.1:0")
		if err != nil {
			return err
		}
		endpoints = append(endpoints, s.endpoint(site.StateReady))
	}
	c.discovery.publish(site.ListEvent(endpoints...))
	return nil
}

// newServer starts a server behind a proxy that listens at an address.
func (c *cluster) newServer(uid string, kind site.Kind, cell int, address string) (*server, error) {
	seed := uint64(len(uid)) + uint64(c.servers.replacementCount())
	created := &server{
		set: c.servers, uid: uid, kind: kind, cell: cell, weight: serverWeight, copies: map[uint64]site.Copy{},
		rng: rand.New(rand.NewPCG(c.options.Seed, seed)),
	}
	var err error
	handle := func(words []string, _ time.Time) []byte { return created.handle(words) }
	if created.frames, err = site.ListenFrames("127.0.0.1:0", handle); err != nil {
		return nil, err
	}
	if created.proxy, err = c.newProxy(created, address); err != nil {
		return nil, err
	}
	c.servers.add(created)
	return created, nil
}

// startRouters starts all routers concurrently.
func (c *cluster) startRouters(program string, count int) error {
	starts := make(chan error, count)
	for i := range count {
		r, err := c.newRouter(program, i, count)
		if err != nil {
			return err
		}
		c.routers = append(c.routers, r)
		go func() { starts <- r.Start() }()
	}
	var err error
	for range count {
		err = errors.Join(err, <-starts)
	}
	return err
}

// fail records an error that fails the run; nil is ignored.
func (c *cluster) fail(err error) {
	if err == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.errs = append(c.errs, err)
}

// play injects the faults of a plan while clients send requests.
func (c *cluster) play(plan []Fault, duration time.Duration) {
	startedAt := time.Now()
	c.record.update(func() { c.record.startedAt = startedAt })
	end := startedAt.Add(duration)
	var load sync.WaitGroup
	for _, r := range c.routers {
		load.Go(func() { r.clients.run(requestsPerSecond, end) })
	}
	load.Go(func() { c.purgeUntil(end) })
	for _, fault := range plan {
		time.Sleep(time.Until(startedAt.Add(fault.At)))
		if time.Now().After(end) {
			break
		}
		c.faults.Go(func() { c.inject(fault) })
	}
	load.Wait()
	c.faults.Wait()
}

// purgeUntil purges random objects at random intervals.
func (c *cluster) purgeUntil(end time.Time) {
	for time.Now().Before(end) {
		c.mu.Lock()
		object := 1 + uint64(c.rng.IntN(objects/8))
		wait := time.Duration(50+c.rng.IntN(150)) * time.Millisecond
		c.mu.Unlock()
		issuedAt := time.Now().Truncate(time.Millisecond)
		at := time.Now()
		event := c.discovery.publish(site.PurgeObjectEvent(object, issuedAt))
		c.record.update(func() {
			c.record.purges = append(c.record.purges, objectPurge{object, event, at, issuedAt})
		})
		time.Sleep(wait)
	}
}

// shutDown waits for requests in flight, then stops the routers, discovery and the servers.
func (c *cluster) shutDown() {
	var all sync.WaitGroup
	for _, r := range c.routers {
		all.Go(r.clients.finish)
	}
	all.Wait()
	for _, r := range c.routers {
		all.Go(func() {
			r.control.Lock()
			defer r.control.Unlock()
			r.dumpRecorder()
			c.fail(r.Stop())
		})
	}
	all.Wait()
	close(c.done)
	c.watcher.Wait()
	c.malformedClients.Wait()
	for _, r := range c.routers {
		r.clients.wait()
	}
	c.discovery.close()
	c.servers.close()
	c.proxyGoroutines.Wait()
}

func (c *cluster) routerSeed(router int) uint64 { return c.options.Seed*1000 + uint64(router) }

func routerName(router int) string { return fmt.Sprintf("n%d", router) }
