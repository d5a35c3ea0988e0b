package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// Figures of the settings in smallSettings, and of the protocol's pages.
const (
	drainGrace       = 500 * time.Millisecond
	toldAfterSilence = 2 * time.Second // past the wait that was asked for, an event counts as told
	discoveryLate    = 2 * time.Second
	slowFor          = 10 * time.Second
	drainingCache    = "s-2"
)

// runSilentWatch lets discovery answer late for some time. When it answers in time again, the open watch falls silent,
// and a cache begins to drain. The check is that nothing new is sent to the cache later than the grace after the drain
// counts as told.
func runSilentWatch(on *stage) error {
	servers, discovery, err := smallFleet(on, 4)
	if err != nil {
		return err
	}
	first, err := on.newRouter(routerConfig(discovery, smallSettings()))
	if err != nil {
		return err
	}
	if err := first.launch(); err != nil {
		return err
	}
	defer first.copyLog()
	stop := make(chan struct{})
	var asking sync.WaitGroup
	asking.Go(func() { askMany(on, first, stop) })
	time.Sleep(2 * time.Second)
	if on.hasTrouble {
		discovery.setLateness(discoveryLate)
		time.Sleep(slowFor)
		discovery.setLateness(0)
	}
	toldAt, err := tellDrain(on, discovery, servers.find(drainingCache).entry(stateDraining))
	if err != nil {
		return err
	}
	time.Sleep(9 * time.Second)
	close(stop)
	asking.Wait()
	checkDrain(on, servers, toldAt)
	return nil
}

// tellDrain has discovery tell an event, just after it was asked, and returns when the event counts as told. With
// trouble, the watch has fallen silent before.
func tellDrain(on *stage, discovery *platform, entry target) (toldAt time.Time, err error) {
	var open poll
	select {
	case open = <-discovery.asked:
	case <-time.After(10 * time.Second):
		return toldAt, errors.New("discovery was not asked")
	}
	time.Sleep(50 * time.Millisecond)
	if !on.hasTrouble {
		discovery.publish(listEvent(false, entry))
		return time.Now(), nil
	}
	discovery.silence()
	time.Sleep(50 * time.Millisecond)
	discovery.publish(listEvent(false, entry))
	toldAt = open.at.Add(open.patience + toldAfterSilence)
	select {
	case again := <-discovery.asked:
		if again.at.Before(toldAt) {
			toldAt = again.at
		}
		on.log("discovery was asked again %d ms after the silent watch", again.at.Sub(open.at).Milliseconds())
	case <-time.After(10 * time.Second):
	}
	return toldAt, nil
}

// askMany asks for many objects, one after the other, until it is stopped.
func askMany(on *stage, to *router, stop <-chan struct{}) {
	const objects = 40
	asking, err := on.connect("client", to)
	if err != nil {
		on.log("no connection: %v", err)
		return
	}
	defer asking.close()
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		default:
		}
		asking.ask(request{
			class: "guide-video", object: fmt.Sprintf("%016x", 0xc00+number%objects), group: 5, timeout: 3 * time.Second,
			sizeKB: 100,
		})
		time.Sleep(20 * time.Millisecond)
	}
}

// checkDrain checks what came to any server later than the grace after the drain counted as told.
func checkDrain(on *stage, servers *fleet, toldAt time.Time) {
	for _, received := range servers.received() {
		if received.at.Before(toldAt.Add(drainGrace + socketSlack)) {
			continue
		}
		on.judged()
		if received.server == drainingCache || received.source == drainingCache {
			on.breach("%s came to %s with source %q, %d ms after the drain of %s counted as told", received.id,
				received.server, received.source, received.at.Sub(toldAt).Milliseconds(), drainingCache)
		}
	}
}
