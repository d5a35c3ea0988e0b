package soak

import (
	"fmt"
	"time"

	"fennelarch/internal/fake/site"
)

// oldAddressLifetime is how long a moved server still accepts connections at its old address.
const oldAddressLifetime = 3 * time.Second

func cacheUID(i int) string { return fmt.Sprintf("s-cache-%d", i) }

func parentUID(i int) string { return fmt.Sprintf("s-parent-%d", i) }

// cacheFor returns the cache server that a fault targets, among those that have not been replaced.
func (c *cluster) cacheFor(target int) *server {
	c.servers.mu.Lock()
	defer c.servers.mu.Unlock()
	caches := c.servers.currentCaches()
	return caches[target%len(caches)]
}

// serverFor returns the server that a fault targets: a cache server, a parent or the origin.
func (c *cluster) serverFor(target int) *server {
	c.servers.mu.Lock()
	defer c.servers.mu.Unlock()
	list := c.servers.currentCaches()
	for i := range parents {
		list = append(list, c.servers.byUID[parentUID(cacheServers+i)])
	}
	list = append(list, c.servers.origin)
	return list[target%len(list)]
}

// restartServer resets the connections of a cache server, empties its cache and publishes a new start time.
func (c *cluster) restartServer(fault Fault) {
	s := c.cacheFor(fault.Target)
	s.frames.ResetConnections()
	s.currentProxy().reset()
	s.dropCopies()
	if s.isReplaced() {
		return
	}
	boot := time.Now()
	endpoint := s.endpoint(site.StateReady)
	endpoint.Boot = boot
	event := c.discovery.publish(site.ChangesEvent(endpoint))
	c.recordColdStart(s, event, boot)
}

func (c *cluster) recordColdStart(s *server, event int, at time.Time) {
	c.record.update(func() {
		c.record.coldStarts = append(c.record.coldStarts, coldStart{
			server: s.uid, event: event, at: at, capacityWeight: s.weight,
		})
	})
}

func (c *cluster) drainServer(fault Fault) {
	s := c.cacheFor(fault.Target)
	s.addDrain(1)
	at := time.Now()
	event := c.discovery.publish(site.ChangesEvent(s.endpoint(site.StateDraining)))
	time.Sleep(fault.Duration)
	until := time.Now()
	c.record.update(func() {
		c.record.departures = append(c.record.departures, departure{server: s.uid, event: event, at: at, until: until})
	})
	s.addDrain(-1)
	if !s.isReplaced() {
		c.discovery.publish(site.ChangesEvent(s.endpoint(site.StateReady)))
	}
}

// replaceServer removes a cache server, and starts a new one with an empty cache at the same address.
func (c *cluster) replaceServer(fault Fault) {
	old := c.cacheFor(fault.Target)
	uid, ok := c.servers.replace(old)
	if !ok {
		return
	}
	proxy := old.currentProxy()
	address := proxy.address()
	proxy.stopListening()
	proxy.reset()
	old.frames.ResetConnections()
	// A router that does not know of the replacement yet takes it for the old server. The replacement is in the same
	// cell, so that a repeat of a request that ran there is still dropped.
	replacement, err := c.newServer(uid, site.Cache, old.cell, address)
	if err != nil {
		c.fail(err)
		return
	}
	boot := time.Now()
	gone, ready := old.endpoint(site.StateGone), replacement.endpoint(site.StateReady)
	ready.Boot = boot
	event := c.discovery.publish(site.ChangesEvent(gone, ready))
	c.record.update(func() {
		c.record.departures = append(c.record.departures, departure{server: old.uid, event: event, at: boot})
	})
	c.recordColdStart(replacement, event, boot)
}

// moveServer moves a cache server to another address. The old address stays open for requests in flight.
func (c *cluster) moveServer(fault Fault) {
	s := c.cacheFor(fault.Target)
	moved, err := c.newProxy(s, "127.0.0.1:0")
	if err != nil {
		c.fail(err)
		return
	}
	old := s.swapProxy(moved)
	if !s.isReplaced() {
		c.discovery.publish(site.ChangesEvent(s.endpoint(site.StateReady)))
	}
	time.Sleep(oldAddressLifetime)
	old.stopListening()
}

// blockConnections stops forwarding data between routers and a server for the duration of the fault.
func (c *cluster) blockConnections(fault Fault) {
	end := c.serverFor(fault.Target).currentProxy().block()
	time.Sleep(fault.Duration)
	end()
}
