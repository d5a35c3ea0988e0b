package main

import (
	"fmt"
	"time"

	"fennelarch/internal/fake/redis"
	"fennelarch/review/standin"
)

const (
	effectRequests = 20
	effectTimeout  = 2 * time.Second
)

// storeEffect shows requests of a class that must never run twice, which run at a parent and are answered BUSY.
//
// The class is read from a shared store, which fills from a parent. The parent's connection is reset under some
// requests after they have run. The client does what the pages allow it: it tries again only after BUSY.
func storeEffect(w *world) (verdict, error) {
	site := standin.NewSite(w.record, 4000, 10*time.Millisecond)
	servers, discovery, err := startServers(site, standin.Parent, standin.Origin)
	if err != nil {
		return verdict{}, err
	}
	store, err := redis.Start(redis.Config{InitialAge: time.Hour, Seed: 1})
	if err != nil {
		return verdict{}, err
	}
	defer store.Close()
	router, err := w.start(standin.RouterOptions{
		Discovery: discovery, Settings: depotRecords("fragile"), Operator: operatorFile(store),
	})
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(time.Second) // the store is connected
	breakEveryFifth(w, servers[standin.Parent])
	client, err := standin.Dial(router.Address)
	if err != nil {
		return verdict{}, err
	}
	defer client.Close()
	busyAfterRun, ranTwice := 0, 0
	for i := range effectRequests {
		object := fmt.Sprintf("%016x", 0x1000+i)
		busy, err := tryTwice(w, client, servers, object)
		if err != nil {
			return verdict{}, err
		}
		busyAfterRun += busy
		if runs := countRuns(servers, func(fetch standin.Fetch) bool { return fetch.Object == object+"/0" }); runs > 1 {
			w.record.Printf("the client's request for %s ran %d times", object, runs)
			ranTwice++
		}
	}
	return verdict{
		isBroken: busyAfterRun > 0,
		text: fmt.Sprintf("of %d requests that must not run twice, %d ran and were answered BUSY; %d ran again in the "+
			"client's next try", effectRequests, busyAfterRun, ranTwice),
	}, nil
}

// tryTwice sends a request, and sends it again once if it is answered BUSY. It returns how many of the tries had run
// and were answered BUSY.
func tryTwice(
	w *world, client *standin.Client, servers map[string]*standin.Server, object string,
) (busyAfterRun int, err error) {
	for try, more := range []string{",need=50", ",need=50,resent=1"} {
		id := standin.NewID()
		w.record.Printf("client: DO clip req=%s subject=%s (try %d)", id, object, try+1)
		answer, err := client.Get("clip", id, object, effectTimeout, more)
		if err != nil {
			return 0, err
		}
		runs := countRuns(servers, func(fetch standin.Fetch) bool { return fetch.ID == id })
		w.record.Printf("client: %s %s %s; servers ran it %d times", id, answer.Word, answer.Fields, runs)
		if answer.Word != "BUSY" {
			break
		}
		if runs > 0 {
			busyAfterRun++
		}
	}
	return busyAfterRun, nil
}

// breakEveryFifth has the server reset the connection under each fifth request, once the request has run.
func breakEveryFifth(w *world, server *standin.Server) {
	if !w.isTrouble {
		return
	}
	count := 0
	server.SetJudge(func(standin.Fetch) standin.Verdict {
		count++
		if count%5 == 0 {
			return standin.ResetAfterRun
		}
		return standin.Serve
	})
}

// startServers starts one server of each kind and a discovery server that lists them.
func startServers(site *standin.Site, kinds ...string) (
	servers map[string]*standin.Server, discovery *standin.Discovery, err error,
) {
	if discovery, err = standin.NewDiscovery(); err != nil {
		return nil, nil, err
	}
	servers = map[string]*standin.Server{}
	var targets []map[string]any
	for _, kind := range kinds {
		if servers[kind], err = site.Add("s-"+kind, kind, 8); err != nil {
			return nil, nil, err
		}
		targets = append(targets, servers[kind].Entry("ready"))
	}
	discovery.PublishList(true, targets...)
	return servers, discovery, nil
}

// operatorFile returns the operator's file of a router that uses the store, by the example in the deploy folder.
func operatorFile(store *redis.Store) map[string]any {
	return map[string]any{
		"stores": []map[string]any{
			{"uid": "s-redis", "addresses": []string{store.Address()}, "weight": 8, "prefix": "fennelarch:"},
		},
		"shared": map[string]any{
			"capacity_per_s": 20000, "cold_share": 0.2, "cold_ms": 10000, "multiple": 1, "keep_ms": 600000, "lease": true,
		},
	}
}

// countRuns returns how many requests that the servers ran meet a condition.
func countRuns(servers map[string]*standin.Server, condition func(fetch standin.Fetch) bool) (runs int) {
	for _, server := range servers {
		for _, fetch := range server.Ran() {
			if condition(fetch) {
				runs++
			}
		}
	}
	return runs
}
