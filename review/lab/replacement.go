package main

import (
	"fmt"
	"sync"
	"time"
)

// Figures of the fleet, from the pages: the most cache servers, and how many of them are replaced in which time.
const (
	fleetCaches     = 3200
	cachesPerZone   = 4
	zonesPerParent  = 4
	replacedCaches  = fleetCaches * 6 / 10
	replacedWithin  = 7 * time.Second
	drainingFor     = time.Second
	answerSlack     = 500 * time.Millisecond // past a request's time, until it is lost
	requestInterval = 30 * time.Millisecond
)

// runReplacement replaces six in ten cache servers of a large fleet, none of them in the router's own zone. It checks
// that every request gets its final answer.
func runReplacement(on *stage) error {
	discovery, err := largeFleet(on)
	if err != nil {
		return err
	}
	settings := smallSettings()
	settings["dcs"] = zoneNames()
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
	asking.Go(func() { askSteadily(on, first, stop) })
	time.Sleep(3 * time.Second)
	if on.hasTrouble {
		replaceCaches(on, discovery)
	} else {
		time.Sleep(replacedWithin)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	asking.Wait()
	return nil
}

// largeFleet starts the caches of the first zone, all parents and the origin, and tells discovery these and the caches
// of all other zones, which no router of the first zone ever asks.
func largeFleet(on *stage) (*platform, error) {
	servers := newFleet(on)
	models := map[string]string{"origin": "origin"}
	for i := range cachesPerZone {
		models[fmt.Sprintf("s-%d", i)] = "standard"
	}
	for i := range fleetCaches / cachesPerZone / zonesPerParent {
		models[fmt.Sprintf("parent-%d", i)] = "parent"
	}
	var entries []target
	for uid, model := range models {
		server, err := servers.add(uid, model)
		if err != nil {
			return nil, err
		}
		entry := server.entry(stateReady)
		entry.Zone = zoneName(0)
		entries = append(entries, entry)
	}
	for i := cachesPerZone; i < fleetCaches; i++ {
		entries = append(entries, farCache(fmt.Sprintf("far-%d", i), i, stateReady))
	}
	discovery, err := newPlatform(on)
	if err != nil {
		return nil, err
	}
	discovery.publish(listEvent(true, entries...))
	return discovery, nil
}

// farCache returns the entry of a cache of another zone.
func farCache(uid string, number int, state string) target {
	return target{
		UID: uid, Address: fmt.Sprintf("127.1.%d.%d:9090", number/250, 1+number%250),
		Zone: zoneName(number / cachesPerZone), Model: "standard", State: state, Capacity: 4,
	}
}

func zoneName(number int) string { return fmt.Sprintf("edge-%d", number) }

func zoneNames() (names []string) {
	for i := range fleetCaches / cachesPerZone {
		names = append(names, zoneName(i))
	}
	return names
}

// replaceCaches has caches of other zones drain, go, and be followed by new ones at their addresses: an event for each
// change.
func replaceCaches(on *stage, discovery *platform) {
	start := time.Now()
	const interval = (replacedWithin - drainingFor) / replacedCaches
	const lag = int(drainingFor / interval)
	for step := range replacedCaches + lag {
		if step < replacedCaches {
			number := cachesPerZone + step
			discovery.publish(listEvent(false, farCache(fmt.Sprintf("far-%d", number), number, stateDraining)))
		}
		if step >= lag {
			number := cachesPerZone + step - lag
			discovery.publish(listEvent(false, farCache(fmt.Sprintf("far-%d", number), number, stateGone)))
			successor := farCache(fmt.Sprintf("new-%d", number), number, stateReady)
			successor.Boot = time.Now().UnixMilli()
			discovery.publish(listEvent(false, successor))
		}
		time.Sleep(time.Until(start.Add(interval * time.Duration(step+1))))
	}
	on.log("%d cache servers were replaced within %d ms", replacedCaches, time.Since(start).Milliseconds())
}

// askSteadily sends some tens of requests a second until it is stopped, and checks that each is answered in time.
func askSteadily(on *stage, to *router, stop <-chan struct{}) {
	const perConnection, objects = 20, 10
	var asking sync.WaitGroup
	defer asking.Wait()
	var from *client
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(requestInterval):
		}
		if number%perConnection == 0 || from == nil {
			next, err := on.connect(fmt.Sprintf("client %d", number/perConnection), to)
			if err != nil {
				on.log("no connection: %v", err)
				continue
			}
			from = next
		}
		sender, asked := from, request{
			class: "form-assets", object: fmt.Sprintf("%016x", 0xb00+number%objects), group: 3,
			timeout: 1500 * time.Millisecond, sizeKB: 100,
		}
		asking.Go(func() { checkAnswered(on, sender, asked) })
	}
}

// checkAnswered checks that a request gets its final answer, half a second after its time at the latest.
func checkAnswered(on *stage, from *client, asked request) {
	const patience = 30 * time.Second
	sentAt := time.Now()
	on.judged()
	id, answer, err := from.send(asked)
	if err != nil {
		on.breach("%s could not be sent: %v", id, err)
		return
	}
	select {
	case got, isAnswered := <-answer:
		took := time.Since(sentAt)
		on.log("%s was answered %s after %d ms, it had %d ms", id, got.word, took.Milliseconds(),
			asked.timeout.Milliseconds())
		switch {
		case !isAnswered:
			on.breach("%s got no answer before its connection ended", id)
		case took > asked.timeout+answerSlack+socketSlack:
			on.breach("%s was answered %d ms after its time", id, (took - asked.timeout).Milliseconds())
		}
	case <-time.After(patience):
		on.breach("%s got no answer within %v", id, patience)
	}
}
