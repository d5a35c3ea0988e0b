package soak

import (
	"fmt"
	"time"

	"fennelarch/internal/fake/site"
)

// oldAddressLasts is how long a server that has moved is still reached at its old address.
const oldAddressLasts = 3 * time.Second

func cacheUID(i int) string { return fmt.Sprintf("s-cache-%d", i) }

func parentUID(i int) string { return fmt.Sprintf("s-parent-%d", i) }

// cacheFor is the cache server that a fault meets: one of those that are there.
func (c *cluster) cacheFor(target int) *server {
	c.servers.mu.Lock()
	defer c.servers.mu.Unlock()
	caches := c.servers.presentCaches()
	return caches[target%len(caches)]
}

// anyServer is the server that a fault meets, which may be a parent or the origin too.
func (c *cluster) anyServer(target int) *server {
	c.servers.mu.Lock()
	defer c.servers.mu.Unlock()
	list := c.servers.presentCaches()
	for i := range parents {
		list = append(list, c.servers.byUID[parentUID(cacheServers+i)])
	}
	list = append(list, c.servers.origin)
	return list[target%len(list)]
}

// restartServer ends a cache server's connections, and has it start again with nothing cached.
func (c *cluster) restartServer(fault Fault) {
	s := c.cacheFor(fault.Target)
	s.frames.ResetConnections()
	s.currentProxy().reset()
	s.dropCopies()
	if s.isGone() {
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
	if !s.isGone() {
		c.discovery.publish(site.ChangesEvent(s.endpoint(site.StateReady)))
	}
}

// replaceServer has a cache server vanish, and a new one, cold, take its address.
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
	// A router that has not heard of it yet takes it for the old one: a repeat of what ran there must not run elsewhere.
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

// moveServer has a cache server be reached at another address; the old one goes on for what is in flight there.
func (c *cluster) moveServer(fault Fault) {
	s := c.cacheFor(fault.Target)
	moved, err := c.newProxy(s, "127.0.0.1:0")
	if err != nil {
		c.fail(err)
		return
	}
	old := s.swapProxy(moved)
	if !s.isGone() {
		c.discovery.publish(site.ChangesEvent(s.endpoint(site.StateReady)))
	}
	time.Sleep(oldAddressLasts)
	old.stopListening()
}

// blockConnections has nothing passed on between routers and a server.
func (c *cluster) blockConnections(fault Fault) {
	end := c.anyServer(fault.Target).currentProxy().block()
	time.Sleep(fault.Duration)
	end()
}
