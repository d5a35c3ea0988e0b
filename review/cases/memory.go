package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fennelarch/review/standin"
)

const (
	memoryMB      = 64  // LATER: 32 to 192
	descriptors   = 672 // LATER: 256 to 1,024
	usualRate     = 40  // requests per second; LATER: up to 170
	usualConns    = 24
	playFor       = 9 * time.Second
	badAt         = 6 * time.Second
	badConns      = 180
	openPerConn   = 32     // PROTOCOL: open requests on a connection
	bodyBytes     = 48_000 // PROTOCOL: of a write
	clipBytes     = 107_000
	originWorkers = 16
	flowBytes     = 341_333 // per second, 5,000 KB as the settings count them
	clipTime      = clipBytes * time.Second / flowBytes
	usualTimeout  = 3 * time.Second
)

// memory shows a router that goes over its limit on memory, and is killed for that, when bad clients send hundreds of
// writes at once. The usual clients go on as before.
func memory(w *world) (verdict, error) {
	site := standin.NewSite(w.record, clipBytes, clipTime)
	site.IsQuiet = true
	discovery, err := startDepot(site)
	if err != nil {
		return verdict{}, err
	}
	router, err := w.start(standin.RouterOptions{
		Discovery: discovery, Settings: depotRecords("retryable"),
		Extra: map[string]any{
			"limits":           map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": descriptors},
			"flow_bytes_per_s": flowBytes, "link_bytes_per_s": 4 * flowBytes,
		},
	})
	if err != nil {
		return verdict{}, err
	}
	w.isKilledOnPurpose = true
	platform := watchMemory(w, router)
	if w.isTrouble {
		time.AfterFunc(badAt, func() { sendMuch(w, router) })
	}
	lost, err := playUsualClients(w, router)
	if err != nil {
		return verdict{}, err
	}
	peak, isKilled := platform()
	return verdict{isBroken: isKilled, text: fmt.Sprintf(
		"the router's memory came to %d KB of %d KB, killed for that: %v; %d requests of usual clients got no answer",
		peak, memoryMB<<10, isKilled, lost)}, nil
}

// startDepot starts five caches, a parent and an origin with few workers, which cannot use the bad clients' writes.
func startDepot(site *standin.Site) (*standin.Discovery, error) {
	discovery, err := standin.NewDiscovery()
	if err != nil {
		return nil, err
	}
	var targets []map[string]any
	for i := range 5 {
		cache, err := site.Add(fmt.Sprintf("s-%d", i), standin.Cache, 7)
		if err != nil {
			return nil, err
		}
		targets = append(targets, cache.Entry("ready"))
	}
	for _, kind := range []string{standin.Parent, standin.Origin} {
		server, err := site.Add("s-"+kind, kind, 20)
		if err != nil {
			return nil, err
		}
		if kind == standin.Origin {
			server.SetWorkers(originWorkers, 50*time.Millisecond)
			server.SetJudge(func(fetch standin.Fetch) standin.Verdict {
				if fetch.Class == "signoff" {
					return standin.AnswerError
				}
				return standin.Serve
			})
		}
		targets = append(targets, server.Entry("ready"))
	}
	discovery.PublishList(true, targets...)
	return discovery, nil
}

// watchMemory plays the platform: it kills the router once its memory is over the limit. The function that it returns
// ends the watch and returns the highest memory seen, and whether the router was killed.
func watchMemory(w *world, router *standin.Router) (end func() (peakKB int, isKilled bool)) {
	done, ended := make(chan bool), make(chan bool)
	peak, isKilled := 0, false
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
			peak = max(peak, router.MemoryKB())
			if peak > memoryMB<<10 {
				w.record.Printf("platform: the router's memory is %d KB, over its limit; killed", peak)
				router.Kill()
				isKilled = true
				return
			}
		}
	}()
	return func() (int, bool) {
		close(done)
		<-ended
		return peak, isKilled
	}
}

// sendMuch lets bad clients send as many writes at once as their connections may carry.
func sendMuch(w *world, router *standin.Router) {
	body := strings.Repeat("y", bodyBytes)
	w.record.Printf("bad clients: %d connections send %d writes each", badConns, openPerConn)
	for range badConns {
		go func() {
			client, err := standin.Dial(router.Address)
			if err != nil {
				return
			}
			for range openPerConn {
				if client.Write("signoff", body, usualTimeout) != nil {
					return
				}
			}
		}()
	}
}

// playUsualClients sends requests for clips at a steady rate, and returns how many got no answer.
func playUsualClients(w *world, router *standin.Router) (lost int, err error) {
	var clients []*standin.Client
	for range usualConns {
		client, err := standin.Dial(router.Address)
		if err != nil {
			return 0, err
		}
		defer client.Close()
		clients = append(clients, client)
	}
	var unanswered, served, others atomic.Int64
	var all sync.WaitGroup
	started := time.Now()
	for sent := 0; time.Since(started) < playFor && !router.HasEnded(); sent++ {
		all.Go(func() {
			need := fmt.Sprintf(",need=%.1f", clipBytes*5000.0/flowBytes)
			answer, err := clients[sent%usualConns].Get("clip", standin.NewID(), objectID(sent%400), usualTimeout, need)
			switch {
			case err != nil || answer.Word == "":
				unanswered.Add(1)
			case answer.Word == "OK":
				served.Add(1)
			default:
				others.Add(1)
			}
		})
		if sent%usualRate == 0 {
			w.record.Printf("usual clients: %d sent, %d served, %d refused or failed; the router's memory: %d KB",
				sent, served.Load(), others.Load(), router.MemoryKB())
		}
		time.Sleep(time.Until(started.Add(time.Duration(sent+1) * time.Second / usualRate)))
	}
	all.Wait()
	w.record.Printf("usual clients: %d served, %d refused or failed, %d without an answer",
		served.Load(), others.Load(), unanswered.Load())
	return int(unanswered.Load()), nil
}
