package main

import (
	"fmt"
	"sync"
	"time"
)

// Figures of the disruption, and of the protocol's pages.
const (
	toldAtLatest    = 7 * time.Second // after it is published, whether or not it arrived
	slowPageRate    = 3000            // bytes a second of an answer
	slowPageFor     = 20 * time.Second
	drainingFarAway = 100 // caches of another branch that begin to drain together with one of this branch
)

// runSlowPage has discovery send its answers slowly for some time, whole and without a pause. Caches begin to drain
// meanwhile, all in one event. The check is that nothing new is sent to the one of them in the router's branch later
// than the grace after the drain counts as told.
func runSlowPage(on *stage) error {
	servers, discovery, err := smallFleet(on, 4)
	if err != nil {
		return err
	}
	settings := smallSettings()
	settings["dcs"] = []string{"north", zoneName(0)}
	first, err := on.newRouter(routerConfig(discovery, settings))
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
	toldAt := time.Now()
	if on.hasTrouble {
		discovery.setRate(slowPageRate)
		time.AfterFunc(slowPageFor, func() { discovery.setRate(0) })
		time.Sleep(2 * time.Second)
		toldAt = time.Now().Add(toldAtLatest)
	}
	entries := []target{servers.find(drainingCache).entry(stateDraining)}
	for i := range drainingFarAway {
		far := farCache(fmt.Sprintf("far-%d", i), i, stateDraining)
		far.Zone = zoneName(0)
		entries = append(entries, far)
	}
	discovery.publish(listEvent(false, entries...))
	time.Sleep(slowPageFor)
	close(stop)
	asking.Wait()
	checkDrain(on, servers, toldAt)
	return nil
}
