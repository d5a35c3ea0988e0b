package main

import (
	"errors"
	"fmt"
	"time"
)

// Figures of the settings in smallSettings, and of the protocol's pages.
const (
	purgeGrace     = 300 * time.Millisecond
	socketSlack    = 50 * time.Millisecond // by which each time limit is longer on sockets
	toldAfterBreak = 2 * time.Second       // an event in whose middle an answer broke off counts as told then
	dropWithin     = 6 * time.Second       // all servers have dropped older copies by then
	outage         = 8 * time.Second
	tellDelay      = 200 * time.Millisecond // from a purge to its event
	purgedGroup    = 17
	purgedObjects  = 4
)

// runUnheardPurge purges a group. Discovery goes down while it tells that, in the middle of the event, and stays down
// for 8 s. The check is that no request sent later than the grace after the purge counts as told is answered from a
// copy older than the purge.
func runUnheardPurge(on *stage) error {
	servers, discovery, err := smallFleet(on, 3)
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
	asking, err := on.connect("client", first)
	if err != nil {
		return err
	}
	defer asking.close()
	askForPurged(asking, time.Now().Add(time.Second)) // the caches take copies

	issued := time.Now()
	on.log("group %d is purged at %d", purgedGroup, issued.UnixMilli())
	time.AfterFunc(dropWithin-socketSlack, func() { servers.dropEverywhere(issued.UnixMilli()) })
	time.Sleep(tellDelay)
	toldAt, err := tellPurge(on, discovery, groupPurgeEvent(purgedGroup, issued.UnixMilli()))
	if err != nil {
		return err
	}
	askForPurged(asking, issued.Add(dropWithin+2*time.Second))
	checkPurge(on, servers, issued, toldAt)
	return nil
}

// askForPurged asks for the objects of the group again and again until a time.
func askForPurged(asking *client, until time.Time) {
	for time.Now().Before(until) {
		for i := range purgedObjects {
			asking.ask(request{
				class: "guide-video", object: fmt.Sprintf("%016x", 0xa00+i), group: purgedGroup, timeout: 3 * time.Second,
				sizeKB: 200,
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// tellPurge has discovery tell an event, and returns when the event counts as told. With trouble, discovery goes down
// in the middle of it.
func tellPurge(on *stage, discovery *platform, event map[string]any) (toldAt time.Time, err error) {
	if !on.hasTrouble {
		discovery.publish(event)
		return time.Now(), nil
	}
	discovery.cutNext()
	discovery.publish(event)
	select {
	case <-discovery.brokenOff:
	case <-time.After(5 * time.Second):
		return toldAt, errors.New("no answer of discovery broke off")
	}
	toldAt = time.Now().Add(toldAfterBreak)
	discovery.shut()
	time.AfterFunc(outage, func() { _ = discovery.open() })
	return toldAt, nil
}

// checkPurge checks the requests that came to servers later than the grace after the purge counted as told.
func checkPurge(on *stage, servers *fleet, issued, toldAt time.Time) {
	for _, received := range servers.received() {
		if received.at.Before(toldAt.Add(purgeGrace+socketSlack)) || received.word != wordOK {
			continue
		}
		on.judged()
		if received.sentMS < issued.UnixMilli() {
			on.breach("%s answered %s, sent %d ms after the purge counted as told, from a copy %d ms older than the purge",
				received.server, received.id, received.at.Sub(toldAt).Milliseconds(), issued.UnixMilli()-received.sentMS)
		}
	}
}
