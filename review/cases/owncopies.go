package main

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"fennelarch/review/standin"
)

const (
	outage        = 8 * time.Second        // of discovery, as on the day herd+mass
	toldAfter     = 7 * time.Second        // what discovery has to tell counts as told by then
	slack         = 50 * time.Millisecond  // of each time limit on sockets
	purgeGrace    = 300 * time.Millisecond // counter-net
	purgedObjects = 24
	droppedAfter  = 4 * time.Second // by the servers themselves; at most 6 s
)

var errOnlyBusy = errors.New("no request was served after the purge")

func objectID(number int) string { return fmt.Sprintf("%016x", 0x2000+number) }

// ownCopies shows answers from the router's own memory that are older than a purge.
//
// Discovery is down for 8 s. At its start, objects are purged. All servers drop their older copies in 4 s. When the
// purge counts as told and its grace is over, clients ask for all the objects at once.
func ownCopies(w *world) (verdict, error) {
	site := standin.NewSite(w.record, 20000, 200*time.Millisecond)
	servers, discovery, err := startServers(site, standin.Cache, standin.Parent, standin.Origin)
	if err != nil {
		return verdict{}, err
	}
	_ = servers
	router, err := w.start(standin.RouterOptions{
		Discovery: discovery,
		Settings:  counterNet(),
		Extra:     map[string]any{"flow_bytes_per_s": 100000, "link_bytes_per_s": 400000},
	})
	if err != nil {
		return verdict{}, err
	}
	if err := askTwice(w, router); err != nil {
		return verdict{}, err
	}
	return purgeDuringOutage(w, site, discovery, router)
}

// askTwice asks for each object twice, one after the other.
func askTwice(w *world, router *standin.Router) error {
	client, err := standin.Dial(router.Address)
	if err != nil {
		return err
	}
	defer client.Close()
	for range 2 {
		for i := range purgedObjects {
			askVersion(w, client, i)
		}
	}
	return nil
}

// purgeDuringOutage purges all objects during an outage of discovery, asks for them when the purge counts as told, and
// judges the answers.
func purgeDuringOutage(
	w *world, site *standin.Site, discovery *standin.Discovery, router *standin.Router,
) (verdict, error) {
	started := time.Now()
	if w.isTrouble {
		discovery.Down()
		w.record.Printf("discovery is down")
	}
	issued := time.Now()
	site.PurgeAll(droppedAfter)
	discovery.Publish(map[string]any{"recall": map[string]any{"lot": 1, "issued": issued.UnixMilli()}})
	w.record.Printf("the group of all %d objects is purged: version 1 replaces version 0", purgedObjects)
	time.Sleep(time.Until(issued.Add(toldAfter + purgeGrace + 2*slack + 200*time.Millisecond)))
	client, err := standin.Dial(router.Address)
	if err != nil {
		return verdict{}, err
	}
	defer client.Close()
	var asking sync.WaitGroup
	var mu sync.Mutex
	old, served := 0, 0
	w.record.Printf("%.0f ms after the purge, clients ask for the objects", time.Since(issued).Seconds()*1000)
	for i := range purgedObjects {
		asking.Go(func() {
			version, word := askVersion(w, client, i)
			mu.Lock()
			defer mu.Unlock()
			if word == "OK" {
				served++
			}
			if word == "OK" && version == 0 {
				old++
			}
		})
	}
	asking.Wait()
	if w.isTrouble {
		time.Sleep(time.Until(started.Add(outage)))
		if err := discovery.Up(); err != nil {
			return verdict{}, err
		}
		w.record.Printf("discovery is up")
	}
	if served == 0 {
		return verdict{}, errOnlyBusy
	}
	return verdict{isBroken: old > 0, text: fmt.Sprintf(
		"%d of %d served answers, asked for after the purge counted as told and its grace, are older than the purge",
		old, served)}, nil
}

// askVersion asks for an object and returns the version in the answer, and the answer's word.
func askVersion(w *world, client *standin.Client, number int) (version int, word string) {
	id, sentAt := standin.NewID(), time.Now()
	answer, err := client.Get("guide-video", id, objectID(number), 3*time.Second, "")
	if err != nil {
		return -1, err.Error()
	}
	version = standin.Version(objectID(number)+"/0", answer.Body)
	w.record.Printf("client: req=%s subject=%s: %s version %d after %d ms",
		id, objectID(number), answer.Word, version, time.Since(sentAt).Milliseconds())
	return version, answer.Word
}
